// Reads and watches what operators record in the store.
#include "dispatcher.h"

#include "trefoilhoist/log/eventlog.h"

#include <algorithm>

namespace Trefoilhoist::Dispatcher {

namespace {

constexpr Duration readRetryDelay = milliseconds(150);

} // namespace

void DispatcherServer::useOperatorRecords()
{
    m_metrics.gauge("trefoilhoist_configuration_version").set(static_cast<double>(m_operators.queues().version()));
    m_metrics.gauge("trefoilhoist_drained_zones").set(static_cast<double>(m_operators.drainedZones().size()));
    if (m_session) {
        m_session->useOperatorRecords(m_operators);
    }
}

awaitable<bool> DispatcherServer::readOperatorRecords(std::int64_t &revision)
{
    const auto prefix = m_adapters.configuration->prefix();
    std::vector<StoredRecord> records;
    std::string last;
    bool more = true;
    // Changes since the first page are told by the watch.
    std::int64_t firstRevision = 0;
    while (more) {
        auto page = co_await m_adapters.store->list(prefix, last);
        if (!page) {
            Event("configuration_unread")
                .add("reason", page.error().reason)
                .add("version", m_operators.queues().version());
            co_return false;
        }
        firstRevision = last.empty() ? page->revision : firstRevision;
        more = page->more && !page->records.empty();
        if (more) {
            last = page->records.back().key;
        }
        std::move(page->records.begin(), page->records.end(), std::back_inserter(records));
    }
    m_operators.replaceAll(records);
    useOperatorRecords();
    revision = firstRevision;
    co_return true;
}

awaitable<void> DispatcherServer::watchOperatorRecords()
{
    std::int64_t revision = 0;
    bool known = false;
    while (true) {
        if (!known) {
            known = co_await readOperatorRecords(revision);
            if (!known) {
                co_await sleepFor(readRetryDelay);
            }
            continue;
        }
        const auto changes = co_await m_adapters.store->watch(m_adapters.configuration->prefix(), revision, watchWait);
        known = changes.has_value() && !changes->historyLost;
        if (!known) {
            if (!changes) {
                co_await sleepFor(readRetryDelay);
            }
            continue;
        }
        if (!changes->changes.empty()) {
            m_operators.applyChanges(changes->changes);
            useOperatorRecords();
        }
        revision = std::max(revision, changes->revision);
    }
}

} // namespace Trefoilhoist::Dispatcher
