// Part of JobScheduler: handles the agents' reports and the ends of runs in them.
#include "trefoilhoist/jobs/joblog.h"
#include "trefoilhoist/jobs/jobscheduler.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

Wire::WorkerReportReply JobScheduler::handleReport(const Wire::WorkerReport &report, bool mayGrant, TimePoint now)
{
    m_now = now;
    Wire::WorkerReportReply reply;
    reply.epoch = m_epoch;
    if (report.epoch > m_epoch) {
        return reply;
    }
    const bool overtaken = isOvertaken(report);
    reply.lastReport = m_lastReports.at(agentName(report.worker));
    if (overtaken) {
        return reply;
    }
    reply.recordedCrashes = applyCrashes(report);
    const bool current = report.epoch == m_epoch && report.listed;
    if (report.worker.id.empty()) {
        // The agent's minion has left permanently.
        if (report.gone && report.epoch == m_epoch) {
            removeAgent(agentName(report.worker), LossCause::Left, now);
        }
        return reply;
    }
    if (mayBeOfEarlierIncarnation(report, now)) {
        logUnlistedIncarnation(report, m_epoch);
        return reply;
    }
    auto *worker = &workerForReport(report, now);
    worker->draining = report.draining;
    worker->reachable = report.reachable;
    worker->lastContact = now;
    worker->lastReport = report.number;
    if (report.epoch == m_epoch) {
        worker->applyLapse(report.lapsedTerm);
    }
    for (const auto &it : report.pairs) {
        m_interference.setPrior(it);
    }
    if (current && report.listing > worker->lastListing) {
        applyListing(*worker, report, now);
    }
    if (report.gone && report.epoch == m_epoch) {
        m_unreported.erase(agentName(worker->info));
        endIncarnation(*worker, LossCause::MinionGone, now);
    } else if (mayGrant) {
        reply.leaseMs = duration_cast<milliseconds>(m_settings.workerLease).count();
        const auto granted = now + m_settings.workerLease + m_settings.leaseSlack;
        // Until the minion was listed under this epoch, an earlier owner may still grant a lease that ends later.
        worker->leaseEnds = worker->listed ? granted : std::max(worker->leaseEnds, granted);
    }
    reply.lastListing = worker->lastListing;
    reply.recordedEnds = worker->recordedEnds;
    reply.leaseTerm = worker->leaseTerm;
    reply.lapsedTerm = worker->lapsedTerm;
    reply.pairs = m_interference.takeChanged(worker->sentPairsRevision);
    if (report.wantsRunInfo) {
        reply.runs = describeRuns(*worker);
    }
    return reply;
}

std::vector<std::int64_t> JobScheduler::applyCrashes(const Wire::WorkerReport &report)
{
    std::vector<std::int64_t> recorded;
    for (const auto &it : report.crashes) {
        applyCrash(agentName(report.worker), it, 1);
        if (isCrashRecorded(it)) {
            recorded.push_back(it.born);
        }
    }
    return recorded;
}

std::vector<Wire::RunInfo> JobScheduler::describeRuns(const Worker &worker)
{
    std::vector<Wire::RunInfo> runs;
    for (const auto &[key, run] : worker.runs) {
        if (const auto *entry = find(key.task.job); entry != nullptr && !run.orphaned) {
            runs.push_back(runInfo(*entry, key));
        }
    }
    return runs;
}

// True if a later report of the agent came first: the agent has given up on this one, and what it tells is outdated.
bool JobScheduler::isOvertaken(const Wire::WorkerReport &report)
{
    auto &lastReport = m_lastReports[agentName(report.worker)];
    // A report of an earlier process of the agent may have the number of one that is known.
    if (report.number < lastReport || (report.number == lastReport && lastReport > 0)) {
        logOvertakenReport(report, lastReport, m_epoch);
        return true;
    }
    lastReport = report.number;
    return false;
}

void JobScheduler::applyListing(Worker &worker, const Wire::WorkerReport &report, TimePoint now)
{
    if (!worker.listed) {
        worker.listed = true;
        logWorkerEvent("worker_listed", worker, m_epoch);
    }
    worker.lastListing = report.listing;
    for (const auto &it : report.ended) {
        applyEnd(worker, it, now);
    }
    for (const auto &it : report.running) {
        applyRunningTask(worker, it, report.listing, now);
    }
    observeInterference(worker, now);
    if (report.lacksEnds) {
        // Until the rest is listed, no run is known to be over, and none may start that could be among it.
        m_reportDeadline = std::max(m_reportDeadline, worker.leaseEnds);
        return;
    }
    removeMissingRuns(worker, report, now);
    m_unreported.erase(agentName(worker.info));
}

void JobScheduler::applyEnd(Worker &worker, const Wire::EndedTask &end, TimePoint now)
{
    if (end.number <= worker.lastEnd) {
        return;
    }
    worker.lastEnd = end.number;
    auto *entry = findForRun(end.task);
    logRunEnded(worker, end, m_epoch, entry != nullptr);
    handleGivenUpRun(worker, {end.task, end.run}, endName(static_cast<EndKind>(end.how)));
    observeOutcome(worker, end, now);
    if (entry != nullptr && learnsRunTimes()) {
        observeRunTime(entry->job, worker, end, now);
    }
    m_rackWaits.observeEnd(worker, {end.task, end.run}, now);
    worker.removeRun({end.task, end.run});
    if (entry == nullptr) {
        addPendingEnd(worker, {end.number, {}, 0});
        return;
    }
    entry->job.confirmStart();
    applyEndToJob(entry->job, worker, end);
    stopObsoleteRuns(*entry, end, now);
    m_jobsToRefresh.insert(entry->job.id());
    addPendingEnd(worker, {end.number, entry->job.id(), entry->job.version()});
}

void JobScheduler::addPendingEnd(Worker &worker, PendingEnd end)
{
    worker.pendingEnds.push_back(std::move(end));
    acknowledgeRecordedEnds(worker);
}

void JobScheduler::observeOutcome(Worker &worker, const Wire::EndedTask &end, TimePoint now)
{
    const auto kind = static_cast<EndKind>(end.how);
    if (worker.runs.count({end.task, end.run}) == 0) {
        return;
    }
    if (kind == EndKind::Done) {
        worker.health.observeSuccess(now);
    } else if (kind == EndKind::Failed) {
        worker.health.observeFailure(now);
    }
}

void JobScheduler::observeRunTime(Job &job, const Worker &worker, const Wire::EndedTask &end, TimePoint now)
{
    const auto run = worker.runs.find({end.task, end.run});
    const bool done = static_cast<EndKind>(end.how) == EndKind::Done;
    // A run that resumed from a checkpoint has done a part of the work only.
    const bool whole = run != worker.runs.end() && !run->second.adopted && run->second.checkpoint.empty();
    if (!done || !whole || job.task(end.task) == nullptr) {
        return;
    }
    const auto &step = job.step(end.task.step);
    const bool remote = !step.inputRack.empty() && !worker.hasLabel(step.inputRack);
    if (step.longRunning || step.estimatedMs <= 0 || remote) {
        return;
    }
    const Duration time = now - run->second.orderedAt;
    job.observeRunTime(static_cast<std::size_t>(end.task.step), time);
    m_durations.observe(job.spec().queue.name, milliseconds(step.estimatedMs), time);
}

void JobScheduler::applyEndToJob(Job &job, const Worker &worker, const Wire::EndedTask &end)
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
        markChanged(job.id());
    }
}

// Stops the runs that an end has made obsolete: all runs of a final job, duplicates of a finished task, and the other
// members of a broken gang.
void JobScheduler::stopObsoleteRuns(Entry &entry, const Wire::EndedTask &end, TimePoint now)
{
    if (!entry.job.isActive()) {
        stopRuns(entry, now);
        return;
    }
    const auto *task = entry.job.task(end.task);
    if (task == nullptr) {
        return;
    }
    for (const auto &duplicate : std::vector<ActiveRun>(task->activeRuns)) {
        const auto other = m_workers.find(duplicate.worker);
        if (task->done && other != m_workers.end()) {
            requestStop(other->second, {end.task, duplicate.run}, now);
        }
    }
    if (entry.job.step(end.task.step).gang && static_cast<EndKind>(end.how) != EndKind::Done) {
        stopGangRun(end.task, end.run, now);
    }
}

void JobScheduler::acknowledgeEndsOf(const std::string &job)
{
    const auto waiting = m_endsAwaiting.find(job);
    if (waiting == m_endsAwaiting.end()) {
        return;
    }
    // Taken out first, because workers with later ends of the job are added again.
    const auto workers = std::move(waiting->second);
    m_endsAwaiting.erase(waiting);
    for (const auto &it : workers) {
        const auto worker = m_workers.find(it);
        if (worker != m_workers.end()) {
            acknowledgeRecordedEnds(worker->second);
        }
    }
}

void JobScheduler::acknowledgeRecordedEnds(Worker &worker)
{
    while (!worker.pendingEnds.empty()) {
        const auto &first = worker.pendingEnds.front();
        const auto *entry = find(first.job);
        if (entry != nullptr && entry->recordedVersion < first.version) {
            m_endsAwaiting[first.job].insert(worker.info.id);
            return;
        }
        worker.recordedEnds = first.number;
        worker.pendingEnds.pop_front();
    }
}

} // namespace Trefoilhoist::Jobs
