#include "trefoilhoist/world/clock.h"

#include "trefoilhoist/internal/invariant.h"

#include <ctime>

namespace Trefoilhoist {

TimePoint Clock::now() const
{
    std::lock_guard lock(m_mutex);
    if (m_pausedAt) {
        return *m_pausedAt;
    }
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(duration_cast<Duration>(seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
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
