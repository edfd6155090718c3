#include "trefoilhoist/jobs/workerchoice.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// A worker that was not heard of for this long gets nothing new.
constexpr Duration silentAfter = milliseconds(1500);
/// Nothing is started when the lease has less left than this.
constexpr Duration leaseLeft = seconds(1);

// Costs, in units of a whole worker's load.
constexpr double siblingCost = 0.15;
constexpr double badCost = 2.0;
constexpr double farFromDataCost = 0.5;
constexpr double failedThereCost = 1.0;
constexpr double harmCost = 6;
/// Serving tasks of one image are kept together, so that each kind of filling task finds workers where it does no harm.
constexpr double otherImagesCost = 1.2;
/// Slack that serving tasks are to keep.
constexpr double keptSlack = 1.3;
constexpr double toleratedHarm = 0.05;

double shareOf(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

SiblingCounts countSiblings(const StepState &step)
{
    SiblingCounts counts;
    for (const auto &task : step.tasks) {
        for (const auto &run : task.active) {
            ++counts[run.worker];
        }
    }
    return counts;
}

WorkerChoice::WorkerChoice(const Wire::StepSpec &step,
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

int WorkerChoice::siblingsAt(const Worker &worker) const
{
    const auto it = m_siblings.find(worker.info.id);
    return it == m_siblings.end() ? 0 : it->second;
}

std::string_view WorkerChoice::obstacle(const Worker &worker) const
{
    if (!worker.enrolled || !worker.listed) {
        return "not known yet";
    }
    if (!worker.reachable || m_now - worker.heardAt > silentAfter || worker.leaseEnds - m_now < leaseLeft) {
        return "silent";
    }
    if (worker.draining) {
        return "draining";
    }
    if (worker.info.serviceName != m_service) {
        return "other service";
    }
    if (worker.health.quarantined(m_now)) {
        return "quarantined";
    }
    if (!m_step.requiredLabel.empty() && !worker.hasLabel(m_step.requiredLabel)) {
        return "label missing";
    }
    if (m_step.maxPerWorker > 0 && siblingsAt(worker) >= m_step.maxPerWorker) {
        return "too many of the step";
    }
    return {};
}

bool WorkerChoice::hasRoom(const Worker &worker) const
{
    if (!worker.fits(m_demand) || (worker.reserved && !m_step.longRunning)) {
        return false;
    }
    // Lent processors are shared thinly only by a step that has nothing running yet.
    return !m_step.usesIdleCpu || m_overdue
        || (worker.idleCpuMilli() >= m_demand.idleCpuMilli && harm(worker) <= toleratedHarm);
}

double WorkerChoice::cost(const Worker &worker) const
{
    const auto &used = worker.used;
    double cost = shareOf(used.memoryMb + m_demand.memoryMb, worker.info.memoryMb);
    if (m_step.usesIdleCpu) {
        cost = std::max(cost, 1.0 - shareOf(worker.idleCpuMilli() - m_demand.idleCpuMilli, worker.info.cpuMilli));
    } else {
        cost = std::max(cost, shareOf(used.cpuMilli + m_demand.cpuMilli, worker.info.cpuMilli));
    }
    if (m_step.tailTargetMs > 0) {
        cost += otherImagesCost * otherImages(worker, m_step.image);
    } else {
        cost += siblingCost * siblingsAt(worker);
    }
    if (m_step.usesIdleCpu) {
        cost += harmCost * harm(worker);
    }
    cost += badCost * worker.health.badShare(m_now);
    if (!m_step.inputRack.empty() && !worker.hasLabel(m_step.inputRack)) {
        cost += farFromDataCost;
    }
    if (m_task.failedOn == worker.info.id) {
        cost += failedThereCost;
    }
    return cost;
}

double WorkerChoice::harm(const Worker &worker) const
{
    const auto capacity = static_cast<double>(std::max(1, worker.info.cpuMilli));
    // Fills that were started since the last figures are not in them yet.
    BestEffortShares unseen;
    unseen[m_step.image] = static_cast<double>(m_demand.idleCpuMilli) / capacity;
    for (const auto &[key, run] : worker.runs) {
        if (run.demand.idleCpuMilli > 0 && run.orderedAt > worker.figures.at) {
            unseen[run.image] += static_cast<double>(run.demand.idleCpuMilli) / capacity;
        }
    }
    double sum = 0;
    for (const auto &[key, run] : worker.runs) {
        if (run.tailTargetMs <= 0) {
            continue;
        }
        const double press = m_interference.effect(run.image, m_step.image) * unseen[m_step.image];
        const auto slack = worker.figures.slacks.find(key);
        const double now = slack == worker.figures.slacks.end() ? keptSlack : slack->second;
        const double excess = keptSlack - (now - m_interference.slackDrop(run.image, unseen));
        sum += std::clamp(excess, 0.0, press);
    }
    return sum;
}

double WorkerChoice::otherImages(const Worker &worker, const std::string &image)
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

void WorkerChoice::consider(Worker &worker)
{
    const auto why = obstacle(worker);
    if (!why.empty()) {
        ++m_obstacles[why];
        return;
    }
    if (!hasRoom(worker)) {
        ++m_obstacles["no room"];
        const auto shortage = m_step.longRunning ? worker.shortage(m_demand) : std::nullopt;
        if (shortage && (m_closest == nullptr || *shortage < m_leastShortage)) {
            m_closest = &worker;
            m_leastShortage = *shortage;
        }
        return;
    }
    const double value = cost(worker);
    if (m_best == nullptr || value < m_lowest) {
        m_best = &worker;
        m_lowest = value;
    }
}

} // namespace Trefoilhoist::Jobs
