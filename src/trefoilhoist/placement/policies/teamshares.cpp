#include "trefoilhoist/placement/policies/teamshares.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

double fraction(std::int64_t held, std::int64_t total)
{
    return total <= 0 ? 0 : static_cast<double>(held) / static_cast<double>(total);
}

double dominantFraction(const Resources &held, const Resources &total)
{
    return std::max({fraction(held.milliCpu, total.milliCpu),
                     fraction(held.memoryMb, total.memoryMb),
                     fraction(held.accelerators, total.accelerators)});
}

} // namespace

void TeamShares::load(const HostTable &table)
{
    const auto &input = table.input();
    m_policyConfig = &table.policyConfig();
    m_total = table.totalBatchCapacity();
    m_totalWeight = 0;
    m_teams.clear();
    for (const auto &[id, view] : input.workers) {
        for (const auto &running : view.running) {
            const auto *job = table.job(running.job);
            if (job != nullptr) {
                add(*job, running.reserved);
            }
        }
    }
    const Job *last = nullptr;
    for (const auto &pending : input.pending) {
        if (last != nullptr && last->id == pending.task.job) {
            continue;
        }
        last = table.job(pending.task.job);
        if (last != nullptr) {
            findOrAdd(last->team);
        }
    }
}

TeamShares::TeamUsage &TeamShares::findOrAdd(const TeamId &team)
{
    const auto [it, isNew] = m_teams.try_emplace(team);
    if (isNew) {
        const auto config = m_policyConfig->teams.find(team);
        if (config != m_policyConfig->teams.end()) {
            it->second.weight = std::max(config->second.weight, 1e-6);
            it->second.limit = config->second.limit;
        }
        m_totalWeight += it->second.weight;
    }
    return it->second;
}

const TeamShares::TeamUsage *TeamShares::find(const TeamId &team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? nullptr : &it->second;
}

void TeamShares::add(const Job &job, const Resources &reserve)
{
    auto &team = findOrAdd(job.team);
    team.held += reserve;
    if (job.urgent) {
        team.urgent += reserve;
    }
}

double TeamShares::dominantShare(const TeamId &team) const
{
    const auto *found = find(team);
    return found == nullptr ? 0 : dominantFraction(found->held, m_total);
}

double TeamShares::weightedShare(const TeamId &team) const
{
    const auto *found = find(team);
    return found == nullptr ? 0 : dominantFraction(found->held, m_total) / found->weight;
}

double TeamShares::entitlement(const TeamId &team) const
{
    const auto *found = find(team);
    return found == nullptr || m_totalWeight <= 0 ? 0 : std::min(found->weight / m_totalWeight, found->limit);
}

double TeamShares::dominantShareWith(const TeamId &team, const Resources &reserve) const
{
    const auto *found = find(team);
    return dominantFraction(found == nullptr ? reserve : found->held + reserve, m_total);
}

double TeamShares::shareOfCell(const Resources &reserve) const
{
    return dominantFraction(reserve, m_total);
}

double TeamShares::urgentShareWith(const TeamId &team, const Resources &reserve) const
{
    const auto *found = find(team);
    return dominantFraction(found == nullptr ? reserve : found->urgent + reserve, m_total);
}

double TeamShares::limit(const TeamId &team) const
{
    const auto *found = find(team);
    return found == nullptr ? 1.0 : found->limit;
}

} // namespace Trefoilhoist::Detail
