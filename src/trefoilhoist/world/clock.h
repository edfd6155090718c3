#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>

namespace Trefoilhoist {

using Duration = std::chrono::microseconds;
/// A point on the process's monotonic clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The monotonic clock of a process. Tests pause it and advance it explicitly. Thread-safe.
class Clock
{
public:
    /// The current monotonic time, or the paused time. Includes time that the machine was suspended: a lease must
    /// also expire during a suspension.
    [[nodiscard]] TimePoint now() const;

    /// Stops the clock at `at`; afterwards only advance() moves it.
    void pause(TimePoint at = TimePoint{});

    /// Moves a paused clock forward.
    void advance(Duration by);

private:
    mutable std::mutex m_mutex;
    std::optional<TimePoint> m_pausedAt;
};

/// Milliseconds since the Unix epoch. Not monotonic: for incarnation numbers, stored and displayed times.
[[nodiscard]] std::int64_t wallMilliseconds();

} // namespace Trefoilhoist
