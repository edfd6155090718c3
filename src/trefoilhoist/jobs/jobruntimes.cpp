// Part of Job: run times of its tasks and the work that is left.
#include "trefoilhoist/jobs/job.h"

#include <chrono>

namespace Trefoilhoist::Jobs {

StepRunTime &Job::runTime(std::size_t step)
{
    if (m_runTimes.empty()) {
        for (const auto &it : m_spec.steps) {
            m_runTimes.push_back({milliseconds(it.estimatedMs), {}, 0});
        }
    }
    return m_runTimes.at(step);
}

void Job::observeRunTime(std::size_t step, Duration time)
{
    auto &known = runTime(step);
    known.finishedSum += time;
    ++known.finished;
}

std::optional<Duration> Job::observedRunTime(std::size_t step) const
{
    if (m_runTimes.empty() || m_runTimes.at(step).finished == 0) {
        return std::nullopt;
    }
    return m_runTimes.at(step).finishedSum / m_runTimes.at(step).finished;
}

void Job::setExpectedRunTime(std::size_t step, Duration time)
{
    runTime(step).expected = time;
}

Duration Job::expectedRunTime(std::size_t step) const
{
    return m_runTimes.empty() ? Duration(milliseconds(m_spec.steps.at(step).estimatedMs))
                              : m_runTimes.at(step).expected;
}

double Job::remainingWork(const OccurrenceState &occurrence) const
{
    constexpr double milliCpuPerCore = 1000;
    double work = 0;
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        const double cores = m_spec.steps[i].cpuMilli / milliCpuPerCore;
        work += occurrence.steps[i].unfinished * cores * std::chrono::duration<double>(expectedRunTime(i)).count();
    }
    return work;
}

} // namespace Trefoilhoist::Jobs
