#pragma once

#include "trefoilhoist/routing/internal/servicepool.h"
#include "trefoilhoist/world/world.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// Requests in flight of the peer entries per minion, as they last said.
class PeerLoads
{
public:
    /// Replaces what the peer said before. Returns the minions whose sum changed.
    [[nodiscard]] std::vector<MinionId>
    set(const EntryId &peer, const std::map<MinionId, int> &inFlight, TimePoint now);
    /// Forgets one peer. Returns the minions whose sum changed.
    [[nodiscard]] std::vector<MinionId> remove(const EntryId &peer);
    /// Peers that said nothing since `before`.
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
