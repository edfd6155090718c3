#include "trefoilhoist/placement/policies/decisioncontext.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

/// Workers checkpoint their tasks at least this often, so an eviction loses at most this much work.
constexpr double checkpointSeconds = 60;
/// Time that a checkpoint and a restart take.
constexpr double restartSeconds = 5;

} // namespace

double evictionWaste(const RunningTask &running, const ActionTracker &actionTracker, TimePoint now)
{
    const double cores = static_cast<double>(running.reserved.milliCpu) / 1000;
    const double ranFor = std::chrono::duration<double>(now - running.startedAt).count();
    const double lost = restartSeconds + std::min(ranFor, checkpointSeconds);
    // The cost rises with each eviction of the task, which keeps a task from being evicted again and again.
    return cores * lost * (1 + actionTracker.evictions(running.task));
}

} // namespace Trefoilhoist::Detail
