#include "trefoilhoist/placement/policies/preemption.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

struct Victim {
    const RunningTask *running = nullptr;
    int rank = 0;
    bool overEntitled = false;
    double waste = 0;
};

bool yieldsBefore(const Victim &left, const Victim &right)
{
    if (left.rank != right.rank) {
        return left.rank > right.rank;
    }
    if (left.overEntitled != right.overEntitled) {
        return left.overEntitled;
    }
    return left.waste < right.waste;
}

std::vector<Victim>
findVictims(DecisionContext &context, const Host &host, const TeamId &team, const PreemptionRule &rule)
{
    std::vector<Victim> victims;
    for (const auto &running : host.view->running) {
        const auto *job = context.table.job(running.job);
        if (job == nullptr || job->urgent || context.actionTracker.isEvicting(running.task)) {
            continue;
        }
        const bool overEntitlement = context.shares.dominantShare(job->team) > context.shares.entitlement(job->team);
        if (rule.onlyOverEntitled && (!overEntitlement || job->team == team)) {
            continue;
        }
        victims.push_back({&running,
                           context.table.yieldRank(*job),
                           overEntitlement,
                           evictionWaste(running, context.actionTracker, context.now)});
    }
    std::sort(victims.begin(), victims.end(), yieldsBefore);
    return victims;
}

/// Removes victims whose capacity turns out not to be needed, starting with those that yield last.
void dropUnneededVictims(std::vector<Victim> &victims, Resources free, const Resources &need)
{
    for (std::size_t n = victims.size(); n-- > 0;) {
        const auto without = free - HostTable::occupiedBy(*victims[n].running);
        if (fits(need, without)) {
            free = without;
            victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(n));
        }
    }
}

} // namespace

std::optional<PreemptionPlan> planPreemption(
    DecisionContext &context, Host &host, const Resources &need, const TeamId &team, const PreemptionRule &rule)
{
    auto free = host.free - host.held;
    for (const auto &running : host.view->running) {
        if (context.actionTracker.isEvicting(running.task)) {
            free += HostTable::occupiedBy(running);
        }
    }
    std::vector<Victim> chosen;
    for (const auto &victim : findVictims(context, host, team, rule)) {
        if (fits(need, free)) {
            break;
        }
        free += HostTable::occupiedBy(*victim.running);
        chosen.push_back(victim);
    }
    if (!fits(need, free)) {
        return std::nullopt;
    }
    dropUnneededVictims(chosen, free, need);
    PreemptionPlan plan{&host, {}, 0};
    for (const auto &victim : chosen) {
        plan.victims.push_back(victim.running);
        plan.cost += victim.waste / (1 + std::max(victim.rank, 0));
    }
    return plan;
}

} // namespace Trefoilhoist::Detail
