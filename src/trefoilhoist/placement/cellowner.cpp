#include "trefoilhoist/placement/cellowner.h"

#include "trefoilhoist/internal/invariant.h"

#include <glog/logging.h>

#include <algorithm>

namespace Trefoilhoist {

PlacementDecider makePolicyDecider(PlacementPolicy policy)
{
    auto shared = std::make_shared<PlacementPolicy>(std::move(policy));
    return {[shared](const PolicyInput &input) { return shared->decide(input); },
            [shared](const PolicyEvent &event) {
                shared->observe(event);
            }};
}

CellOwner::CellOwner(CellOwnerSettings settings, PlacementDecider policy, LabelSource labels, JobSource jobs)
    : m_settings(std::move(settings)), m_policy(std::move(policy)), m_labels(std::move(labels)), m_jobs(std::move(jobs))
{
}

std::vector<OwnerAction> CellOwner::handle(TimePoint now, const OwnerEvent &event)
{
    std::visit([&](const auto &it) { on(now, it); }, event);
    if (owning()) {
        advance(now);
    }
    return std::exchange(m_actions, {});
}

void CellOwner::advance(TimePoint now)
{
    handleStoreEvents(now);
    if (!owning()) {
        return;
    }
    resolveUncertainTasks(now);
    removeEndedJobs(now);
    decide(now);
    while (owning() && !m_syncSchedule.empty() && m_syncSchedule.begin()->first <= now) {
        const auto id = m_syncSchedule.begin()->second;
        auto &link = m_links.at(id);
        if (!removeIfNotAnnounced(now, link)) {
            syncWorker(now, link);
        }
    }
    pollStore(now);
}

void CellOwner::on(TimePoint now, const OwnershipGained &event)
{
    reset();
    m_epoch = event.epoch;
    m_storeLeaseEnd = event.heldUntil;
    m_store.emplace(
        CellStore::Settings{m_settings.cell, m_epoch, m_settings.safeguards.fenceRecords, m_settings.editInterval},
        event.contents);
    m_jobIndexes = event.contents.jobIndexes;
    const auto bound = now + m_settings.outageGrace + m_settings.lease + m_settings.clockMargin;
    for (const auto &worker : event.contents.roster) {
        auto &link = m_links[worker];
        link.leaseExpired = false;
        link.latestLeaseExpiry = bound;
        link.announcedAt = std::max(link.announcedAt, now);
        m_unreportedWorkers.insert(worker);
    }
    if (!m_settings.safeguards.waitForLeaseExpiry) {
        m_unreportedWorkers.clear();
    }
    for (const auto &[segment, jobs] : event.contents.jobs) {
        for (const auto &[id, stored] : jobs) {
            addJob(now, stored, true);
        }
    }
    for (auto &[id, link] : m_links) {
        link.announced.worker.id = id;
        scheduleSync(link, now);
    }
    LOG(INFO) << "event=ownership_gained cell=" << m_settings.cell << " epoch=" << m_epoch
              << " jobs=" << m_tasks.jobs().size() << " roster=" << m_unreportedWorkers.size();
}

void CellOwner::on(TimePoint /*now*/, const StoreLeaseExtended &event)
{
    m_storeLeaseEnd = std::max(m_storeLeaseEnd, event.heldUntil);
}

void CellOwner::on(TimePoint /*now*/, const OwnershipLost & /*event*/)
{
    if (owning()) {
        LOG(WARNING) << "event=ownership_lost cell=" << m_settings.cell << " epoch=" << m_epoch;
    }
    reset();
}

void CellOwner::on(TimePoint now, const WorkerAnnounced &event)
{
    const auto &worker = event.announcement.worker;
    auto &link = m_links[worker.id];
    if (worker.incarnation < link.announced.worker.incarnation) {
        return;
    }
    const bool same = worker.incarnation == link.announced.worker.incarnation;
    const bool wasLeaving = same && link.announced.worker.leaving;
    const bool moved = !(link.announced.worker.endpoint == worker.endpoint);
    link.announced = event.announcement;
    link.announced.worker.leaving = worker.leaving || wasLeaving;
    link.announcedAt = now;
    if (owning()) {
        if (moved || link.nextSyncAt == TimePoint{} || (link.announced.worker.leaving && !wasLeaving)) {
            scheduleSync(link, now);
        }
        refreshView(now, link);
    }
}

void CellOwner::on(TimePoint now, const JobSegmentRead &event)
{
    auto &index = m_jobIndexes[event.segment];
    if (!owning() || event.modifyIndex <= index) {
        return;
    }
    index = event.modifyIndex;
    for (const auto &[id, stored] : event.jobs) {
        auto *job = m_tasks.findJob(id);
        if (job != nullptr && job->stored.nonce != stored.nonce && job->state != JobState::Open) {
            m_tasks.eraseJob(id);
            job = nullptr;
        }
        if (job == nullptr) {
            // This owner holds the store lease, so the job's tasks are not uncertain: no earlier owner can have seen
            // it.
            addJob(now, stored, false);
        } else if (stored.cancelled && !job->cancelled && job->stored.nonce == stored.nonce) {
            job->cancelled = true;
            abandonJob(now, id);
        }
    }
    for (const auto &id : std::set<JobId>(m_segmentJobs[event.segment])) {
        auto *job = m_tasks.findJob(id);
        if (event.jobs.contains(id) || job == nullptr || job->state != JobState::Open) {
            continue;
        }
        LOG(WARNING) << "event=job_vanished job=" << id;
        job->cancelled = true;
        abandonJob(now, id);
    }
}

void CellOwner::on(TimePoint now, const StoreReplied &event)
{
    if (!owning()) {
        return;
    }
    for (auto &it : m_store->reply(now, event.reply)) {
        m_actions.emplace_back(ExecuteStoreCommand{std::move(it)});
    }
}

void CellOwner::on(TimePoint /*now*/, const OwnerTick & /*event*/) { }

void CellOwner::on(TimePoint now, const LabelsChanged & /*event*/)
{
    m_dirty = true;
    for (const auto &[id, link] : m_links) {
        refreshView(now, link);
    }
    if (m_jobs) {
        m_tasks.reconfigure(m_jobs);
    }
}

void CellOwner::on(TimePoint /*now*/, const StopRequested & /*event*/)
{
    m_stopping = true;
}

void CellOwner::reset()
{
    m_epoch = 0;
    m_storeLeaseEnd = {};
    m_runCount = 0;
    m_store.reset();
    m_tasks = TaskTable();
    m_jobIndexes.clear();
    m_segmentJobs.clear();
    m_endedJobs.clear();
    m_views.clear();
    m_syncSchedule.clear();
    m_unreportedWorkers.clear();
    m_uncertainTasksResolved = false;
    m_dirty = true;
    for (auto &[id, link] : m_links) {
        WorkerLink fresh;
        fresh.announced = std::move(link.announced);
        fresh.announcedAt = link.announcedAt;
        link = std::move(fresh);
    }
}

void CellOwner::stepDown(const std::string &reason)
{
    LOG(WARNING) << "event=deposed cell=" << m_settings.cell << " epoch=" << m_epoch << " reason=\"" << reason << '"';
    m_actions.emplace_back(StepDown{m_epoch, reason});
    reset();
}

bool CellOwner::canStart(TimePoint now) const
{
    return owning() && !m_stopping && (now < m_storeLeaseEnd || !m_settings.safeguards.checkStoreLease);
}

bool CellOwner::canRenew(TimePoint now) const
{
    return owning() && (now < m_storeLeaseEnd + m_settings.outageGrace || !m_settings.safeguards.limitOutageRenewal);
}

Labels CellOwner::labelsOf(const Worker &worker) const
{
    return m_labels ? m_labels(worker) : worker.labels;
}

bool CellOwner::isLeaving(const WorkerLink &link) const
{
    const auto &worker = link.announced.worker;
    if (worker.leaving) {
        return true;
    }
    const auto labels = labelsOf(worker);
    const auto it = labels.find("drain");
    return it != labels.end() && it->second == "true";
}

bool CellOwner::isUsable(TimePoint now, const WorkerLink &link) const
{
    const bool listed = !m_settings.safeguards.useRoster || m_store->inRoster(link.announced.worker.id);
    return link.answeredThisEpoch && listed && !link.lastCallFailed && link.token != 0
        && now < link.lastAcceptedAt + m_settings.lease / 2 && !isLeaving(link);
}

void CellOwner::scheduleSync(WorkerLink &link, TimePoint nextSyncAt)
{
    const auto &id = link.announced.worker.id;
    m_syncSchedule.erase({link.nextSyncAt, id});
    link.nextSyncAt = nextSyncAt;
    m_syncSchedule.insert({nextSyncAt, id});
}

void CellOwner::requestSync(TimePoint now, WorkerLink &link)
{
    link.hasUnsentOrders = true;
    if (link.call == 0) {
        scheduleSync(link, now);
    }
}

bool CellOwner::removeIfNotAnnounced(TimePoint now, WorkerLink &link)
{
    constexpr Duration removeAfter = seconds(60);
    const auto id = link.announced.worker.id;
    if (now < link.announcedAt + removeAfter || !link.leaseExpired || !link.placedTasks.empty()
        || m_unreportedWorkers.contains(id)) {
        return false;
    }
    m_store->removeFromRoster(id);
    if (m_store->roster().contains(id)) {
        return false;
    }
    LOG(INFO) << "event=worker_forgotten worker=" << id;
    m_syncSchedule.erase({link.nextSyncAt, id});
    m_views.erase(id);
    m_quarantined.erase(id);
    m_links.erase(id);
    return true;
}

void CellOwner::syncWorker(TimePoint now, WorkerLink &link)
{
    checkLeaseExpiry(now, link);
    stopTasksWithOverdueCheckpoints(now, link);
    evictIfLeaving(now, link);
    scheduleSync(link, now + m_settings.syncInterval);
    if (link.call != 0 || link.announced.worker.endpoint.port == 0 || !canRenew(now)) {
        return;
    }
    link.call = ++m_callCount;
    ++m_counts.syncs;
    const auto &worker = link.announced.worker;
    m_actions.emplace_back(SendSync{worker.id, worker.endpoint, link.call, buildRequest(now, link)});
}

void CellOwner::checkLeaseExpiry(TimePoint now, WorkerLink &link)
{
    const bool expireNow = !m_settings.safeguards.waitForLeaseExpiry && link.lastCallFailed;
    if (link.leaseExpired || (now < link.latestLeaseExpiry && !expireNow)) {
        return;
    }
    link.leaseExpired = true;
    // The orders are dropped with the runs, so the worker must report its full state again (revision 0 requests it).
    // Otherwise this owner would not see runs that the worker still has.
    link.appliedRevision = 0;
    if (!link.placedTasks.empty()) {
        LOG(WARNING) << "event=worker_lapsed worker=" << link.announced.worker.id
                     << " tasks=" << link.placedTasks.size();
    }
    markRunsLost(now, link);
    m_unreportedWorkers.erase(link.announced.worker.id);
    refreshView(now, link);
}

void CellOwner::stopTasksWithOverdueCheckpoints(TimePoint now, WorkerLink &link)
{
    std::vector<TaskId> late;
    for (const auto &task : link.checkpointing) {
        const auto *entry = m_tasks.find(task);
        if (entry != nullptr && now >= entry->checkpointRequestedAt + m_settings.checkpointTimeout) {
            late.push_back(task);
        }
    }
    for (const auto &task : late) {
        orderStop(now, *m_tasks.find(task));
    }
}

void CellOwner::evictIfLeaving(TimePoint now, const WorkerLink &link)
{
    if (link.placedTasks.empty() || !isLeaving(link)) {
        return;
    }
    for (const auto &task : std::set<TaskId>(link.placedTasks)) {
        apply(now, EvictTask{task, "worker is leaving"});
    }
}

SyncRequest CellOwner::buildRequest(TimePoint now, WorkerLink &link)
{
    SyncRequest request;
    request.epoch = m_epoch;
    request.owner = m_settings.owner;
    request.lease = m_settings.lease;
    link.sentStarts.clear();
    link.sentStops.clear();
    link.sentRecordedRuns.clear();
    link.sentOrphanedRuns.clear();
    link.hasUnsentOrders = false;
    if (!link.answeredThisEpoch) {
        return request;
    }
    request.token = link.token;
    request.appliedRevision = link.appliedRevision;
    // The worker issued the token before `tokenReceivedAt`; its lease ends one lease duration after the issue.
    link.latestLeaseExpiry
        = std::max(link.latestLeaseExpiry, link.tokenReceivedAt + m_settings.lease + m_settings.clockMargin);
    if (now < link.latestLeaseExpiry) {
        link.leaseExpired = false;
    }
    addOrders(now, link, request);
    return request;
}

void CellOwner::addOrders(TimePoint now, WorkerLink &link, SyncRequest &request)
{
    const auto refOf = [this](const TaskId &task) {
        return RunRef{task, m_tasks.find(task)->run};
    };
    if (canStart(now)) {
        for (const auto &task : link.starting) {
            const auto &entry = *m_tasks.find(task);
            const auto &job = m_tasks.openJobs().at(entry.task.job);
            request.start.push_back({task,
                                     entry.task.job,
                                     entry.run,
                                     entry.checkpoint,
                                     entry.reserved,
                                     entry.task.declaredRunTime,
                                     job.batchClass});
            link.sentStarts.push_back({task, entry.run});
        }
    }
    for (const auto &task : link.checkpointing) {
        request.checkpoint.push_back(refOf(task));
    }
    for (const auto &[task, share] : link.throttling) {
        request.throttle.push_back({refOf(task), share});
    }
    for (const auto &task : link.stopping) {
        request.stop.push_back(refOf(task));
    }
    link.sentStops = request.stop;
    link.sentOrphanedRuns.assign(link.orphanedRuns.begin(), link.orphanedRuns.end());
    request.stop.insert(request.stop.end(), link.orphanedRuns.begin(), link.orphanedRuns.end());
    request.recordedRuns.assign(link.recordedRuns.begin(), link.recordedRuns.end());
    link.sentRecordedRuns = request.recordedRuns;
}

bool CellOwner::isTakingOver() const
{
    return !m_unreportedWorkers.empty() || !m_store->isFenced();
}

void CellOwner::resolveUncertainTasks(TimePoint now)
{
    if (m_uncertainTasksResolved || isTakingOver()) {
        return;
    }
    m_uncertainTasksResolved = true;
    const auto tasks = m_tasks.uncertain();
    LOG(INFO) << "event=cell_taken_over cell=" << m_settings.cell << " epoch=" << m_epoch
              << " tasks_without_place=" << tasks.size();
    for (const auto &task : tasks) {
        requeue(now, *m_tasks.find(task));
    }
}

void CellOwner::markRunsLost(TimePoint now, WorkerLink &link)
{
    for (const auto &task : std::set<TaskId>(link.placedTasks)) {
        markRunLost(now, link, *m_tasks.find(task), RunEnd::Lost);
    }
    link.orphanedRuns.clear();
    link.recordedRuns.clear();
}

void CellOwner::refreshView(TimePoint now, const WorkerLink &link)
{
    const auto &id = link.announced.worker.id;
    const auto it = m_views.find(id);
    if (!owning() || (!link.answeredThisEpoch && it == m_views.end())) {
        return;
    }
    auto &view = it != m_views.end() ? it->second : m_views[id];
    const bool wasReachable = view.reachable && !view.worker.id.empty();
    view.worker = link.announced.worker;
    view.worker.labels = labelsOf(link.announced.worker);
    view.serviceReserved = {};
    view.services.clear();
    for (const auto &service : link.announced.services) {
        view.serviceReserved += service.reserved;
        view.services.push_back(service.service);
    }
    view.reachable = isUsable(now, link);
    m_dirty = m_dirty || view.reachable != wasReachable;
}

void CellOwner::pollStore(TimePoint now)
{
    if (!owning()) {
        return;
    }
    for (auto &it : m_store->poll(now)) {
        m_actions.emplace_back(ExecuteStoreCommand{std::move(it)});
    }
}

void CellOwner::handleStoreEvents(TimePoint now)
{
    if (!owning()) {
        return;
    }
    for (const auto &event : m_store->takeEvents()) {
        if (!owning()) {
            return;
        }
        std::visit([&](const auto &it) { onStoreEvent(now, it); }, event);
    }
}

WorkerLink *CellOwner::findLink(const WorkerId &worker)
{
    const auto it = m_links.find(worker);
    return it != m_links.end() ? &it->second : nullptr;
}

bool CellOwner::owning() const
{
    return m_epoch != 0;
}

std::int64_t CellOwner::epoch() const
{
    return m_epoch;
}

bool CellOwner::recordsFlushed() const
{
    return !m_store || !m_store->hasPendingRecords();
}

const TaskTable &CellOwner::tasks() const
{
    return m_tasks;
}

const std::map<WorkerId, WorkerLink> &CellOwner::workers() const
{
    return m_links;
}

const std::map<WorkerId, WorkerView> &CellOwner::views() const
{
    return m_views;
}

const OwnerCounts &CellOwner::counts() const
{
    return m_counts;
}

std::uint64_t CellOwner::jobIndex(int segment) const
{
    const auto it = m_jobIndexes.find(segment);
    return it != m_jobIndexes.end() ? it->second : 0;
}

std::size_t CellOwner::unreportedWorkers() const
{
    return m_unreportedWorkers.size();
}

const std::map<WorkerId, std::string> &CellOwner::quarantined() const
{
    return m_quarantined;
}

} // namespace Trefoilhoist
