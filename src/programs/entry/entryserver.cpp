#include "entryserver.h"

#include "announcement.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace Trefoilhoist {

namespace {

constexpr std::string_view servicesPrefix = "/services/";
constexpr std::string_view ownPrefix = "/-/";
/// Label of a service whose every method may run more than once without harm.
constexpr std::string_view idempotentLabel = "idempotent";
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnready = 503;
constexpr int firstServerError = 500;

/// Fields that belong to one connection (RFC 9110, 7.6.1); they are not forwarded.
constexpr std::array<std::string_view, 9> hopByHopFields{"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Connection",
                                                         "TE",
                                                         "Trailer",
                                                         "Transfer-Encoding",
                                                         "Upgrade",
                                                         "Expect",
                                                         "Content-Length"};
constexpr std::array<std::string_view, 3> safeMethods{"GET", "HEAD", "OPTIONS"};

HttpResponse refuse(int status, const std::string &reason)
{
    auto response = textResponse(status, reason + "\n");
    response.headers.set(verdictHeader, std::string(verdictName(Verdict::NotRun)));
    return response;
}

HttpHeaders forwardedHeaders(HttpHeaders headers)
{
    for (const auto name : hopByHopFields) {
        headers.erase(name);
    }
    return headers;
}

// Nothing for a text that is not a whole positive number.
std::optional<std::int64_t> positiveNumber(const std::string &text)
{
    std::int64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size() || value <= 0) {
        return std::nullopt;
    }
    return value;
}

} // namespace

EntryServer::EntryServer(const EntrySettings &settings, EntryParts parts) : m_settings(settings), m_parts(parts) { }

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
        co_return co_await serviceCall(std::move(request));
    }
    if (request.target.starts_with(ownPrefix)) {
        co_return co_await ownCall(std::move(request));
    }
    co_return refuse(statusNotFound, "no such path");
}

bool EntryServer::idempotent(const ServiceId &service, const std::string &method) const
{
    if (std::find(safeMethods.begin(), safeMethods.end(), method) != safeMethods.end()) {
        return true;
    }
    return m_parts.config.label(ObjectKind::Service, service.str(), idempotentLabel, "false") == "true";
}

awaitable<HttpResponse> EntryServer::serviceCall(HttpRequest request)
{
    const auto start = m_parts.clock.now();
    const auto rest = request.target.substr(servicesPrefix.size());
    const auto nameEnd = rest.find_first_of("/?");
    ServiceRequest call;
    call.service = ServiceId(urlDecode(rest.substr(0, nameEnd)));
    if (call.service.empty()) {
        co_return refuse(statusNotFound, "the path names no service");
    }
    call.caller = CallerId(request.headers.get(callerHeader));
    call.idempotent = idempotent(call.service, request.method);

    auto deadline = m_settings.requests.defaultDeadline;
    if (request.headers.has(deadlineHeader)) {
        const auto given = positiveNumber(request.headers.get(deadlineHeader));
        if (!given) {
            co_return refuse(statusBadRequest, std::string(deadlineHeader) + " is not a positive number");
        }
        const auto longest = duration_cast<milliseconds>(m_settings.requests.maxDeadline).count();
        deadline = milliseconds(std::min(*given, longest));
    }
    call.deadline = start + deadline;

    call.forward.method = std::move(request.method);
    call.forward.target = nameEnd == std::string::npos ? "/" : rest.substr(nameEnd);
    if (call.forward.target.front() != '/') {
        call.forward.target.insert(0, "/");
    }
    call.forward.headers = forwardedHeaders(std::move(request.headers));
    call.forward.body = std::move(request.body);

    m_parts.feed.refresh();
    auto outcome = co_await m_parts.requests.run(call);
    recordOutcome(call, outcome, start);
    co_return std::move(outcome.response);
}

void EntryServer::recordOutcome(const ServiceRequest &request, const ServiceOutcome &outcome, TimePoint start)
{
    const auto now = m_parts.clock.now();
    const bool answered = outcome.verdict == Verdict::Ran && outcome.response.status < firstServerError;
    m_parts.burn.record({request.service, request.caller, outcome.minion, answered, now - start}, now);
    const std::string verdict(verdictName(outcome.verdict));
    m_parts.metrics.counter("trefoilhoist_requests_total", {{"service", request.service.str()}, {"verdict", verdict}})
        .add();
    m_parts.metrics.latency("trefoilhoist_request_seconds", {{"service", request.service.str()}})
        .record(now - start, now);
    if (outcome.verdict != Verdict::Ran) {
        LOG(WARNING) << "event=request_failed service=" << request.service << " caller=" << request.caller
                     << " verdict=" << verdict << " status=" << outcome.response.status;
    }
}

awaitable<HttpResponse> EntryServer::ownCall(HttpRequest request)
{
    const auto path = request.path();
    if (path == "/-/health") {
        co_return health();
    }
    if (path == "/-/minions") {
        if (request.method == "POST") {
            co_return announce(request);
        }
        co_return jsonResponse(200, minionsToJson(m_parts.membership.records(m_parts.clock.now())));
    }
    if (path == "/-/metrics") {
        co_return metricsPage();
    }
    if (path == "/-/burn") {
        co_return jsonResponse(200, m_parts.burn.json(m_parts.clock.now()));
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
    m_parts.membership.heard(*announcement, m_parts.clock.now());
    const auto heartbeat = duration_cast<milliseconds>(m_settings.membership.heartbeat).count();
    return jsonResponse(200, nlohmann::json{{"heartbeatMs", heartbeat}}.dump());
}

HttpResponse EntryServer::health() const
{
    return m_ready ? textResponse(200, "ready\n") : textResponse(statusUnready, "draining\n");
}

HttpResponse EntryServer::configVersions() const
{
    return jsonResponse(200, nlohmann::json{{"versions", m_parts.config.versions()}}.dump());
}

HttpResponse EntryServer::metricsPage() const
{
    auto response = textResponse(200, m_parts.metrics.exposition());
    response.headers.set("Content-Type", "text/plain; version=0.0.4");
    return response;
}

} // namespace Trefoilhoist
