#pragma once

#include "trefoilhoist/placement/policies/decisioncontext.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// Chooses which pending tasks start on which workers. Teams get fair shares, urgent work goes first, and a task that
/// fits nowhere doesn't block others. Not thread-safe.
class StartPlanner
{
public:
    /// Tests and trials may change these; programs use the defaults.
    struct Settings {
        /// After waiting this long, a task gets a hold, capacity that is kept free for it, if smaller ones were started
        /// before it.
        Duration holdAfter = seconds(30);
        /// When a task has waited this long and its team uses at most half its entitlement, tasks of other teams may
        /// be evicted for it.
        Duration preemptForFairnessAfter = seconds(60);
        /// An urgent task's hold is dropped after this time, so that capacity is sought on another worker.
        Duration maxUrgentHold = seconds(15);
        /// Maximum number of holds as a share of the number of workers; one hold is always possible.
        double maxHoldShare = 0.125;
        /// Maximum number of workers scored per task.
        int maxScoredWorkers = 64;
        /// Disabled only in tests that demonstrate their effect.
        bool holds = true;
        bool preempts = true;
        bool fairTeams = true;
    };

    /// Returns a host's score for a task, lower is better; nothing if the host is not acceptable.
    using ScoreFunction = std::function<std::optional<double>(const Candidate &, const Host &)>;
    /// Called after each start.
    using PlacedCallback = std::function<void(const Candidate &, const Host &)>;

    explicit StartPlanner(const Settings &settings, std::uint64_t seed);

    /// Adds the starts, evictions and reports of one decision to the context's action tracker.
    void plan(DecisionContext &context, const ScoreFunction &score, const PlacedCallback &onPlaced);

private:
    /// Pending tasks of one team, by position in the input, in the order in which they should start.
    struct TeamQueue {
        TeamId team;
        std::vector<std::size_t> urgent;
        std::vector<std::size_t> normal;
        std::size_t next = 0;
    };
    /// Intermediate results of one decision for a job's tasks of one declared size.
    struct JobPlan {
        /// Whether the job may run on a host, by the host's index in the host table.
        const std::vector<bool> *allowed = nullptr;
        std::string selectorProblem;
        std::string sizeProblem;
        bool hasSize = false;
        Resources declared;
        SizeEstimate size;
        /// Number of tasks of the job that may still start in this decision.
        int startsLeft = 0;
        /// The last size that could not be placed in this decision.
        std::optional<Resources> blocked;
        bool blockedByCapacity = false;
    };
    /// Capacity on a worker that is kept free for a waiting task.
    struct Hold {
        WorkerId worker;
        Resources need;
        TimePoint since{};
        /// When the task was last among the pending tasks.
        TimePoint lastPendingAt{};
        bool urgent = false;
    };
    /// A task for which there is not enough free capacity, and the number of starts in this decision before it was
    /// tried.
    struct Blocked {
        Candidate candidate;
        int startsBefore = 0;
    };
    enum class Outcome { Placed, NoCapacity, Refused, Skipped };

    void refreshHolds(DecisionContext &context);
    void buildQueues(DecisionContext &context);
    void planUrgent(DecisionContext &context, const ScoreFunction &score, const PlacedCallback &onPlaced);
    void planNormal(DecisionContext &context, const ScoreFunction &score, const PlacedCallback &onPlaced);
    Outcome
    startNext(DecisionContext &context, TeamQueue &queue, const ScoreFunction &score, const PlacedCallback &onPlaced);

    Outcome tryPlace(DecisionContext &context,
                     Candidate &candidate,
                     const ScoreFunction &score,
                     const PlacedCallback &onPlaced);
    Host *choose(DecisionContext &context,
                 const Candidate &candidate,
                 const JobPlan &plan,
                 const ScoreFunction &score,
                 bool &foundCapacity);
    JobPlan &jobPlan(DecisionContext &context, const Job &job);
    /// Sets the plan's size. Returns a reason if no allowed worker could ever hold a task of this size.
    [[nodiscard]] std::string sizeProblem(DecisionContext &context, JobPlan &plan, const Candidate &candidate);
    void report(DecisionContext &context, const TaskId &task, const std::string &reason);
    /// Preempts for the task if its team is far below its entitlement; otherwise makes it a candidate for a hold.
    void handleNoCapacity(DecisionContext &context, const Candidate &candidate);
    /// Holds capacity for blocked tasks that others overtook in this decision.
    void holdForOvertakenTasks(DecisionContext &context);
    /// Holds capacity on the worker that lacks the least capacity for the task.
    void holdCapacity(DecisionContext &context, const Candidate &candidate);
    /// Evicts tasks from the worker where that is cheapest and holds the capacity for the candidate.
    bool preemptFor(DecisionContext &context, const Candidate &candidate, bool forUrgent);
    void addHold(DecisionContext &context, Host &host, const Candidate &candidate, bool urgent);
    [[nodiscard]] Candidate candidateAt(DecisionContext &context, std::size_t position) const;
    [[nodiscard]] bool canAddHold(const DecisionContext &context) const;
    void removeStale(const PolicyInput &input);

    Settings m_settings;
    /// State of the random sequence that chooses the host at which a search begins.
    std::uint64_t m_scanStart;
    std::vector<TeamQueue> m_queues;
    std::unordered_map<const Job *, JobPlan> m_plans;
    std::vector<Blocked> m_blocked;
    int m_starts = 0;
    std::map<TaskId, Hold> m_holds;
    /// Hash of the reason last reported for each task, to report a reason only when it changes.
    std::unordered_map<TaskId, std::size_t> m_reported;
};

} // namespace Trefoilhoist::Detail
