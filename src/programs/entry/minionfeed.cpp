#include "minionfeed.h"

#include <algorithm>

namespace Trefoilhoist {

namespace {

constexpr Duration tickInterval = milliseconds(20);
/// Also checked on each request, so that a process resumed after a freeze expires minions before it sends anything.
constexpr Duration expireInterval = milliseconds(100);
/// Tolerates two lost digests (sent every second). Together with the push and tick intervals this stays below 3 s, the
/// bound after which a leaving minion must get no new requests.
constexpr Duration unconfirmedLimit = milliseconds(2500);

} // namespace

MinionFeed::MinionFeed(const Clock &clock, MembershipTable &membership, Router &router, RequestExecutor &requests)
    : m_clock(clock), m_membership(membership), m_router(router), m_requests(requests)
{
}

void MinionFeed::refresh()
{
    const auto now = m_clock.now();
    const bool expiryDue = now - m_lastExpire.load() >= expireInterval;
    if (expiryDue) {
        m_lastExpire = now;
        m_membership.expire(now);
    }
    std::vector<RouteAction> actions;
    {
        std::lock_guard lock(m_mutex);
        const auto generation = m_membership.generation();
        auto unconfirmed = expiryDue ? m_membership.unconfirmed(unconfirmedLimit, now) : m_unconfirmed;
        if (generation == m_generation && unconfirmed == m_unconfirmed) {
            return;
        }
        m_generation = generation;
        m_unconfirmed = std::move(unconfirmed);
        actions = m_router.setMinions(confirmedMinions(), now);
    }
    m_requests.perform(std::move(actions));
}

std::vector<Minion> MinionFeed::confirmedMinions() const
{
    auto minions = m_membership.available();
    std::erase_if(minions, [this](const Minion &minion) {
        return std::binary_search(m_unconfirmed.begin(), m_unconfirmed.end(), minion.id);
    });
    return minions;
}

awaitable<void> MinionFeed::loop()
{
    while (true) {
        refresh();
        m_requests.perform(m_router.tick(m_clock.now()));
        co_await sleepFor(tickInterval);
    }
}

} // namespace Trefoilhoist
