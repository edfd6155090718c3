// Part of JobScheduler: plans which starts and stops are ordered and which orders are sent again.
#include "trefoilhoist/jobs/joblog.h"
#include "trefoilhoist/jobs/jobscheduler.h"
#include "trefoilhoist/jobs/workerselector.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Trefoilhoist::Jobs {

namespace {

/// Size of the range of run numbers of one epoch, so that runs of a later owner have higher numbers.
constexpr std::int64_t runNumbersPerEpoch = 1000;
/// After this many unresolved start orders the run is stopped and its task is started elsewhere.
constexpr int maxUnansweredStarts = 3;
/// Maximum number of starts per worker in one plan.
constexpr std::size_t maxStartsPerPlan = 24;
/// A long-running step that has waited longer than this is logged, and no more often than this.
constexpr Duration minWaitToLog = milliseconds(1000);
/// A step with nothing running waits this long for a worker where it doesn't interfere with serving tasks.
constexpr Duration maxWaitForNoInterference = milliseconds(2000);

} // namespace

std::int64_t JobScheduler::nextRun(const TaskState &task) const
{
    return std::max(task.lastRun, (m_epoch - 1) * runNumbersPerEpoch) + 1;
}

std::map<std::string, Wire::WorkerOrders> JobScheduler::plan(TimePoint now, std::int64_t wallMs)
{
    m_now = now;
    std::map<std::string, Wire::WorkerOrders> orders;
    expireWorkers(now);
    recordCheckpoints(now);
    for (const auto &id : m_active) {
        const auto due = m_jobs.at(id).job.nextDueMs();
        if (due && *due <= wallMs - m_settings.dueSlackMs) {
            m_jobsToRefresh.insert(id);
        }
    }
    for (const auto &id : std::exchange(m_jobsToRefresh, {})) {
        if (auto *entry = find(id); entry != nullptr && entry->accepted) {
            refreshPending(*entry, wallMs);
        }
    }
    resendOrders(orders, now);
    for (auto &[id, worker] : m_workers) {
        worker.reservedForLongRunning = false;
    }
    std::vector<const PendingStep *> steps;
    for (const auto &[key, step] : m_pending) {
        steps.push_back(&step);
    }
    std::sort(steps.begin(), steps.end(), [&](const auto *a, const auto *b) {
        const auto rank = [&](const PendingStep &it) {
            // Long-running tasks come first, because they serve users now. Steps that can still meet their objective
            // come before those that can't.
            return std::tuple(
                !it.longRunning, it.worthlessAfter < now, it.usesIdleCpu, it.latestStart < now, it.latestStart);
        };
        return rank(*a) < rank(*b);
    });
    for (const auto *step : steps) {
        placeStep(*step, orders, now);
    }
    std::erase_if(m_pending, [&](const auto &it) {
        const auto *entry = find(it.second.job);
        if (entry == nullptr) {
            return true;
        }
        const auto occurrence = entry->job.occurrences().find(it.second.occurrence);
        if (occurrence == entry->job.occurrences().end() || occurrence->second.finished) {
            return true;
        }
        const auto &tasks = occurrence->second.steps[static_cast<std::size_t>(it.second.step)].tasks;
        return std::none_of(
            tasks.begin(), tasks.end(), [](const auto &task) { return !task.done && task.activeRuns.empty(); });
    });
    return orders;
}

void JobScheduler::expireWorkers(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        if (now > worker.leaseEnds && (worker.listed || !worker.runs.empty())) {
            logWorkerEvent("worker_lease_expired", worker, m_epoch);
            removeAgent(agentName(worker.info), now);
        }
    }
    if (!m_unreported.empty() && now > m_reportDeadline) {
        logUnreportedAgents(m_unreported, m_epoch);
        for (const auto &name : std::set<std::string>(m_unreported)) {
            removeAgent(name, now);
        }
    }
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
        for (auto &[key, run] : worker.runs) {
            const bool needsOrder = run.state == RunState::Stopping || run.state == RunState::Unresolved;
            if (!needsOrder || run.inFlight || now < run.nextOrderAt) {
                continue;
            }
            auto *entry = find(key.task.job);
            if (run.state == RunState::Unresolved
                && (run.unansweredOrders >= maxUnansweredStarts || entry == nullptr)) {
                run.state = RunState::Stopping;
            }
            auto &workerOrders = ordersFor(orders, worker);
            if (run.state == RunState::Stopping) {
                Wire::StopOrder stop;
                stop.task = key.task;
                stop.run = key.run;
                workerOrders.stops.push_back(stop);
            } else {
                workerOrders.starts.push_back(startOrder(*entry, key, run));
            }
            run.inFlight = true;
        }
    }
}

bool JobScheduler::canStart(const Entry &entry, const Wire::StepSpec &step, const TaskState &task, TimePoint now) const
{
    if (task.done || !task.activeRuns.empty() || now < task.notBefore) {
        return false;
    }
    return !entry.inherited || m_unreported.empty() || step.duplicatesAllowed;
}

void JobScheduler::placeStep(const PendingStep &pending,
                             std::map<std::string, Wire::WorkerOrders> &orders,
                             TimePoint now)
{
    auto *entry = find(pending.job);
    if (entry == nullptr || !entry->job.isActive()) {
        return;
    }
    const auto occurrence = entry->job.occurrences().find(pending.occurrence);
    if (occurrence == entry->job.occurrences().end() || occurrence->second.steps.empty()) {
        return;
    }
    if (entry->job.step(pending.step).gang) {
        placeGang(*entry, pending, orders, now);
        return;
    }
    const auto &step = entry->job.step(pending.step);
    auto &state = occurrence->second.steps[static_cast<std::size_t>(pending.step)];
    auto &tasks = state.tasks;
    PlacementContext context{entry->job, pending, serviceOf(entry->job), countSiblings(state)};
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (!canStart(*entry, step, tasks[i], now)) {
            continue;
        }
        auto *worker = selectWorker(context, tasks[i], now);
        if (worker == nullptr) {
            return;
        }
        const auto ref = taskRef(pending.job, pending.occurrence, static_cast<std::size_t>(pending.step), i);
        start(*entry, ref, *worker, orders, nextRun(tasks[i]), now);
        if (!tasks[i].activeRuns.empty()) {
            ++context.siblings[worker->info.id];
        }
    }
}

// All members of a gang start together or none does.
void JobScheduler::placeGang(Entry &entry,
                             const PendingStep &pending,
                             std::map<std::string, Wire::WorkerOrders> &orders,
                             TimePoint now)
{
    const auto &step = entry.job.step(pending.step);
    auto &state = entry.job.occurrences()[pending.occurrence].steps[static_cast<std::size_t>(pending.step)];
    auto &tasks = state.tasks;
    std::int64_t run = 0;
    for (const auto &task : tasks) {
        if (!canStart(entry, step, task, now)) {
            return;
        }
        run = std::max(run, nextRun(task));
    }
    const PlacementContext context{entry.job, pending, serviceOf(entry.job), countSiblings(state)};
    std::vector<Worker *> chosen;
    std::vector<RunKey> keys;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        auto *worker = selectWorker(context, tasks[i], now);
        if (worker == nullptr) {
            break;
        }
        const auto ref = taskRef(pending.job, pending.occurrence, static_cast<std::size_t>(pending.step), i);
        Run placeholder;
        placeholder.demand = demandOf(step);
        worker->addRun({ref, run}, placeholder);
        chosen.push_back(worker);
        keys.push_back({ref, run});
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        chosen[i]->removeRun(keys[i]);
    }
    if (chosen.size() < tasks.size()) {
        return;
    }
    // All members of a gang resume from the same checkpoint.
    const std::string checkpoint = tasks.front().checkpoint;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        tasks[i].checkpoint = checkpoint;
        start(entry, keys[i].task, *chosen[i], orders, run, now);
    }
}

// The current configuration takes precedence over the one with which the job was submitted.
const std::string &JobScheduler::serviceOf(const Job &job) const
{
    const auto *queue = m_queues.byName(job.spec().queue.name);
    return queue == nullptr ? job.spec().queue.serviceName : queue->policy.serviceName;
}

Worker *JobScheduler::selectWorker(const PlacementContext &context, const TaskState &task, TimePoint now)
{
    const auto &step = context.job.step(context.pending.step);
    const Duration waited = now - context.pending.pendingSince;
    WorkerSelector selector(step, context.service, context.siblings, task, m_interference, now);
    selector.setOverdue(context.siblings.empty() && waited > maxWaitForNoInterference);
    for (auto &[id, worker] : m_workers) {
        selector.consider(worker);
    }
    if (selector.best() == nullptr && selector.closestFit() != nullptr) {
        // Otherwise short tasks would occupy the capacity again as soon as it becomes free.
        selector.closestFit()->reservedForLongRunning = true;
    }
    if (selector.best() == nullptr && step.longRunning && waited > minWaitToLog
        && now - m_waitLoggedAt > minWaitToLog) {
        m_waitLoggedAt = now;
        logStepWaiting(context.job.id(), step, selector.rejections(), waited, m_epoch);
    }
    return selector.best();
}

void JobScheduler::start(Entry &entry,
                         const Wire::TaskRef &ref,
                         Worker &worker,
                         std::map<std::string, Wire::WorkerOrders> &orders,
                         std::int64_t run,
                         TimePoint now)
{
    auto &workerOrders = ordersFor(orders, worker);
    if (workerOrders.starts.size() >= maxStartsPerPlan) {
        return;
    }
    const auto &step = entry.job.step(ref.step);
    Run newRun = runOf(step, now);
    newRun.inFlight = true;
    newRun.checkpoint = step.checkpoints ? entry.job.task(ref)->checkpoint : std::string();
    const RunKey key{ref, run};
    const auto &added = worker.addRun(key, std::move(newRun));
    entry.job.trackRun(ref, run, worker.info.id);
    workerOrders.starts.push_back(startOrder(entry, key, added));
}

} // namespace Trefoilhoist::Jobs
