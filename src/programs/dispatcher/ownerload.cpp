// Loads the records of earlier owners and announces the new owner.
#include "ownersession.h"

#include "trefoilhoist/jobs/ownerrecord.h"
#include "trefoilhoist/jobs/recordkeys.h"
#include "trefoilhoist/log/eventlog.h"
#include "trefoilhoist/wire/message.h"

namespace Trefoilhoist::Dispatcher {

namespace {

constexpr Duration announceInterval = milliseconds(700);
/// Dispatchers are rarely added or removed, so that their records are read only now and then.
constexpr Duration peersReadInterval = seconds(5);

} // namespace

awaitable<bool> OwnerSession::load()
{
    const bool jobs = co_await loadJobs();
    if (!jobs) {
        co_return false;
    }
    const bool roster = co_await loadRoster();
    co_return roster;
}

awaitable<bool> OwnerSession::loadJobs()
{
    LoadedJobs loaded;
    bool more = true;
    while (more && !m_closed) {
        const auto page = co_await m_context.store.list(Jobs::jobPrefix, loaded.lastKey);
        if (!page) {
            Event("load_failed").add("epoch", m_term.epoch).add("reason", page.error().reason);
            co_return false;
        }
        applyPage(*page, loaded);
        more = page->more && !page->records.empty();
    }
    restoreJobs(loaded);
    co_return true;
}

void OwnerSession::applyPage(const RecordPage &page, LoadedJobs &loaded)
{
    for (const auto &it : page.records) {
        loaded.lastKey = it.key;
        const auto key = Jobs::parseJobRecordKey(it.key);
        const auto spec = key.isSpec ? Jobs::readSpec(it, key.job) : std::nullopt;
        const auto state = key.isSpec ? std::nullopt : Jobs::readProgress(it);
        if (!spec && !state) {
            Event("record_unreadable").add("key", it.key).add("bytes", it.value.size());
            continue;
        }
        m_records.trackExisting(it.key, it.revision);
        if (spec) {
            loaded.specs.emplace(key.job, *spec);
        } else {
            loaded.progress.emplace(key.job, *state);
        }
    }
}

void OwnerSession::restoreJobs(LoadedJobs &loaded)
{
    const auto now = m_context.clock.now();
    const auto wallMs = wallMilliseconds();
    for (auto &[id, spec] : loaded.specs) {
        const auto it = loaded.progress.find(id);
        if (it == loaded.progress.end()) {
            m_scheduler.restoreJob(std::move(spec), std::nullopt, now, wallMs);
            continue;
        }
        if (isFinal(static_cast<Jobs::JobPhase>(it->second.phase))) {
            m_records.trackExistingFinalJob(id);
        }
        m_scheduler.restoreJob(std::move(spec), it->second, now, wallMs);
        loaded.progress.erase(it);
    }
    for (const auto &[id, state] : loaded.progress) {
        // Only the progress record of a final job is kept.
        Wire::JobSpec spec;
        spec.id = id;
        m_scheduler.restoreJob(std::move(spec), state, now, wallMs);
    }
}

awaitable<bool> OwnerSession::loadRoster()
{
    const auto record = co_await m_context.store.read(Jobs::rosterKey);
    if (!record) {
        Event("load_failed").add("epoch", m_term.epoch).add("reason", record.error().reason);
        co_return false;
    }
    if (*record) {
        m_records.trackExisting(Jobs::rosterKey, (*record)->revision);
        const auto roster = Wire::decode<Wire::WorkerRoster>((*record)->value);
        if (!roster) {
            Event("record_unreadable").add("key", Jobs::rosterKey).add("bytes", (*record)->value.size());
            m_scheduler.restoreUnknownRoster(m_context.clock.now());
            co_return true;
        }
        m_scheduler.restoreRoster(*roster, m_context.clock.now());
        notifyAgents(*roster);
    }
    co_return true;
}

// Notifies every agent in the earlier owner's roster where it must report now.
void OwnerSession::notifyAgents(const Wire::WorkerRoster &roster)
{
    for (const auto &it : roster.workers) {
        Wire::WorkerOrders greeting;
        greeting.epoch = m_term.epoch;
        greeting.ownerHost = m_context.self.host;
        greeting.ownerPort = m_context.self.port;
        const auto agent = Jobs::endpointOf(it.agentHost, it.agentPort);
        if (!agent) {
            Event("record_unreadable").add("key", Jobs::rosterKey).add("reason", "port of " + it.agentHost);
            continue;
        }
        spawnOn(m_context.executor, "greeting", [self = shared_from_this(), greeting, agent = *agent] {
            return self->send(greeting, agent);
        });
    }
}

// Announces this owner to the other dispatchers, because some of them may not reach the store.
awaitable<void> OwnerSession::announceLoop()
{
    const auto self = shared_from_this();
    Wire::OwnerRecord record;
    record.epoch = m_term.epoch;
    record.name = m_context.name;
    record.host = m_context.self.host;
    record.port = m_context.self.port;
    const auto announcement = Wire::encode(record);
    TimePoint readAt;
    std::vector<Endpoint> peers;
    while (!m_closed) {
        if (m_context.clock.now() - readAt > peersReadInterval) {
            const auto page = co_await m_context.store.list(Jobs::peerPrefix, "");
            if (page) {
                readAt = m_context.clock.now();
                peers = peersOf(*page);
            }
        }
        for (const auto &peer : peers) {
            spawnOn(m_context.executor, "announcement", [self, peer, announcement]() -> awaitable<void> {
                // A peer that does not answer receives the next announcement.
                co_await self->m_peers.at(peer).call(Wire::MessageKind::HelloKind, announcement, announceInterval);
            });
        }
        co_await sleepFor(announceInterval);
    }
}

std::vector<Endpoint> OwnerSession::peersOf(const RecordPage &page) const
{
    std::vector<Endpoint> peers;
    for (const auto &it : page.records) {
        const auto peer = Jobs::readOwnerRecord(it);
        const auto endpoint = peer ? Jobs::endpointOf(peer->host, peer->port) : std::nullopt;
        if (peer && !endpoint) {
            Event("record_unreadable").add("key", it.key).add("reason", "its port is out of range");
        } else if (endpoint && peer->name != m_context.name) {
            peers.push_back(*endpoint);
        }
    }
    return peers;
}

} // namespace Trefoilhoist::Dispatcher
