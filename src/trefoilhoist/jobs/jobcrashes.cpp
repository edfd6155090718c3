// Part of JobScheduler: crashes of workers, and the tasks that cause them.
#include "trefoilhoist/jobs/crashattribution.h"
#include "trefoilhoist/jobs/joblog.h"
#include "trefoilhoist/jobs/jobscheduler.h"

#include <algorithm>
#include <utility>

namespace Trefoilhoist::Jobs {

namespace {

/// Number of crashes of one agent's minion that are not attributed again when they are reported again.
constexpr std::size_t keptCrashesPerAgent = 64;

/// An owner knows the ages of runs only from reports, so that the parts in a crash that no agent has reported are
/// rough.
constexpr double certaintyWithoutAgent = 0.5;

} // namespace

bool JobScheduler::takeUnrecordedCrash()
{
    return std::exchange(m_hasUnrecordedCrash, false);
}

void JobScheduler::applyCrash(const std::string &agent, const Wire::CrashReport &crash, double certainty)
{
    auto &attributed = m_attributedCrashes[agent];
    if (!attributed.insert(crash.born).second) {
        return;
    }
    if (attributed.size() > keptCrashesPerAgent) {
        attributed.erase(attributed.begin());
    }
    std::vector<CrashSuspect> suspects;
    for (const auto &it : crash.runs) {
        auto *entry = findForRun(it.task);
        const auto *history = entry == nullptr ? nullptr : entry->job.crashHistory(it.task);
        const Duration age = milliseconds(it.ageMs);
        suspects.push_back({age, history == nullptr ? 0 : history->blameAtAge(age)});
    }
    const auto parts = attributeCrash(suspects);
    logCrash(crash, m_epoch);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (parts[i] > 0) {
            recordCrash(agent, crash, crash.runs[i], certainty * parts[i]);
        }
    }
}

void JobScheduler::recordCrash(const std::string &agent,
                               const Wire::CrashReport &crash,
                               const Wire::LostRun &lost,
                               double blame)
{
    auto *entry = find(lost.task.job);
    Wire::RunCrash record;
    record.run = lost.run;
    record.blame = blame;
    record.ageMs = lost.ageMs;
    record.agent = agent;
    if (entry == nullptr || !entry->accepted
        || !entry->job.recordCrash(lost.task, std::move(record), wallMilliseconds())) {
        return;
    }
    entry->crashVersion = entry->job.version();
    m_hasUnrecordedCrash = true;
    logCrashBlame(crash, lost, blame, *entry->job.crashHistory(lost.task), m_epoch);
    markChanged(lost.task.job);
    if (!entry->job.isActive()) {
        stopRuns(*entry, m_now);
    }
}

void JobScheduler::applyUnreportedCrash(const Worker &worker)
{
    Wire::CrashReport crash;
    crash.worker = worker.info.id;
    crash.born = worker.info.born;
    crash.runs = worker.runsOfExpiredLease;
    for (const auto &[key, run] : worker.runs) {
        if (run.isConfirmed()) {
            crash.runs.push_back(lostRun(worker, key, run));
        }
    }
    if (!crash.runs.empty()) {
        applyCrash(agentName(worker.info), crash, certaintyWithoutAgent);
    }
}

bool JobScheduler::isCrashRecorded(const Wire::CrashReport &crash) const
{
    return std::all_of(crash.runs.begin(), crash.runs.end(), [&](const auto &it) {
        const auto entry = m_jobs.find(it.task.job);
        return entry == m_jobs.end() || entry->second.crashVersion <= entry->second.recordedVersion;
    });
}

void JobScheduler::observeSurvival(Worker &worker, const RunKey &key, Run &run, TimePoint now)
{
    if (!run.startedAlone || now - run.orderedAt < startObservationTime) {
        return;
    }
    run.startedAlone = false;
    worker.reservation = {};
    auto *entry = find(key.task.job);
    auto *history = entry == nullptr ? nullptr : entry->job.crashHistory(key.task);
    if (history != nullptr) {
        history->observeSurvival();
    }
}

} // namespace Trefoilhoist::Jobs
