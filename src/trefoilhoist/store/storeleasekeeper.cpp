#include "trefoilhoist/store/storeleasekeeper.h"

#include <algorithm>

namespace Trefoilhoist {

namespace {

// A wait is cut into pieces so that a release is noticed.
constexpr milliseconds maxWait(200);

} // namespace

StoreLeaseKeeper::StoreLeaseKeeper(
    std::shared_ptr<StoreClient> store, std::string key, std::string value, const Clock &clock, StoreLeaseTimes times)
    : m_store(std::move(store)), m_key(std::move(key)), m_value(std::move(value)), m_clock(clock), m_lease(times)
{
}

void StoreLeaseKeeper::start(const Asio::any_io_executor &executor)
{
    spawn(executor, "store lease", [self = shared_from_this()] { return self->run(); });
}

bool StoreLeaseKeeper::heldSurely() const
{
    return sureEpoch() != 0;
}

std::uint64_t StoreLeaseKeeper::sureEpoch() const
{
    std::lock_guard lock(m_mutex);
    // The clock is read under the lock: a pause before it is seen, one after it is the caller's.
    return !m_released && m_lease.heldSurely(m_clock.now()) ? m_lease.epoch() : 0;
}

TimePoint StoreLeaseKeeper::sureUntil() const
{
    std::lock_guard lock(m_mutex);
    return m_lease.sureUntil();
}

awaitable<void> StoreLeaseKeeper::release()
{
    std::string session;
    {
        std::lock_guard lock(m_mutex);
        m_released = true;
        session = m_lease.session();
    }
    if (!session.empty()) {
        co_await m_store->destroySession(session);
    }
}

awaitable<void> StoreLeaseKeeper::run()
{
    while (!m_released) {
        LeaseAction action;
        {
            std::lock_guard lock(m_mutex);
            action = m_lease.next(m_clock.now());
        }
        co_await perform(std::move(action));
    }
}

awaitable<void> StoreLeaseKeeper::perform(LeaseAction action)
{
    const auto sentAt = m_clock.now();
    if (const auto *wait = std::get_if<LeaseWait>(&action)) {
        co_await sleepFor(std::clamp<Duration>(wait->until - sentAt, milliseconds(1), maxWait));
    } else if (const auto *create = std::get_if<LeaseCreateSession>(&action)) {
        const auto result = co_await m_store->createSession(create->ttl);
        std::lock_guard lock(m_mutex);
        m_lease.sessionCreated(result, sentAt, m_clock.now());
    } else if (const auto *acquire = std::get_if<LeaseAcquire>(&action)) {
        const auto result = co_await m_store->acquire(m_key, m_value, acquire->session);
        std::lock_guard lock(m_mutex);
        m_lease.acquired(result, m_clock.now());
    } else if (const auto *renew = std::get_if<LeaseRenew>(&action)) {
        const auto result = co_await m_store->renewSession(renew->session);
        std::lock_guard lock(m_mutex);
        m_lease.renewed(result, sentAt, m_clock.now());
    } else {
        const auto result = co_await m_store->get(m_key);
        std::lock_guard lock(m_mutex);
        m_lease.keyRead(result, m_clock.now());
    }
}

} // namespace Trefoilhoist
