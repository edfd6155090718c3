#pragma once

#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/world/clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// A run that a worker may be carrying out.
struct ActiveRun {
    std::int64_t run = 0;
    std::string worker;
};

/// One task of a step, and what is known of its runs.
struct TaskState {
    bool done = false;
    std::int64_t lastRun = 0;
    std::vector<ActiveRun> activeRuns;
    /// Numbers of the runs that ended failed.
    std::vector<std::int64_t> failures;
    /// Where it failed last, so that the next run goes elsewhere.
    std::string failedOn;
    std::string checkpoint;
    /// Not to be started before.
    TimePoint notBefore;
};

/// One step of one occurrence.
struct StepState {
    std::vector<TaskState> tasks;
    int unfinished = 0;
};

struct OccurrenceState {
    std::vector<StepState> steps;
    bool finished = false;
};

/// One job: what was asked, what is recorded, and what runs.
///
/// Tells nothing about workers and decides nothing about placement. `version()` rises with each change that must
/// be recorded; what was recorded is told by the owner of the job. Not thread-safe.
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
    /// True once a task has been started by any owner.
    [[nodiscard]] bool hasStarted() const
    {
        return m_hasStarted;
    }

    /// Opens every occurrence that is due.
    void openDueOccurrences(std::int64_t wallMs);
    /// Unix milliseconds of the next occurrence that is not open yet.
    [[nodiscard]] std::optional<std::int64_t> nextDueMs() const;

    [[nodiscard]] std::map<int, OccurrenceState> &occurrences()
    {
        return m_occurrences;
    }
    [[nodiscard]] const std::map<int, OccurrenceState> &occurrences() const
    {
        return m_occurrences;
    }
    /// Null for a task that the job does not have or that is not open.
    [[nodiscard]] TaskState *task(const Wire::TaskRef &ref);

    /// Every step that `step` comes after has finished.
    [[nodiscard]] bool stepReady(const OccurrenceState &occurrence, int step) const;

    void trackRun(const Wire::TaskRef &ref, std::int64_t run, const std::string &worker);
    /// Forgets an active run; true when it was one.
    bool dropRun(const Wire::TaskRef &ref, std::int64_t run);

    /// Takes a finished run; a gang's end stands for all its tasks. True when something changed.
    bool finishTask(const Wire::TaskRef &ref);
    /// Counts a failed run once; fails the job when its attempts are used up. True when something changed.
    bool failTask(const Wire::TaskRef &ref, std::int64_t run, std::int64_t wallMs);
    /// What the task can go on from; true when that is news. Recorded only with the next version.
    bool updateCheckpoint(const Wire::TaskRef &ref, const std::string &checkpoint);
    /// Makes a new version for the checkpoints noted since the last one.
    void requestCheckpointRecording();
    void cancel(std::int64_t wallMs);

    /// The estimated time from now to the end of the longest chain of unfinished steps of an occurrence.
    [[nodiscard]] Duration remainingCriticalPath(const OccurrenceState &occurrence) const;
    [[nodiscard]] Duration totalCriticalPath() const;

    /// Rises with each change that must be recorded; 0 for a job as it was accepted.
    [[nodiscard]] std::int64_t version() const
    {
        return m_version;
    }
    [[nodiscard]] Wire::JobProgress progress() const;
    /// Takes up what an earlier owner recorded.
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
    [[nodiscard]] Duration criticalPath(const OccurrenceState *occurrence) const;

    Wire::JobSpec m_spec;
    TimePoint m_acceptedAt;
    JobPhase m_phase = JobPhase::Queued;
    bool m_hasStarted = false;
    std::map<int, OccurrenceState> m_occurrences;
    int m_openedOccurrences = 0;
    int m_finishedOccurrences = 0;
    std::int64_t m_version = 0;
    std::int64_t m_endedAtMs = 0;
};

} // namespace Trefoilhoist::Jobs
