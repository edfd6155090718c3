#pragma once

#include "trefoilhoist/world/clock.h"

#include <optional>

namespace Trefoilhoist {

/// A rate of calls with a burst: calls beyond it wait their turn, and are refused when the wait is too long. Not
/// thread-safe.
class CallBudget
{
public:
    /// `perSecond` and `burst` are above 0.
    CallBudget(double perSecond, double burst);

    /// Books one call: how long it waits before it goes, or nothing when that is above `maxWait`.
    [[nodiscard]] std::optional<Duration> reserve(TimePoint now, Duration maxWait);

private:
    Duration m_interval;
    Duration m_depth;
    // When the last booked call goes, if calls went at the even rate.
    TimePoint m_booked;
    bool m_used = false;
};

} // namespace Trefoilhoist
