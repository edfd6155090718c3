#include "trefoilhoist/placement/policies/actiontracker.h"

#include <algorithm>
#include <cmath>

namespace Trefoilhoist::Detail {

namespace {

/// An eviction that had no effect is requested again after this time.
constexpr Duration repeatEvictionAfter = seconds(10);
/// A throttle that had no effect is requested again after this time.
constexpr Duration repeatThrottleAfter = seconds(3);
/// Shares that differ by less than this are treated as equal.
constexpr double shareTolerance = 0.01;
/// Maximum number of tasks whose evictions are counted; with more, all counts are discarded.
constexpr std::size_t maxEvictionCounts = 100'000;

} // namespace

void ActionTracker::beginDecision(const PolicyInput &input, bool adoptShares)
{
    m_input = &input;
    m_actions.clear();
    ++m_decision;
    for (const auto &[id, view] : input.workers) {
        for (const auto &running : view.running) {
            updateEntry(running, adoptShares);
        }
    }
    std::erase_if(m_entries, [&](const auto &entry) { return entry.second.lastSeenDecision != m_decision; });
    if (m_evictions.size() > maxEvictionCounts) {
        m_evictions.clear();
    }
}

void ActionTracker::updateEntry(const RunningTask &running, bool adoptShares)
{
    const auto it = m_entries.find(running.task);
    if (it != m_entries.end() && it->second.run == running.run) {
        it->second.lastSeenDecision = m_decision;
        return;
    }
    if (it != m_entries.end()) {
        m_entries.erase(it);
    }
    if (adoptShares && running.throttle < 1.0) {
        setShareLimit(running, Cause::Interference, running.throttle);
    }
}

void ActionTracker::add(PolicyAction action)
{
    m_actions.push_back(std::move(action));
}

void ActionTracker::evict(const RunningTask &running, std::string reason)
{
    auto &entry = m_entries[running.task];
    entry.run = running.run;
    entry.lastSeenDecision = m_decision;
    if (entry.evicting && m_input->now - entry.evictRequestedAt < repeatEvictionAfter) {
        return;
    }
    if (!entry.evicting) {
        ++m_evictions[running.task];
    }
    entry.evicting = true;
    entry.evictRequestedAt = m_input->now;
    m_actions.emplace_back(EvictTask{running.task, std::move(reason)});
}

bool ActionTracker::isEvicting(const TaskId &task) const
{
    const auto it = m_entries.find(task);
    return it != m_entries.end() && it->second.evicting;
}

ActionTracker::Limit &ActionTracker::limit(Entry &entry, Cause cause)
{
    return cause == Cause::Overuse ? entry.overuse : entry.interference;
}

void ActionTracker::setShareLimit(const RunningTask &running, Cause cause, double share)
{
    const auto it = m_entries.find(running.task);
    if (it == m_entries.end() && share >= 1.0) {
        return;
    }
    auto &entry = it == m_entries.end() ? m_entries[running.task] : it->second;
    entry.run = running.run;
    entry.lastSeenDecision = m_decision;
    auto &current = limit(entry, cause);
    if (std::abs(current.share - share) < shareTolerance) {
        return;
    }
    current = {share, m_input->now};
}

double ActionTracker::shareLimit(const TaskId &task, Cause cause) const
{
    const auto it = m_entries.find(task);
    if (it == m_entries.end()) {
        return 1.0;
    }
    return cause == Cause::Overuse ? it->second.overuse.share : it->second.interference.share;
}

double ActionTracker::share(const TaskId &task) const
{
    return std::min(shareLimit(task, Cause::Overuse), shareLimit(task, Cause::Interference));
}

TimePoint ActionTracker::changedAt(const TaskId &task, Cause cause) const
{
    const auto it = m_entries.find(task);
    if (it == m_entries.end()) {
        return {};
    }
    return cause == Cause::Overuse ? it->second.overuse.changedAt : it->second.interference.changedAt;
}

int ActionTracker::evictions(const TaskId &task) const
{
    const auto it = m_evictions.find(task);
    return it == m_evictions.end() ? 0 : it->second;
}

void ActionTracker::requestThrottles()
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
            entry.lastSeenDecision = m_decision;
            const bool recentlyRequested = std::abs(entry.requestedShare - wanted) < shareTolerance
                && entry.throttleRequestedAt != TimePoint{}
                && m_input->now - entry.throttleRequestedAt < repeatThrottleAfter;
            if (entry.evicting || recentlyRequested) {
                continue;
            }
            entry.requestedShare = wanted;
            entry.throttleRequestedAt = m_input->now;
            m_actions.emplace_back(ThrottleTask{running.task, wanted});
        }
    }
}

std::vector<PolicyAction> ActionTracker::finishDecision()
{
    requestThrottles();
    return std::move(m_actions);
}

} // namespace Trefoilhoist::Detail
