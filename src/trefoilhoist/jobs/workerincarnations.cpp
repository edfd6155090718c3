// Agents that come and leave, lives of their minions, and runs that are given up.
#include "trefoilhoist/jobs/joblog.h"
#include "trefoilhoist/jobs/jobscheduler.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

// The agent's minion has left, or nothing has been heard of the agent for as long as its minion may hold anything.
void JobScheduler::removeAgent(const std::string &name, TimePoint now)
{
    m_unreported.erase(name);
    for (auto &[id, worker] : m_workers) {
        if (agentName(worker.info) == name) {
            endIncarnation(worker, now);
            worker.inRecordedRoster = false;
        }
    }
    if (m_roster.erase(name) > 0) {
        m_recordedRoster.erase(name);
        m_rosterChanged = true;
    }
}

// Finds the worker of a report and takes up a new life of its minion; null for news of an earlier life.
Worker *JobScheduler::workerForReport(const Wire::WorkerReport &report, TimePoint now)
{
    const auto name = agentName(report.worker);
    const auto known = m_workers.find(report.worker.id);
    if (known != m_workers.end() && known->second.info.born == report.worker.born) {
        known->second.info = report.worker;
        addToRoster(report.worker);
        return &known->second;
    }
    if (known != m_workers.end() && known->second.info.born > report.worker.born) {
        return nullptr;
    }
    std::map<RunKey, Run> mayStillStart;
    for (auto &[id, worker] : m_workers) {
        // The agent has one minion at a time: an earlier one of the same agent is over.
        if (id == report.worker.id || agentName(worker.info) == name) {
            for (const auto &[key, run] : worker.runs) {
                if (id == report.worker.id && (run.mayStillStart || run.inFlight)) {
                    mayStillStart.emplace(key, run);
                }
            }
            endIncarnation(worker, now);
        }
    }
    std::erase_if(m_workers,
                  [&](const auto &it) { return it.second.runs.empty() && agentName(it.second.info) == name; });
    Worker worker;
    worker.info = report.worker;
    // What an earlier owner granted is not known.
    worker.leaseEnds = now + m_settings.grantGrace + m_settings.workerLease + m_settings.leaseSlack;
    worker.inRecordedRoster = m_recordedRoster.count(name) > 0;
    addToRoster(report.worker);
    logWorkerEvent("worker_joined", worker, m_epoch);
    auto &kept = m_workers.insert_or_assign(report.worker.id, std::move(worker)).first->second;
    // An unanswered start may still reach the new life under the old id: it is stopped there before the task moves.
    for (auto &[key, run] : mayStillStart) {
        auto *entry = find(key.task.job);
        if (entry == nullptr) {
            continue;
        }
        run.inFlight = false;
        run.state = RunState::Stopping;
        run.stopAcknowledged = false;
        run.mayStillStart = true;
        run.resolvedAfterListing = INT64_MAX;
        run.nextOrderAt = now;
        kept.addRun(key, run);
        entry->job.trackRun(key.task, key.run, report.worker.id);
        changed(key.task.job);
    }
    return &kept;
}

// Has the agent recorded, so that a later owner waits for its report.
void JobScheduler::addToRoster(const Wire::WorkerDescription &worker)
{
    const auto [it, added] = m_roster.emplace(agentName(worker), worker);
    m_rosterChanged = m_rosterChanged || added;
}

// Nothing that was ordered of this life can run any more.
void JobScheduler::endIncarnation(Worker &worker, TimePoint now)
{
    if (!worker.runs.empty()) {
        logWorkerEvent("worker_lost", worker, m_epoch);
    }
    while (!worker.runs.empty()) {
        // A copy: losing the run ends the life of its key in the table.
        const RunKey key = worker.runs.begin()->first;
        handleLostRun(worker, key, now);
    }
    if (worker.listed) {
        ++worker.leaseTerm;
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
    }
}

} // namespace Trefoilhoist::Jobs
