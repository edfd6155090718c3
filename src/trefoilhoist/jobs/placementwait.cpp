#include "trefoilhoist/jobs/placementwait.h"

#include "trefoilhoist/jobs/planpacer.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// A ready task must not stand still for 3 s while there is capacity for it; the rest is for the start itself.
constexpr Duration maxWait = seconds(2);
/// In microseconds: keeps the product with a large multiplier within the range of Duration.
constexpr double maxGain = 1e15;

} // namespace

PlacementWait::PlacementWait(double remoteMultiplier) : m_remoteMultiplier(remoteMultiplier) { }

Duration PlacementWait::gain(Duration runTime) const
{
    const double gain = (m_remoteMultiplier - 1) * static_cast<double>(runTime.count());
    return Duration(static_cast<Duration::rep>(std::clamp(gain, 0.0, maxGain)));
}

PlacementVerdict PlacementWait::decide(const PlacementChoice &choice) const
{
    if (!isEnabled() || choice.longRunning || choice.waited >= maxWait) {
        return PlacementVerdict::StartElsewhere;
    }
    const auto saved = gain(choice.runTime);
    // A start elsewhere still meets the objective, but may not do so at the next decision.
    if (choice.untilLatestStart >= saved && choice.untilLatestStart < saved + maxPlanInterval) {
        return PlacementVerdict::StartElsewhere;
    }
    // Without a measured rate, the job ends later by at most the gain than with perfect knowledge.
    const auto cost = choice.expectedWait.value_or(choice.waited);
    return cost < saved ? PlacementVerdict::Wait : PlacementVerdict::StartElsewhere;
}

} // namespace Trefoilhoist::Jobs
