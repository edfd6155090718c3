#include "trefoilhoist/jobs/workerselector.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// A worker whose last report is older than this gets no new tasks.
constexpr Duration maxReportAge = milliseconds(1500);
/// No task is started on a worker whose lease expires sooner than this.
constexpr Duration minRemainingLease = seconds(1);

// Costs; 1 is the load of a fully used worker.
constexpr double siblingCost = 0.15;
/// Multiplied by the share of the worker's runs that failed lately.
constexpr double workerFailureCost = 2.0;
constexpr double remoteDataCost = 0.5;
/// The last failure of the same task was on this worker.
constexpr double sameTaskFailedCost = 1.0;
constexpr double interferenceCost = 6;
/// Keeps serving tasks of one image together, so that each kind of best-effort task finds workers where it doesn't
/// interfere.
constexpr double mixedImagesCost = 1.2;
/// The slack that serving tasks must keep. Slack is the target latency divided by the tail latency.
constexpr double requiredSlack = 1.3;
constexpr double toleratedInterference = 0.05;

double shareOf(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

SiblingCounts countSiblings(const StepState &step)
{
    SiblingCounts counts;
    for (const auto &task : step.tasks) {
        for (const auto &run : task.activeRuns) {
            ++counts[run.worker];
        }
    }
    return counts;
}

WorkerSelector::WorkerSelector(const Wire::StepSpec &step,
                               const std::string &service,
                               const SiblingCounts &siblings,
                               const TaskState &task,
                               const InterferenceTable &interference,
                               TimePoint now)
    : m_step(step)
    , m_service(service)
    , m_siblings(siblings)
    , m_task(task)
    , m_interference(interference)
    , m_now(now)
    , m_demand(demandOf(step))
{
}

int WorkerSelector::siblingsOn(const Worker &worker) const
{
    const auto it = m_siblings.find(worker.info.id);
    return it == m_siblings.end() ? 0 : it->second;
}

std::string_view WorkerSelector::rejectionReason(const Worker &worker) const
{
    if (!worker.inRecordedRoster || !worker.listed) {
        return "not listed or recorded yet";
    }
    if (!worker.reachable || m_now - worker.lastContact > maxReportAge
        || worker.leaseEnds - m_now < minRemainingLease) {
        return "silent";
    }
    if (worker.draining) {
        return "draining";
    }
    if (worker.info.serviceName != m_service) {
        return "other service";
    }
    if (worker.health.isQuarantined(m_now)) {
        return "quarantined";
    }
    if (!m_step.requiredLabel.empty() && !worker.hasLabel(m_step.requiredLabel)) {
        return "label missing";
    }
    if (m_step.maxPerWorker > 0 && siblingsOn(worker) >= m_step.maxPerWorker) {
        return "limit per worker reached";
    }
    return {};
}

bool WorkerSelector::hasFreeCapacity(const Worker &worker) const
{
    if (!worker.fits(m_demand) || (worker.reservedForLongRunning && !m_step.longRunning)) {
        return false;
    }
    // Only an overdue best-effort step, of which nothing runs yet, may start without enough idle CPU or despite
    // interference.
    return !m_step.usesIdleCpu || m_overdue
        || (worker.idleCpuMilli() >= m_demand.idleCpuMilli && interferenceOn(worker) <= toleratedInterference);
}

double WorkerSelector::cost(const Worker &worker) const
{
    const auto &used = worker.used;
    double cost = shareOf(used.memoryMb + m_demand.memoryMb, worker.info.memoryMb);
    if (m_step.usesIdleCpu) {
        cost = std::max(cost, 1.0 - shareOf(worker.idleCpuMilli() - m_demand.idleCpuMilli, worker.info.cpuMilli));
    } else {
        cost = std::max(cost, shareOf(used.cpuMilli + m_demand.cpuMilli, worker.info.cpuMilli));
    }
    if (m_step.tailTargetMs > 0) {
        cost += mixedImagesCost * shareOfOtherImages(worker, m_step.image);
    } else {
        cost += siblingCost * siblingsOn(worker);
    }
    if (m_step.usesIdleCpu) {
        cost += interferenceCost * interferenceOn(worker);
    }
    cost += workerFailureCost * worker.health.failureRatio(m_now);
    if (!m_step.inputRack.empty() && !worker.hasLabel(m_step.inputRack)) {
        cost += remoteDataCost;
    }
    if (m_task.failedOn == worker.info.id) {
        cost += sameTaskFailedCost;
    }
    return cost;
}

double WorkerSelector::interferenceOn(const Worker &worker) const
{
    const auto capacity = static_cast<double>(std::max(1, worker.info.cpuMilli));
    // Best-effort tasks that were started since the last measurements are not included in them yet.
    BestEffortShares unmeasured;
    unmeasured[m_step.image] = static_cast<double>(m_demand.idleCpuMilli) / capacity;
    for (const auto &[key, run] : worker.runs) {
        if (run.demand.idleCpuMilli > 0 && run.orderedAt > worker.measurements.at) {
            unmeasured[run.image] += static_cast<double>(run.demand.idleCpuMilli) / capacity;
        }
    }
    double sum = 0;
    for (const auto &[key, run] : worker.runs) {
        if (run.tailTargetMs <= 0) {
            continue;
        }
        const double taskEffect = m_interference.effect(run.image, m_step.image) * unmeasured[m_step.image];
        const auto slack = worker.measurements.slacks.find(key);
        const double currentSlack = slack == worker.measurements.slacks.end() ? requiredSlack : slack->second;
        const double shortfall = requiredSlack - (currentSlack - m_interference.slackDrop(run.image, unmeasured));
        sum += std::clamp(shortfall, 0.0, taskEffect);
    }
    return sum;
}

double WorkerSelector::shareOfOtherImages(const Worker &worker, const std::string &image)
{
    int serving = 0;
    int others = 0;
    for (const auto &[key, run] : worker.runs) {
        if (run.tailTargetMs > 0) {
            ++serving;
            others += run.image != image ? 1 : 0;
        }
    }
    return serving == 0 ? 0 : static_cast<double>(others) / serving;
}

void WorkerSelector::consider(Worker &worker)
{
    const auto reason = rejectionReason(worker);
    if (!reason.empty()) {
        ++m_rejections[reason];
        return;
    }
    if (!hasFreeCapacity(worker)) {
        ++m_rejections["not enough capacity"];
        const auto shortage = m_step.longRunning ? worker.shortage(m_demand) : std::nullopt;
        if (shortage && (m_closestFit == nullptr || *shortage < m_leastShortage)) {
            m_closestFit = &worker;
            m_leastShortage = *shortage;
        }
        return;
    }
    const double value = cost(worker);
    if (m_best == nullptr || value < m_lowestCost) {
        m_best = &worker;
        m_lowestCost = value;
    }
}

} // namespace Trefoilhoist::Jobs
