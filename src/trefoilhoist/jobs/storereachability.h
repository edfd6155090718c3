#pragma once

#include "trefoilhoist/world/clock.h"

#include <set>

namespace Trefoilhoist::Jobs {

/// Whether the store answers at present, as its owner sees it: known from the last outcome, and suspected as soon as
/// a call has gone without an answer for longer than a slow store takes. Not thread-safe.
class StoreReachability
{
public:
    void callSent(TimePoint at);
    /// The outcome of the call that was sent at `at`; true when it changes what is known.
    bool callFinished(TimePoint at, bool ok, TimePoint now);

    /// New work can't be recorded now, so that it is refused at once.
    [[nodiscard]] bool isUnreachable(TimePoint now) const;

private:
    std::multiset<TimePoint> m_inFlight;
    bool m_reachable = true;
    TimePoint m_lastAnswer;
};

} // namespace Trefoilhoist::Jobs
