#pragma once

#include "trefoilhoist/jobs/job.h"
#include "trefoilhoist/jobs/worker.h"

#include <map>
#include <string>
#include <string_view>

namespace Trefoilhoist::Jobs {

/// Number of active runs of a step's tasks by worker id.
using SiblingCounts = std::map<std::string, int>;
[[nodiscard]] SiblingCounts countSiblings(const StepState &step);

/// Selects the worker for one task: the one with the lowest cost among those that meet all constraints.
class WorkerSelector
{
public:
    WorkerSelector(const Wire::StepSpec &step,
                   const std::string &service,
                   const SiblingCounts &siblings,
                   const TaskState &task,
                   const InterferenceTable &interference,
                   TimePoint now);

    /// Allows workers that lack idle CPU or where the task interferes with serving tasks, because its step has waited
    /// too long.
    void setOverdue(bool overdue)
    {
        m_overdue = overdue;
    }
    void consider(Worker &worker);
    /// Number of rejected workers by reason.
    [[nodiscard]] const std::map<std::string_view, int> &rejections() const
    {
        return m_rejections;
    }
    /// Null if no worker can run the task now.
    [[nodiscard]] Worker *best() const
    {
        return m_best;
    }
    /// For a long-running task that fits on no worker: the worker with the least shortage, among those where it fits
    /// once the short tasks have ended. Null for other tasks.
    [[nodiscard]] Worker *closestFit() const
    {
        return m_closestFit;
    }

private:
    /// Why the worker can't run the task, apart from its capacity; empty if there is no such reason.
    [[nodiscard]] std::string_view rejectionReason(const Worker &worker) const;
    [[nodiscard]] bool hasFreeCapacity(const Worker &worker) const;
    [[nodiscard]] double cost(const Worker &worker) const;
    /// By how much the task would reduce the slack of the worker's serving tasks below the required slack, in total.
    [[nodiscard]] double interferenceOn(const Worker &worker) const;
    /// Share of the worker's serving tasks that run another image.
    [[nodiscard]] static double shareOfOtherImages(const Worker &worker, const std::string &image);
    [[nodiscard]] int siblingsOn(const Worker &worker) const;

    const Wire::StepSpec &m_step;
    const std::string &m_service;
    const SiblingCounts &m_siblings;
    const TaskState &m_task;
    const InterferenceTable &m_interference;
    TimePoint m_now;
    Demand m_demand;
    bool m_overdue = false;
    Worker *m_best = nullptr;
    double m_lowestCost = 0;
    Worker *m_closestFit = nullptr;
    double m_leastShortage = 0;
    std::map<std::string_view, int> m_rejections;
};

} // namespace Trefoilhoist::Jobs
