#include "trefoilhoist/jobs/storereachability.h"

namespace Trefoilhoist::Jobs {

namespace {

/// A slow store that still answers takes less than this.
constexpr Duration suspectTimeout = milliseconds(600);
/// This long after a failure, a call is admitted again to probe whether the store answers.
constexpr Duration probeInterval = milliseconds(400);

} // namespace

void StoreReachability::addCall(TimePoint sentAt)
{
    m_inFlight.insert(sentAt);
}

bool StoreReachability::finishCall(TimePoint sentAt, bool ok, TimePoint now)
{
    const auto it = m_inFlight.find(sentAt);
    if (it != m_inFlight.end()) {
        m_inFlight.erase(it);
    }
    const bool changed = ok != m_reachable;
    m_reachable = ok;
    m_lastAnswer = now;
    return changed;
}

bool StoreReachability::isUnreachable(TimePoint now) const
{
    return (!m_reachable && now - m_lastAnswer < probeInterval)
        || (!m_inFlight.empty() && now - *m_inFlight.begin() > suspectTimeout);
}

} // namespace Trefoilhoist::Jobs
