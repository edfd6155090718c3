#include "trefoilhoist/placement/policies/healthtracker.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

/// Number of histories of removed jobs, workers or tasks that are tolerated before they are erased.
constexpr std::size_t staleSlack = 256;

int sum(const std::map<JobId, int> &counts)
{
    int total = 0;
    for (const auto &entry : counts) {
        total += entry.second;
    }
    return total;
}

} // namespace

HealthTracker::HealthTracker(const Settings &settings) : m_settings(settings) { }

void HealthTracker::observe(const RunEnded &ended)
{
    if (!m_settings.enabled) {
        return;
    }
    // Lost, evicted and cancelled runs are no evidence about the job or the worker.
    if (ended.end == RunEnd::Failed) {
        observeFailure(ended);
    } else if (ended.end == RunEnd::Finished) {
        observeSuccess(ended);
    }
}

void HealthTracker::observeFailure(const RunEnded &ended)
{
    m_lastFailure[ended.task] = ended.at;
    auto &worker = m_workers[ended.worker];
    worker.lastFailure = ended.at;
    if (worker.quarantined) {
        worker.probeDelay = std::min(worker.probeDelay * 2, m_settings.maxProbeDelay);
        worker.probeAt = ended.at + worker.probeDelay;
        return;
    }
    auto &job = m_jobs[ended.job];
    job.changedAt = ended.at;
    ++job.failures[ended.worker];
    if (job.failed) {
        return;
    }
    ++worker.failures[ended.job];
    m_suspectWorkers.insert(ended.worker);
    if (job.finishedOn.empty()) {
        m_suspectJobs.insert(ended.job);
    }
    evaluateJob(ended.job);
    evaluateWorker(ended.worker, ended.at);
}

void HealthTracker::observeSuccess(const RunEnded &ended)
{
    m_lastFailure.erase(ended.task);
    const auto it = m_workers.find(ended.worker);
    // A run that started before the worker's last failure is no evidence that the worker has recovered.
    if (it != m_workers.end() && ended.at - ended.ranFor > it->second.lastFailure) {
        clearFailures(it->second);
        m_suspectWorkers.erase(ended.worker);
    }
    auto &job = m_jobs[ended.job];
    job.changedAt = ended.at;
    m_suspectJobs.erase(ended.job);
    job.finishedOn.insert(ended.worker);
    job.failures.erase(ended.worker);
    // The job has proved that it can finish, so its failures elsewhere are now evidence against those workers.
    for (const auto &[id, failures] : std::map<WorkerId, int>(job.failures)) {
        evaluateWorker(id, ended.at);
    }
}

bool HealthTracker::isJobSuspect(const JobId &job, const WorkerId &exceptOn) const
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end() || !it->second.finishedOn.empty()) {
        return false;
    }
    if (it->second.failed) {
        return true;
    }
    return std::any_of(it->second.failures.begin(), it->second.failures.end(), [&](const auto &entry) {
        return entry.first != exceptOn && !isWorkerSuspect(entry.first, job);
    });
}

bool HealthTracker::isWorkerSuspect(const WorkerId &worker, const JobId &exceptFor) const
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end()) {
        return false;
    }
    const auto &history = it->second;
    return history.quarantined || std::any_of(history.failures.begin(), history.failures.end(), [&](const auto &entry) {
               return entry.first != exceptFor;
           });
}

void HealthTracker::evaluateWorker(const WorkerId &id, TimePoint now)
{
    auto &history = m_workers[id];
    if (history.quarantined) {
        return;
    }
    int failureCount = 0;
    int jobs = 0;
    bool proven = false;
    for (const auto &[job, failures] : history.failures) {
        if (isJobSuspect(job, id)) {
            continue;
        }
        failureCount += failures;
        ++jobs;
        const auto it = m_jobs.find(job);
        proven |= it != m_jobs.end() && !it->second.finishedOn.empty();
    }
    if (failureCount >= m_settings.quarantineAfterFailures && (jobs > 1 || proven) && canQuarantineMore()) {
        quarantine(id, history, now);
    }
}

bool HealthTracker::canQuarantineMore() const
{
    const auto limit = static_cast<std::size_t>(m_settings.maxQuarantinedShare * static_cast<double>(m_workerCount));
    return m_quarantinedCount < std::max<std::size_t>(limit, 1);
}

void HealthTracker::quarantine(const WorkerId &id, WorkerHistory &history, TimePoint now)
{
    history.quarantined = true;
    ++m_quarantinedCount;
    history.reported = false;
    history.probeDelay = m_settings.firstProbeDelay;
    history.probeAt = now + history.probeDelay;
    m_newlyQuarantined.push_back(id);
    // The worker was the cause, so failures on it no longer count against the jobs.
    for (const auto &entry : history.failures) {
        const auto it = m_jobs.find(entry.first);
        if (it != m_jobs.end()) {
            it->second.failures.erase(id);
        }
    }
}

void HealthTracker::clearFailures(WorkerHistory &history)
{
    history.failures.clear();
    if (history.quarantined) {
        --m_quarantinedCount;
    }
    history.quarantined = false;
    history.probeDelay = {};
}

void HealthTracker::evaluateJob(const JobId &id)
{
    auto &history = m_jobs[id];
    if (!history.finishedOn.empty()) {
        return;
    }
    int workers = 0;
    std::string names;
    for (const auto &[worker, failures] : history.failures) {
        if (isWorkerSuspect(worker, id)) {
            continue;
        }
        ++workers;
        names += (names.empty() ? "" : ", ") + worker.str();
    }
    if (workers < m_settings.failJobAfterWorkers) {
        return;
    }
    history.failed = true;
    history.reason = "failed on every worker that tried it (" + names + ") and finished on none";
    m_newlyFailedJobs.push_back(id);
    // The job was the cause, so its failures no longer count against the workers.
    for (const auto &entry : history.failures) {
        m_workers[entry.first].failures.erase(id);
    }
}

void HealthTracker::observeRunning(const PolicyInput &input)
{
    m_workerCount = input.workers.size();
    const bool anySuspect = !m_suspectWorkers.empty() || !m_suspectJobs.empty();
    if (!anySuspect) {
        return;
    }
    for (const auto &[id, view] : input.workers) {
        for (const auto &running : view.running) {
            if (input.now - running.startedAt >= m_settings.probeSuccessAfter) {
                observeLongRun(running, id);
            }
        }
    }
}

void HealthTracker::observeLongRun(const RunningTask &running, const WorkerId &worker)
{
    const auto it = m_workers.find(worker);
    if (it != m_workers.end() && running.startedAt > it->second.lastFailure) {
        clearFailures(it->second);
        m_suspectWorkers.erase(worker);
    }
    if (m_suspectJobs.erase(running.job) > 0) {
        m_jobs[running.job].finishedOn.insert(worker);
    }
}

void HealthTracker::evaluatePending(const PolicyInput &input)
{
    for (const auto &pending : input.pending) {
        if (pending.failures < m_settings.failJobAfterWorkers) {
            continue;
        }
        auto &history = m_jobs[pending.task.job];
        if (history.failed) {
            continue;
        }
        const std::set<WorkerId> workers(pending.failedOn.begin(), pending.failedOn.end());
        const int trusted = static_cast<int>(std::count_if(workers.begin(), workers.end(), [&](const auto &worker) {
            return !isWorkerSuspect(worker, pending.task.job);
        }));
        const bool unproven = history.finishedOn.empty() && trusted >= m_settings.failJobAfterWorkers;
        const bool tooManyFailures = pending.failures >= m_settings.maxTaskFailures;
        if (tooManyFailures || unproven
            || (pending.failures >= m_settings.failJobAfterTaskFailures && trusted >= m_settings.failJobAfterWorkers)) {
            history.failed = true;
            history.reason = "task " + pending.task.id.str() + " failed " + std::to_string(pending.failures)
                + " times, on " + std::to_string(trusted) + " workers that finish other work";
            m_newlyFailedJobs.push_back(pending.task.job);
        }
    }
}

void HealthTracker::report(const PolicyInput &input, std::vector<PolicyAction> &actions)
{
    if (!m_settings.enabled) {
        return;
    }
    evaluatePending(input);
    for (const auto &id : m_newlyQuarantined) {
        auto &history = m_workers[id];
        if (!history.quarantined || history.reported) {
            continue;
        }
        history.reported = true;
        actions.emplace_back(QuarantineWorker{id,
                                              std::to_string(sum(history.failures)) + " runs of "
                                                  + std::to_string(history.failures.size())
                                                  + " jobs failed there in a row"});
    }
    m_newlyQuarantined.clear();
    for (const auto &id : m_newlyFailedJobs) {
        auto &history = m_jobs[id];
        if (!history.reported && input.jobs.contains(id)) {
            history.reported = true;
            actions.emplace_back(FailJob{id, history.reason});
        }
    }
    m_newlyFailedJobs.clear();
    removeStale(input);
}

void HealthTracker::removeStale(const PolicyInput &input)
{
    if (m_jobs.size() > 2 * input.jobs.size() + staleSlack) {
        std::erase_if(m_jobs, [&](const auto &entry) { return !input.jobs.contains(entry.first); });
        std::erase_if(m_suspectJobs, [&](const auto &id) { return !m_jobs.contains(id); });
    }
    if (m_workers.size() > 2 * input.workers.size() + staleSlack) {
        std::erase_if(m_workers, [&](const auto &entry) { return !input.workers.contains(entry.first); });
        std::erase_if(m_suspectWorkers, [&](const auto &id) { return !m_workers.contains(id); });
        m_quarantinedCount = static_cast<std::size_t>(std::count_if(
            m_workers.begin(), m_workers.end(), [](const auto &entry) { return entry.second.quarantined; }));
    }
    if (m_lastFailure.size() > 2 * input.pending.size() + staleSlack) {
        std::erase_if(m_lastFailure,
                      [&](const auto &entry) { return input.now - entry.second > m_settings.maxRetryDelay; });
    }
}

bool HealthTracker::isQuarantined(const WorkerId &worker) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && it->second.quarantined;
}

int HealthTracker::maxStarts(const WorkerView &view, TimePoint now) const
{
    constexpr int unlimited = 1'000'000;
    const auto it = m_workers.find(view.worker.id);
    if (it == m_workers.end() || it->second.failures.empty()) {
        return unlimited;
    }
    const auto &history = it->second;
    if (history.quarantined) {
        return now >= history.probeAt ? 1 : 0;
    }
    const bool allJobsSuspect = std::all_of(history.failures.begin(), history.failures.end(), [&](const auto &entry) {
        return isJobSuspect(entry.first, view.worker.id);
    });
    if (allJobsSuspect) {
        return unlimited;
    }
    // A suspect worker gets one run at a time until one of them finishes or lasts.
    const bool hasRecentRun = std::any_of(view.running.begin(), view.running.end(), [&](const auto &running) {
        return running.startedAt > history.lastFailure;
    });
    return hasRecentRun ? 0 : 1;
}

int HealthTracker::maxRunningTasks(const JobId &job) const
{
    constexpr int unlimited = 1'000'000;
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end() || it->second.failures.empty() || !it->second.finishedOn.empty()) {
        return unlimited;
    }
    return m_settings.maxCanaryTasks;
}

bool HealthTracker::isFailed(const JobId &job) const
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && it->second.failed;
}

bool HealthTracker::hasFailedUnproven(const JobId &job, const WorkerId &worker) const
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && it->second.finishedOn.empty() && it->second.failures.contains(worker);
}

bool HealthTracker::isProven(const JobId &job) const
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && !it->second.finishedOn.empty();
}

bool HealthTracker::isBackingOff(const PendingTask &pending, TimePoint now) const
{
    if (pending.failures == 0 || !m_settings.enabled) {
        return false;
    }
    const auto it = m_lastFailure.find(pending.task.id);
    if (it == m_lastFailure.end()) {
        return false;
    }
    const auto shift = std::min(pending.failures - 1, 10);
    const auto wait = std::min<Duration>(m_settings.firstRetryDelay * (1 << shift), m_settings.maxRetryDelay);
    return now - it->second < wait;
}

void HealthTracker::observeStart(const WorkerId &worker, TimePoint now)
{
    const auto it = m_workers.find(worker);
    if (it != m_workers.end() && it->second.quarantined) {
        it->second.probeAt = now + it->second.probeDelay;
    }
}

} // namespace Trefoilhoist::Detail
