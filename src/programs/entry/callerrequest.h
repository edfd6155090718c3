#pragma once

#include "entrysettings.h"
#include "requestexecutor.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace Trefoilhoist {

/// Callers' paths start with it; the service's name follows.
inline constexpr std::string_view servicesPrefix = "/services/";

/// A caller's request as the entry understands it.
struct CallerRequest {
    ServiceRequest call;
    /// The Idempotency-Key, or empty.
    std::string key;
    /// The caller's count of its attempts, from 1.
    int attempt = 1;
};

/// A request that can't be taken; it was not run.
struct BadRequest {
    int status = 400;
    std::string reason;
};

/// Reads path and headers. `call.idempotent` is left to the caller.
[[nodiscard]] tl::expected<CallerRequest, BadRequest>
parseCallerRequest(HttpRequest request, const RequestLimits &limits, TimePoint now);

[[nodiscard]] HttpResponse badRequestResponse(const BadRequest &refusal);

} // namespace Trefoilhoist
