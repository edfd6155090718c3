#include "trefoilhoist/jobs/queuetable.h"

namespace Trefoilhoist::Jobs {

const QueueRoute *QueueTable::match(const std::string &host, const std::string &path) const
{
    const QueueRoute *best = nullptr;
    for (const auto &it : routes) {
        if (it.host == host && path.starts_with(it.prefix)
            && (best == nullptr || it.prefix.size() > best->prefix.size())) {
            best = &it;
        }
    }
    return best;
}

const QueueRoute *QueueTable::byName(const std::string &name) const
{
    for (const auto &it : routes) {
        if (it.policy.name == name) {
            return &it;
        }
    }
    return nullptr;
}

} // namespace Trefoilhoist::Jobs
