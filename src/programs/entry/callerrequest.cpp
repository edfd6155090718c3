#include "callerrequest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace Trefoilhoist {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int maxAttemptNumber = 1'000'000;

/// Header fields that apply to a single connection (RFC 9110, 7.6.1) and must not be forwarded.
constexpr std::array<std::string_view, 9> hopByHopFields{"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Connection",
                                                         "TE",
                                                         "Trailer",
                                                         "Transfer-Encoding",
                                                         "Upgrade",
                                                         "Expect",
                                                         "Content-Length"};
HttpHeaders forwardedHeaders(HttpHeaders headers)
{
    for (const auto name : hopByHopFields) {
        headers.erase(name);
    }
    return headers;
}

// Returns nullopt unless the whole text is a positive integer.
std::optional<std::int64_t> parsePositiveNumber(const std::string &text)
{
    std::int64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size() || value <= 0) {
        return std::nullopt;
    }
    return value;
}

// Returns 1 if the header is absent, and nullopt if its value is not an integer from 1 to maxAttemptNumber.
std::optional<int> parseAttempt(const HttpRequest &request)
{
    if (!request.headers.has(attemptHeader)) {
        return 1;
    }
    const auto number = parsePositiveNumber(request.headers.get(attemptHeader));
    if (!number || *number > maxAttemptNumber) {
        return std::nullopt;
    }
    return static_cast<int>(*number);
}

tl::unexpected<BadRequest> notPositiveNumber(std::string_view header)
{
    return tl::unexpected(BadRequest{statusBadRequest, std::string(header) + " is not a positive number"});
}

// Returns nullopt if the header is not a positive integer. A deadline above the maximum is reduced to it.
std::optional<Duration> parseDeadline(const HttpRequest &request, const RequestLimits &limits)
{
    if (!request.headers.has(deadlineHeader)) {
        return limits.defaultDeadline;
    }
    const auto given = parsePositiveNumber(request.headers.get(deadlineHeader));
    if (!given) {
        return std::nullopt;
    }
    const auto maxDeadlineMs = duration_cast<milliseconds>(limits.maxDeadline).count();
    return milliseconds(std::min<std::int64_t>(*given, maxDeadlineMs));
}

} // namespace

tl::expected<CallerRequest, BadRequest>
parseCallerRequest(HttpRequest request, const RequestLimits &limits, TimePoint now)
{
    const auto rest = request.target.substr(servicesPrefix.size());
    const auto nameEnd = rest.find_first_of("/?");
    CallerRequest out;
    out.call.service = ServiceId(urlDecode(rest.substr(0, nameEnd)));
    if (out.call.service.empty()) {
        return tl::unexpected(BadRequest{statusNotFound, "the path names no service"});
    }
    const auto deadline = parseDeadline(request, limits);
    if (!deadline) {
        return notPositiveNumber(deadlineHeader);
    }
    const auto attempt = parseAttempt(request);
    if (!attempt) {
        return notPositiveNumber(attemptHeader);
    }
    out.call.deadline = now + *deadline;
    out.call.caller = CallerId(request.headers.get(callerHeader));
    out.key = request.headers.get(idempotencyHeader);
    out.attempt = *attempt;
    if (!out.key.empty() && out.call.caller.empty()) {
        // Keys are scoped by caller. Without a caller id, two callers that choose the same key would receive each
        // other's answers.
        return tl::unexpected(BadRequest{statusBadRequest, "an Idempotency-Key needs " + std::string(callerHeader)});
    }
    out.call.forward.method = std::move(request.method);
    out.call.forward.target = nameEnd == std::string::npos ? "/" : rest.substr(nameEnd);
    if (out.call.forward.target.front() != '/') {
        out.call.forward.target.insert(0, "/");
    }
    out.call.forward.headers = forwardedHeaders(std::move(request.headers));
    out.call.forward.body = std::move(request.body);
    return out;
}

HttpResponse badRequestResponse(const BadRequest &refusal)
{
    auto response = textResponse(refusal.status, refusal.reason + "\n");
    response.headers.set(verdictHeader, std::string(verdictName(Verdict::NotRun)));
    return response;
}

} // namespace Trefoilhoist
