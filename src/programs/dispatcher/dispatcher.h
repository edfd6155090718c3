#pragma once

#include "ownersession.h"
#include "trefoilhoist/jobs/callertranslator.h"
#include "trefoilhoist/net/httpserver.h"
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
    Endpoint metrics;
    /// What this host can carry, against others: the strongest dispatcher owns the scheduling.
    double strength = 1;
    Jobs::SchedulerSettings scheduler;
    Jobs::ElectionTimes election;
    /// From SIGTERM to the end of the process, at most.
    Duration stopWithin = seconds(5);
};

/// What speaks to the outside on the dispatcher's behalf.
struct Adapters {
    std::unique_ptr<RecordStore> store;
    std::unique_ptr<Jobs::CallerTranslator> callers;
    std::unique_ptr<Jobs::ConfigurationTranslator> configuration;
};

/// One of the processes that callers reach. Any of them takes jobs and questions; the one that owns the scheduling
/// answers them, the others pass them on. Used on one thread.
class DispatcherServer
{
public:
    DispatcherServer(Runtime &runtime, DispatcherSettings settings, Adapters outside);

    /// Returns what can't be bound, if anything.
    std::optional<StartProblem> start();
    /// Hands the ownership over and finishes the requests in progress.
    awaitable<void> stop();

private:
    struct OwnerRequest {
        Jobs::CallerVerb verb = Jobs::CallerVerb::QueryJob;
        std::string job;
        Wire::MessageKind kind = Wire::MessageKind::JobQueryKind;
        std::string payload;
        Duration patience{};
    };
    awaitable<HttpResponse> serveCaller(HttpRequest request);
    awaitable<HttpResponse> serveReadiness(HttpRequest request);
    awaitable<HttpResponse> serveMetrics(HttpRequest request);
    awaitable<std::optional<Wire::Envelope>> servePeer(Wire::Envelope envelope);
    /// What a caller asks, as it goes to the owner; or the answer that needs no owner.
    tl::expected<OwnerRequest, HttpResponse> parseCallerRequest(HttpRequest &request);
    [[nodiscard]] tl::expected<OwnerRequest, HttpResponse>
    submitRequest(OwnerRequest question, const Jobs::QueueRoute &queue, const HttpRequest &request) const;
    HttpResponse finishCallerRequest(const OwnerRequest &question, const Wire::JobAnswer &answer, TimePoint receivedAt);
    /// Asks the owner, here or elsewhere, until the caller's patience ends.
    awaitable<Wire::JobAnswer> callOwner(Wire::MessageKind kind, std::string payload, Duration patience);
    awaitable<Wire::JobAnswer> answerLocally(Wire::MessageKind kind, std::string payload, Duration patience);
    awaitable<void> registerPeer();
    awaitable<void> watchConfiguration();
    awaitable<bool> readConfiguration(std::int64_t &revision);
    void applyConfiguration(const std::string &value, std::int64_t revision);
    void startSession(Jobs::OwnerTerm term);
    void closeSession();
    [[nodiscard]] bool ready() const;

    Runtime &m_runtime;
    DispatcherSettings m_settings;
    Adapters m_adapters;
    MetricsRegistry m_metrics;
    Jobs::OwnerElection m_election;
    Jobs::QueueTable m_queues;
    std::shared_ptr<OwnerSession> m_session;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_metricsServer;
    PeerServer m_peers;
    PeerClients m_clients;
    bool m_stopping = false;
};

} // namespace Trefoilhoist::Dispatcher
