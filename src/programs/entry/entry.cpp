#include "entry.h"

#include "trefoilhoist/config/contracts.h"
#include "trefoilhoist/store/consulstoreclient.h"
#include "trefoilhoist/store/meteredstoreclient.h"

#include <glog/logging.h>

namespace Trefoilhoist {

namespace {

constexpr Duration idlePollInterval = milliseconds(10);
constexpr Duration contractPollInterval = milliseconds(250);

// Unique for each incarnation of each entry, so that an answer to a request of an earlier incarnation is never matched
// with a request of this one.
std::string correlationPrefix(const EntrySettings &settings, std::int64_t incarnation)
{
    return settings.id.str() + "-" + std::to_string(incarnation) + "-";
}

std::shared_ptr<StoreClient>
createStoreClient(Runtime &runtime, const EntrySettings &settings, MetricsRegistry &metrics)
{
    if (!settings.store) {
        return nullptr;
    }
    ConsulStoreOptions options;
    options.addresses = {*settings.store};
    options.caller = "entry/" + settings.id.str();
    StoreBudget budget;
    budget.role = "entry";
    budget.seed = static_cast<std::uint64_t>(runtime.incarnation());
    return std::make_shared<MeteredStoreClient>(
        std::make_shared<ConsulStoreClient>(runtime.executor(), options), budget, runtime.clock(), metrics);
}

} // namespace

Entry::Entry(Runtime &runtime, EntrySettings settings)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_metrics(runtime.clock())
    , m_store(createStoreClient(runtime, m_settings, m_metrics))
    , m_configAgent(std::make_shared<ConfigAgent>(m_config, m_store, configAgentOptions(m_settings.id.str())))
    , m_membership(m_settings.id, m_settings.membership)
    , m_router(m_settings.routing)
    , m_requests(runtime.executor(),
                 m_settings,
                 correlationPrefix(m_settings, runtime.incarnation()),
                 runtime.clock(),
                 m_router,
                 m_metrics)
    , m_feed(runtime.clock(), m_membership, m_router, m_requests)
    , m_exchange(runtime.executor(),
                 m_settings,
                 runtime.incarnation(),
                 runtime.clock(),
                 m_membership,
                 m_router,
                 *m_configAgent,
                 m_metrics)
    , m_claims(runtime.executor(), m_settings, runtime.incarnation(), runtime.clock(), m_exchange.peers(), m_metrics)
    , m_entryServer(m_settings,
                    {runtime.clock(), m_membership, m_requests, m_claims, m_feed, m_config, m_burn, m_metrics})
    , m_http(runtime.executor(),
             m_settings.http,
             [this](HttpRequest request) { return m_entryServer.handle(std::move(request)); })
    , m_peerServer(runtime.executor(), m_settings.id.str(), runtime.incarnation(), [this](Wire::Envelope envelope) {
        return handlePeerCall(std::move(envelope));
    })
{
    m_requests.setLeavingHandler([this](const Minion &minion) {
        m_membership.markLeaving(minion.id, minion.incarnation, m_runtime.clock().now());
    });
    if (m_store) {
        m_jobs.emplace(runtime.executor(), *m_store, m_settings.cell, m_settings.id.str());
        m_entryServer.setJobHandler([this](HttpRequest request) { return m_jobs->handle(std::move(request)); });
    }
}

void Entry::start()
{
    const auto peerPort = m_peerServer.listen(m_settings.peerListen);
    if (!peerPort) {
        m_runtime.failStart("/peerListen", peerPort.error());
    }
    const auto port = m_http.listen(m_settings.listen);
    if (!port) {
        m_runtime.failStart("/listen", port.error());
    }
    spawn(m_runtime.executor(), "minion feed", [this] { return m_feed.loop(); });
    spawn(m_runtime.executor(), "contracts", [this] { return contractLoop(); });
    m_exchange.start();
    m_claims.start();
    if (m_store) {
        m_configAgent->startWatching(m_runtime.executor());
    }
    m_runtime.onStop([this] { return stop(); });
    m_runtime.ready("http=" + Endpoint{m_settings.listen.host, *port}.str()
                    + " peer=" + Endpoint{m_settings.peerListen.host, *peerPort}.str());
}

awaitable<std::optional<Wire::Envelope>> Entry::handlePeerCall(Wire::Envelope envelope)
{
    auto reply = m_exchange.handle(envelope);
    co_return reply ? std::move(reply) : m_claims.handle(envelope);
}

awaitable<void> Entry::contractLoop()
{
    std::uint64_t applied = 0;
    while (true) {
        const auto generation = m_config.generation();
        if (generation != applied) {
            for (const auto &contract : contractsFrom(m_config)) {
                m_burn.setContract(contract);
            }
            applied = generation;
        }
        co_await sleepFor(contractPollInterval);
    }
}

awaitable<void> Entry::waitUntilIdle()
{
    const auto end = m_runtime.clock().now() + m_settings.stop.drain;
    while ((m_http.inFlight() > 0 || m_claims.unacknowledged() > 0) && m_runtime.clock().now() < end) {
        co_await sleepFor(idlePollInterval);
    }
}

awaitable<void> Entry::stop()
{
    m_entryServer.setUnready();
    m_exchange.setDraining();
    LOG(INFO) << "event=unready entry=" << m_settings.id << " grace_us=" << m_settings.stop.grace.count();
    co_await sleepFor(m_settings.stop.grace);
    m_http.drain();
    co_await waitUntilIdle();
    m_http.close();
    co_await waitUntilIdle();
    if (m_http.inFlight() > 0) {
        LOG(ERROR) << "event=requests_cut count=" << m_http.inFlight();
    }
    m_peerServer.close();
}

} // namespace Trefoilhoist
