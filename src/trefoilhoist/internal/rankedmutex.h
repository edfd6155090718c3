#pragma once

#include <mutex>

namespace Trefoilhoist::Detail {

/// The lock order: a thread may lock a mutex only when its rank is above that of every mutex the thread holds.
enum class LockRank { Config = 10, Membership = 20, Slots = 30, Claims = 40, Placement = 50, Metrics = 90 };

/// A mutex that checks the lock order when built with TREFOILHOIST_CHECK_LOCKS. Works with std::lock_guard.
class RankedMutex
{
public:
    explicit RankedMutex(LockRank rank);

    void lock();
    void unlock();

private:
    std::mutex m_mutex;
    LockRank m_rank;
};

} // namespace Trefoilhoist::Detail
