#include "minionfeed.h"

namespace Trefoilhoist {

namespace {

constexpr Duration tickInterval = milliseconds(20);
/// A process that was frozen looks at its minions before it sends anything.
constexpr Duration expireInterval = milliseconds(100);

} // namespace

MinionFeed::MinionFeed(const Clock &clock, MembershipTable &membership, Router &router, RequestExecutor &requests)
    : m_clock(clock), m_membership(membership), m_router(router), m_requests(requests)
{
}

void MinionFeed::refresh()
{
    const auto now = m_clock.now();
    if (now - m_lastExpire.load() >= expireInterval) {
        m_lastExpire = now;
        m_membership.expire(now);
    }
    std::vector<RouteAction> actions;
    {
        std::lock_guard lock(m_mutex);
        const auto generation = m_membership.generation();
        if (generation == m_generation) {
            return;
        }
        m_generation = generation;
        actions = m_router.setMinions(m_membership.available(), now);
    }
    m_requests.perform(std::move(actions));
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
