// Reads and watches the operators' queue configuration.
#include "dispatcher.h"

#include "trefoilhoist/log/eventlog.h"

#include <algorithm>

namespace Trefoilhoist::Dispatcher {

namespace {

constexpr Duration configurationRetryDelay = milliseconds(150);

} // namespace

void DispatcherServer::applyConfiguration(const std::string &value, std::int64_t revision)
{
    auto queues = m_adapters.configuration->queues(value);
    if (!queues) {
        Event("configuration_unreadable").add("revision", revision).add("reason", queues.error());
        return;
    }
    if (queues->version <= m_queues.version) {
        return;
    }
    Event("configuration_taken")
        .add("version", queues->version)
        .add("revision", revision)
        .add("queues", queues->routes.size());
    m_queues = std::move(*queues);
    if (m_session) {
        m_session->setQueues(m_queues);
    }
}

awaitable<bool> DispatcherServer::readConfiguration(std::int64_t &revision)
{
    const auto page = co_await m_adapters.store->list(m_adapters.configuration->key(), "");
    if (!page) {
        Event("configuration_unread").add("reason", page.error().reason).add("version", m_queues.version);
        co_return false;
    }
    for (const auto &it : page->records) {
        if (it.key == m_adapters.configuration->key()) {
            applyConfiguration(it.value, it.revision);
        }
    }
    revision = page->revision;
    co_return true;
}

awaitable<void> DispatcherServer::watchConfiguration()
{
    std::int64_t revision = 0;
    bool known = false;
    while (true) {
        if (!known) {
            known = co_await readConfiguration(revision);
            if (!known) {
                co_await sleepFor(configurationRetryDelay);
            }
            continue;
        }
        const auto changes = co_await m_adapters.store->watch(m_adapters.configuration->key(), revision, watchWait);
        known = changes.has_value() && !changes->historyLost;
        if (!known) {
            if (!changes) {
                co_await sleepFor(configurationRetryDelay);
            }
            continue;
        }
        for (const auto &it : changes->changes) {
            if (!it.removed && it.record.key == m_adapters.configuration->key()) {
                applyConfiguration(it.record.value, it.record.revision);
            }
        }
        revision = std::max(revision, changes->revision);
    }
}

} // namespace Trefoilhoist::Dispatcher
