// Part of JobScheduler: plans which starts and stops are ordered and which orders are sent again.
#include "trefoilhoist/jobs/joblog.h"
#include "trefoilhoist/jobs/jobscheduler.h"
#include "trefoilhoist/jobs/ownerrecord.h"

#include <algorithm>
#include <utility>

namespace Trefoilhoist::Jobs {

namespace {

/// Size of the range of run numbers of one epoch, so that runs of a later owner have higher numbers: minions refuse
/// lower ones. A task that fails at each start uses up to 60 numbers a second, for which the range lasts 46 hours.
constexpr std::int64_t runNumbersPerEpoch = 10'000'000;
static_assert(maxEpoch <= (std::int64_t{1} << 53U) / runNumbersPerEpoch,
              "run numbers are JSON numbers, which are exact up to 2^53");
/// After this many unresolved start orders the run is stopped and its task is started elsewhere.
constexpr int maxUnansweredStarts = 3;

} // namespace

std::int64_t JobScheduler::nextRun(const TaskState &task) const
{
    return std::max(task.lastRun, (m_epoch - 1) * runNumbersPerEpoch) + 1;
}

std::map<std::string, Wire::WorkerOrders> JobScheduler::plan(TimePoint now, std::int64_t wallMs, bool ownershipVerified)
{
    m_now = now;
    m_ownershipVerified = ownershipVerified;
    std::map<std::string, Wire::WorkerOrders> orders;
    expireWorkers(now);
    recordCheckpoints(now);
    refreshDueJobs(wallMs);
    for (const auto &id : std::exchange(m_jobsToRefresh, {})) {
        if (auto *entry = find(id); entry != nullptr && entry->accepted) {
            refreshPending(*entry, wallMs);
        }
    }
    resendOrders(orders, now);
    for (auto &[id, worker] : m_workers) {
        worker.reservedForLongRunning = false;
    }
    m_unplaced.clear();
    m_rackWaits.beginPlan();
    std::vector<StepKey> placed;
    for (const auto *step : pendingByRank(now)) {
        placeStep(*step, orders, now);
        if (!hasTasksToStart(*step)) {
            placed.emplace_back(step->job, step->occurrence, step->step);
        }
    }
    for (const auto &it : placed) {
        m_pending.erase(it);
    }
    // A worker that was only looked at, for a gang that found no room, gets no message.
    std::erase_if(orders, [](const auto &it) { return it.second.starts.empty() && it.second.stops.empty(); });
    return orders;
}

std::vector<const JobScheduler::PendingStep *> JobScheduler::pendingByRank(TimePoint now) const
{
    std::vector<const PendingStep *> steps;
    steps.reserve(m_pending.size());
    for (const auto &[key, step] : m_pending) {
        steps.push_back(&step);
    }
    std::sort(steps.begin(), steps.end(), [&](const auto *a, const auto *b) {
        return comesBefore(m_settings.stepOrder, a->rank, b->rank, now);
    });
    return steps;
}

bool JobScheduler::hasTasksToStart(const PendingStep &pending)
{
    const auto *entry = find(pending.job);
    if (entry == nullptr) {
        return false;
    }
    const auto occurrence = entry->job.occurrences().find(pending.occurrence);
    if (occurrence == entry->job.occurrences().end() || occurrence->second.finished) {
        return false;
    }
    const auto &tasks = occurrence->second.steps[static_cast<std::size_t>(pending.step)].tasks;
    return std::any_of(
        tasks.begin(), tasks.end(), [](const auto &task) { return !task.done && task.activeRuns.empty(); });
}

void JobScheduler::expireWorkers(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        if (now <= worker.leaseEnds) {
            continue;
        }
        // Each later owner would wait for an agent of the roster, also for one that held nothing when it ended.
        const auto name = agentName(worker.info);
        if (worker.listed || !worker.runs.empty() || m_roster.count(name) > 0) {
            logWorkerEvent("worker_lease_expired", worker, m_epoch);
            removeAgent(name, LossCause::LeaseExpired, now);
        }
    }
    if (now > m_reportDeadline) {
        giveUpAgents(now);
    }
}

void JobScheduler::giveUpAgents(TimePoint now)
{
    for (const auto &name : std::set<std::string>(m_unreported)) {
        if (mayHoldUnlistedTasks(name, now)) {
            continue;
        }
        logAgentGivenUp(name, workerOf(name), now, m_epoch);
        removeAgent(name, LossCause::LeaseExpired, now);
    }
}

bool JobScheduler::mayHoldUnlistedTasks(const std::string &agent, TimePoint now) const
{
    if (agent == unknownAgents) {
        return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &it) {
            return !it.second.listed && now <= it.second.leaseEnds;
        });
    }
    const auto *worker = workerOf(agent);
    return worker != nullptr && now <= worker->leaseEnds;
}

const Worker *JobScheduler::workerOf(const std::string &agent) const
{
    const auto it = std::find_if(
        m_workers.begin(), m_workers.end(), [&](const auto &known) { return agentName(known.second.info) == agent; });
    return it == m_workers.end() ? nullptr : &it->second;
}

Wire::WorkerOrders &JobScheduler::ordersFor(std::map<std::string, Wire::WorkerOrders> &orders,
                                            const Worker &worker) const
{
    auto &result = orders[worker.info.id];
    result.epoch = m_epoch;
    result.worker = worker.info.id;
    result.born = worker.info.born;
    result.leaseTerm = worker.leaseTerm;
    result.afterReport = worker.lastReport;
    result.sinceReportMs = duration_cast<milliseconds>(m_now - worker.lastContact).count();
    return result;
}

Wire::RunInfo JobScheduler::runInfo(const Entry &entry, const RunKey &key)
{
    const auto &step = entry.job.step(key.task.step);
    Wire::RunInfo info;
    info.task = key.task;
    info.run = key.run;
    info.image = step.image;
    info.tailTargetMs = step.tailTargetMs;
    info.usesIdleCpu = step.usesIdleCpu;
    info.cpuMilli = step.cpuMilli;
    return info;
}

Wire::StartOrder JobScheduler::startOrder(const Entry &entry, const RunKey &key, const Run &run) const
{
    Wire::StartOrder order;
    order.task = key.task;
    order.run = key.run;
    order.payload = entry.job.spec().payload;
    order.checkpoint = run.checkpoint;
    order.info = runInfo(entry, key);
    return order;
}

void JobScheduler::resendOrders(std::map<std::string, Wire::WorkerOrders> &orders, TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        if (!worker.mayNeedOrders) {
            continue;
        }
        worker.mayNeedOrders = false;
        // A start that got no answer must not take effect once its worker may take no more.
        const bool takesStarts = !worker.draining && !worker.zoneDrained && !worker.isOvercommitted();
        for (auto &[key, run] : worker.runs) {
            worker.mayNeedOrders = worker.mayNeedOrders || run.needsOrder();
            if (!run.needsOrder() || run.inFlight || now < run.nextOrderAt) {
                continue;
            }
            auto *entry = find(key.task.job);
            if (run.state == RunState::Unresolved
                && (run.unansweredOrders >= maxUnansweredStarts || entry == nullptr || !takesStarts)) {
                run.state = RunState::Stopping;
            }
            if (run.startDeferred && (entry == nullptr || !takesStarts)) {
                requestStop(worker, key, now);
            }
            auto &workerOrders = ordersFor(orders, worker);
            if (run.state == RunState::Stopping) {
                Wire::StopOrder stop;
                stop.task = key.task;
                stop.run = key.run;
                workerOrders.stops.push_back(stop);
            } else if (run.startDeferred && workerOrders.starts.size() >= maxStartsPerPlan) {
                continue;
            } else {
                workerOrders.starts.push_back(startOrder(*entry, key, run));
            }
            if (std::exchange(run.startDeferred, false)) {
                run.orderedAt = now;
            }
            run.inFlight = true;
        }
    }
}

} // namespace Trefoilhoist::Jobs
