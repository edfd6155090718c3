#pragma once

#include "trefoilhoist/jobs/job.h"
#include "trefoilhoist/jobs/worker.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Trefoilhoist::Jobs {

/// Number of active runs of a step's tasks by worker id.
using SiblingCounts = std::map<std::string, int>;
[[nodiscard]] SiblingCounts countSiblings(const StepState &step);

/// Why a worker can't run a task now.
enum class Rejection {
    None,
    NotListed,
    AwaitsLapse,
    Silent,
    Draining,
    ZoneDrained,
    OtherService,
    Quarantined,
    Reserved,
    LabelMissing,
    LimitPerWorker,
    NoCapacity,
};

inline constexpr std::array<std::string_view, 12> rejectionNames = {"",
                                                                    "not listed or recorded yet",
                                                                    "its hold has not lapsed yet",
                                                                    "silent",
                                                                    "draining",
                                                                    "zone drained",
                                                                    "other service",
                                                                    "quarantined",
                                                                    "reserved for a task started alone",
                                                                    "label missing",
                                                                    "limit per worker reached",
                                                                    "not enough capacity"};

/// How many tasks of a step the workers of one rack can take.
struct RackRoom {
    std::size_t now = 0;
    /// Once all runs that are not long-running have ended.
    std::size_t later = 0;
};

/// Selects the workers for the tasks of one step: for each task the worker with the lowest cost among those that meet
/// all constraints. Each worker is evaluated once, and again after each start on it.
class WorkerSelector
{
public:
    /// `key` identifies `step`; `image` is the number of its image in `interference`.
    WorkerSelector(const Wire::StepSpec &step,
                   StepKey key,
                   const std::string &service,
                   SiblingCounts siblings,
                   ImageNumber image,
                   const InterferenceTable &interference,
                   TimePoint now);

    /// Allows workers that lack idle CPU or where the task interferes with serving tasks, because its step has waited
    /// too long. It holds until the first start, and for a gang again from extendForGang() on. Must be called before
    /// consider().
    void setOverdue(bool overdue)
    {
        m_overdue = overdue;
        m_mayExtendOverdue = overdue && m_step.gang && m_step.usesIdleCpu;
    }
    /// Prefers any worker on the step's input rack to all others, except for an overdue step. Otherwise another rack is
    /// one cost among several. Must be called before consider().
    void setPrefersRack(bool prefers)
    {
        m_prefersRack = prefers;
    }
    void consider(Worker &worker);
    /// The worker for this task; null if no worker can run it now.
    [[nodiscard]] Worker *select(const TaskState &task) const;
    /// The worker for a task under which workers have crashed: nothing has been started there lately, and it is another
    /// machine than before if there is one.
    [[nodiscard]] Worker *selectSettled(const TaskState &task) const;
    /// Reserves a worker for the step, unless one is reserved already, so that it settles and selectSettled() finds it.
    void reserveWorker();
    /// To be called after a run of the step was added to the worker.
    void startedOn(Worker &worker);
    /// Removes a worker that can take no more orders in this plan.
    void exclude(const Worker &worker);
    /// Like exclude(), until extendForGang() is called.
    void withhold(const Worker &worker);
    /// To be called when select() finds no worker for a further member of a gang. Returns true if select() should be
    /// tried again.
    [[nodiscard]] bool extendForGang();

    /// True if the next task would start on another rack than the preferred one, but runs that end there may make room.
    [[nodiscard]] bool mayWaitForRack() const;
    /// True if a worker on the preferred rack was excluded: it may have room, but only for the next plan.
    [[nodiscard]] bool hasExcludedOnRack() const
    {
        return m_excludedOnRack;
    }
    /// The label that counts as the worker's rack: the step's input rack if the worker has that label, otherwise the
    /// last of its labels, since no field says which one names the rack. Empty if it has no labels.
    [[nodiscard]] std::string rackOf(const Worker &worker) const;
    /// Room by rack for up to `tasks` tasks of the step on each worker, without regard to interference.
    [[nodiscard]] std::map<std::string, RackRoom> roomByRack(std::size_t tasks) const;

    /// Number of considered workers by the reason why they were rejected.
    [[nodiscard]] std::map<std::string_view, int> rejections() const;
    /// For a long-running task that fits on no worker: the worker with the least shortage of reserved CPU and memory,
    /// among those where it fits once the short tasks have ended. Null for other tasks, and where only idle CPU is
    /// lacking.
    [[nodiscard]] Worker *closestFit() const;

private:
    struct Candidate {
        double cost = 0;
        /// Not on the preferred rack.
        bool remote = false;
        /// Position in the order of consideration, which decides between equal costs.
        std::size_t order = 0;
        Worker *worker = nullptr;

        /// For a heap with the lowest cost in front.
        bool operator<(const Candidate &other) const
        {
            return std::tie(remote, cost, order) > std::tie(other.remote, other.cost, other.order);
        }
    };

    /// Why the worker can't run the task, apart from its capacity.
    [[nodiscard]] Rejection rejectionOf(const Worker &worker) const;
    [[nodiscard]] bool hasFreeCapacity(const Worker &worker) const;
    [[nodiscard]] double cost(const Worker &worker) const;
    /// The effect of a best-effort image on a serving task that must be reckoned with.
    [[nodiscard]] double expectedEffect(const Run &serving, ImageNumber bestEffortImage) const;
    /// By how much the task would reduce the slack of the worker's serving tasks below the required slack, in total.
    [[nodiscard]] double interferenceOn(const Worker &worker) const;
    /// Share of the worker's serving tasks that run another image.
    [[nodiscard]] double shareOfOtherImages(const Worker &worker) const;
    [[nodiscard]] bool isRemote(const Worker &worker) const;
    /// Notes that the worker has no room now, if it is on the preferred rack and runs that end there may make room.
    void noteFull(const Worker &worker);
    [[nodiscard]] std::size_t roomOn(const Worker &worker, std::size_t tasks, bool later) const;
    [[nodiscard]] int siblingsOn(const Worker &worker) const;
    void evaluate(Worker &worker, std::size_t order);
    void evaluateAll();
    [[nodiscard]] bool extendOverdue();
    [[nodiscard]] std::vector<Candidate>::iterator find(const Worker &worker);
    void remove(std::vector<Candidate>::iterator candidate);
    void reject(Rejection rejection);

    const Wire::StepSpec &m_step;
    StepKey m_key;
    const std::string &m_service;
    SiblingCounts m_siblings;
    ImageNumber m_image;
    const InterferenceTable &m_interference;
    TimePoint m_now;
    Demand m_demand;
    bool m_overdue = false;
    /// The further members of a gang may be overdue as well, if they find no worker otherwise.
    bool m_mayExtendOverdue = false;
    /// All members of a gang are overdue.
    bool m_allOverdue = false;
    bool m_prefersRack = false;
    /// Runs that end on the preferred rack may make room for a task.
    bool m_rackMayFree = false;
    bool m_excludedOnRack = false;
    /// Workers that can run a task now, as a heap.
    std::vector<Candidate> m_candidates;
    std::vector<Candidate> m_withheld;
    bool m_mayWithhold = true;
    /// Workers that lack only capacity.
    std::vector<Worker *> m_full;
    std::vector<Worker *> m_considered;
    std::array<int, rejectionNames.size()> m_rejections{};
};

} // namespace Trefoilhoist::Jobs
