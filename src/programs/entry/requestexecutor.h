#pragma once

#include "attempttracker.h"
#include "entrysettings.h"

#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/net/httpmessage.h"
#include "trefoilhoist/routing/router.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Trefoilhoist {

/// A caller's request to a service.
struct ServiceRequest {
    ServiceId service;
    CallerId caller;
    /// The request for the minion; its target doesn't contain the service prefix.
    HttpRequest forward;
    bool idempotent = false;
    /// A second attempt may run concurrently with a slow one.
    bool hedging = true;
    TimePoint deadline{};
};

/// How a request ended: the answer for the caller and its verdict.
struct ServiceOutcome {
    Verdict verdict = Verdict::NotRun;
    HttpResponse response;
    /// The minion of the last attempt; empty if the request was never dispatched.
    MinionId minion;
};

/// How one attempt ended. `response` is set only if `end` is Answered or ServerError.
struct AttemptOutcome {
    AttemptEnd end = AttemptEnd::Refused;
    MinionId minion;
    HttpResponse response;
    std::string reason;
};

/// Returns the response for a request that got no answer from a minion: 503 for NotRun, otherwise 502, with the verdict
/// header.
[[nodiscard]] HttpResponse verdictResponse(Verdict verdict, const std::string &reason, Duration retryAfter);

/// Runs requests: waits for the router's decision, sends the request to a minion, and retries as AttemptTracker
/// decides. Thread-safe.
class RequestExecutor
{
public:
    RequestExecutor(const Asio::any_io_executor &executor,
                    const EntrySettings &settings,
                    std::string correlationPrefix,
                    const Clock &clock,
                    Router &router,
                    MetricsRegistry &metrics);
    ~RequestExecutor();
    RequestExecutor(const RequestExecutor &) = delete;
    RequestExecutor &operator=(const RequestExecutor &) = delete;

    /// Runs one request to its end. The calling coroutine must run on a strand.
    awaitable<ServiceOutcome> run(ServiceRequest request);

    /// Sets the function called with a minion that refuses a request because it is leaving. Call it before the first
    /// request.
    void setLeavingHandler(std::function<void(const Minion &)> handler);

    /// Passes routing actions to the requests that wait for them.
    void perform(std::vector<RouteAction> actions);

private:
    struct Waiter;
    struct HedgedDispatch;
    struct State;

    awaitable<RouteAction> route(const RouteRequest &request);
    awaitable<AttemptOutcome> attempt(const ServiceRequest &request, const Dispatch &dispatch);
    awaitable<AttemptOutcome> attemptAndRelease(const ServiceRequest &request, Dispatch dispatch);
    awaitable<AttemptOutcome>
    hedgedAttempt(std::shared_ptr<const ServiceRequest> request, RouteRequest routed, Dispatch dispatch);
    awaitable<void> hedge(std::shared_ptr<HedgedDispatch> hedged, RouteRequest routed);
    void startAttempt(const std::shared_ptr<HedgedDispatch> &hedged, const Dispatch &dispatch);

    std::unique_ptr<State> m_state;
};

} // namespace Trefoilhoist
