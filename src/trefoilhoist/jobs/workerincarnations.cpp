// Part of JobScheduler: agents that join and leave, incarnations of their minions, and runs that are given up.
#include "trefoilhoist/jobs/joblog.h"
#include "trefoilhoist/jobs/jobscheduler.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

constexpr std::size_t maxGivenUpIncarnations = 1000;

// True if the run's start order has no answer yet, or got none: it may still be executed.
bool isUnresolved(const Run &run)
{
    return run.mayStillStart || run.inFlight;
}

// True if the start order may have been executed, or may still be, by the minion's next incarnation, which has the id
// of the earlier one. A run that was listed is the earlier one's, unless an order for it is left without an answer.
bool mayBelongToNextIncarnation(const Run &run)
{
    return isUnresolved(run) || run.listedIn == 0 || run.unansweredOrders > 0;
}

} // namespace

// Called when the agent's minion has left, or when the agent has not reported for so long that its minion can no longer
// hold any run.
void JobScheduler::removeAgent(const std::string &name, LossCause cause, TimePoint now)
{
    const bool wasAwaited = m_unreported.erase(name) > 0;
    if (wasAwaited && cause == LossCause::LeaseExpired) {
        m_givenUpAgents.insert(name);
    }
    if (cause == LossCause::Left) {
        m_attributedCrashes.erase(name);
    }
    for (auto &[id, worker] : m_workers) {
        if (agentName(worker.info) == name) {
            const bool isUnlisted = !worker.listed && worker.runs.empty();
            endIncarnation(worker, cause, now);
            if (wasAwaited && isUnlisted) {
                // Its inherited tasks start elsewhere, though no listing has shown them.
                worker.raiseTerm(now);
            }
            worker.inRecordedRoster = false;
        }
    }
    if (m_roster.erase(name) > 0) {
        m_recordedRoster.erase(name);
        m_rosterChanged = true;
    }
}

bool JobScheduler::mayBeOfEarlierIncarnation(const Wire::WorkerReport &report, TimePoint now) const
{
    if (report.listed) {
        // The minion itself has answered.
        return false;
    }
    const auto name = agentName(report.worker);
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &it) {
        const auto &[id, known] = it;
        const bool sameAgent = agentName(known.info) == name;
        const bool sameMinion = id == report.worker.id || sameAgent;
        const bool sameIncarnation = id == report.worker.id && known.info.born == report.worker.born && sameAgent;
        const bool earlier = (known.listed || !known.runs.empty()) && known.info.born > report.worker.born;
        const bool mayHoldRuns = !known.runs.empty() && now <= known.leaseEnds;
        return sameMinion && !sameIncarnation && (earlier || mayHoldRuns);
    });
}

// Returns the worker that a report is about, and adds it if the minion's incarnation is new.
Worker &JobScheduler::workerForReport(const Wire::WorkerReport &report, TimePoint now)
{
    const auto name = agentName(report.worker);
    const auto known = m_workers.find(report.worker.id);
    if (known != m_workers.end() && known->second.info.born == report.worker.born) {
        known->second.info = report.worker;
        known->second.runsOfExpiredLease.clear();
        known->second.zoneDrained = isDrained(report.worker.zone);
        if (!report.gone) {
            addToRoster(report.worker);
        }
        return known->second;
    }
    const auto runsToResolve = replaceIncarnations(report, now);
    Worker worker;
    worker.info = report.worker;
    // The lease that an earlier owner granted is not known, so the longest possible one is assumed.
    worker.leaseEnds = now + m_settings.grantGrace + m_settings.workerLease + m_settings.leaseSlack;
    worker.inRecordedRoster = m_recordedRoster.count(name) > 0;
    worker.zoneDrained = isDrained(report.worker.zone);
    if (wasGivenUp(report.worker)) {
        worker.raiseTerm(now);
    }
    if (!report.gone) {
        addToRoster(report.worker);
    }
    logWorkerEvent("worker_joined", worker, m_epoch);
    auto &newWorker = m_workers.insert_or_assign(report.worker.id, std::move(worker)).first->second;
    carryOver(newWorker, runsToResolve, now);
    return newWorker;
}

// Ends the incarnations of the minion that came before the reported one. Returns the runs whose orders that one may
// have executed, or may still execute.
std::map<RunKey, Run> JobScheduler::replaceIncarnations(const Wire::WorkerReport &report, TimePoint now)
{
    const auto name = agentName(report.worker);
    std::map<RunKey, Run> runsToResolve;
    for (auto &[id, worker] : m_workers) {
        // An agent has one minion at a time, so an earlier minion of the same agent has ended.
        if (id == report.worker.id || agentName(worker.info) == name) {
            for (const auto &[key, run] : worker.runs) {
                if (id == report.worker.id && mayBelongToNextIncarnation(run)) {
                    runsToResolve.emplace(key, run);
                }
            }
            if (!worker.draining) {
                applyUnreportedCrash(worker);
            }
            endIncarnation(worker, LossCause::Replaced, now);
            rememberGivenUp(worker);
        }
    }
    std::erase_if(m_workers,
                  [&](const auto &it) { return it.second.runs.empty() && agentName(it.second.info) == name; });
    return runsToResolve;
}

void JobScheduler::carryOver(Worker &worker, const std::map<RunKey, Run> &runs, TimePoint now)
{
    // A listing of the new incarnation shows whether it has the run. A run that may still start is stopped there first.
    for (auto [key, run] : runs) {
        auto *entry = find(key.task.job);
        if (entry == nullptr) {
            continue;
        }
        if (isUnresolved(run)) {
            run.inFlight = false;
            run.state = RunState::Stopping;
            run.stopAcknowledged = false;
            run.mayStillStart = true;
            run.lastListingBeforeResolution = INT64_MAX;
            run.nextOrderAt = now;
        }
        worker.addRun(key, run);
        entry->job.trackRun(key.task, key.run, worker.info.id);
        markChanged(key.task.job);
    }
}

void JobScheduler::rememberGivenUp(const Worker &worker)
{
    if (!worker.awaitsLapse()) {
        return;
    }
    m_givenUpIncarnations.emplace(worker.info.id, worker.info.born);
    if (m_givenUpIncarnations.size() > maxGivenUpIncarnations) {
        m_givenUpIncarnations.erase(m_givenUpIncarnations.begin());
    }
}

bool JobScheduler::wasGivenUp(const Wire::WorkerDescription &worker)
{
    const auto name = agentName(worker);
    const bool returns = m_givenUpIncarnations.erase({worker.id, worker.born}) > 0;
    // What an agent reports later has started since, and holds nothing of an earlier owner.
    const bool isFirst = m_reportedAgents.insert(name).second;
    return returns || (isFirst && (m_givenUpAgents.count(name) > 0 || m_givenUpAgents.count(unknownAgents) > 0));
}

// Adds the agent to the roster that is recorded, so that a later owner waits for its report. An agent whose minion has
// ended holds nothing and stays in the roster only for as long as the last lease lasts.
void JobScheduler::addToRoster(const Wire::WorkerDescription &worker)
{
    auto name = agentName(worker);
    if (m_roster.count(name) == 0) {
        m_roster.emplace(std::move(name), worker);
        m_rosterChanged = true;
    }
}

// Called when no run that was ordered from this incarnation can still be executing.
void JobScheduler::endIncarnation(Worker &worker, LossCause cause, TimePoint now)
{
    const bool hadRuns = !worker.runs.empty();
    if (hadRuns) {
        logWorkerLost(worker, cause, m_epoch);
    }
    while (!worker.runs.empty()) {
        // A copy, because handleLostRun() removes the run together with its key.
        const RunKey key = worker.runs.begin()->first;
        if (cause == LossCause::LeaseExpired && worker.runs.begin()->second.isConfirmed()) {
            worker.runsOfExpiredLease.push_back(lostRun(worker, key, worker.runs.begin()->second));
        }
        logRunLost(worker, key, cause, now, m_epoch);
        worker.rememberGivenUp(key, cause);
        if (auto *entry = find(key.task.job); entry != nullptr) {
            if (auto *task = entry->job.task(key.task); task != nullptr) {
                task->lostWithWorker = true;
            }
        }
        handleLostRun(worker, key, now);
    }
    if (worker.listed || hadRuns) {
        worker.raiseTerm(now);
    }
    worker.listed = false;
}

void JobScheduler::handleLostRun(Worker &worker, const RunKey &key, TimePoint now)
{
    const auto it = worker.runs.find(key);
    if (it == worker.runs.end()) {
        return;
    }
    const std::string checkpoint = it->second.checkpoint;
    worker.removeRun(key);
    auto *entry = find(key.task.job);
    if (entry == nullptr || !entry->job.dropRun(key.task, key.run)) {
        return;
    }
    auto *task = entry->job.task(key.task);
    if (task != nullptr && !checkpoint.empty()) {
        task->checkpoint = checkpoint;
    }
    m_jobsToRefresh.insert(key.task.job);
    if (entry->job.step(key.task.step).gang) {
        stopGangRun(key.task, key.run, now);
    }
}

void JobScheduler::handleGivenUpRun(Worker &worker, const RunKey &key, std::string_view state)
{
    const auto it = worker.givenUpRuns.find(key);
    if (it == worker.givenUpRuns.end()) {
        return;
    }
    logGivenUpRunListed(worker, key, it->second, state, m_epoch);
    worker.givenUpRuns.erase(it);
    if (!worker.awaitsLapse()) {
        worker.raiseTerm(m_now);
    }
}

// Stops the other members of a gang's run.
void JobScheduler::stopGangRun(const Wire::TaskRef &task, std::int64_t run, TimePoint now)
{
    auto *entry = find(task.job);
    if (entry == nullptr) {
        return;
    }
    Wire::TaskRef member = task;
    for (member.index = 0; member.index < entry->job.step(task.step).count; ++member.index) {
        const auto *state = entry->job.task(member);
        if (state == nullptr) {
            return;
        }
        for (const auto &activeRun : state->activeRuns) {
            const auto worker = m_workers.find(activeRun.worker);
            if (activeRun.run == run && worker != m_workers.end()) {
                requestStop(worker->second, {member, run}, now);
            }
        }
    }
}

void JobScheduler::requestStop(Worker &worker, const RunKey &key, TimePoint now)
{
    const auto it = worker.runs.find(key);
    if (it != worker.runs.end() && it->second.state != RunState::Stopping) {
        if (it->second.state != RunState::Running) {
            it->second.mayStillStart = true;
        }
        it->second.state = RunState::Stopping;
        it->second.nextOrderAt = now;
        worker.mayNeedOrders = true;
    }
}

} // namespace Trefoilhoist::Jobs
