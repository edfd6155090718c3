#include "trefoilhoist/placement/policies/decisioncontext.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

/// Work done since a worker's own last checkpoint is at most this old.
constexpr double checkpointSeconds = 60;
/// Time that a checkpoint and a new start take.
constexpr double restartSeconds = 5;

} // namespace

double evictionWaste(const RunningTask &running, const ActionTracker &actionTracker, TimePoint now)
{
    const double cores = static_cast<double>(running.reserved.milliCpu) / 1000;
    const double ranFor = std::chrono::duration<double>(now - running.startedAt).count();
    const double lost = restartSeconds + std::min(ranFor, checkpointSeconds);
    // A task that was evicted before is dearer each time, so that none is moved for ever.
    return cores * lost * (1 + actionTracker.evictions(running.task));
}

} // namespace Trefoilhoist::Detail
