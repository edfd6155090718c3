#pragma once

#include "trefoilhoist/world/clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Trefoilhoist::Jobs {

/// Measures how often runs end on each rack, and so how long a task waits for a place there. Recent ends count most.
///
/// Time in which a rack had room is left out, because without work nothing ends. Callers pass the current time. Not
/// thread-safe.
class RackVacancies
{
public:
    /// To be called when a run starts on the rack.
    void observeStart(const std::string &rack, TimePoint now);
    /// To be called when a run on the rack ends.
    void observeEnd(const std::string &rack, TimePoint now);
    /// Expected time until a task with `ahead` others before it gets a place on the rack: a mean time between ends for
    /// each of them and itself. Grows when ends stop coming. Nothing if no time between ends was measured.
    [[nodiscard]] std::optional<Duration> expectedWait(const std::string &rack, std::size_t ahead, TimePoint now) const;

private:
    /// Ends and observed time, both decayed.
    struct Rate {
        double ends = 0;
        /// In microseconds.
        double observed = 0;
        TimePoint lastEvent;

        void advance(TimePoint now);
    };

    std::map<std::string, Rate> m_rates;
};

} // namespace Trefoilhoist::Jobs
