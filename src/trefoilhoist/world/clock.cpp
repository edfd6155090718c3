#include "trefoilhoist/world/clock.h"

#include "trefoilhoist/internal/invariant.h"

namespace Trefoilhoist {

TimePoint Clock::now() const
{
    std::lock_guard lock(m_mutex);
    if (m_pausedAt) {
        return *m_pausedAt;
    }
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

void Clock::pause(TimePoint at)
{
    std::lock_guard lock(m_mutex);
    m_pausedAt = at;
}

void Clock::advance(Duration by)
{
    std::lock_guard lock(m_mutex);
    TREFOILHOIST_INVARIANT(m_pausedAt.has_value(), "only a paused clock is advanced");
    *m_pausedAt += by;
}

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace Trefoilhoist
