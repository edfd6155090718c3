#pragma once

#include "ownersession.h"
#include "trefoilhoist/jobs/callertranslator.h"
#include "trefoilhoist/jobs/operatorrecords.h"
#include "trefoilhoist/jobs/ownerreachability.h"
#include "trefoilhoist/net/httpserver.h"
#include "trefoilhoist/net/memorybudget.h"
#include "trefoilhoist/net/program.h"
#include "trefoilhoist/wire/peerserver.h"

#include <memory>
#include <optional>
#include <string>

namespace Trefoilhoist::Dispatcher {

struct DispatcherSettings {
    std::string name;
    Endpoint callers;
    Endpoint readiness;
    Endpoint peers;
    /// Where agents and other dispatchers reach this one, if not at `peers`.
    std::optional<Endpoint> advertise;
    Endpoint metrics;
    /// The capacity of this host relative to others. The dispatcher with the highest strength becomes the owner, which
    /// schedules all jobs.
    double strength = 1;
    Jobs::SchedulerSettings scheduler;
    Jobs::ElectionTimes election;
    /// The memory of the host for this process.
    std::size_t memoryBytes = 260'000'000;
    /// The longest time from SIGTERM to the end of the process.
    Duration stopWithin = seconds(5);
};

/// Implementations of the dispatcher's external interfaces.
struct Adapters {
    std::unique_ptr<RecordStore> store;
    std::unique_ptr<Jobs::CallerTranslator> callers;
    std::unique_ptr<Jobs::ConfigurationTranslator> configuration;
};

/// Server that callers send their requests to. Any dispatcher accepts jobs and queries. The one that owns the
/// scheduling answers them; the others forward them to the owner. Used on one thread.
class DispatcherServer
{
public:
    DispatcherServer(Runtime &runtime, DispatcherSettings settings, Adapters adapters);

    /// Returns the address that can't be bound, if any.
    std::optional<StartProblem> start();
    /// Steps down as owner and finishes the requests in progress.
    awaitable<void> stop();

private:
    struct OwnerRequest {
        Jobs::CallerVerb verb = Jobs::CallerVerb::QueryJob;
        std::string job;
        Wire::MessageKind kind = Wire::MessageKind::JobQueryKind;
        std::string payload;
        Duration timeout{};
    };
    awaitable<HttpResponse> serveCaller(HttpRequest request);
    awaitable<HttpResponse> serveReadiness(HttpRequest request);
    awaitable<HttpResponse> serveMetrics(HttpRequest request);
    awaitable<std::optional<Wire::Envelope>> servePeer(Wire::Envelope envelope);
    /// Parses a caller's request into a request to the owner. Returns a response if the owner is not needed.
    tl::expected<OwnerRequest, HttpResponse> parseCallerRequest(HttpRequest &request);
    /// Returns the request that submits the caller's job to `queue`, or a response if the job is not accepted.
    [[nodiscard]] tl::expected<OwnerRequest, HttpResponse>
    buildSubmitRequest(OwnerRequest ownerRequest, const Jobs::QueueRoute &queue, const HttpRequest &request) const;
    HttpResponse
    finishCallerRequest(const OwnerRequest &ownerRequest, const Wire::JobAnswer &answer, TimePoint receivedAt);
    /// Calls the owner, in this process or another one, until `timeout` is over.
    awaitable<Wire::JobAnswer> callOwner(Wire::MessageKind kind, std::string payload, Duration timeout);
    awaitable<Wire::JobAnswer> answerLocally(Wire::MessageKind kind, std::string payload, Duration timeout);
    awaitable<void> registerPeer();
    awaitable<void> watchOperatorRecords();
    awaitable<bool> readOperatorRecords(std::int64_t &revision);
    /// Puts changed records of the operators in force.
    void useOperatorRecords();
    awaitable<void> runElection();
    void startSession(Jobs::OwnerTerm term);
    void closeSession();
    [[nodiscard]] bool ready() const;

    Runtime &m_runtime;
    DispatcherSettings m_settings;
    Adapters m_adapters;
    MetricsRegistry m_metrics;
    /// Shared by all ports.
    MemoryBudget m_memory;
    Jobs::OwnerElection m_election;
    Jobs::OperatorRecords m_operators;
    std::shared_ptr<OwnerSession> m_session;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_metricsServer;
    PeerServer m_peers;
    PeerClients m_clients;
    Jobs::OwnerReachability m_ownerReachability;
    bool m_stopping = false;
};

} // namespace Trefoilhoist::Dispatcher
