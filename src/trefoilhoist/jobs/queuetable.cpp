#include "trefoilhoist/jobs/queuetable.h"

namespace Trefoilhoist::Jobs {

QueueTable::QueueTable(std::int64_t version, std::vector<QueueRoute> routes)
    : m_version(version), m_routes(std::move(routes))
{
    for (std::size_t i = 0; i < m_routes.size(); ++i) {
        m_byHost[m_routes[i].host].push_back(i);
        m_byName.emplace(m_routes[i].policy.name, i);
    }
}

const QueueRoute *QueueTable::match(const std::string &host, const std::string &path) const
{
    const auto found = m_byHost.find(host);
    if (found == m_byHost.end()) {
        return nullptr;
    }
    const QueueRoute *best = nullptr;
    for (const auto i : found->second) {
        const auto &it = m_routes[i];
        if (path.starts_with(it.prefix) && (best == nullptr || it.prefix.size() > best->prefix.size())) {
            best = &it;
        }
    }
    return best;
}

const QueueRoute *QueueTable::byName(const std::string &name) const
{
    const auto it = m_byName.find(name);
    return it == m_byName.end() ? nullptr : &m_routes[it->second];
}

} // namespace Trefoilhoist::Jobs
