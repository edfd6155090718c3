#pragma once

#include "trefoilhoist/world/clock.h"

namespace Trefoilhoist::Detail {

/// Allows retries and hedges as a share of first attempts, so that failures can't multiply the load.
class RetryBudget
{
public:
    explicit RetryBudget(double share);

    void addFirstAttempt();
    /// Takes one retry; false when none is left.
    [[nodiscard]] bool take(TimePoint now);

private:
    double m_share;
    double m_tokens;
    TimePoint m_lastTake{};
};

} // namespace Trefoilhoist::Detail
