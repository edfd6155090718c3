// Part of JobScheduler: chooses workers for the tasks of a step and starts them.
#include "trefoilhoist/jobs/joblog.h"
#include "trefoilhoist/jobs/jobscheduler.h"
#include "trefoilhoist/jobs/workerselector.h"

#include <algorithm>
#include <utility>

namespace Trefoilhoist::Jobs {

namespace {

/// A long-running step that has waited longer than this is logged, and no more often than this.
constexpr Duration minWaitToLog = milliseconds(1000);
/// A step with nothing running waits this long for a worker where it doesn't interfere with serving tasks.
constexpr Duration maxWaitForNoInterference = milliseconds(2000);

} // namespace

bool JobScheduler::canStart(const Entry &entry, const Wire::StepSpec &step, const TaskState &task, TimePoint now) const
{
    if (task.done || !task.activeRuns.empty() || now < task.notBefore) {
        return false;
    }
    if (entry.crashVersion > entry.recordedVersion) {
        // A crash that only this process knows would not count if it ended now.
        return false;
    }
    const bool mayHaveEndedElsewhere = task.lostWithWorker || (entry.inherited && !m_givenUpAgents.empty());
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
        placeGangByRack(*entry, pending, orders, now);
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
        if (!placeTask(entry, pending, ref, *selector, orders, now)) {
            handleUnplaced(entry, pending, *selector, now);
            return;
        }
    }
}

bool JobScheduler::placeTask(Entry &entry,
                             const PendingStep &pending,
                             const Wire::TaskRef &ref,
                             WorkerSelector &selector,
                             std::map<std::string, Wire::WorkerOrders> &orders,
                             TimePoint now)
{
    const auto &task = *entry.job.task(ref);
    while (!taskAwaitsRack(pending, static_cast<std::size_t>(ref.index), selector, now)) {
        auto *worker = selector.select(task);
        if (worker == nullptr) {
            return false;
        }
        if (start(entry, ref, *worker, orders, nextRun(task), now)) {
            selector.startedOn(*worker);
            return true;
        }
        selector.exclude(*worker);
    }
    return true;
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

// All members of a gang are placed in one plan or none is. If they need more starts per worker than one plan sends, the
// rest is sent in the next plans, one each maxPlanInterval at least; members wait for each other for 3 s and more.
bool JobScheduler::placeGang(Entry &entry,
                             const PendingStep &pending,
                             std::map<std::string, Wire::WorkerOrders> &orders,
                             TimePoint now,
                             const std::string &rack)
{
    const auto &step = entry.job.step(pending.step);
    auto &state = entry.job.occurrences()[pending.occurrence].steps[static_cast<std::size_t>(pending.step)];
    auto &tasks = state.tasks;
    std::int64_t run = 0;
    for (const auto &task : tasks) {
        if (!canStart(entry, step, task, now)) {
            return false;
        }
        run = std::max(run, nextRun(task));
    }
    auto selector = selectorFor(entry, pending, now, rack);
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
        while (worker == nullptr && selector.extendForGang()) {
            worker = selector.select(tasks[i]);
        }
        if (worker == nullptr) {
            if (rack.empty()) {
                handleUnplaced(entry, pending, selector, now);
            }
            break;
        }
        const auto ref = taskRef(pending.job, pending.occurrence, static_cast<std::size_t>(pending.step), i);
        worker->addRun({ref, run}, newRun(step, now));
        chosen.push_back(worker);
        keys.push_back({ref, run});
        selector.startedOn(*worker);
        if (++members[worker] + ordersFor(orders, *worker).starts.size() >= maxStartsPerPlan) {
            selector.withhold(*worker);
        }
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        chosen[i]->removeRun(keys[i]);
    }
    if (chosen.size() < tasks.size()) {
        return false;
    }
    // All members of a gang resume from the same checkpoint.
    const std::string checkpoint = tasks.front().checkpoint;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        tasks[i].checkpoint = checkpoint;
        startMember(entry, keys[i], *chosen[i], orders, now);
    }
    return true;
}

void JobScheduler::startMember(
    Entry &entry, const RunKey &key, Worker &worker, std::map<std::string, Wire::WorkerOrders> &orders, TimePoint now)
{
    if (!start(entry, key.task, worker, orders, key.run, now)) {
        addRun(entry, key, worker, now).startDeferred = true;
        worker.mayNeedOrders = true;
    }
}

// The current configuration takes precedence over the one with which the job was submitted.
const std::string &JobScheduler::serviceOf(const Job &job) const
{
    const auto *queue = m_queues.byName(job.spec().queue.name);
    return queue == nullptr ? job.spec().queue.serviceName : queue->policy.serviceName;
}

WorkerSelector
JobScheduler::selectorFor(const Entry &entry, const PendingStep &pending, TimePoint now, const std::string &rack)
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
    selector.setPrefersRack(m_rackWaits.isEnabled());
    for (auto &[id, worker] : m_workers) {
        if (rack.empty() || selector.rackOf(worker) == rack) {
            selector.consider(worker);
        }
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
    if (m_unplaced.empty() || pending.rank.longRunning || (pending.rank.usesIdleCpu && mayBeOverdue)) {
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

Run &JobScheduler::addRun(Entry &entry, const RunKey &key, Worker &worker, TimePoint now)
{
    const auto &step = entry.job.step(key.task.step);
    Run run = newRun(step, now);
    run.checkpoint = step.checkpoints ? entry.job.task(key.task)->checkpoint : std::string();
    auto &added = worker.addRun(key, std::move(run));
    entry.job.trackRun(key.task, key.run, worker.info.id);
    m_rackWaits.observeStart(worker, added);
    if (const auto it = m_pending.find({key.task.job, key.task.occurrence, key.task.step}); it != m_pending.end()) {
        it->second.rackAwaitedSince.erase(static_cast<std::size_t>(key.task.index));
    }
    return added;
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
    const RunKey key{ref, run};
    auto &added = addRun(entry, key, worker, now);
    added.inFlight = true;
    workerOrders.starts.push_back(startOrder(entry, key, added));
    return true;
}

} // namespace Trefoilhoist::Jobs
