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

/// Number of a request within this entry.
using RequestNumber = std::uint64_t;

/// What routing needs to know of a request.
struct RouteRequest {
    RequestNumber number = 0;
    CallerId caller;
    ServiceId service;
    TimePoint deadline{};
    /// A safe method, or a route labelled idempotent.
    bool idempotent = false;
    /// 1 for the first try of this entry; a retry comes from the retry budget.
    int attempt = 1;
    /// Minions that this request was already sent to.
    std::vector<MinionId> tried;
    /// A second try beside one that still runs: goes to another minion at once or not at all.
    bool hedge = false;
};

/// Send the request to this minion now.
struct Dispatch {
    RequestNumber request = 0;
    Minion minion;
};

/// Keep the request until a later action names it.
struct Enqueued {
    RequestNumber request = 0;
};

/// Answer the request as refused; it was not run by this attempt.
struct Refuse {
    RequestNumber request = 0;
    std::string reason;
    Duration retryAfter{};
};

using RouteAction = std::variant<Dispatch, Enqueued, Refuse>;

/// How an attempt on a minion ended.
enum class AttemptEnd {
    /// A whole answer.
    Answered,
    /// The minion answered with a server error of its own.
    ServerError,
    /// The minion refused it as not run: no slot, or leaving.
    Refused,
    /// The minion refused it as not run and said that it is leaving.
    Leaving,
    /// No connection.
    Unreachable,
    /// Sent, and no whole answer came in time.
    Lost,
};

/// The end of one attempt.
struct AttemptResult {
    RequestNumber request = 0;
    MinionId minion;
    AttemptEnd end = AttemptEnd::Answered;
    Duration latency{};
};

/// How requests are spread over the minions.
enum class RoutingPolicy { LeastInFlight, PowerOfTwo, FairShare };

/// The name of a policy in settings and reports, for example "power-of-two".
[[nodiscard]] std::string_view routingPolicyName(RoutingPolicy policy);
[[nodiscard]] std::optional<RoutingPolicy> routingPolicyFromName(std::string_view name);

/// Turns parts of routing off. Only tests and trials do, to show that each part matters.
struct RouterSwitches {
    bool fairQueue = true;
    bool callerReserve = true;
    bool deadlines = true;
    bool ejection = true;
    bool retryBudget = true;
    bool pauseRefusing = true;
    bool preferLocalZone = true;
};

/// Limits and times of routing.
struct RouterSettings {
    RoutingPolicy policy = RoutingPolicy::FairShare;
    /// This entry; orders the entries that share a minion's slots.
    EntryId self;
    ZoneId zone;
    /// Requests waiting per service.
    int maxQueued = 256;
    /// A request that would wait longer for a slot, in mean latencies of its service, is refused at once.
    double maxQueueWait = 1.5;
    /// Retries allowed as a share of first attempts.
    double retryBudget = 0.1;
    /// Largest share of a service's minions that are ejected at once.
    double maxEjected = 0.34;
    std::uint64_t seed = 1;
    RouterSwitches switches;
};

/// Decides which minion serves a request, and when. No input or output, no clock: `now` is passed in.
/// Thread-safe; lock rank Slots.
class Router
{
public:
    explicit Router(RouterSettings settings);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Replaces the minions that take work. Requests in flight on others stay counted until they end.
    [[nodiscard]] std::vector<RouteAction> setMinions(const std::vector<Minion> &minions, TimePoint now);

    /// Routes a request: exactly one action for it, perhaps others for waiting requests.
    [[nodiscard]] std::vector<RouteAction> admit(const RouteRequest &request, TimePoint now);

    /// An attempt ended; its slot is free. Waiting requests may be dispatched.
    [[nodiscard]] std::vector<RouteAction> finishAttempt(const AttemptResult &result, TimePoint now);

    /// Refuses waiting requests whose deadline can't be met, probes ejected minions.
    [[nodiscard]] std::vector<RouteAction> tick(TimePoint now);

    /// The caller went away while its request waited.
    void abandon(RequestNumber request);

    /// True when the budget allows a retry or hedge now; takes it from the budget.
    [[nodiscard]] bool takeRetry(const ServiceId &service, TimePoint now);

    /// How long an idempotent request waits for its answer before a hedge is worth its cost; nothing while too
    /// little is known of the service's latencies.
    [[nodiscard]] std::optional<Duration> hedgeDelay(const ServiceId &service, TimePoint now) const;

    /// A peer entry's requests in flight per minion; older than a few seconds counts no more.
    void setPeerLoad(const EntryId &peer, const std::map<MinionId, int> &inFlight, TimePoint now);
    /// A peer entry that is gone holds no slots.
    void removePeer(const EntryId &peer);

    /// This entry's requests in flight per minion.
    [[nodiscard]] std::map<MinionId, int> inFlight() const;
    [[nodiscard]] int queued() const;
    /// Connections that this entry may hold open to a minion, so that all entries together keep its limit.
    [[nodiscard]] int connectionLimit(const MinionId &minion) const;
    /// Minions that get nothing but probes, by evidence of this entry.
    [[nodiscard]] std::vector<MinionId> ejected() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Trefoilhoist
