#pragma once

#include "trefoilhoist/jobs/job.h"
#include "trefoilhoist/jobs/worker.h"

#include <map>
#include <string>

namespace Trefoilhoist::Jobs {

/// Picks the worker for one task: first what must hold, then the lowest cost.
class WorkerChoice
{
public:
    WorkerChoice(const Wire::StepSpec &step, const std::string &service, const TaskState &task, const InterferenceTable &interference, TimePoint now);

    /// Counts where the other tasks of the step run.
    void countSiblings(const Job &job, int occurrence, int step);
    void consider(Worker &worker);
    /// Null when no worker may take the task now.
    [[nodiscard]] Worker *best() const { return m_best; }

private:
    [[nodiscard]] bool mayTake(const Worker &worker) const;
    [[nodiscard]] double cost(const Worker &worker) const;
    /// By how much serving tasks there would be pushed over their targets, in logarithms.
    [[nodiscard]] double harm(const Worker &worker) const;
    /// Share of the serving tasks there that run another image.
    [[nodiscard]] static double otherImages(const Worker &worker, const std::string &image);
    [[nodiscard]] int siblingsAt(const Worker &worker) const;

    const Wire::StepSpec &m_step;
    const std::string &m_service;
    const TaskState &m_task;
    const InterferenceTable &m_interference;
    TimePoint m_now;
    Demand m_demand;
    std::map<std::string, int> m_siblings;
    bool m_someRun = false;
    Worker *m_best = nullptr;
    double m_lowest = 0;
};

} // namespace Trefoilhoist::Jobs
