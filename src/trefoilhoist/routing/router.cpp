#include "trefoilhoist/routing/router.h"

#include "trefoilhoist/internal/rankedmutex.h"
#include "trefoilhoist/routing/internal/peerloads.h"
#include "trefoilhoist/routing/internal/servicepool.h"

#include <iterator>
#include <mutex>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace Trefoilhoist {

namespace {

/// Age at which a peer's report expires.
constexpr Duration peerReportTimeout = seconds(3);

} // namespace

struct Router::State {
    RouterSettings settings;
    mutable Detail::RankedMutex mutex{Detail::LockRank::Slots};
    std::unordered_map<ServiceId, std::unique_ptr<Detail::ServicePool>> pools;
    std::unordered_map<MinionId, ServiceId> services;
    Detail::PeerLoads peers;
    std::uint64_t poolsCreated = 0;

    Detail::ServicePool &getOrCreatePool(const ServiceId &service)
    {
        auto &pool = pools[service];
        if (!pool) {
            pool = std::make_unique<Detail::ServicePool>(settings, settings.seed + poolsCreated++);
        }
        return *pool;
    }

    [[nodiscard]] Detail::ServicePool *findPool(const ServiceId &service) const
    {
        const auto it = pools.find(service);
        return it == pools.end() ? nullptr : it->second.get();
    }

    void updatePeerLoads(const std::vector<MinionId> &changed)
    {
        for (const auto &id : changed) {
            const auto it = services.find(id);
            if (it != services.end()) {
                getOrCreatePool(it->second).setPeers(id, peers.sum(id));
            }
        }
    }

    void updateEntryRank(int previousEntryCount)
    {
        const auto rank = peers.rankOf(settings.self);
        if (rank.entries == previousEntryCount) {
            return;
        }
        for (const auto &[service, pool] : pools) {
            pool->setEntryRank(rank);
        }
    }

    void removePeer(const EntryId &peer)
    {
        const int previousEntryCount = peers.rankOf(settings.self).entries;
        updatePeerLoads(peers.remove(peer));
        updateEntryRank(previousEntryCount);
    }
};

Router::Router(RouterSettings settings) : m_state(std::make_unique<State>())
{
    m_state->settings = std::move(settings);
}

Router::~Router() = default;

std::vector<RouteAction> Router::setMinions(const std::vector<Minion> &minions, TimePoint now)
{
    std::lock_guard lock(m_state->mutex);
    std::unordered_map<MinionId, ServiceId> services;
    services.reserve(minions.size());
    const auto rank = m_state->peers.rankOf(m_state->settings.self);
    for (const auto &minion : minions) {
        if (minion.leaving) {
            continue;
        }
        services.emplace(minion.id, minion.service);
        m_state->getOrCreatePool(minion.service).addMinion(minion, m_state->peers.sum(minion.id), rank);
    }
    std::vector<RouteAction> actions;
    for (const auto &[service, pool] : m_state->pools) {
        pool->removeMinionsUnless([&, &poolService = service](const MinionId &id) {
            const auto it = services.find(id);
            return it != services.end() && it->second == poolService;
        });
        pool->tick(now, actions);
    }
    m_state->services = std::move(services);
    std::erase_if(m_state->pools, [](const auto &row) { return row.second->isIdle(); });
    return actions;
}

std::vector<RouteAction> Router::admit(const RouteRequest &request, TimePoint now)
{
    std::lock_guard lock(m_state->mutex);
    std::vector<RouteAction> actions;
    auto *const pool = m_state->findPool(request.service);
    if (pool == nullptr) {
        actions.emplace_back(Refuse{request.number, "no minion serves " + request.service.str(), seconds(1)});
        return actions;
    }
    pool->admit(request, now, actions);
    return actions;
}

std::vector<RouteAction> Router::finishAttempt(const AttemptResult &result, TimePoint now)
{
    std::lock_guard lock(m_state->mutex);
    std::vector<RouteAction> actions;
    const auto it = m_state->services.find(result.minion);
    auto *const listedPool = it == m_state->services.end() ? nullptr : m_state->findPool(it->second);
    if (listedPool != nullptr && listedPool->finishAttempt(result, now, actions)) {
        return actions;
    }
    // The minion left the list or changed its service after the dispatch.
    for (const auto &[service, pool] : m_state->pools) {
        if (pool.get() != listedPool && pool->finishAttempt(result, now, actions)) {
            break;
        }
    }
    return actions;
}

std::vector<RouteAction> Router::tick(TimePoint now)
{
    std::lock_guard lock(m_state->mutex);
    for (const auto &peer : m_state->peers.stalePeers(now - peerReportTimeout)) {
        m_state->removePeer(peer);
    }
    std::vector<RouteAction> actions;
    for (const auto &[service, pool] : m_state->pools) {
        pool->tick(now, actions);
    }
    return actions;
}

void Router::abandon(RequestNumber request)
{
    std::lock_guard lock(m_state->mutex);
    for (const auto &[service, pool] : m_state->pools) {
        if (pool->abandon(request)) {
            return;
        }
    }
}

bool Router::consumeRetryBudget(const ServiceId &service, TimePoint now)
{
    std::lock_guard lock(m_state->mutex);
    auto *const pool = m_state->findPool(service);
    return pool != nullptr && pool->consumeRetryBudget(now);
}

std::optional<Duration> Router::hedgeDelay(const ServiceId &service, TimePoint now) const
{
    std::lock_guard lock(m_state->mutex);
    const auto *const pool = m_state->findPool(service);
    return pool == nullptr ? std::nullopt : pool->hedgeDelay(now);
}

void Router::setPeerLoad(const EntryId &peer, const std::map<MinionId, int> &inFlight, TimePoint now)
{
    std::lock_guard lock(m_state->mutex);
    const int previousEntryCount = m_state->peers.rankOf(m_state->settings.self).entries;
    m_state->updatePeerLoads(m_state->peers.set(peer, inFlight, now));
    m_state->updateEntryRank(previousEntryCount);
}

void Router::removePeer(const EntryId &peer)
{
    std::lock_guard lock(m_state->mutex);
    m_state->removePeer(peer);
}

std::map<MinionId, int> Router::inFlight() const
{
    std::lock_guard lock(m_state->mutex);
    std::map<MinionId, int> inFlight;
    for (const auto &[service, pool] : m_state->pools) {
        pool->addInFlight(inFlight);
    }
    return inFlight;
}

int Router::queued() const
{
    std::lock_guard lock(m_state->mutex);
    int queued = 0;
    for (const auto &[service, pool] : m_state->pools) {
        queued += pool->queued();
    }
    return queued;
}

int Router::connectionLimit(const MinionId &minion) const
{
    std::lock_guard lock(m_state->mutex);
    const auto it = m_state->services.find(minion);
    const auto *const pool = it == m_state->services.end() ? nullptr : m_state->findPool(it->second);
    return pool == nullptr ? 0 : pool->connectionLimit(minion);
}

std::vector<MinionId> Router::ejected() const
{
    std::lock_guard lock(m_state->mutex);
    std::vector<MinionId> ejected;
    for (const auto &[service, pool] : m_state->pools) {
        pool->addEjected(ejected);
    }
    return ejected;
}

} // namespace Trefoilhoist
