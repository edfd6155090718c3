#pragma once

#include "trefoilhoist/jobs/job.h"
#include "trefoilhoist/jobs/worker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// Decides whether long-running tasks fit on the workers of a service, beside the long-running tasks that run or wait
/// there and without taking the CPU that short tasks reserve now.
///
/// A long-running task keeps what it reserves, so that one that is accepted without room is never placed, or takes the
/// room of short tasks. Intended for long-running jobs that arrive while the workers are full. Holds one moment's view;
/// not thread-safe.
class ServingAdmission
{
public:
    void addWorker(const Worker &worker);
    /// Adds the long-running tasks of a job that run nowhere yet.
    void addWaiting(const Job &job);
    /// True if all long-running tasks of the job fit.
    [[nodiscard]] bool admits(const Wire::JobSpec &spec) const;
    /// When a refused caller should try again. Differs between jobs, so that refused callers don't return together.
    [[nodiscard]] static Duration retryAfter(const std::string &job);

private:
    /// How many tasks of the step fit if there were no others than long-running ones.
    [[nodiscard]] std::int64_t placesFor(const Wire::StepSpec &step) const;

    std::vector<const Worker *> m_workers;
    /// In thousandths of a core: neither reserved by long-running tasks, nor used by short ones, nor waited for.
    std::int64_t m_freeCpuMilli = 0;
};

} // namespace Trefoilhoist::Jobs
