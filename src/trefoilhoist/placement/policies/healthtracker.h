#pragma once

#include "trefoilhoist/placement/policytypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// Distinguishes workers on which everything fails from jobs that fail everywhere. Not thread-safe.
///
/// A failure makes both the worker and the job suspect until other runs clear one of them: if the job finished on
/// another worker, the worker is the likely cause; if the worker finished other work, the job is.
class HealthTracker
{
public:
    /// Tests and trials may change these; programs use the defaults.
    struct Settings {
        /// Number of failures, with no finished run in between, after which a worker is quarantined.
        int quarantineAfterFailures = 3;
        /// Number of workers on which a job must have failed before the job is failed.
        int failJobAfterWorkers = 3;
        /// A task that failed this often, on at least `failJobAfterWorkers` workers that aren't suspect, fails its job
        /// even if other tasks of the job finish.
        int failJobAfterTaskFailures = 6;
        /// A task that failed this often fails its job, whichever workers it ran on.
        int maxTaskFailures = 15;
        /// Time until the first probe of a quarantined worker; doubles with each failed probe.
        Duration firstProbeDelay = seconds(30);
        Duration maxProbeDelay = seconds(600);
        /// A run that lasts this long, such as a probe, counts as finished.
        Duration probeSuccessAfter = seconds(60);
        /// Maximum number of concurrent tasks of a job that has failed and never finished anything.
        int maxCanaryTasks = 2;
        /// Backoff of a task after its first failure; doubles with each further failure.
        Duration firstRetryDelay = milliseconds(500);
        Duration maxRetryDelay = seconds(60);
        /// Maximum share of the workers in quarantine at once. If more of them fail, the jobs are the likelier cause.
        double maxQuarantinedShare = 0.34;
        /// Disabled only in tests that demonstrate the tracker's effect.
        bool enabled = true;
    };

    HealthTracker() = default;
    explicit HealthTracker(const Settings &settings);

    /// Updates the failure history of the run's job and worker.
    void observe(const RunEnded &ended);
    /// Updates the histories from the running tasks: a run that has lasted long enough counts as finished.
    void observeRunning(const PolicyInput &input);

    /// Adds an action for each newly quarantined worker and each newly failed job; each is reported once.
    void report(const PolicyInput &input, std::vector<PolicyAction> &actions);

    [[nodiscard]] bool isQuarantined(const WorkerId &worker) const;
    /// Number of tasks that may start on the worker now. A quarantined worker gets one when a probe is due, a suspect
    /// worker one at a time.
    [[nodiscard]] int maxStarts(const WorkerView &view, TimePoint now) const;
    /// Maximum number of tasks of the job that may run at once.
    [[nodiscard]] int maxRunningTasks(const JobId &job) const;
    [[nodiscard]] bool isFailed(const JobId &job) const;
    /// Whether the job has never finished anything and has already failed on the worker, where another attempt would
    /// give no new evidence.
    [[nodiscard]] bool hasFailedUnproven(const JobId &job, const WorkerId &worker) const;
    /// Whether a task of the job has ever finished, or ran long enough to count as finished.
    [[nodiscard]] bool isProven(const JobId &job) const;
    /// Whether the task is still waiting after a failure.
    [[nodiscard]] bool isBackingOff(const PendingTask &pending, TimePoint now) const;
    /// Tracks a start on the worker; on a quarantined worker it is a probe, and the next one is postponed.
    void observeStart(const WorkerId &worker, TimePoint now);

private:
    struct WorkerHistory {
        /// Failures since the last finished run, by job.
        std::map<JobId, int> failures;
        bool quarantined = false;
        bool reported = false;
        Duration probeDelay{};
        TimePoint probeAt{};
        TimePoint lastFailure{};
    };
    struct JobHistory {
        std::map<WorkerId, int> failures;
        std::set<WorkerId> finishedOn;
        bool failed = false;
        bool reported = false;
        std::string reason;
        TimePoint changedAt{};
    };

    void observeFailure(const RunEnded &ended);
    void observeSuccess(const RunEnded &ended);
    void evaluateWorker(const WorkerId &id, TimePoint now);
    void evaluateJob(const JobId &id);
    void quarantine(const WorkerId &id, WorkerHistory &history, TimePoint now);
    /// Clears the worker's failures and ends its quarantine.
    void clearFailures(WorkerHistory &history);
    /// Whether the job's failures on workers other than `exceptOn` make the job the likelier cause.
    [[nodiscard]] bool isJobSuspect(const JobId &job, const WorkerId &exceptOn) const;
    /// Whether jobs other than `exceptFor` failed on the worker and nothing has finished there since.
    [[nodiscard]] bool isWorkerSuspect(const WorkerId &worker, const JobId &exceptFor) const;
    void evaluatePending(const PolicyInput &input);
    void removeStale(const PolicyInput &input);
    void observeLongRun(const RunningTask &running, const WorkerId &worker);
    [[nodiscard]] bool canQuarantineMore() const;

    Settings m_settings;
    std::unordered_map<WorkerId, WorkerHistory> m_workers;
    std::unordered_map<JobId, JobHistory> m_jobs;
    std::vector<JobId> m_newlyFailedJobs;
    std::vector<WorkerId> m_newlyQuarantined;
    /// Time of each task's last failure, for its retry backoff.
    std::unordered_map<TaskId, TimePoint> m_lastFailure;
    /// Workers and jobs with failures whose cause is not known yet.
    std::set<WorkerId> m_suspectWorkers;
    std::set<JobId> m_suspectJobs;
    std::size_t m_workerCount = 0;
    std::size_t m_quarantinedCount = 0;
};

} // namespace Trefoilhoist::Detail
