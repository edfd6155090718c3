#pragma once

#include "trefoilhoist/placement/jobstore.h"
#include "trefoilhoist/placement/policytypes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist {

/// State of a task from its owner's point of view.
enum class TaskState {
    /// An earlier owner may have started it on a worker that has not yet reported to this owner.
    Uncertain,
    Pending,
    /// The start is ordered, but the worker has not reported the run yet.
    Starting,
    Running,
    /// A checkpoint is requested; the stop follows it.
    Checkpointing,
    Stopping,
    /// Stopped; its checkpoint is being written to the store.
    RecordingCheckpoint,
    /// Finished; its completion is being written to the store.
    RecordingDone,
};

[[nodiscard]] std::string_view taskStateName(TaskState state);

/// A task with its placement, as far as its owner knows it.
struct TaskEntry {
    Task task;
    TaskState state = TaskState::Pending;
    /// Highest known run number. The next run gets a higher one.
    RunNumber run = 0;
    /// Worker of that run. It stays set after the run has ended until the outcome is stored.
    WorkerId worker;
    std::string checkpoint;
    /// Number of checkpoints that the worker has reported for the run.
    std::int64_t checkpoints = 0;
    /// True once the worker has reported the current run.
    bool reportedByWorker = false;
    Resources reserved;
    /// Share of its CPU reservation that the task may use; 1 means not throttled.
    double throttle = 1.0;
    /// When the task was added or last became pending.
    TimePoint pendingSince{};
    TimePoint startedAt{};
    /// When the checkpoint before an eviction was requested.
    TimePoint checkpointRequestedAt{};
    int failures = 0;
    std::vector<WorkerId> failedOn;
    /// Why the policy can't place the task, or empty.
    std::string unplaceableReason;
    /// Position in the queue of pending tasks.
    std::uint64_t sequence = 0;
    bool urgent = false;
    /// True while a run of an earlier owner may exist on a worker that has not reported yet.
    bool uncertain = false;
};

/// State of a job in the table.
enum class JobState { Open, Finished, Cancelled, Failed };

[[nodiscard]] std::string_view jobStateName(JobState state);

struct JobEntry {
    StoredJob stored;
    JobState state = JobState::Open;
    /// Number of tasks that are not done.
    std::size_t openTasks = 0;
    bool cancelled = false;
    std::string failure;
    TimePoint endedAt{};
    /// True once the removal of the job's keys from the store has been requested.
    bool removing = false;
};

/// Holds the jobs and tasks of a cell and the queue of pending tasks. Not thread-safe.
class TaskTable
{
public:
    /// Adds a job with the tasks that `record` doesn't list as done. They become Uncertain if `uncertain` is true and
    /// Pending otherwise. Returns false if the job is already in the table.
    bool addJob(TimePoint now, const StoredJob &stored, bool uncertain, const JobRecord *record);
    /// Sets the labels and selectors of each open job to what `configure` returns for the job as submitted.
    void reconfigure(const std::function<Job(const Job &)> &configure);
    void reconfigure(const JobId &job, const std::function<Job(const Job &)> &configure);
    /// Removes an ended job.
    void eraseJob(const JobId &job);
    /// Removes the tasks of an ended job.
    void eraseTasks(const JobId &job);
    /// Removes a task that is done. Returns true if it was the last open task of its job.
    bool eraseTask(const TaskId &task);

    [[nodiscard]] TaskEntry *find(const TaskId &task);
    [[nodiscard]] const TaskEntry *find(const TaskId &task) const;
    [[nodiscard]] JobEntry *findJob(const JobId &job);
    [[nodiscard]] const JobEntry *findJob(const JobId &job) const;
    [[nodiscard]] const std::map<JobId, JobEntry> &jobs() const;
    /// Jobs with open tasks, in the form that a policy reads.
    [[nodiscard]] const std::map<JobId, Job> &openJobs() const;
    [[nodiscard]] const std::unordered_map<TaskId, TaskEntry> &tasks() const;

    /// Changes the state of the task and updates the queue of pending tasks.
    void move(TimePoint now, TaskEntry &entry, TaskState state);

    /// Returns at most `limit` pending tasks for the next decision: first urgent tasks, up to half of `limit`. Half of
    /// the rest are the oldest normal tasks, the other half rotates through the remaining ones. Tasks that fit on no
    /// worker therefore can't block the others.
    [[nodiscard]] std::vector<PendingTask> selectPending(std::size_t limit);
    [[nodiscard]] std::size_t pendingCount() const;
    /// Returns the tasks in state Uncertain, sorted by id.
    [[nodiscard]] std::vector<TaskId> uncertain() const;

private:
    using Queue = std::map<std::uint64_t, TaskId>;

    Queue &queueOf(const TaskEntry &entry);

    std::unordered_map<TaskId, TaskEntry> m_tasks;
    std::map<JobId, JobEntry> m_jobs;
    std::map<JobId, Job> m_openJobs;
    Queue m_urgent;
    Queue m_normal;
    /// Where the rotating half of the next selection starts.
    std::uint64_t m_cursor = 0;
    std::uint64_t m_nextSequence = 1;
};

} // namespace Trefoilhoist
