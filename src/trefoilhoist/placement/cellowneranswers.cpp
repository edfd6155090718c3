// How a CellOwner takes in the answers of workers.

#include "trefoilhoist/internal/invariant.h"
#include "trefoilhoist/placement/cellowner.h"

#include <glog/logging.h>

#include <algorithm>

namespace Trefoilhoist {

void CellOwner::on(TimePoint now, const SyncAnswered &event)
{
    auto *link = linkOf(event.worker);
    if (!owning() || link == nullptr || link->call != event.call) {
        return;
    }
    const auto &answer = event.answer;
    link->call = 0;
    if (answer.epoch > m_epoch) {
        depose("worker " + event.worker.str() + " follows epoch " + std::to_string(answer.epoch));
        return;
    }
    if (answer.incarnation < link->incarnation) {
        schedule(*link, now + m_settings.retryInterval);
        return;
    }
    if (link->adopted && answer.incarnation > link->incarnation) {
        LOG(WARNING) << "event=worker_restarted worker=" << event.worker;
        loseRuns(now, *link);
    }
    const bool first = !link->adopted;
    if (first) {
        // The higher epoch has ended the earlier owner's tokens.
        link->leaseBound = std::min(link->leaseBound, now + m_settings.lease + m_settings.margin);
    }
    link->adopted = true;
    link->lastCallFailed = false;
    link->incarnation = answer.incarnation;
    link->token = answer.token;
    link->tokenAt = now;
    link->since = answer.revision;
    if (answer.accepted) {
        link->acceptedAt = now;
    }
    acknowledge(now, *link, answer);
    learnServices(now, answer);
    if (first) {
        m_unheard.erase(event.worker);
        if (!leaving(*link) && m_settings.safety.useRoster) {
            m_store->addToRoster(event.worker);
        }
    }
    refreshView(now, *link);
    const bool atOnce = first || link->urged;
    const bool soon = link->hasOrders() || !answer.accepted;
    schedule(*link, atOnce ? now : now + (soon ? m_settings.retryInterval : m_settings.syncInterval));
}

void CellOwner::on(TimePoint now, const SyncFailed &event)
{
    auto *link = linkOf(event.worker);
    if (!owning() || link == nullptr || link->call != event.call) {
        return;
    }
    link->call = 0;
    link->lastCallFailed = true;
    schedule(*link, now + m_settings.retryInterval);
    checkLapse(now, *link);
    refreshView(now, *link);
}

void CellOwner::acknowledge(TimePoint now, WorkerLink &link, const SyncAnswer &answer)
{
    if (answer.accepted) {
        for (const auto &ref : link.sentDurable) {
            link.durable.erase(ref);
        }
        // Stopped by now, or never there; one that ended is in the reports.
        for (const auto &ref : link.sentStrays) {
            link.strays.erase(ref);
        }
    }
    for (const auto &report : answer.runs) {
        applyReport(now, link, report);
    }
    for (const auto &refusal : answer.refused) {
        applyRefusal(now, link, refusal);
    }
    if (answer.full) {
        loseMissing(now, link, answer);
    }
    if (!answer.accepted) {
        return;
    }
    // What the accepted call started or stopped is in the reports by now, unless the worker has none of it.
    for (const auto *sent : {&link.sentStarts, &link.sentStops}) {
        for (const auto &ref : *sent) {
            auto *entry = m_tasks.find(ref.task);
            const bool ours = entry != nullptr && entry->run == ref.run && link.places.contains(ref.task);
            if (ours && !entry->seen) {
                loseRun(now, link, *entry, RunEnd::Lost);
            }
        }
    }
}

void CellOwner::loseMissing(TimePoint now, WorkerLink &link, const SyncAnswer &answer)
{
    std::set<RunRef> reported;
    for (const auto &report : answer.runs) {
        reported.insert({report.task, report.run});
    }
    for (const auto &task : std::set<TaskId>(link.places)) {
        auto &entry = *m_tasks.find(task);
        if (entry.seen && !reported.contains({task, entry.run})) {
            loseRun(now, link, entry, RunEnd::Lost);
        }
    }
    std::erase_if(link.strays, [&](const auto &it) { return !reported.contains(it); });
}

void CellOwner::applyReport(TimePoint now, WorkerLink &link, const RunReport &report)
{
    if (link.durable.contains({report.task, report.run})) {
        return;
    }
    auto *entry = m_tasks.find(report.task);
    if (entry == nullptr) {
        applyStray(now, link, report);
        return;
    }
    const auto &id = link.announced.worker.id;
    const bool ended = report.state != RunState::Running;
    if (entry->worker == id && entry->run == report.run) {
        if (link.places.contains(report.task)) {
            followOwnRun(now, link, *entry, report);
        }
        return;
    }
    const bool free = entry->state == TaskState::Uncertain || (entry->state == TaskState::Pending && ended);
    if (free && report.run >= entry->run) {
        adoptRun(now, link, *entry, report);
    } else {
        applyStray(now, link, report);
    }
}

void CellOwner::applyStray(TimePoint now, WorkerLink &link, const RunReport &report)
{
    const RunRef ref{report.task, report.run};
    if (report.state == RunState::Running) {
        if (link.strays.insert(ref).second) {
            ++m_counts.strays;
            LOG(WARNING) << "event=stray_run worker=" << link.announced.worker.id << " task=" << report.task
                         << " run=" << report.run;
            urge(now, link);
        }
        return;
    }
    link.strays.erase(ref);
    if (link.durable.insert(ref).second) {
        urge(now, link);
    }
}

void CellOwner::followOwnRun(TimePoint now, WorkerLink &link, TaskEntry &entry, const RunReport &report)
{
    link.starting.erase(report.task);
    entry.seen = true;
    entry.checkpoint = report.checkpoint.empty() ? entry.checkpoint : report.checkpoint;
    if (report.state != RunState::Running) {
        runEnded(now, link, entry, report);
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
    m_policy.learn(UsageSample{now, report.task, report.job, link.announced.worker.id, report.used});
    const bool taken = report.checkpoints > entry.checkpoints;
    entry.checkpoints = report.checkpoints;
    if (taken && entry.state == TaskState::Checkpointing) {
        orderStop(now, entry);
    }
}

void CellOwner::runEnded(TimePoint now, WorkerLink &link, TaskEntry &entry, const RunReport &report)
{
    const RunRef ref{report.task, report.run};
    unplace(link, report.task);
    m_dirty = true;
    const auto &stored = m_tasks.findJob(entry.task.job)->stored;
    switch (report.state) {
    case RunState::Running:
        return;
    case RunState::Finished:
        learnEnd(now, entry, RunEnd::Finished);
        ++m_counts.finished;
        m_tasks.move(now, entry, TaskState::RecordingDone);
        m_store->recordDone(stored, report.task, report.run);
        break;
    case RunState::Failed:
        learnEnd(now, entry, RunEnd::Failed);
        ++m_counts.failed;
        ++entry.failures;
        entry.failedOn.push_back(link.announced.worker.id);
        link.durable.insert(ref);
        requeue(now, entry);
        break;
    case RunState::Stopped:
    case RunState::Lapsed:
        learnEnd(now, entry, report.state == RunState::Stopped ? RunEnd::Evicted : RunEnd::Lost);
        if (entry.checkpoint.empty() || abandoned(entry)) {
            link.durable.insert(ref);
            requeue(now, entry);
        } else {
            m_tasks.move(now, entry, TaskState::RecordingCheckpoint);
            m_store->recordCheckpoint(stored, report.task, report.run, entry.checkpoint);
        }
        break;
    }
    if (!m_settings.safety.recordBeforeDurable) {
        link.durable.insert(ref);
    }
    urge(now, link);
}

void CellOwner::adoptRun(TimePoint now, WorkerLink &link, TaskEntry &entry, const RunReport &report)
{
    entry.run = report.run;
    entry.worker = link.announced.worker.id;
    entry.seen = true;
    entry.reserved = report.reserved;
    entry.checkpoint = report.checkpoint.empty() ? entry.checkpoint : report.checkpoint;
    entry.checkpoints = report.checkpoints;
    entry.throttle = report.throttle;
    entry.startedAt = now;
    if (report.state != RunState::Running) {
        m_tasks.move(now, entry, TaskState::Stopping);
        runEnded(now, link, entry, report);
        return;
    }
    // A task runs in one place at most, so no other worker can have it.
    entry.uncertain = false;
    m_tasks.move(now, entry, TaskState::Running);
    link.places.insert(report.task);
    auto &view = m_views[entry.worker];
    view.running.push_back(
        {report.task, report.job, report.run, report.reserved, report.used, entry.startedAt, report.throttle});
    if (abandoned(entry)) {
        orderStop(now, entry);
    }
}

void CellOwner::applyRefusal(TimePoint now, WorkerLink &link, const StartRefusal &refusal)
{
    auto *entry = m_tasks.find(refusal.ref.task);
    const bool ours = entry != nullptr && entry->run == refusal.ref.run && link.places.contains(refusal.ref.task);
    // A refusal for its token leaves the order as it is: it is repeated with the fresh one.
    if (!ours || entry->seen || refusal.reason == RefusalReason::Token) {
        return;
    }
    ++m_counts.refused;
    LOG(INFO) << "event=start_refused worker=" << link.announced.worker.id << " task=" << refusal.ref.task
              << " reason=" << refusalReasonName(refusal.reason);
    loseRun(now, link, *entry, RunEnd::Lost);
}

void CellOwner::learnServices(TimePoint now, const SyncAnswer &answer)
{
    for (const auto &it : answer.services) {
        m_policy.learn(ServiceSample{now - it.age, it.service, answer.worker, it.p99, it.requestsPerSecond});
    }
}

} // namespace Trefoilhoist
