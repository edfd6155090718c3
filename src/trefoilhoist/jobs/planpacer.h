#pragma once

#include "trefoilhoist/world/clock.h"

namespace Trefoilhoist::Jobs {

/// Longest time between two plans while the owner keeps up: the longest gap that PlanPacer leaves, and one tick.
inline constexpr Duration maxPlanInterval = milliseconds(150);

/// Decides how long a requested plan waits, so that planning takes only a part of the owner's time and one plan answers
/// the changes of several reports. Reports, lease renewals and callers' queries are handled between two plans.
///
/// Uses no clock of its own. Not thread-safe.
class PlanPacer
{
public:
    /// Time from `now` until the next plan may start; 0 if it may start at once.
    [[nodiscard]] Duration delay(TimePoint now) const;
    /// To be called after each plan.
    void finishPlan(TimePoint startedAt, TimePoint endedAt);

private:
    TimePoint m_nextPlanAt;
};

} // namespace Trefoilhoist::Jobs
