#include "trefoilhoist/placement/policies/healthledger.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

/// Records kept for jobs that are gone before they are swept.
constexpr std::size_t sweepSlack = 256;

int sum(const std::map<JobId, int> &counts)
{
    int total = 0;
    for (const auto &entry : counts) {
        total += entry.second;
    }
    return total;
}

} // namespace

HealthLedger::HealthLedger(const Settings &settings) : m_settings(settings) { }

void HealthLedger::learn(const RunEnded &ended)
{
    if (!m_settings.enabled) {
        return;
    }
    // Lost, evicted and cancelled runs say nothing about the job or the worker's health.
    if (ended.end == RunEnd::Failed) {
        learnFailure(ended);
    } else if (ended.end == RunEnd::Finished) {
        learnSuccess(ended);
    }
}

void HealthLedger::learnFailure(const RunEnded &ended)
{
    m_lastFailure[ended.task] = ended.at;
    auto &worker = m_workers[ended.worker];
    worker.lastFailure = ended.at;
    if (worker.quarantined) {
        worker.probeAfter = std::min(worker.probeAfter * 2, m_settings.longestProbe);
        worker.probeAt = ended.at + worker.probeAfter;
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
    judgeJob(ended.job);
    judgeWorker(ended.worker, ended.at);
}

void HealthLedger::learnSuccess(const RunEnded &ended)
{
    m_lastFailure.erase(ended.task);
    const auto it = m_workers.find(ended.worker);
    // A run that started before the last failure tells of a worker that was still well.
    if (it != m_workers.end() && ended.at - ended.ranFor > it->second.lastFailure) {
        release(it->second);
        m_suspectWorkers.erase(ended.worker);
    }
    auto &job = m_jobs[ended.job];
    job.changedAt = ended.at;
    m_suspectJobs.erase(ended.job);
    job.finishedOn.insert(ended.worker);
    job.failures.erase(ended.worker);
    // The job is proven: its failures on other workers now speak against those.
    for (const auto &[id, failures] : std::map<WorkerId, int>(job.failures)) {
        judgeWorker(id, ended.at);
    }
}

bool HealthLedger::suspectsJob(const JobId &job, const WorkerId &exceptOn) const
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end() || !it->second.finishedOn.empty()) {
        return false;
    }
    if (it->second.failed) {
        return true;
    }
    return std::any_of(it->second.failures.begin(), it->second.failures.end(), [&](const auto &entry) {
        return entry.first != exceptOn && !suspectsWorker(entry.first, job);
    });
}

bool HealthLedger::suspectsWorker(const WorkerId &worker, const JobId &exceptFor) const
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end()) {
        return false;
    }
    const auto &record = it->second;
    return record.quarantined || std::any_of(record.failures.begin(), record.failures.end(), [&](const auto &entry) {
               return entry.first != exceptFor;
           });
}

void HealthLedger::judgeWorker(const WorkerId &id, TimePoint now)
{
    auto &record = m_workers[id];
    if (record.quarantined) {
        return;
    }
    int weight = 0;
    int jobs = 0;
    bool proven = false;
    for (const auto &[job, failures] : record.failures) {
        if (suspectsJob(job, id)) {
            continue;
        }
        weight += failures;
        ++jobs;
        const auto it = m_jobs.find(job);
        proven |= it != m_jobs.end() && !it->second.finishedOn.empty();
    }
    if (weight >= m_settings.workerFailures && (jobs > 1 || proven) && mayQuarantineMore()) {
        quarantine(id, record, now);
    }
}

bool HealthLedger::mayQuarantineMore() const
{
    const auto most = static_cast<std::size_t>(m_settings.mostQuarantined * static_cast<double>(m_workerCount));
    return m_quarantined < std::max<std::size_t>(most, 1);
}

void HealthLedger::quarantine(const WorkerId &id, WorkerRecord &record, TimePoint now)
{
    record.quarantined = true;
    ++m_quarantined;
    record.reported = false;
    record.probeAfter = m_settings.firstProbe;
    record.probeAt = now + record.probeAfter;
    m_badWorkers.push_back(id);
    // What failed there no longer speaks against the jobs.
    for (const auto &entry : record.failures) {
        const auto it = m_jobs.find(entry.first);
        if (it != m_jobs.end()) {
            it->second.failures.erase(id);
        }
    }
}

void HealthLedger::release(WorkerRecord &record)
{
    record.failures.clear();
    if (record.quarantined) {
        --m_quarantined;
    }
    record.quarantined = false;
    record.probeAfter = {};
}

void HealthLedger::judgeJob(const JobId &id)
{
    auto &record = m_jobs[id];
    if (!record.finishedOn.empty()) {
        return;
    }
    int workers = 0;
    std::string names;
    for (const auto &[worker, failures] : record.failures) {
        if (suspectsWorker(worker, id)) {
            continue;
        }
        ++workers;
        names += (names.empty() ? "" : ", ") + worker.str();
    }
    if (workers < m_settings.jobWorkers) {
        return;
    }
    record.failed = true;
    record.reason = "failed on every worker that tried it (" + names + ") and finished on none";
    m_failedJobs.push_back(id);
    // What the job failed no longer speaks against the workers.
    for (const auto &entry : record.failures) {
        m_workers[entry.first].failures.erase(id);
    }
}

void HealthLedger::observe(const PolicyInput &input)
{
    m_workerCount = input.workers.size();
    const bool anySuspect = !m_suspectWorkers.empty() || !m_suspectJobs.empty();
    if (!anySuspect) {
        return;
    }
    for (const auto &[id, view] : input.workers) {
        for (const auto &running : view.running) {
            if (input.now - running.startedAt >= m_settings.probeRun) {
                learnLasting(running, id);
            }
        }
    }
}

void HealthLedger::learnLasting(const RunningTask &running, const WorkerId &worker)
{
    const auto it = m_workers.find(worker);
    if (it != m_workers.end() && running.startedAt > it->second.lastFailure) {
        release(it->second);
        m_suspectWorkers.erase(worker);
    }
    if (m_suspectJobs.erase(running.job) > 0) {
        m_jobs[running.job].finishedOn.insert(worker);
    }
}

void HealthLedger::judgePending(const PolicyInput &input)
{
    for (const auto &pending : input.pending) {
        if (pending.failures < m_settings.jobWorkers) {
            continue;
        }
        auto &record = m_jobs[pending.task.job];
        if (record.failed) {
            continue;
        }
        const std::set<WorkerId> workers(pending.failedOn.begin(), pending.failedOn.end());
        const int trusted = static_cast<int>(std::count_if(workers.begin(), workers.end(), [&](const auto &worker) {
            return !suspectsWorker(worker, pending.task.job);
        }));
        const bool unproven = record.finishedOn.empty() && trusted >= m_settings.jobWorkers;
        const bool hopeless = pending.failures >= m_settings.mostTaskFailures;
        if (hopeless || unproven || (pending.failures >= m_settings.taskFailures && trusted >= m_settings.jobWorkers)) {
            record.failed = true;
            record.reason = "task " + pending.task.id.str() + " failed " + std::to_string(pending.failures)
                + " times, on " + std::to_string(trusted) + " workers that finish other work";
            m_failedJobs.push_back(pending.task.job);
        }
    }
}

void HealthLedger::report(const PolicyInput &input, std::vector<PolicyAction> &actions)
{
    if (!m_settings.enabled) {
        return;
    }
    judgePending(input);
    for (const auto &id : m_badWorkers) {
        auto &record = m_workers[id];
        if (!record.quarantined || record.reported) {
            continue;
        }
        record.reported = true;
        actions.emplace_back(QuarantineWorker{id,
                                              std::to_string(sum(record.failures)) + " runs of "
                                                  + std::to_string(record.failures.size())
                                                  + " jobs failed there in a row"});
    }
    m_badWorkers.clear();
    for (const auto &id : m_failedJobs) {
        auto &record = m_jobs[id];
        if (!record.reported && input.jobs.contains(id)) {
            record.reported = true;
            actions.emplace_back(FailJob{id, record.reason});
        }
    }
    m_failedJobs.clear();
    forget(input);
}

void HealthLedger::forget(const PolicyInput &input)
{
    if (m_jobs.size() > 2 * input.jobs.size() + sweepSlack) {
        std::erase_if(m_jobs, [&](const auto &entry) { return !input.jobs.contains(entry.first); });
        std::erase_if(m_suspectJobs, [&](const auto &id) { return !m_jobs.contains(id); });
    }
    if (m_workers.size() > 2 * input.workers.size() + sweepSlack) {
        std::erase_if(m_workers, [&](const auto &entry) { return !input.workers.contains(entry.first); });
        std::erase_if(m_suspectWorkers, [&](const auto &id) { return !m_workers.contains(id); });
        m_quarantined = static_cast<std::size_t>(std::count_if(
            m_workers.begin(), m_workers.end(), [](const auto &entry) { return entry.second.quarantined; }));
    }
    if (m_lastFailure.size() > 2 * input.pending.size() + sweepSlack) {
        std::erase_if(m_lastFailure,
                      [&](const auto &entry) { return input.now - entry.second > m_settings.longestRetry; });
    }
}

bool HealthLedger::isQuarantined(const WorkerId &worker) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && it->second.quarantined;
}

int HealthLedger::startsAllowed(const WorkerView &view, TimePoint now) const
{
    constexpr int unlimited = 1'000'000;
    const auto it = m_workers.find(view.worker.id);
    if (it == m_workers.end() || it->second.failures.empty()) {
        return unlimited;
    }
    const auto &record = it->second;
    if (record.quarantined) {
        return now >= record.probeAt ? 1 : 0;
    }
    const bool jobsToBlame = std::all_of(record.failures.begin(), record.failures.end(), [&](const auto &entry) {
        return suspectsJob(entry.first, view.worker.id);
    });
    if (jobsToBlame) {
        return unlimited;
    }
    // A suspect gets one run at a time until one lasts.
    const bool tries = std::any_of(view.running.begin(), view.running.end(), [&](const auto &running) {
        return running.startedAt > record.lastFailure;
    });
    return tries ? 0 : 1;
}

int HealthLedger::tasksAllowed(const JobId &job) const
{
    constexpr int unlimited = 1'000'000;
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end() || it->second.failures.empty() || !it->second.finishedOn.empty()) {
        return unlimited;
    }
    return m_settings.canaryTasks;
}

bool HealthLedger::isFailed(const JobId &job) const
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && it->second.failed;
}

bool HealthLedger::triedInVain(const JobId &job, const WorkerId &worker) const
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && it->second.finishedOn.empty() && it->second.failures.contains(worker);
}

bool HealthLedger::isProven(const JobId &job) const
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && !it->second.finishedOn.empty();
}

bool HealthLedger::mustWait(const PendingTask &pending, TimePoint now) const
{
    if (pending.failures == 0 || !m_settings.enabled) {
        return false;
    }
    const auto it = m_lastFailure.find(pending.task.id);
    if (it == m_lastFailure.end()) {
        return false;
    }
    const auto shift = std::min(pending.failures - 1, 10);
    const auto wait = std::min<Duration>(m_settings.firstRetry * (1 << shift), m_settings.longestRetry);
    return now - it->second < wait;
}

void HealthLedger::started(const WorkerId &worker, TimePoint now)
{
    const auto it = m_workers.find(worker);
    if (it != m_workers.end() && it->second.quarantined) {
        it->second.probeAt = now + it->second.probeAfter;
    }
}

} // namespace Trefoilhoist::Detail
