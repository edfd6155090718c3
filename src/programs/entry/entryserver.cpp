#include "entryserver.h"

#include "trefoilhoist/config/routes.h"

#include "announcement.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>

// GCC 12 reports a false mismatch of operator delete when it inlines a coroutine (GCC bug 109224).
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace Trefoilhoist {

namespace {

constexpr std::string_view internalPrefix = "/-/";
/// Service label: "true" if all methods of the service are idempotent.
constexpr std::string_view idempotentLabel = "idempotent";
/// Service label that lists the idempotent routes.
constexpr std::string_view idempotentRoutesLabel = "idempotent-routes";
/// Service label: "false" disables hedging of slow requests.
constexpr std::string_view hedgingLabel = "hedging";
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnready = 503;
constexpr int statusAnswerDropped = 409;
constexpr int statusKeyReused = 422;
constexpr int firstServerError = 500;

constexpr std::array<std::string_view, 3> safeMethods{"GET", "HEAD", "OPTIONS"};

HttpResponse refuse(int status, const std::string &reason)
{
    return badRequestResponse({status, reason});
}

// Hash of method, target and body; detects a key that is reused for a different request.
std::string requestFingerprint(const HttpRequest &request)
{
    const auto text = request.method + "\n" + request.target + "\n" + request.body;
    const auto hash = XXH3_128bits(text.data(), text.size());
    return std::to_string(hash.high64) + "-" + std::to_string(hash.low64);
}

ServiceOutcome replayOutcome(const ClaimedAnswer &answer)
{
    if (answer.dropped) {
        auto response = textResponse(statusAnswerDropped, "the request has run; its answer is no longer kept\n");
        response.headers.set(verdictHeader, std::string(verdictName(Verdict::Ran)));
        return {Verdict::Ran, std::move(response), {}};
    }
    auto response = answer.response;
    response.headers.set(replayedHeader, "true");
    return {Verdict::Ran, std::move(response), {}};
}

} // namespace

EntryServer::EntryServer(const EntrySettings &settings, EntryDependencies parts)
    : m_settings(settings), m_dependencies(parts)
{
}

void EntryServer::setJobHandler(JobHandler handler)
{
    m_jobs = std::move(handler);
}

void EntryServer::setUnready()
{
    m_ready = false;
}

awaitable<HttpResponse> EntryServer::handle(HttpRequest request)
{
    if (request.target.starts_with(servicesPrefix)) {
        co_return co_await handleServiceCall(std::move(request));
    }
    if (request.target.starts_with(internalPrefix)) {
        co_return co_await handleInternal(std::move(request));
    }
    co_return refuse(statusNotFound, "no such path");
}

bool EntryServer::idempotent(const ServiceRequest &call) const
{
    const auto &method = call.forward.method;
    if (std::find(safeMethods.begin(), safeMethods.end(), method) != safeMethods.end()) {
        return true;
    }
    const auto &service = call.service.str();
    if (m_dependencies.config.label(ObjectKind::Service, service, idempotentLabel, "false") == "true") {
        return true;
    }
    const auto routes
        = parseRoutes(m_dependencies.config.label(ObjectKind::Service, service, idempotentRoutesLabel, ""));
    return routes && std::any_of(routes->begin(), routes->end(), [&](const RoutePattern &route) {
               return route.matches(method, call.forward.path());
           });
}

awaitable<HttpResponse> EntryServer::handleServiceCall(HttpRequest request)
{
    const auto start = m_dependencies.clock.now();
    auto parsed = parseCallerRequest(std::move(request), m_settings.requests, start);
    if (!parsed) {
        co_return badRequestResponse(parsed.error());
    }
    parsed->call.idempotent = idempotent(parsed->call);
    parsed->call.hedging
        = m_dependencies.config.label(ObjectKind::Service, parsed->call.service.str(), hedgingLabel, "true") == "true";
    m_dependencies.feed.refresh();
    auto outcome = co_await execute(*parsed);
    recordOutcome(parsed->call, outcome, start);
    co_return std::move(outcome.response);
}

awaitable<ServiceOutcome> EntryServer::execute(const CallerRequest &request)
{
    if (request.call.idempotent) {
        co_return co_await m_dependencies.requests.run(request.call);
    }
    if (!request.key.empty()) {
        co_return co_await runClaimed(request.call, request.key, request.attempt);
    }
    if (request.attempt > 1) {
        const auto verdict = Verdict::MayHaveRun;
        co_return ServiceOutcome{
            verdict, verdictResponse(verdict, "a repeated request needs an Idempotency-Key", {}), {}};
    }
    co_return co_await m_dependencies.requests.run(request.call);
}

awaitable<ServiceOutcome> EntryServer::runClaimed(const ServiceRequest &request, std::string key, int attempt)
{
    // GCC 12 destroys a braced temporary in a co_await expression twice, so the arguments are named variables.
    ClaimKey claimKey{request.caller, request.service, std::move(key)};
    std::string fingerprint = requestFingerprint(request.forward);
    const auto claimed = co_await m_dependencies.claims.acquire(
        std::move(claimKey), std::move(fingerprint), attempt, request.deadline);
    if (const auto *replay = std::get_if<ClaimReplay>(&claimed)) {
        co_return replayOutcome(*replay->answer);
    }
    if (const auto *denied = std::get_if<ClaimDenied>(&claimed)) {
        auto response = verdictResponse(denied->verdict, denied->reason, seconds(1));
        if (denied->otherRequest) {
            response.status = statusKeyReused;
        }
        co_return ServiceOutcome{denied->verdict, std::move(response), {}};
    }
    const auto &hold = std::get<AcquiredClaim>(claimed);
    auto outcome = co_await m_dependencies.requests.run(request);
    m_dependencies.claims.finish(hold.claim, outcome.verdict, outcome.response);
    co_return outcome;
}

void EntryServer::recordOutcome(const ServiceRequest &request, const ServiceOutcome &outcome, TimePoint start)
{
    const auto now = m_dependencies.clock.now();
    const bool answered = outcome.verdict == Verdict::Ran && outcome.response.status < firstServerError;
    m_dependencies.burn.record({request.service, request.caller, outcome.minion, answered, now - start}, now);
    const std::string verdict(verdictName(outcome.verdict));
    m_dependencies.metrics
        .counter("trefoilhoist_requests_total", {{"service", request.service.str()}, {"verdict", verdict}})
        .add();
    m_dependencies.metrics.latency("trefoilhoist_request_seconds", {{"service", request.service.str()}})
        .record(now - start, now);
    if (outcome.verdict != Verdict::Ran) {
        LOG(WARNING) << "event=request_failed service=" << request.service << " caller=" << request.caller
                     << " verdict=" << verdict << " status=" << outcome.response.status;
    }
}

awaitable<HttpResponse> EntryServer::handleInternal(HttpRequest request)
{
    const auto path = request.path();
    if (path == "/-/health") {
        co_return health();
    }
    if (path == "/-/minions") {
        if (request.method == "POST") {
            co_return announce(request);
        }
        co_return jsonResponse(200, minionsToJson(m_dependencies.membership.records(m_dependencies.clock.now())));
    }
    if (path == "/-/metrics") {
        co_return metricsPage();
    }
    if (path == "/-/burn") {
        co_return jsonResponse(200, m_dependencies.burn.json(m_dependencies.clock.now()));
    }
    if (path == "/-/config") {
        co_return configVersions();
    }
    if (path == "/-/jobs" || path.starts_with("/-/jobs/")) {
        if (m_jobs) {
            co_return co_await m_jobs(std::move(request));
        }
        co_return verdictResponse(Verdict::NotRun, "this entry has no store in its settings", seconds(1));
    }
    co_return refuse(statusNotFound, "no such path");
}

HttpResponse EntryServer::announce(const HttpRequest &request)
{
    const auto announcement = announcementFromJson(request.body);
    if (!announcement) {
        return refuse(statusBadRequest, announcement.error());
    }
    m_dependencies.membership.applyAnnouncement(*announcement, m_dependencies.clock.now());
    const auto heartbeatInterval = duration_cast<milliseconds>(m_settings.membership.heartbeatInterval).count();
    return jsonResponse(200, nlohmann::json{{"heartbeatMs", heartbeatInterval}}.dump());
}

HttpResponse EntryServer::health() const
{
    return m_ready ? textResponse(200, "ready\n") : textResponse(statusUnready, "draining\n");
}

HttpResponse EntryServer::configVersions() const
{
    return jsonResponse(200, nlohmann::json{{"versions", m_dependencies.config.versions()}}.dump());
}

HttpResponse EntryServer::metricsPage() const
{
    auto response = textResponse(200, m_dependencies.metrics.exposition());
    response.headers.set("Content-Type", "text/plain; version=0.0.4");
    return response;
}

} // namespace Trefoilhoist
