#pragma once

#include "trefoilhoist/store/backoff.h"
#include "trefoilhoist/store/storeclient.h"
#include "trefoilhoist/world/clock.h"

#include <cstdint>

namespace Trefoilhoist {

/// Times of a watch.
struct StoreWatchTimes {
    /// How long the store waits for a change. A half-open connection is noticed this long plus a timeout later.
    Duration wait = seconds(5);
    /// Between two watches that both brought news: bounds the calls of a busy watch.
    Duration gap = milliseconds(100);
    Duration firstBackoff = milliseconds(100);
    Duration maxBackoff = seconds(3);
};

/// The next call of a watch.
struct WatchCall {
    TimePoint notBefore;
    std::uint64_t index = 0;
    Duration wait{};
};

/// Decides when and from which index a watch goes on. After a failure it resumes from the last index, so that no
/// change in between is missed; an index that went back (a stale answer, or another store state) starts it anew
/// from 0. Not thread-safe.
class StoreWatch
{
public:
    StoreWatch(StoreWatchTimes times, std::uint64_t seed);

    [[nodiscard]] WatchCall next() const;
    void answered(const StoreResult<StoreListing> &result, TimePoint sentAt, TimePoint now);

private:
    StoreWatchTimes m_times;
    Backoff m_backoff;
    std::uint64_t m_index = 0;
    TimePoint m_notBefore;
};

} // namespace Trefoilhoist
