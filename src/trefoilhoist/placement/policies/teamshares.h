#pragma once

#include "trefoilhoist/placement/policies/hosttable.h"

#include <map>
#include <unordered_map>

namespace Trefoilhoist::Detail {

/// Dominant shares of teams during one decision. Not thread-safe.
class TeamShares
{
public:
    /// Takes what each team holds and who waits.
    void load(const HostTable &table);

    void add(const Job &job, const Resources &reserve);
    /// The team's dominant share of the cell, 0 to 1.
    [[nodiscard]] double dominantShare(const TeamId &team) const;
    /// The dominant share relative to the team's weight; the lowest goes first.
    [[nodiscard]] double weightedShare(const TeamId &team) const;
    /// The part that the team is due while all active teams want more.
    [[nodiscard]] double entitlement(const TeamId &team) const;
    /// The team's share if it also held `reserve`.
    [[nodiscard]] double dominantShareWith(const TeamId &team, const Resources &reserve) const;
    /// What `reserve` alone is of the cell.
    [[nodiscard]] double shareOfCell(const Resources &reserve) const;
    /// The team's dominant share in urgent work alone, if it also held `reserve`.
    [[nodiscard]] double urgentShareWith(const TeamId &team, const Resources &reserve) const;
    [[nodiscard]] double limit(const TeamId &team) const;

private:
    struct TeamUsage {
        Resources held;
        Resources urgent;
        double weight = 1.0;
        double limit = 1.0;
    };
    TeamUsage &usageOf(const TeamId &team);
    [[nodiscard]] const TeamUsage *find(const TeamId &team) const;

    const PolicyConfig *m_policyConfig = nullptr;
    Resources m_total;
    double m_totalWeight = 0;
    std::unordered_map<TeamId, TeamUsage> m_teams;
};

} // namespace Trefoilhoist::Detail
