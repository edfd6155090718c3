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

/// The clock of the runtime. Tests pause it and advance it by hand. Thread-safe.
class Clock
{
public:
    /// The monotonic time, or the paused time. Counts the time that the machine was suspended, so that a lease
    /// does not outlive it.
    [[nodiscard]] TimePoint now() const;

    /// Stops the clock at `at`; from here only advance() moves it.
    void pause(TimePoint at = TimePoint{});

    /// Moves a paused clock forward.
    void advance(Duration by);

private:
    mutable std::mutex m_mutex;
    std::optional<TimePoint> m_pausedAt;
};

/// Milliseconds since the Unix epoch, for incarnations and for times shown to people.
[[nodiscard]] std::int64_t wallMilliseconds();

} // namespace Trefoilhoist
