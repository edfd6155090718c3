#include "ownersession.h"

#include "trefoilhoist/jobs/recordkeys.h"
#include "trefoilhoist/log/eventlog.h"
#include "trefoilhoist/store/backoff.h"
#include "trefoilhoist/wire/message.h"

#include <boost/asio/post.hpp>

namespace Trefoilhoist::Dispatcher {

namespace {

using Jobs::JobOutcome;
using Jobs::JobPhase;

/// Commits on their way at one time.
constexpr int recordLoops = 3;
constexpr Duration tick = milliseconds(50);
constexpr Duration announceEvery = milliseconds(700);
/// Dispatchers come and go rarely.
constexpr Duration peersReadEvery = seconds(5);
constexpr Duration orderTimeout = milliseconds(1500);
/// Without the store's word for this long, an unknown job may be another owner's.
constexpr Duration authorityAge = milliseconds(2500);
constexpr std::int64_t storeRetryAfterMs = 1000;
/// Outages last for seconds: callers have few tries.
constexpr std::int64_t outageRetryAfterMs = 2000;
constexpr const char *workToDo = "work";

Wire::JobAnswer answerOf(JobOutcome outcome, std::int64_t retryAfterMs = storeRetryAfterMs)
{
    Wire::JobAnswer answer;
    answer.outcome = static_cast<int>(outcome);
    answer.retryAfterMs = retryAfterMs;
    return answer;
}

int taskCount(const Wire::JobSpec &spec)
{
    int count = 0;
    for (const auto &it : spec.steps) {
        count += it.count;
    }
    return count;
}

// Estimated, of one occurrence.
double coreSeconds(const Wire::JobSpec &spec)
{
    constexpr double milliPerUnit = 1e6;
    double sum = 0;
    for (const auto &it : spec.steps) {
        sum += static_cast<double>(it.count) * it.cpuMilli * static_cast<double>(it.estimatedMs) / milliPerUnit;
    }
    return sum;
}

} // namespace

OwnerSession::OwnerSession(SessionContext context, Jobs::OwnerTerm term, Jobs::QueueTable queues)
    : m_context(std::move(context))
    , m_term(term)
    , m_scheduler(m_context.scheduler, term.epoch)
    , m_records(term.epochRevision)
{
    m_scheduler.setQueues(std::move(queues));
}

void OwnerSession::start()
{
    spawnOn(m_context.executor, "owner session", [self = shared_from_this()]() -> awaitable<void> {
        Backoff backoff(milliseconds(50), milliseconds(500), static_cast<std::uint64_t>(self->m_context.incarnation));
        while (!self->m_closed && !co_await self->load()) {
            co_await sleepFor(backoff.next());
        }
        if (self->m_closed) {
            co_return;
        }
        self->m_ready = true;
        Event("term_ready").add("epoch", self->m_term.epoch).add("activeJobs", self->m_scheduler.activeJobs());
        for (int i = 0; i < recordLoops; ++i) {
            spawnOn(self->m_context.executor, "record loop", [self] { return self->recordLoop(); });
        }
        spawnOn(self->m_context.executor, "tick loop", [self] { return self->tickLoop(); });
        spawnOn(self->m_context.executor, "announcements", [self] { return self->announceLoop(); });
    });
}

void OwnerSession::close()
{
    m_closed = true;
    m_ready = false;
    m_waiters.notifyAll();
    m_work.notifyAll();
}

void OwnerSession::setQueues(Jobs::QueueTable queues)
{
    m_scheduler.setQueues(std::move(queues));
}

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
        takePage(*page, loaded);
        more = page->more && !page->records.empty();
    }
    restoreJobs(loaded);
    co_return true;
}

void OwnerSession::takePage(const RecordPage &page, LoadedJobs &loaded)
{
    for (const auto &it : page.records) {
        loaded.lastKey = it.key;
        const auto key = Jobs::jobRecordFrom(it.key);
        const auto spec = key.isSpec ? Wire::decode<Wire::JobSpec>(it.value) : std::nullopt;
        const auto state = key.isSpec ? std::nullopt : Wire::decode<Wire::JobProgress>(it.value);
        if (!spec && !state) {
            Event("record_unreadable").add("key", it.key).add("bytes", it.value.size());
            continue;
        }
        m_records.know(it.key, it.revision);
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
    for (auto &[id, spec] : loaded.specs) {
        const auto it = loaded.progress.find(id);
        if (it == loaded.progress.end()) {
            m_scheduler.restoreJob(std::move(spec), std::nullopt, now);
            continue;
        }
        if (isFinal(static_cast<JobPhase>(it->second.phase))) {
            m_records.knowFinal(id);
        }
        m_scheduler.restoreJob(std::move(spec), it->second, now);
        loaded.progress.erase(it);
    }
    for (const auto &[id, state] : loaded.progress) {
        // A final job keeps its progress only.
        Wire::JobSpec spec;
        spec.id = id;
        m_scheduler.restoreJob(std::move(spec), state, now);
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
        m_records.know(Jobs::rosterKey, (*record)->revision);
        const auto roster = Wire::decode<Wire::WorkerRoster>((*record)->value);
        if (!roster) {
            Event("record_unreadable").add("key", Jobs::rosterKey).add("bytes", (*record)->value.size());
            co_return false;
        }
        m_scheduler.restoreRoster(*roster, m_context.clock.now());
        greetAgents(*roster);
    }
    co_return true;
}

// Tells every agent of the earlier owner where to report now.
void OwnerSession::greetAgents(const Wire::WorkerRoster &roster)
{
    for (const auto &it : roster.workers) {
        Wire::WorkerOrders greeting;
        greeting.epoch = m_term.epoch;
        greeting.ownerHost = m_context.self.host;
        greeting.ownerPort = m_context.self.port;
        const Endpoint agent{it.agentHost, static_cast<std::uint16_t>(it.agentPort)};
        spawnOn(m_context.executor, "greeting", [self = shared_from_this(), greeting, agent] {
            return self->send(greeting, agent);
        });
    }
}

// Makes this owner known to the other dispatchers, some of which may not reach the store.
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
        if (m_context.clock.now() - readAt > peersReadEvery) {
            const auto page = co_await m_context.store.list(Jobs::peerPrefix, "");
            if (page) {
                readAt = m_context.clock.now();
                peers = peersOf(*page);
            }
        }
        for (const auto &peer : peers) {
            spawnOn(m_context.executor, "announcement", [self, peer, announcement]() -> awaitable<void> {
                // A peer that does not answer is told again in a moment.
                co_await self->clientOf(peer).call(Wire::MessageKind::HelloKind, announcement, announceEvery);
            });
        }
        co_await sleepFor(announceEvery);
    }
}

std::vector<Endpoint> OwnerSession::peersOf(const RecordPage &page) const
{
    std::vector<Endpoint> peers;
    for (const auto &it : page.records) {
        const auto peer = Wire::decode<Wire::OwnerRecord>(it.value);
        if (!peer) {
            Event("record_unreadable").add("key", it.key).add("bytes", it.value.size());
        } else if (peer->name != m_context.name) {
            peers.push_back({peer->host, static_cast<std::uint16_t>(peer->port)});
        }
    }
    return peers;
}

bool OwnerSession::verified(Duration within) const
{
    return m_context.clock.now() - m_context.verifiedAt() <= within;
}

awaitable<Wire::JobAnswer> OwnerSession::submit(Wire::JobSpec spec, Duration patience)
{
    const auto self = shared_from_this();
    const auto sentAt = m_context.clock.now();
    const std::string id = spec.id;
    const auto intake = m_scheduler.submit(spec, sentAt);
    if (intake == Jobs::Intake::Known) {
        Event("job_repeated").add("job", id).add("epoch", m_term.epoch);
        co_return answerOf(JobOutcome::Ok);
    }
    if (intake == Jobs::Intake::New && m_store.outOfReach(sentAt)) {
        m_scheduler.withdraw(id);
        Event("job_refused").add("job", id).add("epoch", m_term.epoch).add("reason", "the store is out of reach");
        co_return answerOf(JobOutcome::Refused, outageRetryAfterMs);
    }
    if (intake == Jobs::Intake::New) {
        m_records.submit(spec);
        startRecording();
    }
    co_await m_waiters.wait(id, patience);
    const auto waited = m_context.clock.now() - sentAt;
    if (m_closed) {
        co_return answerOf(JobOutcome::Unsettled);
    }
    if (m_scheduler.job(id) != nullptr) {
        m_context.metrics.latency("trefoilhoist_job_record").record(waited, m_context.clock.now());
        Event("job_accepted")
            .add("job", id)
            .add("queue", spec.queue.name)
            .add("steps", spec.steps.size())
            .add("tasks", taskCount(spec))
            .add("coreSeconds", coreSeconds(spec))
            .add("image", spec.steps.front().image)
            .add("longRunning", spec.steps.front().longRunning)
            .add("usesIdleCpu", spec.steps.front().usesIdleCpu)
            .add("epoch", m_term.epoch)
            .add("recordMs", duration_cast<milliseconds>(waited).count());
        co_return answerOf(JobOutcome::Ok);
    }
    const bool notRun = m_records.withdraw(id);
    if (notRun) {
        m_scheduler.withdraw(id);
    }
    Event(notRun ? "job_refused" : "job_unsettled")
        .add("job", id)
        .add("epoch", m_term.epoch)
        .add("reason", "the store did not confirm the record")
        .add("waitedMs", duration_cast<milliseconds>(waited).count());
    co_return answerOf(notRun ? JobOutcome::Refused : JobOutcome::Unsettled);
}

awaitable<Wire::JobAnswer> OwnerSession::cancel(std::string id, Duration patience)
{
    const auto self = shared_from_this();
    const auto *job = m_scheduler.job(id);
    if (job == nullptr) {
        co_return answerOf(verified(authorityAge) ? JobOutcome::Unknown : JobOutcome::Refused);
    }
    m_scheduler.cancel(id, m_context.clock.now());
    const auto version = job->version();
    recordChanges();
    requestPlan();
    const auto until = m_context.clock.now() + patience;
    while (!m_closed && m_scheduler.recordedVersion(id) < version && m_context.clock.now() < until) {
        co_await m_waiters.wait(id, until - m_context.clock.now());
    }
    const bool recorded = !m_closed && m_scheduler.recordedVersion(id) >= version;
    Event("job_cancelled").add("job", id).add("epoch", m_term.epoch).add("recorded", recorded);
    co_return answerOf(recorded ? JobOutcome::Ok : JobOutcome::Unsettled);
}

Wire::JobAnswer OwnerSession::ask(const std::string &id) const
{
    const auto *job = m_scheduler.job(id);
    if (job == nullptr) {
        return answerOf(verified(authorityAge) ? JobOutcome::Unknown : JobOutcome::Refused);
    }
    auto answer = answerOf(JobOutcome::Ok);
    auto phase = job->phase();
    if (isFinal(phase) && m_scheduler.recordedVersion(id) < job->version()) {
        // Not said before it is kept.
        phase = JobPhase::Running;
    }
    answer.phase = static_cast<int>(phase);
    return answer;
}

Wire::JobAnswer OwnerSession::askQueue(const std::string &queue) const
{
    auto answer = answerOf(JobOutcome::Ok);
    answer.waiting = m_scheduler.waiting(queue);
    return answer;
}

Wire::WorkerReportReply OwnerSession::report(const Wire::WorkerReport &report)
{
    if (report.epoch > m_term.epoch) {
        m_context.deposed("an agent has orders of epoch " + std::to_string(report.epoch));
        return {};
    }
    auto reply = m_scheduler.report(report, verified(m_context.scheduler.grantGrace), m_context.clock.now());
    recordChanges();
    requestPlan();
    return reply;
}

// Queues the records of all that changed since the last call.
void OwnerSession::recordChanges()
{
    // What a caller or a worker waits for is recorded at once; the rest is gathered until the next tick.
    bool urgent = false;
    for (const auto &id : m_scheduler.takeChanged()) {
        const auto *job = m_scheduler.job(id);
        if (job == nullptr) {
            continue;
        }
        m_records.putProgress(*job);
        m_gathered = true;
        if (!job->active()) {
            urgent = true;
            Event("job_ended")
                .add("job", id)
                .add("phase", phaseName(job->phase()))
                .add("epoch", m_term.epoch)
                .add("afterMs", duration_cast<milliseconds>(m_context.clock.now() - job->acceptedAt()).count());
        }
    }
    if (auto roster = m_scheduler.takeRoster()) {
        m_records.putRoster(*roster);
        m_roster = std::move(*roster);
        urgent = true;
    }
    if (urgent) {
        startRecording();
    }
}

void OwnerSession::startRecording()
{
    m_gathered = false;
    m_work.notify(workToDo);
}

awaitable<void> OwnerSession::recordLoop()
{
    const auto self = shared_from_this();
    Backoff backoff(milliseconds(40), milliseconds(400), static_cast<std::uint64_t>(m_context.incarnation));
    while (!m_closed) {
        auto batch = m_records.take();
        if (!batch) {
            co_await m_work.wait(workToDo, seconds(1));
            continue;
        }
        const auto sentAt = m_context.clock.now();
        m_store.sent(sentAt);
        const auto outcome = co_await m_context.store.commit(batch->commit);
        if (m_closed) {
            co_return;
        }
        if (m_store.answered(sentAt, outcome.has_value(), m_context.clock.now())) {
            Event(outcome ? "store_regained" : "store_lost")
                .add("by", "records")
                .add("epoch", m_term.epoch)
                .add("reason", outcome ? "" : outcome.error().reason);
        }
        if (outcome) {
            backoff.reset();
            settled(m_records.finished(*batch, *outcome));
            if (m_records.lost()) {
                m_context.deposed("another epoch is recorded");
                co_return;
            }
            continue;
        }
        m_records.failed(*batch, outcome.error().failure);
        refuseUnrecorded(*batch);
        co_await sleepFor(backoff.next());
    }
}

void OwnerSession::settled(const Jobs::SettledJobs &records)
{
    const auto now = m_context.clock.now();
    if (records.roster) {
        m_scheduler.rosterRecorded(m_roster);
    }
    for (const auto &id : records.accepted) {
        m_scheduler.accept(id, now);
        m_waiters.notify(id);
    }
    for (const auto &[id, version] : records.progress) {
        m_scheduler.recorded(id, version);
        m_waiters.notify(id);
    }
    requestPlan();
}

// Wakes the submissions whose first record has surely not been written, so that they are refused at once.
void OwnerSession::refuseUnrecorded(const Jobs::RecordBatch &batch)
{
    for (const auto &it : batch.keys) {
        const auto key = Jobs::jobRecordFrom(it);
        if (key.isSpec && m_scheduler.job(key.job) == nullptr && m_records.surelyUnsubmitted(key.job)) {
            m_waiters.notify(key.job);
        }
    }
}

void OwnerSession::requestPlan()
{
    if (m_planRequested || m_closed) {
        return;
    }
    m_planRequested = true;
    Asio::post(m_context.executor, [self = shared_from_this()] {
        self->m_planRequested = false;
        self->plan();
    });
}

void OwnerSession::plan()
{
    if (m_closed || !m_ready) {
        return;
    }
    for (auto &[worker, orders] : m_scheduler.plan(m_context.clock.now(), wallMilliseconds())) {
        const auto &info = m_scheduler.workers().at(worker).info;
        orders.ownerHost = m_context.self.host;
        orders.ownerPort = m_context.self.port;
        const Endpoint agent{info.agentHost, static_cast<std::uint16_t>(info.agentPort)};
        spawnOn(m_context.executor, "orders", [self = shared_from_this(), orders = std::move(orders), agent] {
            return self->send(orders, agent);
        });
    }
}

PeerClient &OwnerSession::clientOf(const Endpoint &agent)
{
    auto &client = m_agents[agent];
    if (!client) {
        client = std::make_unique<PeerClient>(m_context.executor, m_context.name, m_context.incarnation, agent);
    }
    return *client;
}

awaitable<void> OwnerSession::send(Wire::WorkerOrders orders, Endpoint agent)
{
    const auto self = shared_from_this();
    for (const auto &it : orders.starts) {
        Event("start_ordered")
            .add("job", it.task.job)
            .add("task", Jobs::taskName(it.task))
            .add("run", it.run)
            .add("worker", orders.worker)
            .add("epoch", orders.epoch);
    }
    for (const auto &it : orders.stops) {
        Event("stop_ordered")
            .add("job", it.task.job)
            .add("task", Jobs::taskName(it.task))
            .add("run", it.run)
            .add("worker", orders.worker)
            .add("epoch", orders.epoch);
    }
    const auto answer
        = co_await clientOf(agent).call(Wire::MessageKind::WorkerOrdersKind, Wire::encode(orders), orderTimeout);
    std::optional<Wire::WorkerOrdersReply> reply;
    if (answer) {
        reply = Wire::decode<Wire::WorkerOrdersReply>(answer->payload);
    }
    if (!reply) {
        Event("orders_unanswered")
            .add("worker", orders.worker)
            .add("starts", orders.starts.size())
            .add("stops", orders.stops.size())
            .add("reason", answer ? "unreadable reply" : answer.error().reason);
    }
    if (m_closed) {
        co_return;
    }
    m_scheduler.ordersDone(orders, reply, m_context.clock.now());
    requestPlan();
}

// Without its progress, a job whose submission is still recorded would start again.
void OwnerSession::forgetExpired()
{
    for (const auto &id : m_scheduler.expired(wallMilliseconds())) {
        if (m_records.forget(id)) {
            m_scheduler.forget(id);
        }
    }
}

awaitable<void> OwnerSession::tickLoop()
{
    const auto self = shared_from_this();
    while (!m_closed) {
        co_await sleepFor(tick);
        forgetExpired();
        recordChanges();
        if (m_gathered) {
            startRecording();
        }
        requestPlan();
    }
}

} // namespace Trefoilhoist::Dispatcher
