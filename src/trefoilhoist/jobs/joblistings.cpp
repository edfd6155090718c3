// What a listing of a minion's runs means: which run, which are over, and how they disturb each other.
#include "trefoilhoist/jobs/joblog.h"
#include "trefoilhoist/jobs/jobscheduler.h"
#include "trefoilhoist/jobs/throttlecontrol.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// Minions renew their figures about this often.
constexpr Duration figuresEvery = milliseconds(480);
constexpr int fullPercent = 100;
/// Jobs whose checkpoints are recorded at one time: four commits.
constexpr std::size_t maxCheckpointRecords = 60;

} // namespace

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
    run.percent = row.percent;
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
    const bool known = task != nullptr && entry->accepted;
    Run run = known ? runOf(entry->job.step(row.task.step), now) : Run{};
    run.state = RunState::Running;
    run.percent = row.percent;
    run.usage = row.usage;
    run.checkpoint = row.checkpoint;
    run.nextOrder = now;
    run.settledByListing = worker.listing;
    if (known) {
        const auto &step = entry->job.step(row.task.step);
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
            figures.slacks[key] = latencySlack(run.usage, run.tailTargetMs);
        }
    }
    if (now - worker.figures.at < 2 * figuresEvery) {
        BestEffortShares changes = figures.shares;
        for (const auto &[image, share] : worker.figures.shares) {
            changes[image] -= share;
        }
        for (const auto &[key, slack] : figures.slacks) {
            const auto before = worker.figures.slacks.find(key);
            if (before != worker.figures.slacks.end()) {
                m_interference.observe(worker.runs.at(key).image, slack - before->second, changes, now);
            }
        }
    }
    worker.figures = std::move(figures);
}

} // namespace Trefoilhoist::Jobs
