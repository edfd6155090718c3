// What the scheduler learns from the agents: reports and the ends in them.
#include "trefoilhoist/jobs/joblog.h"
#include "trefoilhoist/jobs/jobscheduler.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

Wire::WorkerReportReply JobScheduler::report(const Wire::WorkerReport &report, bool mayGrant, TimePoint now)
{
    m_now = now;
    Wire::WorkerReportReply reply;
    reply.epoch = m_epoch;
    if (report.epoch > m_epoch) {
        return reply;
    }
    const bool current = report.epoch == m_epoch && report.listed;
    if (report.worker.id.empty()) {
        // The agent's minion has left for good.
        if (report.gone && report.epoch == m_epoch) {
            dismissAgent(agentName(report.worker), now);
        }
        return reply;
    }
    auto *worker = lifeOf(report, now);
    if (worker == nullptr) {
        return reply;
    }
    worker->draining = report.draining;
    worker->reachable = report.reachable;
    worker->heardAt = now;
    worker->report = report.number;
    for (const auto &it : report.pairs) {
        m_interference.setPrior(it);
    }
    if (current && report.listing > worker->listing) {
        takeListing(*worker, report, now);
    }
    if (report.gone && report.epoch == m_epoch) {
        m_unreported.erase(agentName(worker->info));
        endLife(*worker, now);
    } else if (mayGrant) {
        reply.leaseMs = duration_cast<milliseconds>(m_settings.workerLease).count();
        worker->leaseEnds = now + m_settings.workerLease + m_settings.leaseSlack;
    }
    reply.recordedEnds = worker->recordedEnds;
    reply.leaseTerm = worker->leaseTerm;
    reply.pairs = m_interference.takeChanged(worker->toldPairs);
    if (report.wantsRunInfo) {
        for (const auto &[key, run] : worker->runs) {
            if (const auto *entry = find(key.task.job); entry != nullptr && !run.foreign) {
                reply.runs.push_back(runInfo(*entry, key));
            }
        }
    }
    return reply;
}

void JobScheduler::takeListing(Worker &worker, const Wire::WorkerReport &report, TimePoint now)
{
    if (!worker.listed) {
        worker.listed = true;
        logWorker("worker_listed", worker, m_epoch);
    }
    worker.listing = report.listing;
    for (const auto &it : report.ended) {
        takeEnd(worker, it, now);
    }
    for (const auto &it : report.running) {
        takeRunning(worker, it, report.listing, now);
    }
    dropMissing(worker, report, now);
    learnInterference(worker, now);
    m_unreported.erase(agentName(worker.info));
}

void JobScheduler::takeEnd(Worker &worker, const Wire::EndedTask &end, TimePoint now)
{
    if (end.number <= worker.lastEnd) {
        return;
    }
    worker.lastEnd = end.number;
    auto *entry = find(end.task.job);
    logEnd(worker, end, m_epoch, entry != nullptr);
    noteHealth(worker, end, now);
    worker.removeRun({end.task, end.run});
    if (entry == nullptr) {
        worker.pendingEnds.push_back({end.number, {}, 0});
        popRecordedEnds(worker);
        return;
    }
    applyEnd(entry->job, worker, end);
    stopNeedless(*entry, end, now);
    m_stale.insert(entry->job.id());
    worker.pendingEnds.push_back({end.number, entry->job.id(), entry->job.version()});
    popRecordedEnds(worker);
}

void JobScheduler::noteHealth(Worker &worker, const Wire::EndedTask &end, TimePoint now)
{
    const auto kind = static_cast<EndKind>(end.how);
    if (worker.runs.count({end.task, end.run}) == 0) {
        return;
    }
    if (kind == EndKind::Done) {
        worker.health.noteDone(now);
    } else if (kind == EndKind::Failed) {
        worker.health.noteFailed(now);
    }
}

void JobScheduler::applyEnd(Job &job, const Worker &worker, const Wire::EndedTask &end)
{
    const auto kind = static_cast<EndKind>(end.how);
    job.dropRun(end.task, end.run);
    if (auto *task = job.task(end.task); task != nullptr) {
        task->lastRun = std::max(task->lastRun, end.run);
        if (!end.checkpoint.empty()) {
            task->checkpoint = end.checkpoint;
        }
        if (kind == EndKind::Failed) {
            task->failedOn = worker.info.id;
        }
    }
    const bool done = kind == EndKind::Done && job.finishTask(end.task);
    const bool failed = kind == EndKind::Failed && job.failTask(end.task, end.run, wallMilliseconds());
    if (done || failed) {
        changed(job.id());
    }
}

// Stops what an end has made needless: runs of a final job, copies of a finished task, the rest of a broken gang.
void JobScheduler::stopNeedless(Entry &entry, const Wire::EndedTask &end, TimePoint now)
{
    if (!entry.job.active()) {
        stopRuns(entry, now);
        return;
    }
    const auto *task = entry.job.task(end.task);
    if (task == nullptr) {
        return;
    }
    for (const auto &copy : std::vector<ActiveRun>(task->active)) {
        const auto other = m_workers.find(copy.worker);
        if (task->done && other != m_workers.end()) {
            wantStop(other->second, {end.task, copy.run}, now);
        }
    }
    if (entry.job.step(end.task.step).gang && static_cast<EndKind>(end.how) != EndKind::Done) {
        breakGang(end.task, end.run, now);
    }
}

void JobScheduler::popRecordedEnds(Worker &worker)
{
    while (!worker.pendingEnds.empty()) {
        const auto &first = worker.pendingEnds.front();
        const auto *entry = find(first.job);
        if (entry != nullptr && entry->recordedVersion < first.version) {
            return;
        }
        worker.recordedEnds = first.number;
        worker.pendingEnds.pop_front();
    }
}

} // namespace Trefoilhoist::Jobs
