// Part of JobScheduler: learns from a worker's measurements how its tasks interfere with each other, and what slack its
// serving tasks will have.
#include "trefoilhoist/jobs/jobscheduler.h"
#include "trefoilhoist/jobs/throttlecontrol.h"

#include <utility>

namespace Trefoilhoist::Jobs {

namespace {

/// Minions update their measurements about this often.
constexpr Duration measurementInterval = milliseconds(480);
/// A serving task whose progress is at this value serves its users.
constexpr int atWorkPercent = 100;
/// A serving task takes its share of its step's load only some time after its start.
constexpr Duration servingWarmUp = milliseconds(1500);
/// Below this slack the tail grows much faster than the load, so that its exact value tells little.
constexpr double saturatedSlack = 0.4;
/// After this time agents have seen what a task that starts now does, and have throttled it if need be.
constexpr Duration slackHorizon = seconds(1);
/// Variance of the slack that is measured for one of a step's tasks, as the tasks differ a little.
constexpr double slackVariance = 0.02;

std::optional<double> measuredSlackOf(const Run &run)
{
    if (run.percent != atWorkPercent || run.usage <= 0) {
        return std::nullopt;
    }
    return latencySlack(run.usage, run.tailTargetMs);
}

WorkerMeasurements measurementsOf(const Worker &worker, TimePoint now)
{
    WorkerMeasurements measurements;
    measurements.at = now;
    measurements.cpuMilli = worker.info.cpuMilli;
    for (const auto *run : worker.bestEffortRuns) {
        measurements.shares[run->image] += static_cast<double>(run->usage) / worker.cpuCapacity();
    }
    return measurements;
}

BestEffortShares changesBetween(const WorkerMeasurements &before, const WorkerMeasurements &after)
{
    BestEffortShares changes = after.shares;
    for (const auto &[image, share] : before.shares) {
        changes[image] -= share;
    }
    return changes;
}

CpuMeasurement cpuMeasurementOf(const Worker &worker, TimePoint now)
{
    CpuMeasurement cpu;
    cpu.capacity = worker.info.cpuMilli;
    cpu.reserved = worker.used.cpuMilli;
    cpu.granted = worker.used.idleCpuMilli;
    for (const auto *run : worker.bestEffortRuns) {
        const bool measuredWhole = now - run->orderedAt > 2 * measurementInterval;
        // A task that uses less than half of its request is throttled, or waits.
        const bool fullSpeed = 2 * run->usage >= run->demand.idleCpuMilli;
        if (measuredWhole && fullSpeed) {
            cpu.requested += run->demand.idleCpuMilli;
            cpu.used += run->usage;
        }
    }
    return cpu;
}

} // namespace

// Updates the interference estimates from the worker's measurements.
void JobScheduler::observeInterference(Worker &worker, TimePoint now)
{
    if (now - worker.measurements.at < measurementInterval) {
        return;
    }
    auto measurements = measurementsOf(worker, now);
    const bool sameCapacity = worker.measurements.cpuMilli == measurements.cpuMilli;
    const bool consecutive = sameCapacity && now - worker.measurements.at < 2 * measurementInterval;
    const auto changes = consecutive ? changesBetween(worker.measurements, measurements) : BestEffortShares{};
    if (m_settings.replicaBaselines) {
        worker.idleCpu.observe(cpuMeasurementOf(worker, now));
    }
    for (auto &[key, run] : worker.runs) {
        if (run.tailTargetMs <= 0) {
            continue;
        }
        const auto before = std::exchange(run.measuredSlack, measuredSlackOf(run));
        run.slack = run.measuredSlack;
        run.slackIsExpected = false;
        if (m_settings.replicaBaselines && observeReplica(key, run, measurements.shares, now)) {
            continue;
        }
        if (consecutive && before && run.measuredSlack) {
            m_interference.observe(run.image, *run.measuredSlack - *before, changes, now);
        }
    }
    worker.measurements = std::move(measurements);
}

bool JobScheduler::observeReplica(const RunKey &key, Run &run, const BestEffortShares &shares, TimePoint now)
{
    if (now - run.orderedAt < servingWarmUp) {
        run.measuredSlack.reset();
        run.slack.reset();
    }
    const auto *entry = find(key.task.job);
    if (!run.measuredSlack || entry == nullptr || !entry->job.isActive()) {
        return true;
    }
    const double slack = *run.measuredSlack;
    const StepKey step{key.task.job, key.task.occurrence, key.task.step};
    const auto baseline = m_baselines.trend(step, now);
    const double drop = m_interference.slackDrop(run.image, shares);
    const double variance = m_interference.slackDropVariance(run.image, shares);
    const bool saturated = slack < saturatedSlack;
    // A saturated measurement shows at least how far the slack has dropped.
    if (baseline && (!saturated || baseline->level - drop > slack)) {
        m_interference.observeDrop(run.image, baseline->level - slack, shares, now);
    }
    if (!saturated) {
        m_baselines.observe(step, slack + drop, slackVariance / (slackVariance + variance), now);
    }
    if (const auto lowest = m_baselines.lowest(step, now, slackHorizon)) {
        run.slack = *lowest - m_interference.slackDrop(run.image, shares);
        run.slackIsExpected = true;
    }
    return baseline.has_value();
}

} // namespace Trefoilhoist::Jobs
