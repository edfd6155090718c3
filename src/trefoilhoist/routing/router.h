#pragma once

#include "trefoilhoist/verdict/verdict.h"
#include "trefoilhoist/world/world.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// Identifies a request within this entry.
using RequestNumber = std::uint64_t;

/// The properties of a request that routing depends on.
struct RouteRequest {
    RequestNumber number = 0;
    CallerId caller;
    ServiceId service;
    TimePoint deadline{};
    /// True for a safe HTTP method or a route labelled idempotent.
    bool idempotent = false;
    /// 1 for this entry's first attempt; a retry draws on the retry budget.
    int attempt = 1;
    /// Minions to which this request was already sent.
    std::vector<MinionId> tried;
    /// A second attempt while the first one is in flight. It is dispatched to another minion at once or refused.
    bool hedge = false;
};

/// Send the request to this minion now.
struct Dispatch {
    RequestNumber request = 0;
    Minion minion;
};

/// The request is queued; a later action dispatches or refuses it.
struct Enqueued {
    RequestNumber request = 0;
};

/// Answer the request with a refusal; this attempt did not run it.
struct Refuse {
    RequestNumber request = 0;
    std::string reason;
    Duration retryAfter{};
};

using RouteAction = std::variant<Dispatch, Enqueued, Refuse>;

/// How an attempt on a minion ended.
enum class AttemptEnd {
    /// A complete answer arrived.
    Answered,
    /// The minion itself answered with a server error.
    ServerError,
    /// The minion refused the request without running it, for example because it had no free slot, and did not announce
    /// that it is leaving.
    Refused,
    /// The minion refused the request without running it and announced that it is leaving.
    Leaving,
    /// No connection could be made.
    Unreachable,
    /// The request was sent, but no complete answer arrived in time.
    Lost,
};

/// The result of one attempt, with its latency.
struct AttemptResult {
    RequestNumber request = 0;
    MinionId minion;
    AttemptEnd end = AttemptEnd::Answered;
    Duration latency{};
};

/// How requests are distributed over the minions.
enum class RoutingPolicy { LeastInFlight, PowerOfTwo, FairShare };

/// The name of a policy in settings and reports, for example "power-of-two".
[[nodiscard]] std::string_view routingPolicyName(RoutingPolicy policy);
[[nodiscard]] std::optional<RoutingPolicy> routingPolicyFromName(std::string_view name);

/// Turns mechanisms of routing off. Only tests and simulations use it, to show that each mechanism has an effect.
struct RouterSwitches {
    bool fairQueue = true;
    /// Keeps a share of the slots free for callers that are within their share.
    bool callerReserve = true;
    bool deadlines = true;
    bool ejection = true;
    bool retryBudget = true;
    bool pauseAfterRefusal = true;
    bool preferLocalZone = true;
};

/// Settings of a router: the policy, this entry's identity and the limits.
struct RouterSettings {
    RoutingPolicy policy = RoutingPolicy::FairShare;
    /// This entry's id. The order of the ids decides which entries get the slots that an even division leaves over.
    EntryId self;
    ZoneId zone;
    /// Limit on the requests waiting for one service.
    int maxQueued = 256;
    /// Longest wait for a slot, in multiples of the service's mean latency. A request that would wait longer is
    /// refused at once.
    double maxQueueWait = 1.5;
    /// Retries allowed as a share of first attempts.
    double retryBudget = 0.1;
    /// Largest share of a service's minions that may be ejected at the same time.
    double maxEjected = 0.34;
    std::uint64_t seed = 1;
    RouterSwitches switches;
};

/// Decides which minion serves a request, and when. Does no I/O and reads no clock; the time is passed in as `now`.
/// Thread-safe; its mutex has rank Slots, see LockRank.
class Router
{
public:
    explicit Router(RouterSettings settings);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Replaces the list of minions that accept requests. Requests in flight on minions that left the list stay
    /// counted until they end.
    [[nodiscard]] std::vector<RouteAction> setMinions(const std::vector<Minion> &minions, TimePoint now);

    /// Routes a request. Returns exactly one action for it, and may return others for waiting requests.
    [[nodiscard]] std::vector<RouteAction> admit(const RouteRequest &request, TimePoint now);

    /// Frees the slot of an attempt that ended. May dispatch waiting requests.
    [[nodiscard]] std::vector<RouteAction> finishAttempt(const AttemptResult &result, TimePoint now);

    /// Removes expired peer reports, dispatches waiting requests and refuses those whose deadline can't be met.
    [[nodiscard]] std::vector<RouteAction> tick(TimePoint now);

    /// Removes a waiting request whose caller disconnected.
    void abandon(RequestNumber request);

    /// Takes one retry or hedge from the service's budget; false when the budget doesn't allow one.
    [[nodiscard]] bool consumeRetryBudget(const ServiceId &service, TimePoint now);

    /// How long to wait for the answer to an idempotent request before a hedge is worth its cost; nullopt while too
    /// few latencies of the service were measured.
    [[nodiscard]] std::optional<Duration> hedgeDelay(const ServiceId &service, TimePoint now) const;

    /// Sets a peer entry's requests in flight per minion. The report expires after a few seconds.
    void setPeerLoad(const EntryId &peer, const std::map<MinionId, int> &inFlight, TimePoint now);
    /// Removes a peer entry's report, so the peer no longer takes up slots.
    void removePeer(const EntryId &peer);

    /// This entry's requests in flight per minion.
    [[nodiscard]] std::map<MinionId, int> inFlight() const;
    [[nodiscard]] int queued() const;
    /// Connections that this entry may hold open to a minion: its share of the limit that the minion sets for all
    /// entries together.
    [[nodiscard]] int connectionLimit(const MinionId &minion) const;
    /// Minions that receive only probes, because attempts of this entry on them failed or were slow.
    [[nodiscard]] std::vector<MinionId> ejected() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Trefoilhoist
