#include "trefoilhoist/jobs/servingadmission.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace Trefoilhoist::Jobs {

namespace {

/// Room comes back when long-running jobs are cancelled, which takes seconds at least.
constexpr Duration minRetryAfter = seconds(2);
constexpr int retrySpreadSeconds = 8;

/// How often `part` fits into `whole`.
std::int64_t timesIn(std::int64_t part, std::int64_t whole)
{
    return part <= 0 ? std::numeric_limits<std::int64_t>::max() : std::max<std::int64_t>(0, whole) / part;
}

/// Number of the step's tasks that run nowhere, also before the job's first occurrence is open.
std::int64_t waitingTasks(const Job &job, std::size_t step)
{
    if (job.occurrences().empty()) {
        return job.spec().steps[step].count;
    }
    std::int64_t n = 0;
    for (const auto &[number, occurrence] : job.occurrences()) {
        if (step < occurrence.steps.size()) {
            const auto &tasks = occurrence.steps[step].tasks;
            n += std::count_if(
                tasks.begin(), tasks.end(), [](const auto &it) { return !it.done && it.activeRuns.empty(); });
        }
    }
    return n;
}

} // namespace

void ServingAdmission::addWorker(const Worker &worker)
{
    m_workers.push_back(&worker);
    m_freeCpuMilli += std::max<std::int64_t>(0, worker.info.cpuMilli - worker.used.cpuMilli);
}

void ServingAdmission::addWaiting(const Job &job)
{
    for (std::size_t i = 0; i < job.spec().steps.size(); ++i) {
        const auto &step = job.spec().steps[i];
        if (step.longRunning) {
            m_freeCpuMilli -= waitingTasks(job, i) * demandOf(step).cpuMilli;
        }
    }
}

std::int64_t ServingAdmission::placesFor(const Wire::StepSpec &step) const
{
    const auto demand = demandOf(step);
    std::int64_t places = 0;
    for (const auto *it : m_workers) {
        if (!step.requiredLabel.empty() && !it->hasLabel(step.requiredLabel)) {
            continue;
        }
        const auto &taken = it->usedByLongRunning;
        const auto here = std::min({timesIn(demand.cpuMilli, it->info.cpuMilli - taken.cpuMilli),
                                    timesIn(demand.memoryMb, it->info.memoryMb - taken.memoryMb),
                                    timesIn(demand.accelerators, it->info.accelerators - taken.accelerators),
                                    static_cast<std::int64_t>(step.count)});
        places += step.maxPerWorker > 0 ? std::min<std::int64_t>(here, step.maxPerWorker) : here;
    }
    return places;
}

bool ServingAdmission::admits(const Wire::JobSpec &spec) const
{
    auto freeCpuMilli = m_freeCpuMilli;
    for (const auto &step : spec.steps) {
        if (!step.longRunning) {
            continue;
        }
        freeCpuMilli -= step.count * demandOf(step).cpuMilli;
        if (freeCpuMilli < 0 || placesFor(step) < step.count) {
            return false;
        }
    }
    return true;
}

Duration ServingAdmission::retryAfter(const std::string &job)
{
    const auto spread = std::hash<std::string>{}(job) % retrySpreadSeconds;
    return minRetryAfter + seconds(spread);
}

} // namespace Trefoilhoist::Jobs
