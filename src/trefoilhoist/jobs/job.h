#pragma once

#include "trefoilhoist/jobs/crashhistory.h"
#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/world/clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// A run that may be executing on a worker.
struct ActiveRun {
    std::int64_t run = 0;
    std::string worker;
};

/// State of one task of a step and of its runs.
struct TaskState {
    bool done = false;
    std::int64_t lastRun = 0;
    std::vector<ActiveRun> activeRuns;
    /// Numbers of the runs that failed.
    std::vector<std::int64_t> failures;
    CrashHistory crashes;
    /// Id of the worker where the task failed last; the next run prefers another one.
    std::string failedOn;
    std::string checkpoint;
    /// The task must not start earlier than this.
    TimePoint notBefore;
    /// A run was given up together with its worker, so that its end, if any, may be known to another owner only.
    bool lostWithWorker = false;
};

/// One step of one occurrence.
struct StepState {
    std::vector<TaskState> tasks;
    int unfinished = 0;
};

/// Run times of the tasks of one step, in all occurrences.
struct StepRunTime {
    /// Expected of each task.
    Duration expected{};
    /// Sum and number of the run times of finished tasks.
    Duration finishedSum{};
    int finished = 0;
};

struct OccurrenceState {
    std::vector<StepState> steps;
    bool finished = false;
    /// Opened because an earlier owner has started a task of it; it may not be due by this process's clock.
    bool openedEarly = false;
};

/// One job: its specification, its progress and its active runs.
///
/// Holds no state of workers and makes no placement decisions. `version()` increases with each change that must be
/// recorded; the owner of this object tracks which version is recorded. Not thread-safe.
class Job
{
public:
    explicit Job(Wire::JobSpec spec, TimePoint acceptedAt);

    [[nodiscard]] const Wire::JobSpec &spec() const
    {
        return m_spec;
    }
    [[nodiscard]] const std::string &id() const
    {
        return m_spec.id;
    }
    [[nodiscard]] const Wire::StepSpec &step(int number) const
    {
        return m_spec.steps.at(static_cast<std::size_t>(number));
    }
    [[nodiscard]] JobPhase phase() const
    {
        return m_phase;
    }
    [[nodiscard]] TimePoint acceptedAt() const
    {
        return m_acceptedAt;
    }
    [[nodiscard]] bool isActive() const
    {
        return !isFinal(m_phase);
    }
    /// True if a minion has confirmed a start, or an earlier owner has recorded progress.
    [[nodiscard]] bool hasStarted() const
    {
        return m_hasStarted;
    }

    /// Opens every occurrence that is due, as far as the tasks of all open ones stay within `maxTasksOfJob`, and the
    /// number of open ones within `maxOpen`, or one; the others follow when earlier ones have finished.
    void openDueOccurrences(std::int64_t wallMs, std::int64_t maxOpen = maxTasksOfJob);
    /// Opens every occurrence up to the one of a run that an earlier owner has started, which found it due by its own
    /// clock. Returns true if something was opened.
    bool openStartedOccurrence(int number);
    /// Due time of an occurrence of a repeated job, in Unix milliseconds.
    [[nodiscard]] std::int64_t dueMs(int number) const;
    /// Due time of the next occurrence that is not open yet, in Unix milliseconds.
    [[nodiscard]] std::optional<std::int64_t> nextDueMs() const;

    [[nodiscard]] std::map<int, OccurrenceState> &occurrences()
    {
        return m_occurrences;
    }
    [[nodiscard]] const std::map<int, OccurrenceState> &occurrences() const
    {
        return m_occurrences;
    }
    /// Null if the job has no such task or the task's occurrence is not open.
    [[nodiscard]] TaskState *task(const Wire::TaskRef &ref);

    /// True when all steps that `step` depends on have finished.
    [[nodiscard]] bool isStepReady(const OccurrenceState &occurrence, int step) const;

    /// Adds an active run of the task, which may not have started yet.
    void trackRun(const Wire::TaskRef &ref, std::int64_t run, const std::string &worker);
    /// To be called when a minion has shown that it has started a task.
    void confirmStart();
    /// Removes an active run; returns true if it was active.
    bool dropRun(const Wire::TaskRef &ref, std::int64_t run);

    /// Marks a task as done, or all tasks of a gang when one of them is done. Returns true if something changed.
    bool finishTask(const Wire::TaskRef &ref);
    /// Counts a failed run, but each run only once. Fails the job when the attempts of the task are used up. Returns
    /// true if something changed.
    bool failTask(const Wire::TaskRef &ref, std::int64_t run, std::int64_t wallMs);
    /// Records the crash of a worker under a run of the task. Fails the job when the task is the cause of several
    /// crashes. Returns true if something changed.
    bool recordCrash(const Wire::TaskRef &ref, Wire::RunCrash crash, std::int64_t wallMs);
    /// The crashes under the task's runs, or under its gang's. Null if the job has no such task.
    [[nodiscard]] CrashHistory *crashHistory(const Wire::TaskRef &ref);
    /// Stores the checkpoint that the task can resume from; returns true if it is new. It is recorded only with the
    /// next version.
    bool updateCheckpoint(const Wire::TaskRef &ref, const std::string &checkpoint);
    /// Increases the version, so that the checkpoints received since the last version are recorded.
    void requestCheckpointRecording();
    void cancel(std::int64_t wallMs);
    /// Drops what only the tasks of an active job need: their state and their specification. To be called once the job
    /// has ended and has no active runs.
    void releaseMemory();
    /// Cancels a job of which only the id is known.
    void cancelUnsubmitted(std::int64_t wallMs);
    /// True if the job was cancelled before any submission of it had arrived: there is no such job, and there must be
    /// none later.
    [[nodiscard]] bool isNeverSubmitted() const
    {
        return m_neverSubmitted;
    }

    /// To be called when a task of the step is done after this time without an interruption.
    void observeRunTime(std::size_t step, Duration time);
    /// The mean run time of the step's finished tasks; nothing if there is none.
    [[nodiscard]] std::optional<Duration> observedRunTime(std::size_t step) const;
    /// Replaces the declared run time of the step's tasks.
    void setExpectedRunTime(std::size_t step, Duration time);
    [[nodiscard]] Duration expectedRunTime(std::size_t step) const;
    /// What the unfinished tasks of an occurrence are expected to use, in core-seconds.
    [[nodiscard]] double remainingWork(const OccurrenceState &occurrence) const;
    /// Estimated duration of the longest dependency chain of an occurrence, without its finished steps.
    [[nodiscard]] Duration remainingCriticalPath(const OccurrenceState &occurrence) const;
    /// The same for an occurrence of which no step has finished.
    [[nodiscard]] Duration totalCriticalPath() const;

    /// Increases with each change that must be recorded; 0 for a job as it was accepted.
    [[nodiscard]] std::int64_t version() const
    {
        return m_version;
    }
    [[nodiscard]] Wire::JobProgress progress() const;
    /// Restores the progress that an earlier owner recorded.
    void restore(const Wire::JobProgress &progress);
    [[nodiscard]] std::int64_t endedAtMs() const
    {
        return m_endedAtMs;
    }

private:
    void openOccurrence(int number);
    void finishOccurrence(int number, OccurrenceState &occurrence);
    void end(JobPhase phase, std::int64_t wallMs);
    void bumpVersion();
    /// The task at which failures and crashes are counted: a gang has one for all its members.
    [[nodiscard]] TaskState *countingTask(const Wire::TaskRef &ref);
    /// Null stands for an occurrence of which no step has finished.
    [[nodiscard]] Duration criticalPath(const OccurrenceState *occurrence) const;

    [[nodiscard]] StepRunTime &runTime(std::size_t step);

    Wire::JobSpec m_spec;
    /// Empty while all run times are as declared.
    std::vector<StepRunTime> m_runTimes;
    TimePoint m_acceptedAt;
    JobPhase m_phase = JobPhase::Queued;
    bool m_hasStarted = false;
    bool m_neverSubmitted = false;
    std::map<int, OccurrenceState> m_occurrences;
    int m_openedOccurrences = 0;
    int m_finishedOccurrences = 0;
    std::int64_t m_version = 0;
    std::int64_t m_endedAtMs = 0;
};

} // namespace Trefoilhoist::Jobs
