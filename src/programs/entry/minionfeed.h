#pragma once

#include "requestexecutor.h"

#include "trefoilhoist/membership/membershiptable.h"
#include "trefoilhoist/routing/router.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <vector>

namespace Trefoilhoist {

/// Keeps the router's minions equal to the membership table's, and drives the router's timers. A minion that its
/// owner has not confirmed for a while gets nothing: it may be leaving, and this entry cut from the news. Thread-safe.
class MinionFeed
{
public:
    MinionFeed(const Clock &clock, MembershipTable &membership, Router &router, RequestExecutor &requests);

    /// Expires silent minions and updates the router, at most once per interval unless the table changed.
    void refresh();

    /// Calls refresh() for ever.
    awaitable<void> loop();

private:
    [[nodiscard]] std::vector<Minion> confirmedMinions() const;

    const Clock &m_clock;
    MembershipTable &m_membership;
    Router &m_router;
    RequestExecutor &m_requests;
    std::mutex m_mutex;
    std::uint64_t m_generation = 0;
    std::vector<MinionId> m_unconfirmed;
    std::atomic<TimePoint> m_lastExpire{};
};

} // namespace Trefoilhoist
