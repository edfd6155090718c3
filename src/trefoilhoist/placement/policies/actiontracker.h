#pragma once

#include "trefoilhoist/placement/policytypes.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// Collects the actions of a decision and tracks those in progress, to repeat an action only when it had no effect.
/// Not thread-safe.
class ActionTracker
{
public:
    /// Why a task is throttled. If there are several causes, the lowest share applies.
    enum class Cause { Overuse, Interference };

    /// Starts a decision and removes the state of runs that have ended. With `adoptShares`, throttles set by a previous
    /// cell owner stay in force until the policy raises them; otherwise they are lifted.
    void beginDecision(const PolicyInput &input, bool adoptShares);

    void add(PolicyAction action);
    /// Requests the task's eviction once per run, and again if the run still continues after a while.
    void evict(const RunningTask &running, std::string reason);
    [[nodiscard]] bool isEvicting(const TaskId &task) const;
    /// Limits the task, for this cause, to a share of its CPU reservation.
    void setShareLimit(const RunningTask &running, Cause cause, double share);
    /// The highest share that the cause allows the task; 1 without a limit.
    [[nodiscard]] double shareLimit(const TaskId &task, Cause cause) const;
    /// The lowest share limit of all causes.
    [[nodiscard]] double share(const TaskId &task) const;
    /// When the cause's limit last changed; the zero time if it never did.
    [[nodiscard]] TimePoint changedAt(const TaskId &task, Cause cause) const;
    /// How often the task has been evicted so far.
    [[nodiscard]] int evictions(const TaskId &task) const;

    /// Ends the decision: adds a throttle for each task whose current share differs from its limit, and returns all
    /// actions.
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
