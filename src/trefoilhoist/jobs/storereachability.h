#pragma once

#include "trefoilhoist/world/clock.h"

#include <set>

namespace Trefoilhoist::Jobs {

/// Tracks whether the store is reachable for the owner. The store counts as unreachable after a failed call, or as soon
/// as a call has been in flight for longer than 600 ms, which is more than a slow store takes to answer. Not
/// thread-safe.
class StoreReachability
{
public:
    /// Tracks a call that is sent at `sentAt`.
    void addCall(TimePoint sentAt);
    /// Applies the outcome of the call that was sent at `sentAt`. Returns true if the last known state changes.
    bool finishCall(TimePoint sentAt, bool ok, TimePoint now);

    /// True if new work can't be recorded now and must be refused at once.
    [[nodiscard]] bool isUnreachable(TimePoint now) const;

private:
    std::multiset<TimePoint> m_inFlight;
    bool m_reachable = true;
    TimePoint m_lastAnswer;
};

} // namespace Trefoilhoist::Jobs
