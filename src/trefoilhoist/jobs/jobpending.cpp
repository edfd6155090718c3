// Part of JobScheduler: finds the steps that have tasks to start, and what decides when they have their turn.
#include "trefoilhoist/jobs/jobscheduler.h"

#include <algorithm>
#include <utility>

namespace Trefoilhoist::Jobs {

namespace {

/// An occurrence that takes longer than this multiple of its objective is worthless.
constexpr int maxObjectiveMultiple = 3;

} // namespace

void JobScheduler::refreshDueJobs(std::int64_t wallMs)
{
    while (!m_dueJobs.empty() && m_dueJobs.begin()->first <= wallMs - m_settings.dueSlackMs) {
        m_jobsToRefresh.insert(m_dueJobs.begin()->second);
        m_dueJobs.erase(m_dueJobs.begin());
    }
}

void JobScheduler::updateExpectedRunTimes(Job &job)
{
    for (std::size_t i = 0; i < job.spec().steps.size(); ++i) {
        const auto &step = job.spec().steps[i];
        if (step.longRunning || step.estimatedMs <= 0) {
            continue;
        }
        const auto observed = job.observedRunTime(i);
        job.setExpectedRunTime(
            i, observed ? *observed : m_durations.expected(job.spec().queue.name, milliseconds(step.estimatedMs)));
    }
}

StepRank JobScheduler::rankOf(const Job &job, int number, const OccurrenceState &occurrence, std::int64_t wallMs) const
{
    Duration untilDue{};
    if (job.spec().occurrences > 0) {
        untilDue = milliseconds(job.dueMs(number) - wallMs);
    }
    const auto &policy = job.spec().queue;
    const auto started = job.spec().occurrences > 0 ? m_now + untilDue : job.acceptedAt();
    const Duration objective
        = duration_cast<Duration>(policy.stretch * job.totalCriticalPath()) + milliseconds(policy.targetLatencyMs);
    const Duration criticalPath = job.remainingCriticalPath(occurrence);
    StepRank rank;
    rank.latestStart = started + objective - criticalPath;
    rank.worthlessAfter = started + maxObjectiveMultiple * objective - criticalPath;
    rank.remainingWork = job.remainingWork(occurrence);
    return rank;
}

// Recomputes which steps of the job have tasks to start.
void JobScheduler::refreshPending(Entry &entry, std::int64_t wallMs)
{
    auto &job = entry.job;
    const auto &id = job.id();
    std::map<StepKey, PendingStep> before;
    const auto first = m_pending.lower_bound({id, INT32_MIN, INT32_MIN});
    const auto last = m_pending.upper_bound({id, INT32_MAX, INT32_MAX});
    before.insert(first, last);
    m_pending.erase(first, last);
    if (!job.isActive()) {
        m_active.erase(id);
        m_baselines.forget(id);
        releaseMemory(entry);
        updateMemory(entry);
        return;
    }
    job.openDueOccurrences(wallMs - m_settings.dueSlackMs, m_memory.maxOpenOccurrences(job));
    updateMemory(entry);
    if (const auto due = job.nextDueMs()) {
        m_dueJobs.emplace(*due, id);
    }
    if (learnsRunTimes()) {
        updateExpectedRunTimes(job);
    }
    for (const auto &[number, occurrence] : job.occurrences()) {
        if (occurrence.finished) {
            continue;
        }
        if (occurrence.openedEarly && job.dueMs(number) > wallMs - m_settings.dueSlackMs) {
            m_dueJobs.emplace(job.dueMs(number), id);
            continue;
        }
        const auto occurrenceRank = rankOf(job, number, occurrence, wallMs);
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto &tasks = occurrence.steps[step].tasks;
            const bool hasTaskToStart = std::any_of(
                tasks.begin(), tasks.end(), [](const auto &it) { return !it.done && it.activeRuns.empty(); });
            if (!hasTaskToStart || !job.isStepReady(occurrence, static_cast<int>(step))) {
                continue;
            }
            auto pending = std::move(before[{id, number, static_cast<int>(step)}]);
            pending.job = id;
            pending.occurrence = number;
            pending.step = static_cast<int>(step);
            pending.rank = occurrenceRank;
            pending.rank.longRunning = job.spec().steps[step].longRunning;
            pending.rank.usesIdleCpu = job.spec().steps[step].usesIdleCpu;
            pending.rank.hasRun
                = std::any_of(tasks.begin(), tasks.end(), [](const auto &it) { return it.lastRun > 0; });
            pending.pendingSince = std::min(pending.pendingSince, m_now);
            m_pending[{id, number, static_cast<int>(step)}] = std::move(pending);
        }
    }
}

} // namespace Trefoilhoist::Jobs
