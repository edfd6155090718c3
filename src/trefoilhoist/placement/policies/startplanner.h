#pragma once

#include "trefoilhoist/placement/policies/decisioncontext.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// Chooses which pending tasks start where: fair between teams, urgent work first, nobody blocked by a task
/// that fits nowhere. Not thread-safe.
class StartPlanner
{
public:
    /// Settings; the defaults hold in programs.
    struct Settings {
        /// A task that waited this long for room gets room kept for it.
        Duration holdAfter = seconds(30);
        /// A team below half its entitlement whose task waited this long may have others' tasks evicted.
        Duration preemptForFairnessAfter = seconds(60);
        /// Room kept for an urgent task is sought elsewhere after this.
        Duration maxUrgentHold = seconds(15);
        /// Workers with room kept for waiting tasks, at most, as a share of all.
        double maxHoldShare = 0.125;
        /// Workers scored per task.
        int maxScoredWorkers = 64;
        /// Off only in tests that show what these are for.
        bool holds = true;
        bool preempts = true;
        bool fairTeams = true;
    };

    /// A host's score for a task, the lowest wins; nothing when the host is refused.
    using Score = std::function<std::optional<double>(const Candidate &, const Host &)>;
    /// Told of each start.
    using Placed = std::function<void(const Candidate &, const Host &)>;

    explicit StartPlanner(const Settings &settings, std::uint64_t seed);

    void plan(DecisionContext &context, const Score &score, const Placed &onPlaced);

private:
    /// Pending tasks of one team, by position in the input, in the order of their start.
    struct TeamQueue {
        TeamId team;
        std::vector<std::size_t> urgent;
        std::vector<std::size_t> normal;
        std::size_t next = 0;
    };
    /// What a decision found out about a job's tasks of one declared size.
    struct JobPlan {
        const std::vector<bool> *allowed = nullptr;
        std::string selectorProblem;
        std::string sizeProblem;
        bool sized = false;
        Resources declared;
        SizeEstimate size;
        /// Tasks that may still start now.
        int startsLeft = 0;
        /// The last size that found no place in this decision.
        std::optional<Resources> blocked;
        bool blockedByCapacity = false;
    };
    struct Hold {
        WorkerId worker;
        Resources need;
        TimePoint since{};
        /// When the task was last seen to wait.
        TimePoint lastPendingAt{};
        bool urgent = false;
    };
    /// A task without room, and how many tasks had started in this decision before.
    struct Blocked {
        Candidate candidate;
        int startsBefore = 0;
    };
    enum class Outcome { Placed, NoCapacity, Refused, Skipped };

    void refreshHolds(DecisionContext &context);
    void buildQueues(DecisionContext &context);
    void planUrgent(DecisionContext &context, const Score &score, const Placed &onPlaced);
    void planNormal(DecisionContext &context, const Score &score, const Placed &onPlaced);
    Outcome startNext(DecisionContext &context, TeamQueue &queue, const Score &score, const Placed &onPlaced);

    Outcome tryPlace(DecisionContext &context, Candidate &candidate, const Score &score, const Placed &onPlaced);
    Host *choose(DecisionContext &context,
                 const Candidate &candidate,
                 const JobPlan &plan,
                 const Score &score,
                 bool &foundCapacity);
    JobPlan &jobPlan(DecisionContext &context, const Job &job);
    /// Sets the size; a reason when no allowed worker could ever hold it.
    [[nodiscard]] std::string sizeProblem(DecisionContext &context, JobPlan &plan, const Candidate &candidate);
    void report(DecisionContext &context, const TaskId &task, const std::string &reason);
    void handleNoCapacity(DecisionContext &context, const Candidate &candidate);
    /// Keeps room for tasks that others overtook in this decision.
    void holdForOvertakenTasks(DecisionContext &context);
    void holdCapacity(DecisionContext &context, const Candidate &candidate);
    /// Evicts what yields most cheaply so that the task fits, and keeps the room for it.
    bool preemptFor(DecisionContext &context, const Candidate &candidate, bool forUrgent);
    void addHold(DecisionContext &context, Host &host, const Candidate &candidate, bool urgent);
    [[nodiscard]] Candidate candidateAt(DecisionContext &context, std::size_t position) const;
    [[nodiscard]] bool canAddHold(const DecisionContext &context) const;
    void removeStale(const PolicyInput &input);

    Settings m_settings;
    std::uint64_t m_scanStart;
    std::vector<TeamQueue> m_queues;
    std::unordered_map<const Job *, JobPlan> m_plans;
    std::vector<Blocked> m_blocked;
    int m_starts = 0;
    std::map<TaskId, Hold> m_holds;
    std::unordered_map<TaskId, std::size_t> m_reported;
};

} // namespace Trefoilhoist::Detail
