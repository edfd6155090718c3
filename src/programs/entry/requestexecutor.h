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

/// A caller's request, taken apart.
struct ServiceRequest {
    ServiceId service;
    CallerId caller;
    /// As the minion gets it: target without the service's prefix.
    HttpRequest forward;
    bool idempotent = false;
    /// A second attempt may run beside a slow one.
    bool hedging = true;
    TimePoint deadline{};
};

/// How a request ended: the answer for the caller, and the verdict that it carries.
struct ServiceOutcome {
    Verdict verdict = Verdict::NotRun;
    HttpResponse response;
    /// The minion of the last attempt; empty when none was reached.
    MinionId minion;
};

/// How one attempt ended; `response` is whole when the end is an answer.
struct AttemptOutcome {
    AttemptEnd end = AttemptEnd::Refused;
    MinionId minion;
    HttpResponse response;
    std::string reason;
};

/// An answer without a minion's answer: 503, 502 or 504 with the verdict's header.
[[nodiscard]] HttpResponse verdictResponse(Verdict verdict, const std::string &reason, Duration retryAfter);

/// Carries requests from queue to answer: asks the router, sends to minions, retries by the rules of
/// AttemptTracker. Thread-safe.
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

    /// Runs one request to its end. The calling coroutine runs on a strand.
    awaitable<ServiceOutcome> run(ServiceRequest request);

    /// Called with a minion that refused a request because it is leaving. Set before the first request.
    void setLeavingHandler(std::function<void(const Minion &)> handler);

    /// Hands routing actions to the requests that wait for them.
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
