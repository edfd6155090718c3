#include "requestexecutor.h"

#include "trefoilhoist/internal/invariant.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>

// GCC 12 reports a false mismatch of operator delete when it inlines a coroutine (GCC bug 109224).
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace Trefoilhoist {

namespace {

constexpr int statusNotRun = 503;
constexpr int statusMayHaveRun = 502;
constexpr int firstServerError = 500;
constexpr Duration defaultRetryAfter = seconds(1);
// Each attempt times out at the deadline by itself; the extra time lets its result arrive.
constexpr Duration attemptEndMargin = milliseconds(100);

RequestNumber requestOf(const RouteAction &action)
{
    return std::visit([](const auto &it) { return it.request; }, action);
}

// Replaces the internal correlation header by the verdict and the minion's id; keeps the minion's other headers.
HttpResponse callerResponse(HttpResponse answer, const MinionId &minion)
{
    answer.headers.erase(correlationHeader);
    answer.headers.set(verdictHeader, std::string(verdictName(Verdict::Ran)));
    answer.headers.set(minionHeader, minion.str());
    return answer;
}

bool isRefusal(const HttpResponse &answer)
{
    return answer.headers.get(verdictHeader) == verdictName(Verdict::NotRun);
}

} // namespace

HttpResponse verdictResponse(Verdict verdict, const std::string &reason, Duration retryAfter)
{
    const bool notRun = verdict == Verdict::NotRun;
    auto response = textResponse(notRun ? statusNotRun : statusMayHaveRun, reason + "\n");
    response.headers.set(verdictHeader, std::string(verdictName(verdict)));
    if (notRun) {
        const auto wait = std::max<std::int64_t>(1, std::chrono::ceil<seconds>(retryAfter).count());
        response.headers.set(retryAfterHeader, std::to_string(wait));
    }
    return response;
}

// A request that waits for its routing action. Used only on the strand of its coroutine.
struct RequestExecutor::Waiter {
    Asio::steady_timer timer;
    std::optional<RouteAction> action;

    explicit Waiter(const Asio::any_io_executor &executor) : timer(executor) { }
};

// The concurrent attempts of one dispatch: the first, and possibly a hedge. Used only on the request's strand.
struct RequestExecutor::HedgedDispatch {
    Asio::steady_timer timer;
    std::shared_ptr<const ServiceRequest> request;
    int inFlight = 0;
    /// The first complete answer, or else the end of the latest attempt. Only an answer replaces Lost.
    AttemptOutcome outcome;

    HedgedDispatch(const Asio::any_io_executor &executor, std::shared_ptr<const ServiceRequest> original)
        : timer(executor), request(std::move(original))
    {
    }

    [[nodiscard]] bool answered() const
    {
        return outcome.end == AttemptEnd::Answered || outcome.end == AttemptEnd::ServerError;
    }

    void applyEnd(AttemptOutcome attempt)
    {
        --inFlight;
        const bool hasResponse = attempt.end == AttemptEnd::Answered || attempt.end == AttemptEnd::ServerError;
        if (!answered() && (hasResponse || outcome.end != AttemptEnd::Lost)) {
            outcome = std::move(attempt);
        }
        timer.cancel();
    }
};

struct RequestExecutor::State {
    EntrySettings settings;
    std::string correlationPrefix;
    const Clock &clock;
    Router &router;
    MetricsRegistry &metrics;
    HttpClient client;
    std::atomic<RequestNumber> lastNumber = 0;
    std::mutex mutex;
    std::unordered_map<RequestNumber, std::shared_ptr<Waiter>> waiting;
    std::function<void(const Minion &)> leavingHandler;

    State(const Asio::any_io_executor &executor,
          const EntrySettings &entrySettings,
          std::string prefix,
          const Clock &runtimeClock,
          Router &requestRouter,
          MetricsRegistry &registry)
        : settings(entrySettings)
        , correlationPrefix(std::move(prefix))
        , clock(runtimeClock)
        , router(requestRouter)
        , metrics(registry)
        , client(executor)
    {
    }

    std::shared_ptr<Waiter> takeWaiter(RequestNumber request)
    {
        std::lock_guard lock(mutex);
        const auto it = waiting.find(request);
        if (it == waiting.end()) {
            return nullptr;
        }
        auto waiter = std::move(it->second);
        waiting.erase(it);
        return waiter;
    }
};

RequestExecutor::RequestExecutor(const Asio::any_io_executor &executor,
                                 const EntrySettings &settings,
                                 std::string correlationPrefix,
                                 const Clock &clock,
                                 Router &router,
                                 MetricsRegistry &metrics)
    : m_state(std::make_unique<State>(executor, settings, std::move(correlationPrefix), clock, router, metrics))
{
}

RequestExecutor::~RequestExecutor() = default;

void RequestExecutor::perform(std::vector<RouteAction> actions)
{
    std::deque<RouteAction> todo(std::make_move_iterator(actions.begin()), std::make_move_iterator(actions.end()));
    while (!todo.empty()) {
        auto action = std::move(todo.front());
        todo.pop_front();
        if (std::holds_alternative<Enqueued>(action)) {
            continue;
        }
        if (auto waiter = m_state->takeWaiter(requestOf(action))) {
            Asio::post(waiter->timer.get_executor(), [waiter, action = std::move(action)]() mutable {
                waiter->action = std::move(action);
                waiter->timer.cancel();
            });
            continue;
        }
        // The request is no longer waiting: return its slot unused.
        if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
            const AttemptResult unused{dispatch->request, dispatch->minion.id, AttemptEnd::Refused, Duration{}};
            auto more = m_state->router.finishAttempt(unused, m_state->clock.now());
            std::move(more.begin(), more.end(), std::back_inserter(todo));
        }
    }
}

awaitable<RouteAction> RequestExecutor::route(const RouteRequest &request)
{
    auto waiter = std::make_shared<Waiter>(co_await Asio::this_coro::executor);
    {
        std::lock_guard lock(m_state->mutex);
        m_state->waiting[request.number] = waiter;
    }
    waiter->timer.expires_after(std::max(Duration{}, request.deadline - m_state->clock.now()));
    perform(m_state->router.admit(request, m_state->clock.now()));

    boost::system::error_code ec;
    while (!waiter->action) {
        co_await waiter->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        if (!ec && !waiter->action && m_state->takeWaiter(request.number)) {
            m_state->router.abandon(request.number);
            co_return Refuse{request.number, "no free minion within the deadline", defaultRetryAfter};
        }
    }
    co_return *waiter->action;
}

awaitable<AttemptOutcome> RequestExecutor::attempt(const ServiceRequest &request, const Dispatch &dispatch)
{
    AttemptOutcome outcome;
    outcome.minion = dispatch.minion.id;
    const auto start = m_state->clock.now();
    const auto left = request.deadline - start;
    if (left <= Duration{}) {
        outcome.reason = "the deadline passed before the request was sent";
        co_return outcome;
    }
    HttpCallOptions options;
    options.timeout = left;
    options.connectTimeout = m_state->settings.requests.connectTimeout;
    options.maxBodyBytes = m_state->settings.requests.maxAnswerBytes;
    options.maxIdle = m_state->router.connectionLimit(dispatch.minion.id);
    options.correlation = m_state->correlationPrefix + std::to_string(dispatch.request) + "-"
        + std::to_string(m_state->lastNumber.fetch_add(1));
    auto forward = request.forward;
    forward.headers.set(deadlineHeader, std::to_string(std::max<std::int64_t>(1, left.count() / 1000)));

    auto result = co_await m_state->client.call(dispatch.minion.endpoint, std::move(forward), options);
    if (!result) {
        outcome.reason = result.error().reason;
        outcome.end = result.error().verdict == Verdict::NotRun ? AttemptEnd::Unreachable : AttemptEnd::Lost;
        co_return outcome;
    }
    TREFOILHOIST_INVARIANT(result->headers.get(correlationHeader) == options.correlation, "P4 own whole answer");
    if (isRefusal(*result)) {
        outcome.reason = "refused by minion " + dispatch.minion.id.str();
        outcome.end = result->headers.has(leavingHeader) ? AttemptEnd::Leaving : AttemptEnd::Refused;
        co_return outcome;
    }
    outcome.response = callerResponse(std::move(*result), dispatch.minion.id);
    outcome.end = outcome.response.status >= firstServerError ? AttemptEnd::ServerError : AttemptEnd::Answered;
    co_return outcome;
}

awaitable<AttemptOutcome> RequestExecutor::attemptAndRelease(const ServiceRequest &request, Dispatch dispatch)
{
    const auto start = m_state->clock.now();
    auto outcome = co_await attempt(request, dispatch);
    const auto now = m_state->clock.now();
    if (outcome.end == AttemptEnd::Leaving && m_state->leavingHandler) {
        m_state->leavingHandler(dispatch.minion);
    }
    perform(m_state->router.finishAttempt({dispatch.request, dispatch.minion.id, outcome.end, now - start}, now));
    co_return outcome;
}

void RequestExecutor::startAttempt(const std::shared_ptr<HedgedDispatch> &hedged, const Dispatch &dispatch)
{
    ++hedged->inFlight;
    spawnOn(hedged->timer.get_executor(), "attempt", [this, hedged, dispatch]() -> awaitable<void> {
        auto outcome = co_await attemptAndRelease(*hedged->request, dispatch);
        hedged->applyEnd(std::move(outcome));
    });
}

awaitable<void> RequestExecutor::hedge(std::shared_ptr<HedgedDispatch> hedged, RouteRequest routed)
{
    TREFOILHOIST_INVARIANT(hedged->request->idempotent, "P6 at most once");
    const auto now = m_state->clock.now();
    if (!m_state->router.consumeRetryBudget(routed.service, now)) {
        co_return;
    }
    routed.number = m_state->lastNumber.fetch_add(1) + 1;
    routed.hedge = true;
    const auto action = co_await route(routed);
    const auto *dispatch = std::get_if<Dispatch>(&action);
    m_state->metrics.counter("trefoilhoist_hedges_total", {{"sent", dispatch != nullptr ? "yes" : "no"}}).add();
    if (dispatch != nullptr) {
        startAttempt(hedged, *dispatch);
    }
}

awaitable<AttemptOutcome>
RequestExecutor::hedgedAttempt(std::shared_ptr<const ServiceRequest> request, RouteRequest routed, Dispatch dispatch)
{
    const auto delay = m_state->router.hedgeDelay(routed.service, m_state->clock.now());
    if (!routed.idempotent || !request->hedging || !m_state->settings.requests.hedging || !delay) {
        co_return co_await attemptAndRelease(*request, dispatch);
    }
    auto hedged = std::make_shared<HedgedDispatch>(co_await Asio::this_coro::executor, request);
    startAttempt(hedged, dispatch);
    boost::system::error_code ec;
    hedged->timer.expires_after(*delay);
    co_await hedged->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
    if (!ec && hedged->inFlight > 0) {
        routed.tried.push_back(dispatch.minion.id);
        co_await hedge(hedged, routed);
    }
    while (hedged->inFlight > 0 && !hedged->answered()) {
        hedged->timer.expires_after(std::max(Duration{}, routed.deadline - m_state->clock.now()) + attemptEndMargin);
        co_await hedged->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
    }
    co_return hedged->outcome;
}

awaitable<ServiceOutcome> RequestExecutor::run(ServiceRequest original)
{
    const auto request = std::make_shared<const ServiceRequest>(std::move(original));
    AttemptTracker tracker({request->idempotent, request->deadline, m_state->settings.requests.maxAttempts});
    RouteRequest routed;
    routed.caller = request->caller;
    routed.service = request->service;
    routed.deadline = request->deadline;
    routed.idempotent = request->idempotent;
    std::string reason;
    MinionId last;
    while (true) {
        routed.number = m_state->lastNumber.fetch_add(1) + 1;
        routed.tried = tracker.tried();
        const auto action = co_await route(routed);
        if (const auto *refusal = std::get_if<Refuse>(&action)) {
            const auto end = tracker.giveUp(reason.empty() ? refusal->reason : reason + "; " + refusal->reason);
            co_return ServiceOutcome{end.verdict, verdictResponse(end.verdict, end.reason, refusal->retryAfter), last};
        }

        const auto &dispatch = std::get<Dispatch>(action);
        tracker.dispatched(dispatch.minion.id);
        auto outcome = co_await hedgedAttempt(request, routed, dispatch);
        last = outcome.minion;
        reason = outcome.reason;
        const auto now = m_state->clock.now();
        const auto step = tracker.attemptEnded(
            outcome.end, reason, now, [&] { return m_state->router.consumeRetryBudget(request->service, now); });
        if (std::holds_alternative<ForwardAnswer>(step)) {
            co_return ServiceOutcome{Verdict::Ran, std::move(outcome.response), last};
        }
        if (const auto *stop = std::get_if<GiveUp>(&step)) {
            co_return ServiceOutcome{
                stop->verdict, verdictResponse(stop->verdict, stop->reason, defaultRetryAfter), last};
        }
        routed.attempt = std::get<TryAgain>(step).attempt;
    }
}

void RequestExecutor::setLeavingHandler(std::function<void(const Minion &)> handler)
{
    m_state->leavingHandler = std::move(handler);
}

} // namespace Trefoilhoist
