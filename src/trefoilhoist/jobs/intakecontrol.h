#pragma once

#include "trefoilhoist/world/clock.h"

#include <optional>

namespace Trefoilhoist::Jobs {

/// Decides whether the owner takes new submissions. When its process falls behind, a submission would wait longer than
/// its caller does, so it is refused at once; what is running, queries and cancellations go on.
///
/// Measures how late a periodic tick runs, which is how long anything that arrives waits to be handled. Callers pass
/// the current time. Not thread-safe.
class IntakeControl
{
public:
    explicit IntakeControl(Duration tickInterval);

    /// To be called at each tick.
    void tick(TimePoint now);
    /// Nothing if a submission is taken. Otherwise, after which time its caller can expect the backlog to be gone.
    [[nodiscard]] std::optional<Duration> retryAfter(TimePoint now) const;
    /// By how much the last ticks were late, or the next one is.
    [[nodiscard]] Duration lag(TimePoint now) const;

private:
    Duration m_tickInterval;
    std::optional<TimePoint> m_lastTick;
    /// Rises at once with a late tick and falls by half with each tick in time.
    Duration m_lag{};
};

} // namespace Trefoilhoist::Jobs
