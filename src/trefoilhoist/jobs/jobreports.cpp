// What the scheduler learns from the agents: lives, listings, ends.
#include "trefoilhoist/jobs/joblog.h"
#include "trefoilhoist/jobs/jobscheduler.h"
#include "trefoilhoist/jobs/pacecontrol.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// Minions renew their figures about this often.
constexpr Duration figuresEvery = milliseconds(480);
constexpr int fullPercent = 100;
/// Jobs whose checkpoints are recorded at one time: four commits.
constexpr std::size_t maxCheckpointRecords = 60;

} // namespace

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
    for (const auto &it : report.pairs) {
        m_interference.remember(it);
    }
    if (current && report.listing > worker->listing) {
        if (!worker->listed) {
            worker->listed = true;
            logWorker("worker_listed", *worker, m_epoch);
        }
        worker->listing = report.listing;
        for (const auto &it : report.ended) {
            takeEnd(*worker, it, now);
        }
        for (const auto &it : report.running) {
            takeRunning(*worker, it, report.listing, now);
        }
        dropMissing(*worker, report, now);
        learnInterference(*worker, now);
        m_unreported.erase(agentName(worker->info));
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

// The agent's minion has left, or nothing has been heard of the agent for as long as its minion may hold anything.
void JobScheduler::dismissAgent(const std::string &name, TimePoint now)
{
    m_unreported.erase(name);
    for (auto &[id, worker] : m_workers) {
        if (agentName(worker.info) == name) {
            endLife(worker, now);
            worker.enrolled = false;
        }
    }
    if (m_roster.erase(name) > 0) {
        m_enrolled.erase(name);
        m_rosterChanged = true;
    }
}

// Finds the worker of a report and takes up a new life of its minion; null for news of an earlier life.
Worker *JobScheduler::lifeOf(const Wire::WorkerReport &report, TimePoint now)
{
    const auto name = agentName(report.worker);
    const auto known = m_workers.find(report.worker.id);
    if (known != m_workers.end() && known->second.info.born == report.worker.born) {
        known->second.info = report.worker;
        enroll(report.worker);
        return &known->second;
    }
    if (known != m_workers.end() && known->second.info.born > report.worker.born) {
        return nullptr;
    }
    std::map<RunKey, Run> mayAppear;
    for (auto &[id, worker] : m_workers) {
        // The agent has one minion at a time: an earlier one of the same agent is over.
        if (id == report.worker.id || agentName(worker.info) == name) {
            for (const auto &[key, run] : worker.runs) {
                if (id == report.worker.id && (run.mayAppear || run.inFlight)) {
                    mayAppear.emplace(key, run);
                }
            }
            endLife(worker, now);
        }
    }
    std::erase_if(m_workers,
                  [&](const auto &it) { return it.second.runs.empty() && agentName(it.second.info) == name; });
    Worker worker;
    worker.info = report.worker;
    // What an earlier owner granted is not known.
    worker.leaseEnds = now + m_settings.grantGrace + m_settings.workerLease + m_settings.leaseSlack;
    worker.enrolled = m_enrolled.count(name) > 0;
    enroll(report.worker);
    logWorker("worker_joined", worker, m_epoch);
    auto &kept = m_workers.insert_or_assign(report.worker.id, std::move(worker)).first->second;
    // An unanswered start may still reach the new life under the old id: it is stopped there before the task moves.
    for (auto &[key, run] : mayAppear) {
        auto *entry = find(key.task.job);
        if (entry == nullptr) {
            continue;
        }
        run.inFlight = false;
        run.state = RunState::Stopping;
        run.stopTaken = false;
        run.mayAppear = true;
        run.settledByListing = INT64_MAX;
        run.nextOrder = now;
        kept.addRun(key, run);
        entry->job.noteStart(key.task, key.run, report.worker.id);
        changed(key.task.job);
    }
    return &kept;
}

// Has the agent recorded, so that a later owner waits for its report.
void JobScheduler::enroll(const Wire::WorkerDescription &worker)
{
    const auto [it, added] = m_roster.emplace(agentName(worker), worker);
    m_rosterChanged = m_rosterChanged || added;
}

// Nothing that was ordered of this life can run any more.
void JobScheduler::endLife(Worker &worker, TimePoint now)
{
    if (!worker.runs.empty()) {
        logWorker("worker_lost", worker, m_epoch);
    }
    while (!worker.runs.empty()) {
        // A copy: losing the run ends the life of its key in the table.
        const RunKey key = worker.runs.begin()->first;
        loseRun(worker, key, now);
    }
    if (worker.listed) {
        ++worker.leaseTerm;
    }
    worker.listed = false;
}

void JobScheduler::loseRun(Worker &worker, const RunKey &key, TimePoint now)
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
    m_stale.insert(key.task.job);
    if (entry->job.step(key.task.step).gang) {
        breakGang(key.task, key.run, now);
    }
}

// Stops the other members of a gang's run.
void JobScheduler::breakGang(const Wire::TaskRef &task, std::int64_t run, TimePoint now)
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
        for (const auto &active : state->active) {
            const auto worker = m_workers.find(active.worker);
            if (active.run == run && worker != m_workers.end()) {
                wantStop(worker->second, {member, run}, now);
            }
        }
    }
}

void JobScheduler::wantStop(Worker &worker, const RunKey &key, TimePoint now)
{
    const auto it = worker.runs.find(key);
    if (it != worker.runs.end() && it->second.state != RunState::Stopping) {
        if (it->second.state != RunState::Running) {
            it->second.mayAppear = true;
        }
        it->second.state = RunState::Stopping;
        it->second.nextOrder = now;
    }
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

void JobScheduler::takeRunning(Worker &worker, const Wire::RunningTask &row, std::int64_t listing, TimePoint now)
{
    const RunKey key{row.task, row.run};
    const auto it = worker.runs.find(key);
    if (it == worker.runs.end()) {
        adopt(worker, row, now);
        return;
    }
    auto &run = it->second;
    if (!row.checkpoint.empty()) {
        run.checkpoint = row.checkpoint;
        noteCheckpoint(row);
    }
    run.usage = row.usage;
    if (row.percent != run.percent) {
        run.percent = row.percent;
        run.percentChangedAt = now;
    }
    run.mayAppear = false;
    if (run.state == RunState::Ordered || run.state == RunState::Unsettled) {
        run.state = RunState::Running;
    }
    if (!run.inFlight) {
        run.settledByListing = std::min(run.settledByListing, listing);
    }
}

void JobScheduler::noteCheckpoint(const Wire::RunningTask &row)
{
    auto *entry = find(row.task.job);
    if (entry != nullptr && entry->job.step(row.task.step).checkpoints
        && entry->job.noteCheckpoint(row.task, row.checkpoint)) {
        m_checkpointed.insert(row.task.job);
    }
}

// Checkpoints outlive the loss of every process and minion only in the store; gathered, since there are many.
void JobScheduler::recordCheckpoints(TimePoint now)
{
    if (now - m_checkpointsRecordedAt < m_settings.checkpointRecording || m_checkpointed.empty()) {
        return;
    }
    m_checkpointsRecordedAt = now;
    for (std::size_t n = 0; n < maxCheckpointRecords && !m_checkpointed.empty(); ++n) {
        const auto id = m_checkpointed.extract(m_checkpointed.begin()).value();
        auto *entry = find(id);
        if (entry != nullptr && entry->accepted && entry->job.active()) {
            entry->job.wantCheckpointsRecorded();
            m_changed.insert(id);
        }
    }
}

// Takes up a run that an earlier owner ordered.
void JobScheduler::adopt(Worker &worker, const Wire::RunningTask &row, TimePoint now)
{
    auto *entry = find(row.task.job);
    auto *task = entry == nullptr ? nullptr : entry->job.task(row.task);
    Run run;
    run.state = RunState::Running;
    run.orderedAt = now;
    run.percent = row.percent;
    run.percentChangedAt = now;
    run.usage = row.usage;
    run.checkpoint = row.checkpoint;
    run.nextOrder = now;
    run.settledByListing = worker.listing;
    const bool known = task != nullptr && entry->accepted;
    if (known) {
        const auto &step = entry->job.step(row.task.step);
        run.demand = demandOf(step);
        run.image = step.image;
        run.tailTargetMs = step.tailTargetMs;
        run.longRunning = step.longRunning;
        const bool copiesAllowed = step.duplicatesAllowed || step.gang;
        const bool wanted = entry->job.active() && !task->done && (task->active.empty() || copiesAllowed);
        entry->job.noteStart(row.task, row.run, worker.info.id);
        m_stale.insert(row.task.job);
        worker.addRun({row.task, row.run}, run);
        if (!wanted) {
            wantStop(worker, {row.task, row.run}, now);
        }
        return;
    }
    run.foreign = true;
    run.state = RunState::Stopping;
    worker.addRun({row.task, row.run}, run);
    logForeign(worker, row, m_epoch);
}

// A listing that began after an order was settled and does not show its run: the run is over, or never was.
void JobScheduler::dropMissing(Worker &worker, const Wire::WorkerReport &report, TimePoint now)
{
    std::set<RunKey> listed;
    for (const auto &it : report.running) {
        listed.insert({it.task, it.run});
    }
    std::vector<RunKey> missing;
    for (const auto &[key, run] : worker.runs) {
        if (run.inFlight || listed.count(key) > 0 || report.listing <= run.settledByListing) {
            continue;
        }
        if (!run.mayAppear || run.stopTaken) {
            missing.push_back(key);
        }
    }
    for (const auto &key : missing) {
        loseRun(worker, key, now);
    }
}

// Compares a worker's figures with its last ones.
void JobScheduler::learnInterference(Worker &worker, TimePoint now)
{
    if (now - worker.figures.at < figuresEvery) {
        return;
    }
    WorkerFigures figures;
    figures.at = now;
    for (const auto &[key, run] : worker.runs) {
        if (run.demand.idleCpuMilli > 0) {
            figures.shares[run.image] += static_cast<double>(run.usage) / static_cast<double>(worker.info.cpuMilli);
        } else if (run.tailTargetMs > 0 && run.percent == fullPercent && run.usage > 0) {
            figures.slacks[key] = slackOf(run.usage, run.tailTargetMs);
        }
    }
    if (now - worker.figures.at < 2 * figuresEvery) {
        FillShares changes = figures.shares;
        for (const auto &[image, share] : worker.figures.shares) {
            changes[image] -= share;
        }
        for (const auto &[key, slack] : figures.slacks) {
            const auto before = worker.figures.slacks.find(key);
            if (before != worker.figures.slacks.end()) {
                m_interference.learn(worker.runs.at(key).image, slack - before->second, changes, now);
            }
        }
    }
    worker.figures = std::move(figures);
}

} // namespace Trefoilhoist::Jobs
