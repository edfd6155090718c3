#pragma once

#include "trefoilhoist/placement/policies/hosttable.h"

#include <map>
#include <unordered_map>

namespace Trefoilhoist::Detail {

/// Dominant resource shares of teams during one decision. Not thread-safe.
class TeamShares
{
public:
    /// Starts a decision with the resources that each team holds. A team is active if it holds resources or has
    /// pending tasks.
    void load(const HostTable &table);

    void add(const Job &job, const Resources &reserve);
    /// The largest share that the team holds of any resource of the cell, 0 to 1.
    [[nodiscard]] double dominantShare(const TeamId &team) const;
    /// The dominant share divided by the team's weight; the team with the lowest is served first.
    [[nodiscard]] double weightedShare(const TeamId &team) const;
    /// The share that the team is entitled to while all active teams want more.
    [[nodiscard]] double entitlement(const TeamId &team) const;
    /// The team's dominant share if it also held `reserve`.
    [[nodiscard]] double dominantShareWith(const TeamId &team, const Resources &reserve) const;
    /// The dominant share of the cell that `reserve` alone would take.
    [[nodiscard]] double shareOfCell(const Resources &reserve) const;
    /// The dominant share of the team's urgent work if it also held `reserve`.
    [[nodiscard]] double urgentShareWith(const TeamId &team, const Resources &reserve) const;
    /// Maximum dominant share of the team.
    [[nodiscard]] double limit(const TeamId &team) const;

private:
    struct TeamUsage {
        Resources held;
        Resources urgent;
        double weight = 1.0;
        double limit = 1.0;
    };
    TeamUsage &findOrAdd(const TeamId &team);
    [[nodiscard]] const TeamUsage *find(const TeamId &team) const;

    const PolicyConfig *m_policyConfig = nullptr;
    Resources m_total;
    double m_totalWeight = 0;
    std::unordered_map<TeamId, TeamUsage> m_teams;
};

} // namespace Trefoilhoist::Detail
