#pragma once

#include "trefoilhoist/world/clock.h"

namespace Trefoilhoist::Detail {

/// Limits retries and hedges to a share of first attempts; otherwise failures would multiply the load.
class RetryBudget
{
public:
    explicit RetryBudget(double share);

    /// Adds the share of one first attempt to the budget.
    void addFirstAttempt();
    /// Takes one retry; false when none is left.
    [[nodiscard]] bool take(TimePoint now);

private:
    double m_share;
    double m_tokens;
    TimePoint m_lastTake{};
};

} // namespace Trefoilhoist::Detail
