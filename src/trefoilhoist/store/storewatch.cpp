#include "trefoilhoist/store/storewatch.h"

namespace Trefoilhoist {

StoreWatch::StoreWatch(StoreWatchTimes times, std::uint64_t seed)
    : m_times(times), m_backoff(times.firstBackoff, times.maxBackoff, seed)
{
}

WatchCall StoreWatch::next() const
{
    return {m_notBefore, m_index, m_times.wait};
}

void StoreWatch::answered(const StoreResult<StoreListing> &result, TimePoint sentAt, TimePoint now)
{
    if (!result) {
        m_notBefore = now + m_backoff.next();
        return;
    }
    if (result->index > m_index) {
        m_index = result->index;
        m_backoff.reset();
        m_notBefore = now + m_times.gap;
        return;
    }
    if (result->index < m_index) {
        m_index = 0;
        m_notBefore = now + m_backoff.next();
        return;
    }
    // The same index again is right after the whole wait, and a repeated event before it.
    const bool waitedOut = now - sentAt >= m_times.wait / 2;
    m_notBefore = waitedOut ? now : now + m_backoff.next();
}

} // namespace Trefoilhoist
