#pragma once

#include "trefoilhoist/world/clock.h"

#include <set>

namespace Trefoilhoist::Jobs {

/// Whether the store answers at present, as its owner sees it: known from the last outcome, and suspected as soon as
/// a call has gone without an answer for longer than a slow store takes. Not thread-safe.
class StoreReach
{
public:
    void sent(TimePoint at);
    /// The outcome of the call that was sent at `at`; true when it changes what is known.
    bool answered(TimePoint at, bool ok, TimePoint now);

    /// New work can't be recorded now, so that it is refused at once.
    [[nodiscard]] bool outOfReach(TimePoint now) const;

private:
    std::multiset<TimePoint> m_waiting;
    bool m_reached = true;
    TimePoint m_lastAnswer;
};

} // namespace Trefoilhoist::Jobs
