// Part of JobScheduler: derives from a listing of a minion's runs which of them run and which are over.
#include "trefoilhoist/jobs/joblog.h"
#include "trefoilhoist/jobs/jobscheduler.h"

#include <algorithm>
#include <utility>

namespace Trefoilhoist::Jobs {

namespace {

/// Maximum number of jobs whose checkpoints are recorded at one time. A commit holds 15 records, so they take four
/// commits.
constexpr std::size_t maxCheckpointsPerRecording = 60;

} // namespace

void JobScheduler::applyRunningTask(Worker &worker, const Wire::RunningTask &row, std::int64_t listing, TimePoint now)
{
    const RunKey key{row.task, row.run};
    const auto it = worker.runs.find(key);
    if (it == worker.runs.end()) {
        handleGivenUpRun(worker, key, "running");
        adopt(worker, row, now);
        return;
    }
    auto &run = it->second;
    if (!row.checkpoint.empty()) {
        run.checkpoint = row.checkpoint;
        updateCheckpoint(row);
    }
    run.listedIn = listing;
    run.usage = row.usage;
    run.percent = row.percent;
    run.mayStillStart = false;
    observeSurvival(worker, key, run, now);
    if (run.state == RunState::Ordered || run.state == RunState::Unresolved) {
        run.state = RunState::Running;
        confirmStart(key);
    }
    if (!run.inFlight) {
        run.lastListingBeforeResolution = std::min(run.lastListingBeforeResolution, listing);
    }
}

void JobScheduler::updateCheckpoint(const Wire::RunningTask &row)
{
    auto *entry = find(row.task.job);
    // A job that ended under an earlier owner has no steps any more.
    const bool known = entry != nullptr && entry->job.task(row.task) != nullptr;
    if (known && entry->job.step(row.task.step).checkpoints && entry->job.updateCheckpoint(row.task, row.checkpoint)) {
        m_unrecordedCheckpoints.insert(row.task.job);
    }
}

// Only checkpoints in the store survive the loss of all processes and minions. They are recorded in batches, because
// there are many.
void JobScheduler::recordCheckpoints(TimePoint now)
{
    if (now - m_checkpointsRecordedAt < m_settings.checkpointRecordingInterval || m_unrecordedCheckpoints.empty()) {
        return;
    }
    m_checkpointsRecordedAt = now;
    for (std::size_t n = 0; n < maxCheckpointsPerRecording && !m_unrecordedCheckpoints.empty(); ++n) {
        const auto id = m_unrecordedCheckpoints.extract(m_unrecordedCheckpoints.begin()).value();
        auto *entry = find(id);
        if (entry != nullptr && entry->accepted && entry->job.isActive()) {
            entry->job.requestCheckpointRecording();
            m_changedJobs.insert(id);
        }
    }
}

// Adopts a listed run that this owner has not ordered.
void JobScheduler::adopt(Worker &worker, const Wire::RunningTask &row, TimePoint now)
{
    auto *entry = findForRun(row.task);
    auto *task = entry == nullptr ? nullptr : entry->job.task(row.task);
    const bool known = task != nullptr && entry->accepted;
    Run run = known ? newRun(entry->job.step(row.task.step), now) : Run{};
    run.state = RunState::Running;
    run.adopted = true;
    run.listedIn = worker.lastListing;
    run.percent = row.percent;
    run.usage = row.usage;
    run.checkpoint = row.checkpoint;
    run.nextOrderAt = now;
    run.lastListingBeforeResolution = worker.lastListing;
    if (known) {
        const auto &step = entry->job.step(row.task.step);
        // The members of a gang's run have the same number.
        const bool isOfSameRun
            = step.gang && std::all_of(task->activeRuns.begin(), task->activeRuns.end(), [&](const auto &it) {
                  return it.run == row.run;
              });
        const bool fits = task->activeRuns.empty() || step.duplicatesAllowed || isOfSameRun;
        const bool wanted = entry->job.isActive() && !task->done && fits;
        entry->job.trackRun(row.task, row.run, worker.info.id);
        entry->job.confirmStart();
        m_jobsToRefresh.insert(row.task.job);
        worker.addRun({row.task, row.run}, run);
        if (!wanted) {
            requestStop(worker, {row.task, row.run}, now);
        }
        return;
    }
    run.orphaned = true;
    run.state = RunState::Stopping;
    worker.addRun({row.task, row.run}, run);
    logOrphanedRun(worker, row, m_epoch);
}

// Removes runs that a listing doesn't show although the listing began after their last order was resolved: they have
// ended or were never started.
void JobScheduler::removeMissingRuns(Worker &worker, const Wire::WorkerReport &report, TimePoint now)
{
    std::vector<RunKey> missing;
    for (const auto &[key, run] : worker.runs) {
        if (run.inFlight || run.listedIn == report.listing || report.listing <= run.lastListingBeforeResolution) {
            continue;
        }
        if (!run.mayStillStart || run.stopAcknowledged) {
            missing.push_back(key);
        }
    }
    for (const auto &key : missing) {
        logRunLost(worker, key, LossCause::NotListed, now, m_epoch);
        worker.rememberGivenUp(key, LossCause::NotListed);
        handleLostRun(worker, key, now);
    }
}

} // namespace Trefoilhoist::Jobs
