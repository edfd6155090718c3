// Part of CellOwner: applies the answers of workers.

#include "trefoilhoist/internal/invariant.h"
#include "trefoilhoist/placement/cellowner.h"

#include <glog/logging.h>

#include <algorithm>

namespace Trefoilhoist {

void CellOwner::on(TimePoint now, const SyncAnswered &event)
{
    auto *link = findLink(event.worker);
    if (!owning() || link == nullptr || link->call != event.call) {
        return;
    }
    const auto &answer = event.answer;
    link->call = 0;
    if (answer.epoch > m_epoch) {
        stepDown("worker " + event.worker.str() + " is at the newer epoch " + std::to_string(answer.epoch));
        return;
    }
    if (answer.incarnation < link->incarnation) {
        scheduleSync(*link, now + m_settings.retryInterval);
        return;
    }
    if (link->answeredThisEpoch && answer.incarnation > link->incarnation) {
        LOG(WARNING) << "event=worker_restarted worker=" << event.worker;
        markRunsLost(now, *link);
    }
    const bool first = !link->answeredThisEpoch;
    if (first) {
        // The worker dropped the tokens of the earlier owner when it saw the higher epoch, so no lease of that owner
        // can be renewed any more.
        link->latestLeaseExpiry = std::min(link->latestLeaseExpiry, now + m_settings.lease + m_settings.clockMargin);
    }
    link->answeredThisEpoch = true;
    link->lastCallFailed = false;
    link->incarnation = answer.incarnation;
    link->token = answer.token;
    link->tokenReceivedAt = now;
    link->appliedRevision = answer.revision;
    if (answer.accepted) {
        link->lastAcceptedAt = now;
    }
    applyAnswer(now, *link, answer);
    observeServices(now, answer);
    if (first) {
        m_unreportedWorkers.erase(event.worker);
        if (!isLeaving(*link) && m_settings.safeguards.useRoster) {
            m_store->addToRoster(event.worker);
        }
    }
    refreshView(now, *link);
    const bool syncNow = first || link->hasUnsentOrders;
    const bool retrySoon = link->hasOrders() || !answer.accepted;
    scheduleSync(*link, syncNow ? now : now + (retrySoon ? m_settings.retryInterval : m_settings.syncInterval));
}

void CellOwner::on(TimePoint now, const SyncFailed &event)
{
    auto *link = findLink(event.worker);
    if (!owning() || link == nullptr || link->call != event.call) {
        return;
    }
    link->call = 0;
    link->lastCallFailed = true;
    scheduleSync(*link, now + m_settings.retryInterval);
    checkLeaseExpiry(now, *link);
    refreshView(now, *link);
}

void CellOwner::applyAnswer(TimePoint now, WorkerLink &link, const SyncAnswer &answer)
{
    if (answer.accepted) {
        for (const auto &ref : link.sentRecordedRuns) {
            link.recordedRuns.erase(ref);
        }
        // An orphaned run in an accepted sync is stopped by now or never existed. If it had ended, the reports list it.
        for (const auto &ref : link.sentOrphanedRuns) {
            link.orphanedRuns.erase(ref);
        }
    }
    for (const auto &report : answer.runs) {
        applyReport(now, link, report);
    }
    for (const auto &refusal : answer.refused) {
        applyRefusal(now, link, refusal);
    }
    if (answer.full) {
        markMissingRunsLost(now, link, answer);
    }
    if (!answer.accepted) {
        return;
    }
    // The reports include every run that the accepted call started or stopped. A run that is missing does not exist on
    // the worker.
    for (const auto *sent : {&link.sentStarts, &link.sentStops}) {
        for (const auto &ref : *sent) {
            auto *entry = m_tasks.find(ref.task);
            const bool isPlacedHere = entry != nullptr && entry->run == ref.run && link.placedTasks.contains(ref.task);
            if (isPlacedHere && !entry->reportedByWorker) {
                markRunLost(now, link, *entry, RunEnd::Lost);
            }
        }
    }
}

void CellOwner::markMissingRunsLost(TimePoint now, WorkerLink &link, const SyncAnswer &answer)
{
    std::set<RunRef> reported;
    for (const auto &report : answer.runs) {
        reported.insert({report.task, report.run});
    }
    for (const auto &task : std::set<TaskId>(link.placedTasks)) {
        auto &entry = *m_tasks.find(task);
        if (entry.reportedByWorker && !reported.contains({task, entry.run})) {
            markRunLost(now, link, entry, RunEnd::Lost);
        }
    }
    std::erase_if(link.orphanedRuns, [&](const auto &it) { return !reported.contains(it); });
}

void CellOwner::applyReport(TimePoint now, WorkerLink &link, const RunReport &report)
{
    if (link.recordedRuns.contains({report.task, report.run})) {
        return;
    }
    auto *entry = m_tasks.find(report.task);
    if (entry == nullptr) {
        applyOrphanReport(now, link, report);
        return;
    }
    const auto &id = link.announced.worker.id;
    const bool ended = report.state != RunState::Running;
    if (entry->worker == id && entry->run == report.run) {
        if (link.placedTasks.contains(report.task)) {
            applyOwnRunReport(now, link, *entry, report);
        }
        return;
    }
    const bool adoptable = entry->state == TaskState::Uncertain || (entry->state == TaskState::Pending && ended);
    if (adoptable && report.run >= entry->run) {
        adoptRun(now, link, *entry, report);
    } else {
        applyOrphanReport(now, link, report);
    }
}

void CellOwner::applyOrphanReport(TimePoint now, WorkerLink &link, const RunReport &report)
{
    const RunRef ref{report.task, report.run};
    if (report.state == RunState::Running) {
        if (link.orphanedRuns.insert(ref).second) {
            ++m_counts.orphanedRuns;
            LOG(WARNING) << "event=stray_run worker=" << link.announced.worker.id << " task=" << report.task
                         << " run=" << report.run;
            requestSync(now, link);
        }
        return;
    }
    link.orphanedRuns.erase(ref);
    if (link.recordedRuns.insert(ref).second) {
        requestSync(now, link);
    }
}

void CellOwner::applyOwnRunReport(TimePoint now, WorkerLink &link, TaskEntry &entry, const RunReport &report)
{
    link.starting.erase(report.task);
    entry.reportedByWorker = true;
    entry.checkpoint = report.checkpoint.empty() ? entry.checkpoint : report.checkpoint;
    if (report.state != RunState::Running) {
        handleRunEnd(now, link, entry, report);
        return;
    }
    if (entry.state == TaskState::Starting) {
        m_tasks.move(now, entry, TaskState::Running);
        entry.startedAt = now;
    }
    entry.throttle = report.throttle;
    const auto share = link.throttling.find(report.task);
    if (share != link.throttling.end() && share->second == report.throttle) {
        link.throttling.erase(share);
    }
    for (auto &running : m_views[link.announced.worker.id].running) {
        if (running.task == report.task) {
            running.used = report.used;
            running.throttle = report.throttle;
            running.startedAt = entry.startedAt;
        }
    }
    m_policy.observe(UsageSample{now, report.task, report.job, link.announced.worker.id, report.used});
    const bool checkpointTaken = report.checkpoints > entry.checkpoints;
    entry.checkpoints = report.checkpoints;
    if (checkpointTaken && entry.state == TaskState::Checkpointing) {
        orderStop(now, entry);
    }
}

void CellOwner::handleRunEnd(TimePoint now, WorkerLink &link, TaskEntry &entry, const RunReport &report)
{
    const RunRef ref{report.task, report.run};
    removePlacement(link, report.task);
    m_dirty = true;
    const auto &stored = m_tasks.findJob(entry.task.job)->stored;
    switch (report.state) {
    case RunState::Running:
        return;
    case RunState::Finished:
        observeRunEnd(now, entry, RunEnd::Finished);
        ++m_counts.finished;
        m_tasks.move(now, entry, TaskState::RecordingDone);
        m_store->recordDone(stored, report.task, report.run);
        break;
    case RunState::Failed:
        observeRunEnd(now, entry, RunEnd::Failed);
        ++m_counts.failed;
        ++entry.failures;
        entry.failedOn.push_back(link.announced.worker.id);
        link.recordedRuns.insert(ref);
        requeue(now, entry);
        break;
    case RunState::Stopped:
    case RunState::Lapsed:
        observeRunEnd(now, entry, report.state == RunState::Stopped ? RunEnd::Evicted : RunEnd::Lost);
        if (entry.checkpoint.empty() || isAbandoned(entry)) {
            link.recordedRuns.insert(ref);
            requeue(now, entry);
        } else {
            m_tasks.move(now, entry, TaskState::RecordingCheckpoint);
            m_store->recordCheckpoint(stored, report.task, report.run, entry.checkpoint);
        }
        break;
    }
    if (!m_settings.safeguards.recordBeforeDurable) {
        link.recordedRuns.insert(ref);
    }
    requestSync(now, link);
}

void CellOwner::adoptRun(TimePoint now, WorkerLink &link, TaskEntry &entry, const RunReport &report)
{
    entry.run = report.run;
    entry.worker = link.announced.worker.id;
    entry.reportedByWorker = true;
    entry.reserved = report.reserved;
    entry.checkpoint = report.checkpoint.empty() ? entry.checkpoint : report.checkpoint;
    entry.checkpoints = report.checkpoints;
    entry.throttle = report.throttle;
    entry.startedAt = now;
    if (report.state != RunState::Running) {
        m_tasks.move(now, entry, TaskState::Stopping);
        handleRunEnd(now, link, entry, report);
        return;
    }
    // A task runs on at most one worker, so no other worker can have it.
    entry.uncertain = false;
    m_tasks.move(now, entry, TaskState::Running);
    link.placedTasks.insert(report.task);
    auto &view = m_views[entry.worker];
    view.running.push_back(
        {report.task, report.job, report.run, report.reserved, report.used, entry.startedAt, report.throttle});
    if (isAbandoned(entry)) {
        orderStop(now, entry);
    }
}

void CellOwner::applyRefusal(TimePoint now, WorkerLink &link, const StartRefusal &refusal)
{
    auto *entry = m_tasks.find(refusal.ref.task);
    const bool isPlacedHere
        = entry != nullptr && entry->run == refusal.ref.run && link.placedTasks.contains(refusal.ref.task);
    // An order that was refused because of its token stays queued and is repeated with the new token.
    if (!isPlacedHere || entry->reportedByWorker || refusal.reason == RefusalReason::Token) {
        return;
    }
    ++m_counts.refused;
    LOG(INFO) << "event=start_refused worker=" << link.announced.worker.id << " task=" << refusal.ref.task
              << " reason=" << refusalReasonName(refusal.reason);
    markRunLost(now, link, *entry, RunEnd::Lost);
}

void CellOwner::observeServices(TimePoint now, const SyncAnswer &answer)
{
    for (const auto &it : answer.services) {
        m_policy.observe(ServiceSample{now - it.age, it.service, answer.worker, it.p99, it.requestsPerSecond});
    }
}

} // namespace Trefoilhoist
