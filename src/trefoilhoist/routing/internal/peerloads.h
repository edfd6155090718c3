#pragma once

#include "trefoilhoist/routing/internal/servicepool.h"
#include "trefoilhoist/world/world.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// Requests in flight per minion from the peer entries, by their latest reports.
class PeerLoads
{
public:
    /// Replaces the peer's report. Returns the minions in the old and the new report.
    [[nodiscard]] std::vector<MinionId>
    set(const EntryId &peer, const std::map<MinionId, int> &inFlight, TimePoint now);
    /// Removes the peer's report. Returns the minions in it.
    [[nodiscard]] std::vector<MinionId> remove(const EntryId &peer);
    /// Peers whose latest report is older than `before`.
    [[nodiscard]] std::vector<EntryId> stalePeers(TimePoint before) const;

    [[nodiscard]] int sum(const MinionId &minion) const;
    [[nodiscard]] EntryRank rankOf(const EntryId &self) const;

private:
    struct Report {
        std::map<MinionId, int> inFlight;
        TimePoint at{};
    };

    std::map<EntryId, Report> m_reports;
    std::unordered_map<MinionId, int> m_sums;
};

} // namespace Trefoilhoist::Detail
