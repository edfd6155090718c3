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
class HealthLedger
{
public:
    /// Settings; the defaults hold in programs.
    struct Settings {
        /// Failures in a row, with none finished between, that quarantine a worker.
        int workerFailures = 3;
        /// Workers that a job must have failed on before it is failed.
        int jobWorkers = 3;
        /// Failures of one task on trusted workers that fail its job, though other tasks of it finish.
        int taskFailures = 6;
        /// Failures of one task that fail its job whatever the workers.
        int mostTaskFailures = 15;
        /// Time to the first probe of a quarantined worker; doubles with each probe that fails.
        Duration firstProbe = seconds(30);
        Duration longestProbe = seconds(600);
        /// A probe that runs this long counts as finished.
        Duration probeRun = seconds(60);
        /// Tasks of an unproven job that run at once after its first failure.
        int canaryTasks = 2;
        /// A task waits this long after its first failure; doubles with each further one.
        Duration firstRetry = milliseconds(500);
        Duration longestRetry = seconds(60);
        /// Most workers in quarantine at once, as a share of all; above it the jobs are the likelier cause.
        double mostQuarantined = 0.34;
        /// Off only in tests that show what the ledger is for.
        bool enabled = true;
    };

    HealthLedger() = default;
    explicit HealthLedger(const Settings &settings);

    void learn(const RunEnded &ended);
    /// Takes in the running tasks: a run that lasts counts as a finished one.
    void observe(const PolicyInput &input);

    /// Quarantines and failed jobs that are due, each reported once.
    void report(const PolicyInput &input, std::vector<PolicyAction> &actions);

    [[nodiscard]] bool isQuarantined(const WorkerId &worker) const;
    /// Starts that the worker may get now: none in quarantine but for a probe, one when it is suspect.
    [[nodiscard]] int startsAllowed(const WorkerView &view, TimePoint now) const;
    /// Tasks of the job that may run at once.
    [[nodiscard]] int tasksAllowed(const JobId &job) const;
    [[nodiscard]] bool isFailed(const JobId &job) const;
    /// Whether the job, which never finished anything, failed on the worker: a further try there tells nothing.
    [[nodiscard]] bool triedInVain(const JobId &job, const WorkerId &worker) const;
    /// Whether a task of the job ever finished, or ran long.
    [[nodiscard]] bool isProven(const JobId &job) const;
    /// Whether the task still waits after a failure.
    [[nodiscard]] bool mustWait(const PendingTask &pending, TimePoint now) const;
    /// Notes the start of a probe on a quarantined worker.
    void started(const WorkerId &worker, TimePoint now);

private:
    struct WorkerRecord {
        /// Failures since the last finished run, by job.
        std::map<JobId, int> failures;
        bool quarantined = false;
        bool reported = false;
        Duration probeAfter{};
        TimePoint probeAt{};
        TimePoint lastFailure{};
    };
    struct JobRecord {
        std::map<WorkerId, int> failures;
        std::set<WorkerId> finishedOn;
        bool failed = false;
        bool reported = false;
        std::string reason;
        TimePoint changedAt{};
    };

    void learnFailure(const RunEnded &ended);
    void learnSuccess(const RunEnded &ended);
    void judgeWorker(const WorkerId &id, TimePoint now);
    void judgeJob(const JobId &id);
    void quarantine(const WorkerId &id, WorkerRecord &record, TimePoint now);
    void release(WorkerRecord &record);
    /// Whether the job's failures elsewhere make it the likelier cause.
    [[nodiscard]] bool suspectsJob(const JobId &job, const WorkerId &exceptOn) const;
    /// Whether the worker failed other jobs of late and finished nothing since.
    [[nodiscard]] bool suspectsWorker(const WorkerId &worker, const JobId &exceptFor) const;
    void judgePending(const PolicyInput &input);
    void forget(const PolicyInput &input);
    void learnLasting(const RunningTask &running, const WorkerId &worker);
    [[nodiscard]] bool mayQuarantineMore() const;

    Settings m_settings;
    std::unordered_map<WorkerId, WorkerRecord> m_workers;
    std::unordered_map<JobId, JobRecord> m_jobs;
    std::vector<JobId> m_failedJobs;
    std::vector<WorkerId> m_badWorkers;
    /// Time of the last failure per task, for the wait before its retry.
    std::unordered_map<TaskId, TimePoint> m_lastFailure;
    /// Workers and jobs with failures that nothing explains yet.
    std::set<WorkerId> m_suspectWorkers;
    std::set<JobId> m_suspectJobs;
    std::size_t m_workerCount = 0;
    std::size_t m_quarantined = 0;
};

} // namespace Trefoilhoist::Detail
