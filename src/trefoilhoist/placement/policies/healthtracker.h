#pragma once

#include "trefoilhoist/placement/policytypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// Tells workers that fail everything from jobs that fail everywhere. Not thread-safe.
///
/// A failure speaks against the worker and the job alike until other runs clear one of them: a job that
/// finished elsewhere speaks against the worker, a worker that finished other work speaks against the job.
class HealthTracker
{
public:
    /// Settings; the defaults hold in programs.
    struct Settings {
        /// Failures in a row, with none finished between, that quarantine a worker.
        int quarantineAfterFailures = 3;
        /// Workers that a job must have failed on before it is failed.
        int failJobAfterWorkers = 3;
        /// Failures of one task on trusted workers that fail its job, though other tasks of it finish.
        int failJobAfterTaskFailures = 6;
        /// Failures of one task that fail its job whatever the workers.
        int maxTaskFailures = 15;
        /// Time to the first probe of a quarantined worker; doubles with each probe that fails.
        Duration firstProbeDelay = seconds(30);
        Duration maxProbeDelay = seconds(600);
        /// A probe that runs this long counts as finished.
        Duration probeSuccessAfter = seconds(60);
        /// Tasks of an unproven job that run at once after its first failure.
        int maxCanaryTasks = 2;
        /// A task waits this long after its first failure; doubles with each further one.
        Duration firstRetryDelay = milliseconds(500);
        Duration maxRetryDelay = seconds(60);
        /// Most workers in quarantine at once, as a share of all; above it the jobs are the likelier cause.
        double maxQuarantinedShare = 0.34;
        /// Off only in tests that show what the ledger is for.
        bool enabled = true;
    };

    HealthTracker() = default;
    explicit HealthTracker(const Settings &settings);

    void observe(const RunEnded &ended);
    /// Takes in the running tasks: a run that lasts counts as a finished one.
    void observeRunning(const PolicyInput &input);

    /// Quarantines and failed jobs that are due, each reported once.
    void report(const PolicyInput &input, std::vector<PolicyAction> &actions);

    [[nodiscard]] bool isQuarantined(const WorkerId &worker) const;
    /// Starts that the worker may get now: none in quarantine but for a probe, one when it is suspect.
    [[nodiscard]] int maxStarts(const WorkerView &view, TimePoint now) const;
    /// Tasks of the job that may run at once.
    [[nodiscard]] int maxRunningTasks(const JobId &job) const;
    [[nodiscard]] bool isFailed(const JobId &job) const;
    /// Whether the job, which never finished anything, failed on the worker: a further try there tells nothing.
    [[nodiscard]] bool hasFailedUnproven(const JobId &job, const WorkerId &worker) const;
    /// Whether a task of the job ever finished, or ran long.
    [[nodiscard]] bool isProven(const JobId &job) const;
    /// Whether the task still waits after a failure.
    [[nodiscard]] bool isBackingOff(const PendingTask &pending, TimePoint now) const;
    /// Notes the start of a probe on a quarantined worker.
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
    void release(WorkerHistory &history);
    /// Whether the job's failures elsewhere make it the likelier cause.
    [[nodiscard]] bool suspectsJob(const JobId &job, const WorkerId &exceptOn) const;
    /// Whether the worker failed other jobs of late and finished nothing since.
    [[nodiscard]] bool suspectsWorker(const WorkerId &worker, const JobId &exceptFor) const;
    void evaluatePending(const PolicyInput &input);
    void removeStale(const PolicyInput &input);
    void observeLongRun(const RunningTask &running, const WorkerId &worker);
    [[nodiscard]] bool canQuarantineMore() const;

    Settings m_settings;
    std::unordered_map<WorkerId, WorkerHistory> m_workers;
    std::unordered_map<JobId, JobHistory> m_jobs;
    std::vector<JobId> m_newlyFailedJobs;
    std::vector<WorkerId> m_newlyQuarantined;
    /// Time of the last failure per task, for the wait before its retry.
    std::unordered_map<TaskId, TimePoint> m_lastFailure;
    /// Workers and jobs with failures that nothing explains yet.
    std::set<WorkerId> m_suspectWorkers;
    std::set<JobId> m_suspectJobs;
    std::size_t m_workerCount = 0;
    std::size_t m_quarantinedCount = 0;
};

} // namespace Trefoilhoist::Detail
