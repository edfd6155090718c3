#pragma once

#include "trefoilhoist/jobs/job.h"
#include "trefoilhoist/jobs/worker.h"

#include <map>
#include <string>
#include <string_view>

namespace Trefoilhoist::Jobs {

/// How many tasks of a step run at each worker, by worker id.
using SiblingCounts = std::map<std::string, int>;
[[nodiscard]] SiblingCounts countSiblings(const StepState &step);

/// Picks the worker for one task: first what must hold, then the lowest cost.
class WorkerSelector
{
public:
    WorkerSelector(const Wire::StepSpec &step,
                   const std::string &service,
                   const SiblingCounts &siblings,
                   const TaskState &task,
                   const InterferenceTable &interference,
                   TimePoint now);

    /// The step has waited so long that it goes where it does harm, too.
    void setOverdue(bool overdue)
    {
        m_overdue = overdue;
    }
    void consider(Worker &worker);
    /// Workers by what keeps the task from them.
    [[nodiscard]] const std::map<std::string_view, int> &rejections() const
    {
        return m_rejections;
    }
    /// Null when no worker may take the task now.
    [[nodiscard]] Worker *best() const
    {
        return m_best;
    }
    /// For a long-running task that fits nowhere: the worker that lacks least room for it, once short tasks there
    /// have ended. Null for other tasks.
    [[nodiscard]] Worker *closestFit() const
    {
        return m_closestFit;
    }

private:
    /// Why the worker can't take the task, whatever its room; empty when nothing is in the way.
    [[nodiscard]] std::string_view rejectionReason(const Worker &worker) const;
    [[nodiscard]] bool hasFreeCapacity(const Worker &worker) const;
    [[nodiscard]] double cost(const Worker &worker) const;
    /// By how much serving tasks there would be pushed below the slack that they are to keep.
    [[nodiscard]] double interferenceOn(const Worker &worker) const;
    /// Share of the serving tasks there that run another image.
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
