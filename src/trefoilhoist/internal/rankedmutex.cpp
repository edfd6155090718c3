#include "trefoilhoist/internal/rankedmutex.h"

#include "trefoilhoist/internal/invariant.h"

#include <algorithm>
#include <vector>

namespace Trefoilhoist::Detail {

namespace {

std::vector<LockRank> &heldRanks()
{
    thread_local std::vector<LockRank> held;
    return held;
}

} // namespace

RankedMutex::RankedMutex(LockRank rank) : m_rank(rank) { }

void RankedMutex::lock()
{
#ifdef TREFOILHOIST_CHECK_LOCKS
    auto &held = heldRanks();
    TREFOILHOIST_INVARIANT(held.empty() || held.back() < m_rank, "lock order");
    held.push_back(m_rank);
#endif
    m_mutex.lock();
}

void RankedMutex::unlock()
{
    m_mutex.unlock();
#ifdef TREFOILHOIST_CHECK_LOCKS
    auto &held = heldRanks();
    auto it = std::find(held.rbegin(), held.rend(), m_rank);
    TREFOILHOIST_INVARIANT(it != held.rend(), "lock order");
    held.erase(std::next(it).base());
#endif
}

} // namespace Trefoilhoist::Detail
