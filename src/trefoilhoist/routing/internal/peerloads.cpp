#include "trefoilhoist/routing/internal/peerloads.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

std::vector<MinionId> PeerLoads::set(const EntryId &peer, const std::map<MinionId, int> &inFlight, TimePoint now)
{
    auto changed = remove(peer);
    auto &report = m_reports[peer];
    report.at = now;
    for (const auto &[id, count] : inFlight) {
        if (count > 0) {
            report.inFlight[id] = count;
            m_sums[id] += count;
            changed.push_back(id);
        }
    }
    return changed;
}

std::vector<MinionId> PeerLoads::remove(const EntryId &peer)
{
    std::vector<MinionId> changed;
    const auto it = m_reports.find(peer);
    if (it == m_reports.end()) {
        return changed;
    }
    for (const auto &[id, count] : it->second.inFlight) {
        const auto sum = m_sums.find(id);
        sum->second -= count;
        if (sum->second <= 0) {
            m_sums.erase(sum);
        }
        changed.push_back(id);
    }
    m_reports.erase(it);
    return changed;
}

std::vector<EntryId> PeerLoads::stalePeers(TimePoint before) const
{
    std::vector<EntryId> stale;
    for (const auto &[peer, report] : m_reports) {
        if (report.at < before) {
            stale.push_back(peer);
        }
    }
    return stale;
}

int PeerLoads::sum(const MinionId &minion) const
{
    const auto it = m_sums.find(minion);
    return it == m_sums.end() ? 0 : it->second;
}

EntryRank PeerLoads::rankOf(const EntryId &self) const
{
    EntryRank result;
    result.entries = static_cast<int>(m_reports.size()) + 1;
    result.rank = static_cast<int>(
        std::count_if(m_reports.begin(), m_reports.end(), [&](const auto &row) { return row.first < self; }));
    return result;
}

} // namespace Trefoilhoist::Detail
