#include "agent.h"

#include "trefoilhoist/jobs/ownerrecord.h"
#include "trefoilhoist/jobs/recordkeys.h"
#include "trefoilhoist/log/eventlog.h"
#include "trefoilhoist/net/httpmetrics.h"
#include "trefoilhoist/wire/message.h"

#include <algorithm>
#include <utility>

namespace Trefoilhoist::Agent {

namespace {

constexpr Duration reportInterval = milliseconds(500);
constexpr Duration reportTimeout = milliseconds(900);
constexpr std::int64_t listingsPerMillisecond = 100;
constexpr Duration ownerRetryDelay = milliseconds(200);
constexpr const char *reportSignal = "news";
constexpr const char *departureSignal = "departure";
/// A minion waits for the answer to its departure for a second.
constexpr Duration departureTimeout = milliseconds(800);
constexpr Duration departureCheckInterval = milliseconds(50);

bool capacityDiffers(const Wire::WorkerDescription &a, const Wire::WorkerDescription &b)
{
    return a.cpuMilli != b.cpuMilli || a.memoryMb != b.memoryMb || a.accelerators != b.accelerators;
}

HttpLimits heartbeatLimits(const MemoryBudget &memory)
{
    HttpLimits limits;
    limits.maxConnections = connectionsWithin(memory.limit() / 2);
    return limits;
}

} // namespace

AgentServer::AgentServer(Runtime &runtime, AgentSettings settings, Adapters adapters)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_adapters(std::move(adapters))
    , m_metrics(runtime.clock())
    , m_memory(MemoryBudget::forProcess(m_settings.memoryBytes))
    , m_heartbeats(
          runtime.executor(),
          heartbeatLimits(m_memory),
          [this](HttpRequest request) { return serveMinion(std::move(request)); },
          m_memory)
    , m_metricsServer(
          runtime.executor(), probeLimits(m_memory), [this](const HttpRequest &) { return serveMetrics(); }, m_memory)
    , m_peers(
          runtime.executor(),
          m_settings.name,
          runtime.incarnation(),
          [this](Wire::Envelope envelope) { return servePeer(std::move(envelope)); },
          PeerLimits::forProcess(m_settings.memoryBytes))
{
    m_fence = Jobs::OrderFence(m_settings.hold);
    m_peers.countClosed(m_metrics.counter("trefoilhoist_peer_connections_closed"));
}

std::optional<StartProblem> AgentServer::start()
{
    m_startedAt = m_runtime.clock().now();
    // Listing numbers of this process must be higher than those of earlier processes.
    m_listings = m_runtime.incarnation() * listingsPerMillisecond;
    m_reports = m_listings;
    if (const auto port = m_peers.listen(m_settings.peers); !port) {
        return StartProblem{"/peers", port.error()};
    }
    if (m_settings.metrics.port != 0) {
        if (const auto port = m_metricsServer.listen(m_settings.metrics); !port) {
            return StartProblem{"/metrics", port.error()};
        }
    }
    if (const auto port = m_heartbeats.listen(m_settings.heartbeats); !port) {
        return StartProblem{"/heartbeats", port.error()};
    }
    spawnOn(m_runtime.executor(), "listings", [this] { return listLoop(); });
    spawnOn(m_runtime.executor(), "reports", [this] { return reportLoop(); });
    Event("started").add("name", m_settings.name).add("incarnation", m_runtime.incarnation());
    return std::nullopt;
}

awaitable<void> AgentServer::stop()
{
    m_stopping = true;
    Event("stopping").add("name", m_settings.name).add("runs", m_running.size());
    m_heartbeats.drain();
    // The minion continues under its current lease. Its last listing is reported once more.
    m_waiters.notifyAll();
    co_await reportEndOfMinion();
    co_await extendHoldForRestart();
    co_await sleepFor(milliseconds(300));
    Event("stopped").add("name", m_settings.name);
    EventLog::instance().flush();
}

awaitable<HttpResponse> AgentServer::serveMetrics()
{
    showRefusals(m_metrics, "heartbeats", m_heartbeats);
    showRefusals(m_metrics, "metrics", m_metricsServer);
    m_metrics.gauge("trefoilhoist_memory_reserved_bytes").set(static_cast<double>(m_memory.used()));
    co_return textResponse(200, m_metrics.exposition());
}

awaitable<HttpResponse> AgentServer::serveMinion(HttpRequest request)
{
    auto notice = m_adapters.parseNotice(request);
    if (!notice.parseError.empty()) {
        Event("heartbeat_unreadable").add("path", request.path()).add("reason", notice.parseError);
        co_return textResponse(400, notice.parseError + "\n");
    }
    if (notice.heartbeat) {
        applyHeartbeat(std::move(*notice.heartbeat));
    } else if (handleDeparture(notice.departedId, notice.departedBornMs)) {
        co_await emptyMinion();
    }
    co_return jsonResponse(200, "{}");
}

void AgentServer::applyHeartbeat(Jobs::MinionHeartbeat heartbeat)
{
    auto &worker = heartbeat.worker;
    worker.agentHost = m_settings.advertise.value_or(m_settings.peers).host;
    worker.agentPort = m_settings.advertise.value_or(m_settings.peers).port;
    if (worker.id == m_departedId && worker.born <= m_departedStartMs) {
        return;
    }
    const bool sameIncarnation = m_minion && m_minion->worker.id == worker.id && m_minion->worker.born == worker.born;
    if (!sameIncarnation && m_minion && m_reachable) {
        // The present incarnation answers, so that this may be an old heartbeat that was held up.
        Event("incarnation_announced").add("worker", worker.id).add("born", worker.born);
        m_announced = std::move(heartbeat);
        m_announcedAtListing = m_listings;
        return;
    }
    const bool used = sameIncarnation ? updateMinion(std::move(heartbeat)) : adoptIncarnation(std::move(heartbeat));
    if (used) {
        m_throttle.setCapacity(m_minion->worker.cpuMilli);
        m_waiters.notifyAll();
    }
}

bool AgentServer::updateMinion(Jobs::MinionHeartbeat heartbeat)
{
    const auto &worker = heartbeat.worker;
    if (heartbeat.sequence <= m_minion->sequence) {
        return false;
    }
    if (heartbeat.draining && !m_minion->draining) {
        Event("minion_draining").add("worker", worker.id).add("sequence", heartbeat.sequence);
        m_reportDue = true;
    }
    heartbeat.draining = heartbeat.draining || m_minion->draining;
    if (capacityDiffers(worker, m_minion->worker)) {
        Event("minion_capacity_changed")
            .add("worker", worker.id)
            .add("cpuMilli", worker.cpuMilli)
            .add("memoryMb", worker.memoryMb)
            .add("accelerators", worker.accelerators);
        m_reportDue = true;
    }
    m_minion = std::move(heartbeat);
    return true;
}

bool AgentServer::adoptIncarnation(Jobs::MinionHeartbeat heartbeat)
{
    const auto &worker = heartbeat.worker;
    const bool minionIsGone = m_fence.isStopped() || m_fence.isReplaced();
    if (m_minion && m_minion->worker.born > worker.born && !minionIsGone) {
        // A delayed heartbeat of an earlier incarnation. The next one may also have an earlier start time, if the
        // host's clock was set back.
        return false;
    }
    if (m_minion && !m_minion->draining) {
        noteCrash();
    }
    m_runs.resetForNewIncarnation(m_minion && m_minion->worker.id == worker.id);
    m_knownSinceStart = m_minion.has_value() || !m_departedId.empty();
    m_lastListedEnd = 0;
    Event("minion_seen").add("worker", worker.id).add("born", worker.born).add("endpoint", heartbeat.endpoint.str());
    m_minion = std::move(heartbeat);
    m_announced.reset();
    m_endReported = false;
    m_fence.resetForNewIncarnation(m_minion->worker.born);
    m_throttle.clear();
    m_unreachableSince.reset();
    m_crashNoted = false;
    m_running.clear();
    m_ended.clear();
    m_lacksEnds = false;
    m_skippedRows.clear();
    m_unreadableRowsSince.reset();
    m_holdWithheld = false;
    m_leaving = false;
    m_lastReportedEnd = 0;
    m_refusesConnections = false;
    m_reachable = false;
    m_reportDue = true;
    // A hold that an earlier process of this agent granted to the minion may still be valid.
    m_startedAt = m_runtime.clock().now();
    return true;
}

void AgentServer::adoptAnnounced()
{
    if (auto announced = std::exchange(m_announced, std::nullopt)) {
        applyHeartbeat(std::move(*announced));
    }
}

bool AgentServer::handleDeparture(const std::string &id, std::int64_t bornMs)
{
    const bool isOther = !m_minion || m_minion->worker.id != id || (bornMs != 0 && m_minion->worker.born != bornMs);
    if (isOther) {
        Event("departure_ignored").add("worker", id).add("born", bornMs);
        return false;
    }
    Event("minion_leaves").add("worker", id).add("runs", m_running.size());
    m_leaving = true;
    m_endReported = false;
    m_emptyListing.reset();
    m_minion->draining = true;
    m_reportDue = true;
    m_waiters.notifyAll();
    return true;
}

// The minion ends once its departure is answered, and its host may be taken away with this agent. Its tasks start
// elsewhere at once if the owner has heard by then that they are over.
awaitable<void> AgentServer::emptyMinion()
{
    const auto deadline = m_runtime.clock().now() + departureTimeout;
    if (m_reachable) {
        stopRuns(m_running);
    }
    while (m_minion && m_reachable && !isReportedEmpty() && m_runtime.clock().now() < deadline) {
        co_await m_waiters.wait(departureSignal, departureCheckInterval);
    }
    Event("departure_answered").add("runs", m_running.size()).add("reportedEmpty", isReportedEmpty());
}

awaitable<void> AgentServer::reportEndOfMinion()
{
    const auto deadline = m_runtime.clock().now() + m_settings.hold.extension + reportTimeout;
    const auto isAwaited = [this] {
        const bool isKnown = m_minion || !m_departedId.empty();
        const bool mayHaveEnded = m_leaving || !m_minion || !m_reachable;
        return isKnown && mayHaveEnded && !m_endReported;
    };
    while (isAwaited() && m_runtime.clock().now() < deadline) {
        co_await m_waiters.wait(departureSignal, departureCheckInterval);
    }
    Event("end_of_minion_reported").add("departed", m_departedId).add("reported", m_endReported);
}

bool AgentServer::isReportedEmpty() const
{
    return m_emptyListing && m_reportedListing >= *m_emptyListing;
}

void AgentServer::finishDeparture()
{
    Event("minion_left").add("worker", m_minion->worker.id).add("runs", m_running.size());
    m_leaving = false;
    m_departedId = m_minion->worker.id;
    m_departedStartMs = m_minion->worker.born;
    m_minion.reset();
    m_runs.resetForNewIncarnation(false);
    m_running.clear();
    m_ended.clear();
    m_reportDue = true;
    m_waiters.notifyAll();
}

awaitable<std::optional<Wire::Envelope>> AgentServer::servePeer(Wire::Envelope envelope)
{
    Wire::Envelope reply;
    reply.kind = envelope.kind;
    auto orders = Wire::decode<Wire::WorkerOrders>(envelope.payload);
    if (envelope.kind != Wire::MessageKind::WorkerOrdersKind || !orders) {
        Event("peer_message_unreadable").add("kind", static_cast<int>(envelope.kind)).add("from", envelope.sender);
        co_return std::nullopt;
    }
    reply.payload = Wire::encode(co_await executeOrders(std::move(*orders)));
    co_return reply;
}

void AgentServer::adoptOwner(std::int64_t epoch, const Endpoint &owner)
{
    const auto before = m_fence.epoch();
    if (!m_fence.adoptEpoch(epoch)) {
        return;
    }
    if (epoch > before || !m_ownerClient || !(owner == m_owner)) {
        m_owner = owner;
        m_ownerClient
            = std::make_unique<PeerClient>(m_runtime.executor(), m_settings.name, m_runtime.incarnation(), owner);
        Event("owner_adopted").add("epoch", epoch).add("owner", owner.str());
        m_reportDue = true;
        m_waiters.notifyAll();
    }
}

awaitable<void> AgentServer::reportLoop()
{
    while (true) {
        if (!m_ownerClient || m_runtime.clock().now() - m_lastOwnerContact > 2 * reportInterval) {
            co_await findOwner();
        }
        if (!m_ownerClient || (!m_minion && m_departedId.empty())) {
            co_await m_waiters.wait(reportSignal, ownerRetryDelay);
            continue;
        }
        m_reportDue = false;
        co_await reportOnce();
        if (!m_reportDue) {
            co_await m_waiters.wait(reportSignal, reportInterval);
        }
    }
}

// Reads from the store who owns the scheduling. An agent also learns of a new owner from its orders.
awaitable<void> AgentServer::findOwner()
{
    const auto record = co_await m_adapters.store->read(Jobs::ownerRecordKey);
    if (!record) {
        Event("owner_unread").add("reason", record.error().reason).add("epoch", m_fence.epoch());
        co_return;
    }
    const auto owner = *record ? Jobs::readOwnerRecord(**record) : std::nullopt;
    if (!owner || owner->epoch < m_fence.epoch()) {
        co_return;
    }
    if (const auto endpoint = Jobs::endpointOf(owner->host, owner->port)) {
        adoptOwner(owner->epoch, *endpoint);
    } else {
        Event("owner_unread").add("reason", "the owner's port is out of range").add("epoch", owner->epoch);
    }
}

Wire::WorkerReport AgentServer::report() const
{
    Wire::WorkerReport report;
    report.epoch = m_fence.epoch();
    report.crashes.assign(m_crashes.begin(), m_crashes.end());
    if (!m_minion) {
        report.worker.agentHost = m_settings.advertise.value_or(m_settings.peers).host;
        report.worker.agentPort = m_settings.advertise.value_or(m_settings.peers).port;
        report.gone = true;
        return report;
    }
    report.worker = m_minion->worker;
    report.listing = m_lastListing;
    report.listed = m_fence.isListed();
    report.draining = m_minion->draining;
    report.gone = m_fence.isStopped();
    report.lapsedTerm = m_fence.lapsedTerm();
    report.reachable = m_reachable;
    report.running = m_running;
    report.ended = m_ended;
    report.lacksEnds = m_lacksEnds;
    for (const auto &row : m_running) {
        report.wantsRunInfo = report.wantsRunInfo || !m_throttle.hasRun({row.task, row.run});
    }
    if (m_pairsReportedEpoch != report.epoch) {
        report.pairs = m_throttle.pairs();
    }
    return report;
}

awaitable<void> AgentServer::reportOnce()
{
    const auto sentAt = m_runtime.clock().now();
    auto sent = report();
    sent.number = ++m_reports;
    m_fence.trackReport(sent.number, sentAt);
    const auto epoch = sent.epoch;
    if (!sent.ended.empty()) {
        m_lastReportedEnd = std::max(m_lastReportedEnd, sent.ended.back().number);
    }
    const auto answer
        = co_await m_ownerClient->call(Wire::MessageKind::WorkerReportKind, Wire::encode(sent), reportTimeout);
    const auto reply = answer ? Wire::decode<Wire::WorkerReportReply>(answer->payload) : std::nullopt;
    const bool sameIncarnation
        = m_minion && m_minion->worker.id == sent.worker.id && m_minion->worker.born == sent.worker.born;
    if (!reply || reply->epoch != epoch || m_fence.epoch() != epoch) {
        Event("report_unanswered")
            .add("epoch", epoch)
            .add("owner", m_owner.str())
            .add("reason", answer ? "the reply is unreadable or for another epoch" : answer.error().reason);
        if (reply && reply->epoch > m_fence.epoch()) {
            adoptOwner(reply->epoch, m_owner);
        }
        co_await findOwner();
        co_await sleepFor(ownerRetryDelay);
        co_return;
    }
    m_lastOwnerContact = m_runtime.clock().now();
    m_pairsReportedEpoch = epoch;
    // An earlier process of this agent had higher numbers if the host's clock was set back since.
    m_reports = std::max(m_reports, reply->lastReport);
    m_listings = std::max(m_listings, reply->lastListing);
    m_metrics.latency("trefoilhoist_report").record(m_lastOwnerContact - sentAt, m_lastOwnerContact);
    std::erase_if(m_crashes, [&](const auto &it) {
        return std::find(reply->recordedCrashes.begin(), reply->recordedCrashes.end(), it.born)
            != reply->recordedCrashes.end();
    });
    if (!sameIncarnation) {
        m_endReported = m_endReported || (sent.gone && sent.worker.id.empty());
        co_return;
    }
    m_endReported = sent.gone;
    applyReply(sent, *reply, sentAt);
}

void AgentServer::applyReply(const Wire::WorkerReport &sent, const Wire::WorkerReportReply &reply, TimePoint sentAt)
{
    m_reportedListing = std::max(m_reportedListing, sent.listing);
    if (m_leaving) {
        m_waiters.notify(departureSignal);
    }
    const auto recordedBefore = m_fence.recordedEnds();
    m_fence.applyReply(reply, sentAt);
    // The owner uses the minion again once it knows of the lapse.
    m_reportDue = m_reportDue || m_fence.lapsedTerm() > std::max(sent.lapsedTerm, reply.lapsedTerm);
    for (const auto &info : reply.runs) {
        m_throttle.addRun(info);
    }
    for (const auto &pair : reply.pairs) {
        m_throttle.setPairEffect(pair);
    }
    if (m_fence.recordedEnds() > recordedBefore) {
        Event("ends_recorded")
            .add("worker", sent.worker.id)
            .add("born", sent.worker.born)
            .add("number", m_fence.recordedEnds())
            .add("epoch", sent.epoch);
        std::erase_if(m_ended, [&](const auto &it) { return it.number <= m_fence.recordedEnds(); });
    }
}

} // namespace Trefoilhoist::Agent
