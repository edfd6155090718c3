#pragma once

#include "idl/gen/messages_types.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Jobs {

/// A queue as the operators configured it, and the host and path prefix by which callers address it.
struct QueueRoute {
    std::string host;
    std::string prefix;
    Wire::QueuePolicy policy;
};

/// One version of the configuration of queues, indexed by host and by name.
class QueueTable
{
public:
    QueueTable() = default;
    QueueTable(std::int64_t version, std::vector<QueueRoute> routes);

    /// 0: no configuration was read yet.
    [[nodiscard]] std::int64_t version() const
    {
        return m_version;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_routes.size();
    }
    /// The queue with the longest prefix of `path` at `host`; null when there is none.
    [[nodiscard]] const QueueRoute *match(const std::string &host, const std::string &path) const;
    /// Null for a name that is not configured.
    [[nodiscard]] const QueueRoute *byName(const std::string &name) const;

private:
    std::int64_t m_version = 0;
    std::vector<QueueRoute> m_routes;
    /// Positions in `m_routes`.
    std::unordered_map<std::string, std::vector<std::size_t>> m_byHost;
    std::unordered_map<std::string, std::size_t> m_byName;
};

} // namespace Trefoilhoist::Jobs
