#include "trefoilhoist/jobs/intakecontrol.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// Callers wait for seconds, and a submission is handled several times on its way: on arrival, when it is recorded, and
/// when its first tasks are planned.
constexpr Duration maxLag = milliseconds(500);
/// A backlog drains while others still add to it.
constexpr int retryLagMultiple = 2;
constexpr Duration minRetryAfter = seconds(1);

} // namespace

IntakeControl::IntakeControl(Duration tickInterval) : m_tickInterval(tickInterval) { }

void IntakeControl::tick(TimePoint now)
{
    if (m_lastTick) {
        m_lag = std::max(m_lag / 2, now - *m_lastTick - m_tickInterval);
    }
    m_lastTick = now;
}

Duration IntakeControl::lag(TimePoint now) const
{
    const Duration sinceDue = m_lastTick ? now - *m_lastTick - m_tickInterval : Duration{};
    return std::max({Duration{}, m_lag, sinceDue});
}

std::optional<Duration> IntakeControl::retryAfter(TimePoint now) const
{
    const auto current = lag(now);
    if (current <= maxLag) {
        return std::nullopt;
    }
    return std::max<Duration>(minRetryAfter, retryLagMultiple * current);
}

} // namespace Trefoilhoist::Jobs
