#include "ownersession.h"

#include "trefoilhoist/jobs/ownerrecord.h"
#include "trefoilhoist/jobs/recordkeys.h"
#include "trefoilhoist/log/eventlog.h"
#include "trefoilhoist/store/backoff.h"
#include "trefoilhoist/wire/message.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace Trefoilhoist::Dispatcher {

namespace {

/// Number of commits that may be in flight at the same time.
constexpr int recordLoops = 3;
constexpr Duration tickInterval = milliseconds(50);
constexpr Duration orderTimeout = milliseconds(1500);
constexpr const char *recordsPending = "work";

Wire::WorkerOrdersReply refusalOf(const Wire::WorkerOrders &orders)
{
    Wire::WorkerOrdersReply reply;
    reply.starts.assign(orders.starts.size(), static_cast<int>(Jobs::OrderResult::Refused));
    reply.stops.assign(orders.stops.size(), static_cast<int>(Jobs::OrderResult::Refused));
    return reply;
}

} // namespace

OwnerSession::OwnerSession(SessionContext context, Jobs::OwnerTerm term)
    : m_context(std::move(context))
    , m_term(term)
    , m_scheduler(m_context.scheduler, term.epoch)
    , m_records(term.epochRevision)
    , m_peers(m_context.executor, m_context.name, m_context.incarnation)
    , m_planTimer(m_context.executor)
    , m_intake(tickInterval)
{
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
    m_planTimer.cancel();
    m_waiters.notifyAll();
    m_recordWaiters.notifyAll();
}

void OwnerSession::useOperatorRecords(const Jobs::OperatorRecords &operators)
{
    m_scheduler.setQueues(operators.queues());
    m_scheduler.setDrainedZones(operators.drainedZones());
    requestPlan();
}

bool OwnerSession::isVerified(Duration within) const
{
    return m_context.clock.now() - m_context.verifiedAt() <= within;
}

// Queues the records of all jobs, and of the roster, that have changed since the last call.
void OwnerSession::queueChanges()
{
    // Changes that a caller, a worker or a task waits for are recorded at once. Others are batched until the next tick.
    bool urgent = m_scheduler.takeUnrecordedCrash();
    for (const auto &id : m_scheduler.takeChangedJobs()) {
        const auto *job = m_scheduler.jobToRecord(id);
        if (job == nullptr) {
            continue;
        }
        m_changedJobs.insert(id);
        if (!job->isActive()) {
            urgent = true;
            Event("job_ended")
                .add("job", id)
                .add("phase", phaseName(job->phase()))
                .add("epoch", m_term.epoch)
                .add("afterMs", duration_cast<milliseconds>(m_context.clock.now() - job->acceptedAt()).count());
        }
    }
    if (auto roster = m_scheduler.takeChangedRoster()) {
        m_records.putRoster(*roster);
        m_inFlightRoster = std::move(*roster);
        urgent = true;
    }
    if (urgent) {
        startRecording();
    }
}

void OwnerSession::startRecording()
{
    for (const auto &id : std::exchange(m_changedJobs, {})) {
        if (const auto *job = m_scheduler.jobToRecord(id); job != nullptr) {
            m_records.putProgress(*job);
        }
    }
    m_recordWaiters.notify(recordsPending);
}

awaitable<void> OwnerSession::recordLoop()
{
    const auto self = shared_from_this();
    Backoff backoff(milliseconds(40), milliseconds(400), static_cast<std::uint64_t>(m_context.incarnation));
    while (!m_closed) {
        auto batch = m_records.take();
        if (!batch) {
            co_await m_recordWaiters.wait(recordsPending, seconds(1));
            continue;
        }
        const auto sentAt = m_context.clock.now();
        m_storeReachability.addCall(sentAt);
        const auto outcome = co_await m_context.store.commit(batch->commit);
        if (m_closed) {
            co_return;
        }
        if (m_storeReachability.finishCall(sentAt, outcome.has_value(), m_context.clock.now())) {
            Event(outcome ? "store_regained" : "store_lost")
                .add("by", "records")
                .add("epoch", m_term.epoch)
                .add("reason", outcome ? "" : outcome.error().reason);
        }
        if (outcome) {
            backoff.reset();
            applyResolved(m_records.applyOutcome(*batch, *outcome));
            if (m_records.ownershipLost()) {
                m_context.onOwnershipLost("another epoch is recorded");
                co_return;
            }
            continue;
        }
        m_records.applyFailure(*batch, outcome.error().failure);
        wakeUnrecorded(*batch);
        co_await sleepFor(backoff.next());
    }
}

void OwnerSession::applyResolved(const Jobs::CommittedRecords &records)
{
    if (records.roster) {
        m_scheduler.markRosterRecorded(m_inFlightRoster);
    }
    for (const auto &id : records.accepted) {
        m_scheduler.accept(id);
        m_waiters.notify(id);
    }
    for (const auto &[id, version] : records.progress) {
        m_scheduler.markProgressRecorded(id, version);
        m_waiters.notify(id);
    }
    requestPlan();
}

// Wakes the submissions whose first record is known not to be written, so that they are refused at once.
void OwnerSession::wakeUnrecorded(const Jobs::RecordBatch &batch)
{
    for (const auto &it : batch.keys) {
        const auto key = Jobs::parseJobRecordKey(it);
        if (key.isSpec && m_scheduler.job(key.job) == nullptr && m_records.isKnownUnsubmitted(key.job)) {
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
    const auto delay = m_planPacer.delay(m_context.clock.now());
    if (delay <= Duration{}) {
        Asio::post(m_context.executor, [self = shared_from_this()] { self->plan(); });
        return;
    }
    m_planTimer.expires_after(delay);
    m_planTimer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec) {
            self->plan();
        }
    });
}

void OwnerSession::plan()
{
    m_planRequested = false;
    if (m_closed || !m_ready) {
        return;
    }
    const auto startedAt = m_context.clock.now();
    auto planned = m_scheduler.plan(startedAt, wallMilliseconds(), isVerified(m_context.leaseTtl));
    for (auto &[worker, orders] : planned) {
        const auto &info = m_scheduler.workers().at(worker).info;
        orders.ownerHost = m_context.self.host;
        orders.ownerPort = m_context.self.port;
        const auto agent = Jobs::endpointOf(info.agentHost, info.agentPort).value_or(Endpoint{});
        spawnOn(m_context.executor, "orders", [self = shared_from_this(), orders = std::move(orders), agent] {
            return self->send(orders, agent);
        });
    }
    const auto endedAt = m_context.clock.now();
    m_planPacer.finishPlan(startedAt, endedAt);
    m_context.metrics.latency("trefoilhoist_plan").record(endedAt - startedAt, endedAt);
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
        = co_await m_peers.at(agent).call(Wire::MessageKind::WorkerOrdersKind, Wire::encode(orders), orderTimeout);
    std::optional<Wire::WorkerOrdersReply> reply;
    if (answer) {
        reply = Wire::decode<Wire::WorkerOrdersReply>(answer->payload);
    } else if (answer.error().verdict == Verdict::NotRun) {
        // The orders never left this process, so their tasks may start elsewhere at once.
        reply = refusalOf(orders);
    }
    if (!answer || !reply) {
        Event("orders_unanswered")
            .add("worker", orders.worker)
            .add("starts", orders.starts.size())
            .add("stops", orders.stops.size())
            .add("reason", answer ? "unreadable reply" : answer.error().reason);
    }
    if (m_closed) {
        co_return;
    }
    m_scheduler.handleOrderResults(orders, reply, m_context.clock.now());
    requestPlan();
}

// A job is forgotten only when its submission is no longer recorded. Otherwise a new owner would load the submission
// without its progress and start the job again.
void OwnerSession::forgetExpired()
{
    for (const auto &id : m_scheduler.expiredJobs(wallMilliseconds())) {
        if (m_records.removeRecords(id)) {
            m_scheduler.removeJob(id);
        }
    }
}

awaitable<void> OwnerSession::tickLoop()
{
    const auto self = shared_from_this();
    while (!m_closed) {
        co_await sleepFor(tickInterval);
        const auto now = m_context.clock.now();
        m_intake.tick(now);
        m_context.metrics.latency("trefoilhoist_owner_lag").record(m_intake.lag(now), now);
        forgetExpired();
        m_context.metrics.gauge("trefoilhoist_serving_baselines")
            .set(static_cast<double>(m_scheduler.servingBaselines(now)));
        m_context.metrics.gauge("trefoilhoist_job_memory_bytes").set(static_cast<double>(m_scheduler.memoryBytes()));
        m_context.metrics.gauge("trefoilhoist_placement_waits").set(static_cast<double>(m_scheduler.placementWaits()));
        queueChanges();
        if (!m_changedJobs.empty()) {
            startRecording();
        }
        requestPlan();
    }
}

} // namespace Trefoilhoist::Dispatcher
