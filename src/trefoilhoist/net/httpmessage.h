#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Trefoilhoist {

/// Header fields in order; names compare without case.
class HttpHeaders
{
public:
    using Field = std::pair<std::string, std::string>;

    /// Replaces every field of that name.
    void set(std::string_view name, std::string value);
    /// Adds a field beside others of the same name.
    void add(std::string_view name, std::string value);
    /// The first value of that name, or an empty text.
    [[nodiscard]] std::string get(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    void erase(std::string_view name);
    [[nodiscard]] const std::vector<Field> &fields() const;

private:
    std::vector<Field> m_fields;
};

/// A whole request.
struct HttpRequest {
    std::string method = "GET";
    /// Path and query.
    std::string target = "/";
    HttpHeaders headers;
    std::string body;

    /// The target without its query.
    [[nodiscard]] std::string path() const;
    /// The decoded value of a query parameter, or an empty text.
    [[nodiscard]] std::string query(std::string_view name) const;
    [[nodiscard]] bool hasQuery(std::string_view name) const;
};

/// A whole answer.
struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

[[nodiscard]] HttpResponse textResponse(int status, std::string body);
[[nodiscard]] HttpResponse jsonResponse(int status, std::string body);

/// Percent-encodes everything but unreserved characters.
[[nodiscard]] std::string urlEncode(std::string_view text);
[[nodiscard]] std::string urlDecode(std::string_view text);

// Header names of the project.
inline constexpr std::string_view verdictHeader = "Trefoilhoist-Verdict";
inline constexpr std::string_view correlationHeader = "Trefoilhoist-Correlation";
inline constexpr std::string_view callerHeader = "Trefoilhoist-Caller";
inline constexpr std::string_view deadlineHeader = "Trefoilhoist-Deadline-Ms";
inline constexpr std::string_view attemptHeader = "Trefoilhoist-Attempt";
inline constexpr std::string_view minionHeader = "Trefoilhoist-Minion";
/// On a minion's refusal: it is leaving and refuses all that follows.
inline constexpr std::string_view leavingHeader = "Trefoilhoist-Leaving";
/// On an answer that was kept from an earlier attempt.
inline constexpr std::string_view replayedHeader = "Trefoilhoist-Replayed";
inline constexpr std::string_view idempotencyHeader = "Idempotency-Key";
inline constexpr std::string_view retryAfterHeader = "Retry-After";

} // namespace Trefoilhoist
