#pragma once

#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/routing/internal/callerqueue.h"
#include "trefoilhoist/routing/internal/policy.h"
#include "trefoilhoist/routing/internal/retrybudget.h"
#include "trefoilhoist/routing/router.h"

#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// This entry's rank by id among the entries that share the minions, and their number.
struct EntryRank {
    int rank = 0;
    int entries = 1;
};

/// The minions of one service, its waiting requests and its retry budget.
class ServicePool
{
public:
    using Actions = std::vector<RouteAction>;

    ServicePool(const RouterSettings &settings, std::uint64_t seed);

    /// Lists a minion or updates a listed one. `peerInFlight` is the number of requests of other entries on it.
    void addMinion(const Minion &minion, int peerInFlight, EntryRank entryRank);
    /// Unlists every minion for whose id `keep` returns false. It is removed once it has no requests in flight.
    void removeMinionsUnless(const std::function<bool(const MinionId &)> &keep);

    void admit(const RouteRequest &request, TimePoint now, Actions &actions);
    /// Returns false when no such attempt is in flight in this pool.
    bool finishAttempt(const AttemptResult &result, TimePoint now, Actions &actions);
    void tick(TimePoint now, Actions &actions);
    bool abandon(RequestNumber request);
    [[nodiscard]] bool consumeRetryBudget(TimePoint now);
    [[nodiscard]] std::optional<Duration> hedgeDelay(TimePoint now) const;

    void setPeers(const MinionId &minion, int peerInFlight);
    void setEntryRank(EntryRank entryRank);

    void addInFlight(std::map<MinionId, int> &inFlight) const;
    void addEjected(std::vector<MinionId> &ejected) const;
    [[nodiscard]] int connectionLimit(const MinionId &minion) const;
    [[nodiscard]] int queued() const;
    /// True when no minion is listed and no request is waiting or in flight.
    [[nodiscard]] bool isIdle() const;

private:
    struct Attempt {
        MinionLoad *load = nullptr;
        CallerRequests *caller = nullptr;
        bool probe = false;
    };
    using Attempts = std::unordered_multimap<RequestNumber, Attempt>;

    void dispatchWaiting(TimePoint now, Actions &actions);
    void enqueue(const RouteRequest &request, CallerRequests &caller, TimePoint now, Actions &actions);
    void admitHedge(const RouteRequest &request, CallerRequests &caller, Actions &actions);
    void makeRoom(const CallerRequests &caller, const RouteRequest &request, Actions &actions);
    void dispatch(const RouteRequest &request, CallerRequests &caller, MinionLoad &load, bool probe, Actions &actions);
    void refuse(const RouteRequest &request, const std::string &reason, Actions &actions) const;
    void refuseAll(const std::string &reason, Actions &actions);

    [[nodiscard]] MinionLoad *pickMinion(const RouteRequest &request);
    [[nodiscard]] MinionLoad *pickUntried(const MinionList &list, const std::vector<MinionId> &tried);
    [[nodiscard]] MinionLoad *findMinionToProbe(const RouteRequest &request, TimePoint now);
    [[nodiscard]] bool isOverShare(const CallerRequests &caller) const;
    [[nodiscard]] bool canDispatch(const CallerRequests &caller) const;
    [[nodiscard]] Duration expectedWait(const CallerRequests &caller) const;
    [[nodiscard]] bool isTooLate(const RouteRequest &request, TimePoint now, Duration wait) const;

    void assessAttempt(const Attempt &attempt, const AttemptResult &result, TimePoint now);
    void applyHealthAction(MinionLoad &load, HealthAction verdict, TimePoint now);
    void handleRefusal(MinionLoad &load, const AttemptResult &result, TimePoint now);
    void pause(MinionLoad &load, Duration duration, TimePoint now);
    void resumePaused(TimePoint now);
    void adjustLimit(MinionLoad &load, AttemptEnd end);
    void observeLatency(const AttemptResult &result, TimePoint now);

    void setShare(MinionLoad &load) const;
    void reindex(MinionLoad &load);
    [[nodiscard]] bool isAcceptingWork(const MinionLoad &load) const;
    void removeIfUnused(const MinionId &minion);

    const RouterSettings &m_settings;
    Policy m_policy;
    std::mt19937_64 m_random;
    EntryRank m_entryRank;
    std::unordered_map<MinionId, std::unique_ptr<MinionLoad>> m_loads;
    /// Minions that can accept a request, and those of them that are in this entry's zone and not nearly full.
    MinionList m_available;
    MinionList m_localAvailable;
    MinionList m_ejected;
    TimePoint m_nextProbeScan{};
    std::multimap<TimePoint, MinionId> m_paused;
    int m_listed = 0;
    int m_totalSlots = 0;
    int m_freeSlots = 0;
    int m_inFlight = 0;
    CallerQueue m_queue;
    RetryBudget m_budget;
    Attempts m_attempts;
    LatencyWindow m_latencies;
    /// Moving average of the latency of answers, weighted towards the latest.
    double m_meanLatencyUs = 0;
    std::uint64_t m_answers = 0;
};

} // namespace Trefoilhoist::Detail
