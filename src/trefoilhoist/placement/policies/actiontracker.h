#pragma once

#include "trefoilhoist/placement/policytypes.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// Collects a decision's actions and remembers those under way, so that none is repeated without need.
/// Not thread-safe.
class ActionTracker
{
public:
    /// Why a task's share is cut; the lowest share of all causes holds.
    enum class Cause { Overuse, Interference };

    /// Starts a decision and forgets what ended. With `adoptShares`, shares that an earlier owner set stay until
    /// they are raised; otherwise they are lifted.
    void beginDecision(const PolicyInput &input, bool adoptShares);

    void add(PolicyAction action);
    /// Evicts the task once per run; repeated only when the run goes on for long.
    void evict(const RunningTask &running, std::string reason);
    [[nodiscard]] bool isEvicting(const TaskId &task) const;
    /// Sets the share that one cause allows.
    void setShareLimit(const RunningTask &running, Cause cause, double share);
    /// The share that one cause allows now.
    [[nodiscard]] double shareLimit(const TaskId &task, Cause cause) const;
    /// The lowest allowed share.
    [[nodiscard]] double share(const TaskId &task) const;
    /// When the cause's share last changed.
    [[nodiscard]] TimePoint changedAt(const TaskId &task, Cause cause) const;
    /// Evictions of the task so far.
    [[nodiscard]] int evictions(const TaskId &task) const;

    /// Ends the decision: asks for the shares that differ from those in force.
    [[nodiscard]] std::vector<PolicyAction> finishDecision();

private:
    struct Limit {
        double share = 1.0;
        TimePoint changedAt{};
    };
    struct Entry {
        std::int64_t run = 0;
        Limit overuse;
        Limit interference;
        TimePoint evictRequestedAt{};
        TimePoint throttleRequestedAt{};
        double requestedShare = 1.0;
        std::uint64_t lastSeenDecision = 0;
        bool evicting = false;
    };

    void updateEntry(const RunningTask &running, bool adoptShares);
    [[nodiscard]] static Limit &limit(Entry &entry, Cause cause);
    void requestThrottles();

    const PolicyInput *m_input = nullptr;
    std::uint64_t m_decision = 0;
    std::unordered_map<TaskId, Entry> m_entries;
    std::unordered_map<TaskId, int> m_evictions;
    std::vector<PolicyAction> m_actions;
};

} // namespace Trefoilhoist::Detail
