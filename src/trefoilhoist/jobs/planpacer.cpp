#include "trefoilhoist/jobs/planpacer.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// After a plan, other work gets this multiple of the time that the plan took.
constexpr int otherWorkMultiple = 4;
constexpr Duration minGap = milliseconds(4);
/// Keeps starts going on a host that is so slow that each plan takes long.
constexpr Duration maxGap = milliseconds(100);

} // namespace

Duration PlanPacer::delay(TimePoint now) const
{
    return std::max(Duration{}, m_nextPlanAt - now);
}

void PlanPacer::finishPlan(TimePoint startedAt, TimePoint endedAt)
{
    const Duration took = endedAt - startedAt;
    m_nextPlanAt = endedAt + std::clamp<Duration>(otherWorkMultiple * took, minGap, maxGap);
}

} // namespace Trefoilhoist::Jobs
