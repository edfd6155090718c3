#include "dispatcher.h"

#include "trefoilhoist/jobs/ownerrecord.h"
#include "trefoilhoist/jobs/recordkeys.h"
#include "trefoilhoist/log/eventlog.h"
#include "trefoilhoist/net/httpmetrics.h"
#include "trefoilhoist/wire/message.h"

#include <algorithm>

namespace Trefoilhoist::Dispatcher {

namespace {

using Jobs::CallerVerb;
using Jobs::JobOutcome;

/// The share of a caller's timeout after which the dispatcher answers without the owner.
constexpr double timeoutShare = 0.8;
/// Without any owner, a request is refused after this time, so that the caller can retry later.
constexpr Duration noOwnerTimeout = milliseconds(400);
constexpr Duration ownerPollInterval = milliseconds(25);
constexpr Duration operatorsPollInterval = milliseconds(25);
constexpr Duration ownerCallTimeout = milliseconds(1200);
constexpr Duration registerRetryDelay = milliseconds(500);
constexpr Duration stopPollInterval = milliseconds(50);
/// After SIGTERM callers may still send requests on open connections. They are served for at least this long.
constexpr Duration minStopTime = milliseconds(1500);

Wire::OwnerRecord selfRecord(const DispatcherSettings &settings)
{
    Wire::OwnerRecord self;
    self.name = settings.name;
    self.host = settings.advertise.value_or(settings.peers).host;
    self.port = settings.advertise.value_or(settings.peers).port;
    self.strength = settings.strength;
    return self;
}

RecordCommit
registrationCommit(const std::string &key, const std::string &value, const std::optional<StoredRecord> &existing)
{
    RecordCommit commit;
    commit.conditions.push_back({key, existing ? existing->revision : 0});
    commit.writes.push_back({key, value, 0});
    return commit;
}

HttpLimits callerLimits(const MemoryBudget &memory)
{
    constexpr int maxConnections = 2000;
    HttpLimits limits;
    limits.maxConnections = std::min(maxConnections, connectionsWithin(memory.limit() / 2));
    return limits;
}

} // namespace

DispatcherServer::DispatcherServer(Runtime &runtime, DispatcherSettings settings, Adapters adapters)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_adapters(std::move(adapters))
    , m_metrics(runtime.clock())
    , m_memory(MemoryBudget::forProcess(m_settings.memoryBytes))
    , m_election(*m_adapters.store, runtime.clock(), m_settings.election, selfRecord(m_settings))
    , m_operators(*m_adapters.configuration)
    , m_callers(
          runtime.executor(),
          callerLimits(m_memory),
          [this](HttpRequest request) { return serveCaller(std::move(request)); },
          m_memory)
    , m_readiness(
          runtime.executor(),
          probeLimits(m_memory),
          [this](HttpRequest request) { return serveReadiness(std::move(request)); },
          m_memory)
    , m_metricsServer(
          runtime.executor(),
          probeLimits(m_memory),
          [this](HttpRequest request) { return serveMetrics(std::move(request)); },
          m_memory)
    , m_peers(
          runtime.executor(),
          m_settings.name,
          runtime.incarnation(),
          [this](Wire::Envelope envelope) { return servePeer(std::move(envelope)); },
          PeerLimits::forProcess(m_settings.memoryBytes))
    , m_clients(runtime.executor(), m_settings.name, runtime.incarnation())
{
    m_peers.countClosed(m_metrics.counter("trefoilhoist_peer_connections_closed"));
}

std::optional<StartProblem> DispatcherServer::start()
{
    if (const auto port = m_peers.listen(m_settings.peers); !port) {
        return StartProblem{"/peers", port.error()};
    }
    if (const auto port = m_readiness.listen(m_settings.readiness); !port) {
        return StartProblem{"/readiness", port.error()};
    }
    if (m_settings.metrics.port != 0) {
        if (const auto port = m_metricsServer.listen(m_settings.metrics); !port) {
            return StartProblem{"/metrics", port.error()};
        }
    }
    if (const auto port = m_callers.listen(m_settings.callers); !port) {
        return StartProblem{"/callers", port.error()};
    }
    spawnOn(m_runtime.executor(), "operators", [this] { return watchOperatorRecords(); });
    spawnOn(m_runtime.executor(), "election", [this] { return runElection(); });
    spawnOn(m_runtime.executor(), "registration", [this] { return registerPeer(); });
    Event("started").add("name", m_settings.name).add("incarnation", m_runtime.incarnation());
    return std::nullopt;
}

awaitable<void> DispatcherServer::runElection()
{
    // An owner must know which zones are drained before it starts anything.
    while (!m_operators.isComplete()) {
        co_await sleepFor(operatorsPollInterval);
    }
    co_await m_election.run([this](Jobs::OwnerTerm term) { startSession(term); },
                            [this](const std::string &) { closeSession(); });
}

// Records where peers reach this process. The record of a dispatcher that no longer exists only causes an occasional
// failed call.
awaitable<void> DispatcherServer::registerPeer()
{
    const auto key = Jobs::peerPrefix + m_settings.name;
    const auto value = Wire::encode(selfRecord(m_settings));
    while (true) {
        const auto existing = co_await m_adapters.store->read(key);
        if (existing && *existing && (*existing)->value == value) {
            co_return;
        }
        if (existing) {
            const auto outcome = co_await m_adapters.store->commit(registrationCommit(key, value, *existing));
            if (outcome && outcome->committed) {
                Event("peer_registered").add("key", key);
                co_return;
            }
        }
        co_await sleepFor(registerRetryDelay);
    }
}

void DispatcherServer::startSession(Jobs::OwnerTerm term)
{
    SessionContext context{m_runtime.executor(),
                           m_runtime.clock(),
                           *m_adapters.store,
                           m_metrics,
                           m_settings.name,
                           m_runtime.incarnation(),
                           m_settings.advertise.value_or(m_settings.peers),
                           m_settings.scheduler,
                           m_settings.election.leaseTtl,
                           [this] { return m_election.verifiedAt(); },
                           [this](const std::string &reason) {
                               m_election.onOwnershipLost(reason);
                           }};
    m_session = std::make_shared<OwnerSession>(std::move(context), term);
    m_session->useOperatorRecords(m_operators);
    m_session->start();
    m_metrics.counter("trefoilhoist_terms_won").add();
}

void DispatcherServer::closeSession()
{
    if (m_session) {
        m_session->close();
        m_session.reset();
    }
}

bool DispatcherServer::ready() const
{
    return !m_stopping && m_operators.queues().version() > 0;
}

awaitable<HttpResponse> DispatcherServer::serveReadiness(HttpRequest)
{
    co_return ready() ? textResponse(200, "ready\n") : textResponse(503, "not ready\n");
}

awaitable<HttpResponse> DispatcherServer::serveMetrics(HttpRequest)
{
    showRefusals(m_metrics, "callers", m_callers);
    showRefusals(m_metrics, "readiness", m_readiness);
    showRefusals(m_metrics, "metrics", m_metricsServer);
    m_metrics.gauge("trefoilhoist_memory_reserved_bytes").set(static_cast<double>(m_memory.used()));
    co_return textResponse(200, m_metrics.exposition());
}

awaitable<HttpResponse> DispatcherServer::serveCaller(HttpRequest request)
{
    const auto receivedAt = m_runtime.clock().now();
    auto ownerRequest = parseCallerRequest(request);
    if (!ownerRequest) {
        co_return std::move(ownerRequest.error());
    }
    const auto answer = co_await callOwner(ownerRequest->kind, std::move(ownerRequest->payload), ownerRequest->timeout);
    co_return finishCallerRequest(*ownerRequest, answer, receivedAt);
}

tl::expected<DispatcherServer::OwnerRequest, HttpResponse> DispatcherServer::parseCallerRequest(HttpRequest &request)
{
    const auto &callers = *m_adapters.callers;
    const auto caller = callers.request(request);
    if (!caller) {
        Event("request_unreadable").add("reason", caller.error());
        return tl::unexpected(callers.badRequest(caller.error()));
    }
    if (m_operators.queues().version() == 0) {
        return tl::unexpected(callers.answer(caller->verb, answerOf(JobOutcome::Refused)));
    }
    const auto *queue = m_operators.queues().match(caller->host, caller->path);
    if (queue == nullptr) {
        Event("queue_unknown")
            .add("host", caller->host)
            .add("path", caller->path)
            .add("configuration", m_operators.queues().version());
        return tl::unexpected(callers.queueNotFound());
    }
    OwnerRequest ownerRequest;
    ownerRequest.verb = caller->verb;
    ownerRequest.job = caller->path.substr(queue->prefix.size());
    ownerRequest.timeout = duration_cast<Duration>(caller->timeout * timeoutShare);
    if (ownerRequest.verb == CallerVerb::Submit) {
        return buildSubmitRequest(std::move(ownerRequest), *queue, request);
    }
    if (ownerRequest.verb == CallerVerb::CancelJob) {
        Wire::CancelJob cancel;
        cancel.id = ownerRequest.job;
        ownerRequest.kind = Wire::MessageKind::CancelJobKind;
        ownerRequest.payload = Wire::encode(cancel);
    } else if (ownerRequest.job.empty()) {
        Wire::QueueQuery query;
        query.queue = queue->policy.name;
        ownerRequest.verb = CallerVerb::QueryQueue;
        ownerRequest.kind = Wire::MessageKind::QueueQueryKind;
        ownerRequest.payload = Wire::encode(query);
    } else {
        Wire::JobQuery query;
        query.id = ownerRequest.job;
        ownerRequest.kind = Wire::MessageKind::JobQueryKind;
        ownerRequest.payload = Wire::encode(query);
    }
    return ownerRequest;
}

tl::expected<DispatcherServer::OwnerRequest, HttpResponse> DispatcherServer::buildSubmitRequest(
    OwnerRequest ownerRequest, const Jobs::QueueRoute &queue, const HttpRequest &request) const
{
    const auto &callers = *m_adapters.callers;
    auto spec = callers.job(ownerRequest.job, queue.policy, request.body);
    if (!spec) {
        Event("job_unreadable")
            .add("job", ownerRequest.job)
            .add("queue", queue.policy.name)
            .add("reason", spec.error());
        return tl::unexpected(callers.badRequest(spec.error()));
    }
    if (queue.policy.needsPermit) {
        Event("job_refused").add("job", ownerRequest.job).add("reason", "queues with advice are not supported yet");
        return tl::unexpected(callers.answer(ownerRequest.verb, answerOf(JobOutcome::Refused)));
    }
    Wire::SubmitJob submit;
    submit.spec = std::move(*spec);
    submit.spec.acceptedAtMs = wallMilliseconds();
    ownerRequest.kind = Wire::MessageKind::SubmitJobKind;
    ownerRequest.payload = Wire::encode(submit);
    return ownerRequest;
}

HttpResponse DispatcherServer::finishCallerRequest(const OwnerRequest &ownerRequest,
                                                   const Wire::JobAnswer &answer,
                                                   TimePoint receivedAt)
{
    const auto now = m_runtime.clock().now();
    m_metrics.latency("trefoilhoist_caller_request").record(now - receivedAt, now);
    if (answer.outcome != static_cast<int>(JobOutcome::Ok)) {
        m_metrics.counter("trefoilhoist_caller_not_ok").add();
        Event("request_not_ok")
            .add("job", ownerRequest.job)
            .add("verb", static_cast<int>(ownerRequest.verb))
            .add("outcome", answer.outcome)
            .add("waitedMs", duration_cast<milliseconds>(now - receivedAt).count());
    }
    return m_adapters.callers->answer(ownerRequest.verb, answer);
}

awaitable<Wire::JobAnswer> DispatcherServer::callOwner(Wire::MessageKind kind, std::string payload, Duration timeout)
{
    const auto &clock = m_runtime.clock();
    const auto startedAt = clock.now();
    // An owner that did not answer may have recorded a submission, so its outcome is unresolved.
    bool ownerMayHaveActed = false;
    const bool isSubmission = kind == Wire::MessageKind::SubmitJobKind;
    while (clock.now() - startedAt < timeout) {
        const auto left = timeout - (clock.now() - startedAt);
        if (m_session && m_session->ready()) {
            auto answer = co_await answerLocally(kind, payload, left);
            if (answer.outcome != static_cast<int>(JobOutcome::NotOwner)) {
                co_return answer;
            }
        } else if (!m_session && m_election.owner() && m_election.owner()->name != m_settings.name) {
            const auto owner = *m_election.owner();
            const auto sentAt = clock.now();
            if (isSubmission && !ownerMayHaveActed && m_ownerReachability.isSilent(owner.epoch, sentAt)) {
                m_metrics.counter("trefoilhoist_refused_owner_silent").add();
                co_return answerOf(JobOutcome::Refused);
            }
            // Nothing is sent to an address that can't be called.
            const auto peer = Jobs::endpointOf(owner.host, owner.port).value_or(Endpoint{});
            m_ownerReachability.addCall(owner.epoch, sentAt);
            const auto reply = co_await m_clients.at(peer).call(kind, payload, std::min(left, ownerCallTimeout));
            m_ownerReachability.finishCall(owner.epoch, sentAt, reply.has_value(), clock.now());
            const auto answer = reply ? Wire::decode<Wire::JobAnswer>(reply->payload) : std::nullopt;
            if (answer && answer->outcome != static_cast<int>(JobOutcome::NotOwner)) {
                co_return *answer;
            }
            // A call that never left this process, or that the other one refused, has done nothing.
            if (!answer && (reply || reply.error().verdict == Verdict::MayHaveRun)) {
                ownerMayHaveActed = true;
            }
        }
        if (!ownerMayHaveActed && clock.now() - startedAt > noOwnerTimeout) {
            break;
        }
        co_await sleepFor(ownerPollInterval);
    }
    co_return answerOf(isSubmission && ownerMayHaveActed ? JobOutcome::Unresolved : JobOutcome::Refused);
}

awaitable<Wire::JobAnswer>
DispatcherServer::answerLocally(Wire::MessageKind kind, std::string payload, Duration timeout)
{
    const auto session = m_session;
    if (!session || !session->ready()) {
        co_return answerOf(JobOutcome::NotOwner);
    }
    switch (kind) {
    case Wire::MessageKind::SubmitJobKind:
        if (auto submit = Wire::decode<Wire::SubmitJob>(payload)) {
            co_return co_await session->submit(std::move(submit->spec), timeout);
        }
        break;
    case Wire::MessageKind::CancelJobKind:
        if (auto cancel = Wire::decode<Wire::CancelJob>(payload)) {
            if (!m_adapters.callers->isJobId(cancel->id)) {
                co_return answerOf(JobOutcome::Unknown);
            }
            co_return co_await session->cancel(std::move(cancel->id), timeout);
        }
        break;
    case Wire::MessageKind::JobQueryKind:
        if (auto query = Wire::decode<Wire::JobQuery>(payload)) {
            co_return co_await session->queryJob(std::move(query->id), timeout);
        }
        break;
    case Wire::MessageKind::QueueQueryKind:
        if (const auto query = Wire::decode<Wire::QueueQuery>(payload)) {
            co_return session->queryQueue(query->queue);
        }
        break;
    default:
        break;
    }
    Event("peer_message_unreadable").add("kind", static_cast<int>(kind)).add("bytes", payload.size());
    co_return answerOf(JobOutcome::Refused);
}

awaitable<std::optional<Wire::Envelope>> DispatcherServer::servePeer(Wire::Envelope envelope)
{
    Wire::Envelope reply;
    reply.kind = envelope.kind;
    if (envelope.kind == Wire::MessageKind::WorkerReportKind) {
        Wire::WorkerReportReply answer;
        const auto report = Wire::decode<Wire::WorkerReport>(envelope.payload);
        if (!report) {
            Event("peer_message_unreadable").add("kind", static_cast<int>(envelope.kind)).add("from", envelope.sender);
        } else if (m_session && m_session->ready()) {
            answer = m_session->report(*report);
        }
        reply.payload = Wire::encode(answer);
        co_return reply;
    }
    if (envelope.kind == Wire::MessageKind::HelloKind) {
        if (const auto owner = Wire::decode<Wire::OwnerRecord>(envelope.payload)) {
            m_election.observeOwner(*owner);
        }
        co_return reply;
    }
    reply.payload = Wire::encode(co_await answerLocally(envelope.kind, std::move(envelope.payload), ownerCallTimeout));
    co_return reply;
}

awaitable<void> DispatcherServer::stop()
{
    m_stopping = true;
    m_callers.drain();
    Event("stopping").add("name", m_settings.name).add("inFlight", m_callers.inFlight());
    co_await m_election.stepDown();
    const auto startedAt = m_runtime.clock().now();
    const auto elapsed = [&] {
        return m_runtime.clock().now() - startedAt;
    };
    while (elapsed() < m_settings.stopWithin && (elapsed() < minStopTime || m_callers.inFlight() > 0)) {
        co_await sleepFor(stopPollInterval);
    }
    Event("stopped").add("inFlight", m_callers.inFlight());
    EventLog::instance().flush();
}

} // namespace Trefoilhoist::Dispatcher
