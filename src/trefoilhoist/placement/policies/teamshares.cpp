#include "trefoilhoist/placement/policies/teamshares.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

double part(std::int64_t held, std::int64_t total)
{
    return total <= 0 ? 0 : static_cast<double>(held) / static_cast<double>(total);
}

double dominantPart(const Resources &held, const Resources &total)
{
    return std::max({part(held.milliCpu, total.milliCpu),
                     part(held.memoryMb, total.memoryMb),
                     part(held.accelerators, total.accelerators)});
}

} // namespace

void TeamShares::load(const HostTable &table)
{
    const auto &input = table.input();
    m_terms = &table.terms();
    m_total = table.totalRoom();
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
            entry(last->team);
        }
    }
}

TeamShares::Entry &TeamShares::entry(const TeamId &team)
{
    const auto [it, isNew] = m_teams.try_emplace(team);
    if (isNew) {
        const auto terms = m_terms->teams.find(team);
        if (terms != m_terms->teams.end()) {
            it->second.weight = std::max(terms->second.weight, 1e-6);
            it->second.limit = terms->second.limit;
        }
        m_totalWeight += it->second.weight;
    }
    return it->second;
}

const TeamShares::Entry *TeamShares::find(const TeamId &team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? nullptr : &it->second;
}

void TeamShares::add(const Job &job, const Resources &reserve)
{
    auto &team = entry(job.team);
    team.held += reserve;
    if (job.urgent) {
        team.urgent += reserve;
    }
}

double TeamShares::dominant(const TeamId &team) const
{
    const auto *found = find(team);
    return found == nullptr ? 0 : dominantPart(found->held, m_total);
}

double TeamShares::weighted(const TeamId &team) const
{
    const auto *found = find(team);
    return found == nullptr ? 0 : dominantPart(found->held, m_total) / found->weight;
}

double TeamShares::entitlement(const TeamId &team) const
{
    const auto *found = find(team);
    return found == nullptr || m_totalWeight <= 0 ? 0 : std::min(found->weight / m_totalWeight, found->limit);
}

double TeamShares::dominantWith(const TeamId &team, const Resources &reserve) const
{
    const auto *found = find(team);
    return dominantPart(found == nullptr ? reserve : found->held + reserve, m_total);
}

double TeamShares::dominantOf(const Resources &reserve) const
{
    return dominantPart(reserve, m_total);
}

double TeamShares::urgentWith(const TeamId &team, const Resources &reserve) const
{
    const auto *found = find(team);
    return dominantPart(found == nullptr ? reserve : found->urgent + reserve, m_total);
}

double TeamShares::limit(const TeamId &team) const
{
    const auto *found = find(team);
    return found == nullptr ? 1.0 : found->limit;
}

} // namespace Trefoilhoist::Detail
