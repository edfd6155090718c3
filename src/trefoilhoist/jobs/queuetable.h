#pragma once

#include "idl/gen/messages_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// A queue as the operators configured it, and the host and path prefix by which callers address it.
struct QueueRoute {
    std::string host;
    std::string prefix;
    Wire::QueuePolicy policy;
};

/// One version of the configuration of queues.
struct QueueTable {
    /// 0: no configuration was read yet.
    std::int64_t version = 0;
    std::vector<QueueRoute> routes;

    /// The queue with the longest prefix of `path` at `host`; null when there is none.
    [[nodiscard]] const QueueRoute *match(const std::string &host, const std::string &path) const;
    /// Null for a name that is not configured.
    [[nodiscard]] const QueueRoute *byName(const std::string &name) const;
};

} // namespace Trefoilhoist::Jobs
