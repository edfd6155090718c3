#pragma once

#include "trefoilhoist/config/configagent.h"
#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/net/httpserver.h"
#include "trefoilhoist/net/program.h"
#include "trefoilhoist/placement/cellowner.h"
#include "trefoilhoist/store/consulstoreclient.h"
#include "trefoilhoist/store/storeleasekeeper.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Trefoilhoist::Placer {

/// Settings of the placer program.
struct PlacerSettings {
    std::string id;
    Endpoint listen;
    ZoneId zone;
    ConsulStoreOptions store;
    CellOwnerSettings owner;
    StoreLeaseTimes lease;
    PolicyKind policy = PolicyKind::InterferenceAware;
    PolicyWeights weights;
    std::uint64_t seed = 1;
    Duration heartbeat = seconds(1);
    Duration syncTimeout = seconds(1);
    Duration tick = milliseconds(5);
};

/// Runs a CellOwner: executes its actions as calls to the store and to workers. Everything except the HTTP server's
/// connections runs on one strand.
class PlacerServer
{
public:
    PlacerServer(Runtime &runtime, PlacerSettings settings);

    /// Binds the address and starts the loops. Returns the bound address, or the reason why binding failed.
    tl::expected<Endpoint, std::string> start();

    /// Stops starting tasks, records the runs that have ended and releases the store lease. Running tasks continue.
    awaitable<void> stop();

private:
    awaitable<HttpResponse> handleRequest(HttpRequest request);
    awaitable<HttpResponse> handleOnStrand(HttpRequest request);
    HttpResponse announce(const HttpRequest &request);

    void handle(const OwnerEvent &event);
    void perform(OwnerAction action);
    awaitable<void> sync(SendSync action);
    awaitable<void> runCommand(StoreCommand command);

    awaitable<void> tickLoop();
    awaitable<void> ownershipLoop();
    awaitable<void> watchLoop();
    awaitable<void> takeOver(std::int64_t epoch);
    awaitable<std::optional<CellContents>> readContents();
    void applyListing(const StoreListing &listing);
    [[nodiscard]] Labels labelsOf(const Worker &worker) const;
    [[nodiscard]] Job configuredJob(const Job &job) const;

    Runtime &m_runtime;
    PlacerSettings m_settings;
    Asio::any_io_executor m_strand;
    MetricsRegistry m_metrics;
    std::shared_ptr<StoreClient> m_store;
    std::shared_ptr<StoreLeaseKeeper> m_lease;
    ConfigTable m_config;
    std::shared_ptr<ConfigAgent> m_agent;
    HttpServer m_server;
    HttpClient m_client;
    CellOwner m_owner;
    /// Store index of the last read of the jobs.
    std::uint64_t m_jobsIndex = 0;
    std::uint64_t m_configGeneration = 0;
    /// The last epoch that this placer stepped down from because of a newer owner.
    std::int64_t m_supersededEpoch = 0;
    bool m_stopping = false;
};

} // namespace Trefoilhoist::Placer
