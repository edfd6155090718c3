#include "trefoilhoist/placement/policies/actionledger.h"

#include <algorithm>
#include <cmath>

namespace Trefoilhoist::Detail {

namespace {

/// An order that shows no effect is given again after this.
constexpr Duration repeatAfter = seconds(10);
constexpr Duration repeatShareAfter = seconds(3);
/// Shares closer than this are the same.
constexpr double shareTolerance = 0.01;
/// Counts of evictions kept before all are forgotten.
constexpr std::size_t maxEvictionCounts = 100'000;

} // namespace

void ActionLedger::begin(const PolicyInput &input, bool adoptShares)
{
    m_input = &input;
    m_actions.clear();
    ++m_decision;
    for (const auto &[id, view] : input.workers) {
        for (const auto &running : view.running) {
            observe(running, adoptShares);
        }
    }
    std::erase_if(m_entries, [&](const auto &entry) { return entry.second.seenIn != m_decision; });
    if (m_evictions.size() > maxEvictionCounts) {
        m_evictions.clear();
    }
}

void ActionLedger::observe(const RunningTask &running, bool adoptShares)
{
    const auto it = m_entries.find(running.task);
    if (it != m_entries.end() && it->second.run == running.run) {
        it->second.seenIn = m_decision;
        return;
    }
    if (it != m_entries.end()) {
        m_entries.erase(it);
    }
    if (adoptShares && running.throttle < 1.0) {
        allowShare(running, Cause::Interference, running.throttle);
    }
}

void ActionLedger::add(PolicyAction action)
{
    m_actions.push_back(std::move(action));
}

void ActionLedger::evict(const RunningTask &running, std::string reason)
{
    auto &entry = m_entries[running.task];
    entry.run = running.run;
    entry.seenIn = m_decision;
    if (entry.evicting && m_input->now - entry.evictAt < repeatAfter) {
        return;
    }
    if (!entry.evicting) {
        ++m_evictions[running.task];
    }
    entry.evicting = true;
    entry.evictAt = m_input->now;
    m_actions.emplace_back(EvictTask{running.task, std::move(reason)});
}

bool ActionLedger::isEvicting(const TaskId &task) const
{
    const auto it = m_entries.find(task);
    return it != m_entries.end() && it->second.evicting;
}

ActionLedger::Limit &ActionLedger::limit(Entry &entry, Cause cause)
{
    return cause == Cause::Overuse ? entry.overuse : entry.interference;
}

void ActionLedger::allowShare(const RunningTask &running, Cause cause, double share)
{
    const auto it = m_entries.find(running.task);
    if (it == m_entries.end() && share >= 1.0) {
        return;
    }
    auto &entry = it == m_entries.end() ? m_entries[running.task] : it->second;
    entry.run = running.run;
    entry.seenIn = m_decision;
    auto &current = limit(entry, cause);
    if (std::abs(current.share - share) < shareTolerance) {
        return;
    }
    current = {share, m_input->now};
}

double ActionLedger::allowedShare(const TaskId &task, Cause cause) const
{
    const auto it = m_entries.find(task);
    if (it == m_entries.end()) {
        return 1.0;
    }
    return cause == Cause::Overuse ? it->second.overuse.share : it->second.interference.share;
}

double ActionLedger::share(const TaskId &task) const
{
    return std::min(allowedShare(task, Cause::Overuse), allowedShare(task, Cause::Interference));
}

TimePoint ActionLedger::changedAt(const TaskId &task, Cause cause) const
{
    const auto it = m_entries.find(task);
    if (it == m_entries.end()) {
        return {};
    }
    return cause == Cause::Overuse ? it->second.overuse.changedAt : it->second.interference.changedAt;
}

int ActionLedger::evictions(const TaskId &task) const
{
    const auto it = m_evictions.find(task);
    return it == m_evictions.end() ? 0 : it->second;
}

void ActionLedger::askShares()
{
    for (const auto &[id, view] : m_input->workers) {
        for (const auto &running : view.running) {
            const auto it = m_entries.find(running.task);
            const double wanted = it == m_entries.end() ? 1.0 : share(running.task);
            if (std::abs(running.throttle - wanted) < shareTolerance) {
                continue;
            }
            auto &entry = it == m_entries.end() ? m_entries[running.task] : it->second;
            entry.run = running.run;
            entry.seenIn = m_decision;
            const bool asked = std::abs(entry.asked - wanted) < shareTolerance && entry.askedAt != TimePoint{}
                && m_input->now - entry.askedAt < repeatShareAfter;
            if (entry.evicting || asked) {
                continue;
            }
            entry.asked = wanted;
            entry.askedAt = m_input->now;
            m_actions.emplace_back(ThrottleTask{running.task, wanted});
        }
    }
}

std::vector<PolicyAction> ActionLedger::finish()
{
    askShares();
    return std::move(m_actions);
}

} // namespace Trefoilhoist::Detail
