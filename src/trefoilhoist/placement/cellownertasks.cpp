// Part of CellOwner: places, evicts, resumes and ends tasks.

#include "trefoilhoist/internal/invariant.h"
#include "trefoilhoist/placement/cellowner.h"

#include <glog/logging.h>

#include <algorithm>

namespace Trefoilhoist {

namespace {

/// Maximum number of ended jobs; the oldest are removed even before their retention time is over.
constexpr std::size_t maxEndedJobs = 20000;

Resources reservedOn(const WorkerView &view)
{
    auto sum = view.serviceReserved + view.unconfirmedReserved;
    for (const auto &running : view.running) {
        sum += running.reserved;
    }
    return sum;
}

} // namespace

void CellOwner::addJob(TimePoint now, const StoredJob &stored, bool uncertain)
{
    const auto &id = stored.job.id;
    const auto *record = m_store->record(stored);
    if (!m_tasks.addJob(now, stored, uncertain, record)) {
        return;
    }
    m_segmentJobs[jobSegmentOf(id)].insert(id);
    m_dirty = true;
    if (m_jobs) {
        m_tasks.reconfigure(id, m_jobs);
    }
    auto &job = *m_tasks.findJob(id);
    job.cancelled = stored.cancelled;
    job.failure = record != nullptr ? record->failure : std::string();
    if (job.openTasks == 0) {
        endJob(now, id);
    } else if (job.cancelled || !job.failure.empty()) {
        abandonJob(now, id);
    }
}

bool CellOwner::isAbandoned(const TaskEntry &entry) const
{
    const auto *job = m_tasks.findJob(entry.task.job);
    return job == nullptr || job->cancelled || !job->failure.empty();
}

void CellOwner::abandonJob(TimePoint now, const JobId &job)
{
    const auto open = m_tasks.openJobs().find(job);
    if (open == m_tasks.openJobs().end()) {
        return;
    }
    std::vector<TaskId> tasks;
    for (const auto &task : open->second.tasks) {
        tasks.push_back(task.id);
    }
    for (const auto &task : tasks) {
        auto *entry = m_tasks.find(task);
        if (entry != nullptr) {
            abandonTask(now, *entry);
        }
    }
    m_dirty = true;
}

void CellOwner::abandonTask(TimePoint now, TaskEntry &entry)
{
    switch (entry.state) {
    case TaskState::Pending:
        finishTask(now, entry.task.id);
        break;
    case TaskState::Starting:
    case TaskState::Running:
    case TaskState::Checkpointing:
        orderStop(now, entry);
        break;
    case TaskState::Uncertain:
    case TaskState::Stopping:
    case TaskState::RecordingCheckpoint:
    case TaskState::RecordingDone:
        // The task ends once its placement or its record is resolved.
        break;
    }
}

void CellOwner::finishTask(TimePoint now, const TaskId &task)
{
    const auto job = m_tasks.find(task)->task.job;
    if (m_tasks.eraseTask(task)) {
        endJob(now, job);
    }
}

void CellOwner::endJob(TimePoint now, const JobId &id)
{
    auto &job = *m_tasks.findJob(id);
    job.state = !job.failure.empty() ? JobState::Failed : job.cancelled ? JobState::Cancelled : JobState::Finished;
    job.endedAt = now;
    m_tasks.eraseTasks(id);
    m_endedJobs.push_back(id);
    LOG(INFO) << "event=job_ended job=" << id << " state=" << jobStateName(job.state);
}

void CellOwner::removeEndedJobs(TimePoint now)
{
    while (owning() && !m_endedJobs.empty()) {
        auto *job = m_tasks.findJob(m_endedJobs.front());
        const bool handled = job == nullptr || job->state == JobState::Open || job->removing;
        if (!handled && now < job->endedAt + m_settings.endedJobRetention && m_endedJobs.size() <= maxEndedJobs) {
            return;
        }
        if (!handled && canStart(now)) {
            job->removing = true;
            m_store->removeJob(job->stored);
        } else if (!handled) {
            return;
        }
        m_endedJobs.pop_front();
    }
}

void CellOwner::decide(TimePoint now)
{
    if (!canStart(now) || now < m_nextDecision || (!m_dirty && now < m_nextIdleDecision)) {
        return;
    }
    m_nextDecision = now + m_settings.decideInterval;
    m_nextIdleDecision = now + m_settings.idleDecideInterval;
    m_dirty = false;
    ++m_counts.decisions;
    const auto pending = m_tasks.selectPending(m_settings.window);
    const auto actions = m_policy.decide({now, m_views, m_tasks.openJobs(), pending});
    for (const auto &action : actions) {
        std::visit([&](const auto &it) { apply(now, it); }, action);
    }
}

void CellOwner::apply(TimePoint now, const StartTask &action)
{
    auto *entry = m_tasks.find(action.task);
    auto *link = findLink(action.worker);
    const auto view = m_views.find(action.worker);
    if (entry == nullptr || link == nullptr || view == m_views.end() || entry->state != TaskState::Pending
        || !isUsable(now, *link)) {
        return;
    }
    const bool hasCapacity = fits(reservedOn(view->second) + action.reserve, view->second.worker.capacity);
    if (!fits({}, action.reserve) || (m_settings.safeguards.checkCapacity && !hasCapacity)) {
        return;
    }
    entry->unplaceableReason.clear();
    place(now, *link, *entry, action.reserve, nextRunNumber(*entry));
    ++m_counts.starts;
}

void CellOwner::place(TimePoint now, WorkerLink &link, TaskEntry &entry, const Resources &reserve, RunNumber run)
{
    if (m_settings.safeguards.assertInvariants) {
        TREFOILHOIST_INVARIANT(entry.state == TaskState::Pending && entry.worker.empty(),
                               "P2 a task is started only while it has no placement");
        TREFOILHOIST_INVARIANT(run > entry.run, "P3 each start has a higher run number");
    }
    const auto &id = link.announced.worker.id;
    auto &view = m_views[id];
    m_tasks.move(now, entry, TaskState::Starting);
    entry.run = run;
    entry.worker = id;
    entry.reportedByWorker = false;
    entry.checkpoints = 0;
    entry.reserved = reserve;
    entry.throttle = 1.0;
    entry.startedAt = now;
    link.placedTasks.insert(entry.task.id);
    link.starting.insert(entry.task.id);
    view.running.push_back({entry.task.id, entry.task.job, run, reserve, {}, now, 1.0});
    if (m_settings.safeguards.assertInvariants) {
        TREFOILHOIST_INVARIANT(fits(reservedOn(view), view.worker.capacity),
                               "P1 reservations on a worker never exceed its capacity");
    }
    requestSync(now, link);
}

void CellOwner::removePlacement(WorkerLink &link, const TaskId &task)
{
    link.placedTasks.erase(task);
    link.dropOrders(task);
    const auto view = m_views.find(link.announced.worker.id);
    if (view != m_views.end()) {
        std::erase_if(view->second.running, [&](const auto &it) { return it.task == task; });
    }
}

void CellOwner::markRunLost(TimePoint now, WorkerLink &link, TaskEntry &entry, RunEnd end)
{
    removePlacement(link, entry.task.id);
    if (entry.reportedByWorker) {
        ++m_counts.lost;
        observeRunEnd(now, entry, end);
    }
    requeue(now, entry);
}

void CellOwner::requeue(TimePoint now, TaskEntry &entry)
{
    entry.worker = WorkerId();
    m_dirty = true;
    if (entry.uncertain && isTakingOver()) {
        m_tasks.move(now, entry, TaskState::Uncertain);
        return;
    }
    entry.uncertain = false;
    if (isAbandoned(entry)) {
        finishTask(now, entry.task.id);
        return;
    }
    m_tasks.move(now, entry, TaskState::Pending);
}

void CellOwner::observeRunEnd(TimePoint now, const TaskEntry &entry, RunEnd end)
{
    if (isAbandoned(entry) && end == RunEnd::Evicted) {
        end = RunEnd::Cancelled;
    }
    m_policy.observe(RunEnded{now, entry.task.id, entry.task.job, entry.worker, end, now - entry.startedAt});
    if (end == RunEnd::Finished) {
        m_quarantined.erase(entry.worker);
    }
}

RunNumber CellOwner::nextRunNumber(const TaskEntry &entry)
{
    if (!m_settings.safeguards.uniqueRunNumbers) {
        return std::max<RunNumber>(entry.run, 1);
    }
    return (m_epoch << runNumberEpochShift) + ++m_runCount;
}

void CellOwner::orderStop(TimePoint now, TaskEntry &entry)
{
    auto &link = m_links.at(entry.worker);
    link.dropOrders(entry.task.id);
    link.stopping.insert(entry.task.id);
    m_tasks.move(now, entry, TaskState::Stopping);
    requestSync(now, link);
}

void CellOwner::apply(TimePoint now, const ThrottleTask &action)
{
    auto *entry = m_tasks.find(action.task);
    const bool open = entry != nullptr && (entry->state == TaskState::Running || entry->state == TaskState::Starting);
    if (!open || entry->throttle == action.share || action.share <= 0 || action.share > 1) {
        return;
    }
    auto &link = m_links.at(entry->worker);
    auto &share = link.throttling[action.task];
    if (share != action.share) {
        share = action.share;
        requestSync(now, link);
    }
}

void CellOwner::apply(TimePoint now, const EvictTask &action)
{
    auto *entry = m_tasks.find(action.task);
    if (entry == nullptr || entry->state != TaskState::Running) {
        return;
    }
    ++m_counts.evictions;
    LOG(INFO) << "event=evict task=" << action.task << " worker=" << entry->worker << " reason=\"" << action.reason
              << '"';
    auto &link = m_links.at(entry->worker);
    entry->checkpointRequestedAt = now;
    link.checkpointing.insert(action.task);
    m_tasks.move(now, *entry, TaskState::Checkpointing);
    requestSync(now, link);
}

void CellOwner::apply(TimePoint /*now*/, const QuarantineWorker &action)
{
    if (m_quarantined.emplace(action.worker, action.reason).second) {
        LOG(WARNING) << "event=worker_quarantined worker=" << action.worker << " reason=\"" << action.reason << '"';
    }
}

void CellOwner::apply(TimePoint /*now*/, const ReportUnplaceable &action)
{
    auto *entry = m_tasks.find(action.task);
    if (entry != nullptr && entry->unplaceableReason != action.reason) {
        entry->unplaceableReason = action.reason;
        LOG(WARNING) << "event=task_unplaceable task=" << action.task << " reason=\"" << action.reason << '"';
    }
}

void CellOwner::apply(TimePoint now, const FailJob &action)
{
    auto *job = m_tasks.findJob(action.job);
    if (job == nullptr || job->state != JobState::Open || !job->failure.empty()) {
        return;
    }
    LOG(WARNING) << "event=job_failed job=" << action.job << " reason=\"" << action.reason << '"';
    job->failure = action.reason.empty() ? "failed" : action.reason;
    m_store->recordFailure(job->stored, job->failure);
    abandonJob(now, action.job);
}

void CellOwner::onStoreEvent(TimePoint now, const RunEndRecorded &event)
{
    auto *entry = m_tasks.find(event.task);
    if (entry == nullptr || entry->run != event.run) {
        return;
    }
    auto *link = findLink(entry->worker);
    if (link != nullptr && link->answeredThisEpoch) {
        link->recordedRuns.insert({event.task, event.run});
        requestSync(now, *link);
    }
    if (entry->state == TaskState::RecordingDone) {
        finishTask(now, event.task);
    } else if (entry->state == TaskState::RecordingCheckpoint) {
        requeue(now, *entry);
    }
}

void CellOwner::onStoreEvent(TimePoint now, const LateCompletionFound &event)
{
    auto *entry = m_tasks.find(event.task);
    if (entry == nullptr) {
        return;
    }
    // The task is done, so a run that still exists is orphaned.
    auto *link = findLink(entry->worker);
    if (link != nullptr && link->placedTasks.contains(event.task)) {
        if (entry->reportedByWorker || entry->state == TaskState::Starting) {
            link->orphanedRuns.insert({event.task, entry->run});
        }
        removePlacement(*link, event.task);
        requestSync(now, *link);
    } else if (link != nullptr && link->answeredThisEpoch) {
        // The run had ended here as well, and its record was being written.
        link->recordedRuns.insert({event.task, entry->run});
        requestSync(now, *link);
    }
    finishTask(now, event.task);
}

void CellOwner::onStoreEvent(TimePoint now, const LateCheckpointFound &event)
{
    auto *entry = m_tasks.find(event.task);
    if (entry == nullptr || entry->run >= event.record.run) {
        return;
    }
    if (entry->state == TaskState::RecordingCheckpoint) {
        // The checkpoint of an older run was being written; the store already holds the one of the later run.
        auto *link = findLink(entry->worker);
        if (link != nullptr && link->answeredThisEpoch) {
            link->recordedRuns.insert({event.task, entry->run});
            requestSync(now, *link);
        }
        requeue(now, *entry);
    }
    if (entry->state == TaskState::Uncertain) {
        entry->run = event.record.run;
        entry->checkpoint = event.record.checkpoint;
    }
}

void CellOwner::onStoreEvent(TimePoint /*now*/, const JobRemoved &event)
{
    m_segmentJobs[event.segment].erase(event.job);
    auto &index = m_jobIndexes[event.segment];
    index = std::max(index, event.modifyIndex);
    const auto *job = m_tasks.findJob(event.job);
    if (job != nullptr && job->removing) {
        m_tasks.eraseJob(event.job);
    }
}

void CellOwner::onStoreEvent(TimePoint /*now*/, const NewerOwnerDetected & /*event*/)
{
    stepDown("a newer owner has written records");
}

} // namespace Trefoilhoist
