#pragma once

#include "entrysettings.h"
#include "requestexecutor.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace Trefoilhoist {

/// Prefix of the paths that callers use; the service name follows it.
inline constexpr std::string_view servicesPrefix = "/services/";

/// A caller's request after its path and headers have been parsed.
struct CallerRequest {
    ServiceRequest call;
    /// Value of the Idempotency-Key header; empty if the caller sent none.
    std::string key;
    /// Attempt number as counted by the caller, starting from 1.
    int attempt = 1;
};

/// Why a request was rejected before it was run.
struct BadRequest {
    int status = 400;
    std::string reason;
};

/// Parses the path and the headers. Leaves `call.idempotent` and `call.hedging` at their defaults; the calling function
/// sets them.
[[nodiscard]] tl::expected<CallerRequest, BadRequest>
parseCallerRequest(HttpRequest request, const RequestLimits &limits, TimePoint now);

/// Returns the error response, with the verdict NotRun.
[[nodiscard]] HttpResponse badRequestResponse(const BadRequest &refusal);

} // namespace Trefoilhoist
