#include "trefoilhoist/jobs/storereach.h"

namespace Trefoilhoist::Jobs {

namespace {

/// A store that is slow, but answers, takes less.
constexpr Duration suspectAfter = milliseconds(600);
/// After a failure, the next call is let through to see whether the store answers again.
constexpr Duration probeAfter = milliseconds(400);

} // namespace

void StoreReach::sent(TimePoint at)
{
    m_waiting.insert(at);
}

bool StoreReach::answered(TimePoint at, bool ok, TimePoint now)
{
    const auto it = m_waiting.find(at);
    if (it != m_waiting.end()) {
        m_waiting.erase(it);
    }
    const bool changed = ok != m_reached;
    m_reached = ok;
    m_lastAnswer = now;
    return changed;
}

bool StoreReach::outOfReach(TimePoint now) const
{
    return (!m_reached && now - m_lastAnswer < probeAfter)
        || (!m_waiting.empty() && now - *m_waiting.begin() > suspectAfter);
}

} // namespace Trefoilhoist::Jobs
