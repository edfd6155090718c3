#pragma once

#include "requestexecutor.h"

#include "trefoilhoist/membership/membershiptable.h"
#include "trefoilhoist/routing/router.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <vector>

namespace Trefoilhoist {

/// Copies the available minions from the membership table to the router, and drives the router's timers. Minions that
/// their owner has not confirmed recently get no requests: they may be leaving while this entry is partitioned from the
/// owner. Thread-safe.
class MinionFeed
{
public:
    MinionFeed(const Clock &clock, MembershipTable &membership, Router &router, RequestExecutor &requests);

    /// Updates the router if the available minions have changed. Expires silent minions at most once per interval.
    void refresh();

    /// Calls refresh() and the router's tick() periodically; never returns.
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
