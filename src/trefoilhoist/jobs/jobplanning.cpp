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
        const auto rank = [&](const PendingStep &it) {
            // Long-running tasks come first, because they serve users now. Steps that can still meet their objective
            // come before those that can't.
            return std::tuple(
                !it.longRunning, it.worthlessAfter < now, it.usesIdleCpu, it.latestStart < now, it.latestStart);
        };
        return rank(*a) < rank(*b);
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
    if (!m_unreported.empty() && now > m_reportDeadline) {
        logUnreportedAgents(m_unreported, m_epoch);
        m_agentsGivenUp = true;
        for (const auto &name : std::set<std::string>(m_unreported)) {
            removeAgent(name, LossCause::LeaseExpired, now);
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
    if (entry.crashVersion > entry.recordedVersion) {
        // A crash that only this process knows would not count if it ended now.
        return false;
    }
    const bool mayHaveEndedElsewhere = task.lostWithWorker || (entry.inherited && m_agentsGivenUp);
    if (mayHaveEndedElsewhere && !m_ownershipVerified && !step.duplicatesAllowed) {
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
    } else {
        placeTasks(*entry, pending, orders, now);
    }
}

void JobScheduler::placeTasks(Entry &entry,
                              const PendingStep &pending,
                              std::map<std::string, Wire::WorkerOrders> &orders,
                              TimePoint now)
{
    const auto &step = entry.job.step(pending.step);
    auto &tasks = entry.job.occurrences()[pending.occurrence].steps[static_cast<std::size_t>(pending.step)].tasks;
    std::optional<WorkerSelector> selector;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (!canStart(entry, step, tasks[i], now)) {
            continue;
        }
        if (!selector) {
            if (isKnownUnplaceable(entry, pending, now)) {
                return;
            }
            selector.emplace(selectorFor(entry, pending, now));
        }
        const auto ref = taskRef(pending.job, pending.occurrence, static_cast<std::size_t>(pending.step), i);
        if (tasks[i].crashes.startsAlone()) {
            startAlone(entry, ref, *selector, orders, now);
            continue;
        }
        auto *worker = selector->select(tasks[i]);
        while (worker != nullptr && !start(entry, ref, *worker, orders, nextRun(tasks[i]), now)) {
            selector->exclude(*worker);
            worker = selector->select(tasks[i]);
        }
        if (worker == nullptr) {
            handleUnplaced(entry, pending, *selector, now);
            return;
        }
        selector->startedOn(*worker);
    }
}

// Starts a task under which workers have crashed where nothing else has just been started, and keeps other starts away
// from that worker until its start is confirmed and a crash would have been noticed.
void JobScheduler::startAlone(Entry &entry,
                              const Wire::TaskRef &ref,
                              WorkerSelector &selector,
                              std::map<std::string, Wire::WorkerOrders> &orders,
                              TimePoint now)
{
    auto *worker = selector.selectSettled(*entry.job.task(ref));
    if (worker == nullptr) {
        selector.reserveWorker();
        return;
    }
    const auto run = nextRun(*entry.job.task(ref));
    if (!start(entry, ref, *worker, orders, run, now)) {
        return;
    }
    worker->runs.at({ref, run}).startedAlone = true;
    worker->reservation = {TimePoint::max(), std::nullopt};
    selector.startedOn(*worker);
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
    auto selector = selectorFor(entry, pending, now);
    for (const auto &[id, it] : orders) {
        if (it.starts.size() >= maxStartsPerPlan) {
            selector.exclude(m_workers.at(id));
        }
    }
    std::vector<Worker *> chosen;
    std::vector<RunKey> keys;
    std::map<const Worker *, std::size_t> members;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        auto *worker = selector.select(tasks[i]);
        if (worker == nullptr) {
            handleUnplaced(entry, pending, selector, now);
            break;
        }
        const auto ref = taskRef(pending.job, pending.occurrence, static_cast<std::size_t>(pending.step), i);
        worker->addRun({ref, run}, newRun(step, now));
        chosen.push_back(worker);
        keys.push_back({ref, run});
        selector.startedOn(*worker);
        if (++members[worker] + ordersFor(orders, *worker).starts.size() >= maxStartsPerPlan) {
            selector.exclude(*worker);
        }
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

WorkerSelector JobScheduler::selectorFor(const Entry &entry, const PendingStep &pending, TimePoint now)
{
    const auto &step = entry.job.step(pending.step);
    const auto &state = entry.job.occurrences().at(pending.occurrence).steps[static_cast<std::size_t>(pending.step)];
    auto siblings = countSiblings(state);
    const bool overdue = siblings.empty() && now - pending.pendingSince > maxWaitForNoInterference;
    WorkerSelector selector(step,
                            {pending.job, pending.occurrence, pending.step},
                            serviceOf(entry.job),
                            std::move(siblings),
                            m_interference.numberOf(step.image),
                            m_interference,
                            now);
    selector.setOverdue(overdue);
    for (auto &[id, worker] : m_workers) {
        selector.consider(worker);
    }
    return selector;
}

void JobScheduler::handleUnplaced(const Entry &entry,
                                  const PendingStep &pending,
                                  const WorkerSelector &selector,
                                  TimePoint now)
{
    const auto &step = entry.job.step(pending.step);
    const Duration waited = now - pending.pendingSince;
    if (auto *worker = selector.closestFit(); worker != nullptr) {
        // Otherwise short tasks would occupy the capacity again as soon as it becomes free.
        worker->reservedForLongRunning = true;
    }
    if (step.longRunning && waited > minWaitToLog && now - m_waitLoggedAt > minWaitToLog) {
        m_waitLoggedAt = now;
        logStepWaiting(entry.job.id(), step, selector.rejections(), waited, m_epoch);
    }
    if (!step.longRunning && !step.gang && step.maxPerWorker == 0) {
        m_unplaced.push_back({&serviceOf(entry.job), &step});
    }
}

bool JobScheduler::isKnownUnplaceable(const Entry &entry, const PendingStep &pending, TimePoint now) const
{
    const bool mayBeOverdue = now - pending.pendingSince > maxWaitForNoInterference;
    if (m_unplaced.empty() || pending.longRunning || (pending.usesIdleCpu && mayBeOverdue)) {
        return false;
    }
    const auto &step = entry.job.step(pending.step);
    const auto &service = serviceOf(entry.job);
    return std::any_of(m_unplaced.begin(), m_unplaced.end(), [&](const auto &it) {
        const auto &other = *it.step;
        const bool sameConstraints = *it.service == service && other.requiredLabel == step.requiredLabel
            && other.usesIdleCpu == step.usesIdleCpu && (!step.usesIdleCpu || other.image == step.image);
        return sameConstraints && other.cpuMilli <= step.cpuMilli && other.memoryMb <= step.memoryMb
            && other.accelerators <= step.accelerators;
    });
}

Run JobScheduler::newRun(const Wire::StepSpec &step, TimePoint now)
{
    Run run = runOf(step, now);
    run.imageNumber = m_interference.numberOf(step.image);
    return run;
}

bool JobScheduler::start(Entry &entry,
                         const Wire::TaskRef &ref,
                         Worker &worker,
                         std::map<std::string, Wire::WorkerOrders> &orders,
                         std::int64_t run,
                         TimePoint now)
{
    auto &workerOrders = ordersFor(orders, worker);
    if (workerOrders.starts.size() >= maxStartsPerPlan) {
        return false;
    }
    const auto &step = entry.job.step(ref.step);
    Run added = newRun(step, now);
    added.inFlight = true;
    added.checkpoint = step.checkpoints ? entry.job.task(ref)->checkpoint : std::string();
    const RunKey key{ref, run};
    const auto &tracked = worker.addRun(key, std::move(added));
    entry.job.trackRun(ref, run, worker.info.id);
    workerOrders.starts.push_back(startOrder(entry, key, tracked));
    return true;
}

} // namespace Trefoilhoist::Jobs
