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

/// Where a task stands with its owner.
enum class TaskState {
    /// May run on a worker that this owner has not heard yet.
    Uncertain,
    Pending,
    /// Ordered, not yet seen to run.
    Starting,
    Running,
    /// A checkpoint is asked for, before the stop.
    Checkpointing,
    Stopping,
    /// Ended with a checkpoint that is being written to the store.
    RecordingCheckpoint,
    /// Finished; the completion is being written to the store.
    RecordingDone,
};

[[nodiscard]] std::string_view taskStateName(TaskState state);

/// A task with its place, as its owner knows it.
struct TaskEntry {
    Task task;
    TaskState state = TaskState::Pending;
    /// The highest run known; the next is above it.
    RunNumber run = 0;
    /// Where that run is, or was until its end is durable.
    WorkerId worker;
    std::string checkpoint;
    std::int64_t checkpoints = 0;
    /// True once the worker has reported this run.
    bool reportedByWorker = false;
    Resources reserved;
    double throttle = 1.0;
    TimePoint pendingSince{};
    TimePoint startedAt{};
    /// When a checkpoint was asked for.
    TimePoint checkpointRequestedAt{};
    int failures = 0;
    std::vector<WorkerId> failedOn;
    std::string unplaceable;
    std::uint64_t sequence = 0;
    bool urgent = false;
    /// True while an earlier owner's run may be on a worker that was not heard yet.
    bool uncertain = false;
};

/// What became of a job.
enum class JobState { Open, Finished, Cancelled, Failed };

[[nodiscard]] std::string_view jobStateName(JobState state);

struct JobEntry {
    StoredJob stored;
    JobState state = JobState::Open;
    /// Tasks that are not done.
    std::size_t openTasks = 0;
    bool cancelled = false;
    std::string failure;
    TimePoint endedAt{};
    bool removing = false;
};

/// The jobs and tasks of a cell, with the queue of pending tasks. Not thread-safe.
class TaskTable
{
public:
    /// Adds a job; its tasks are Pending, or Uncertain. False when the job is known.
    bool addJob(TimePoint now, const StoredJob &stored, bool uncertain, const JobRecord *record);
    /// Sets each open job's labels and selectors to what `configured` gives for the job as submitted.
    void reconfigure(const std::function<Job(const Job &)> &configured);
    void reconfigure(const JobId &job, const std::function<Job(const Job &)> &configured);
    /// Drops an ended job.
    void eraseJob(const JobId &job);
    /// Drops the tasks of an ended job.
    void eraseTasks(const JobId &job);
    /// Drops a task that is done; true when it was the last open one of its job.
    bool eraseTask(const TaskId &task);

    [[nodiscard]] TaskEntry *find(const TaskId &task);
    [[nodiscard]] const TaskEntry *find(const TaskId &task) const;
    [[nodiscard]] JobEntry *findJob(const JobId &job);
    [[nodiscard]] const JobEntry *findJob(const JobId &job) const;
    [[nodiscard]] const std::map<JobId, JobEntry> &jobs() const;
    /// Jobs with open tasks, as a policy reads them.
    [[nodiscard]] const std::map<JobId, Job> &openJobs() const;
    [[nodiscard]] const std::unordered_map<TaskId, TaskEntry> &tasks() const;

    /// Moves the task to `state`; keeps the pending queue in step.
    void move(TimePoint now, TaskEntry &entry, TaskState state);

    /// At most `limit` pending tasks: urgent ones first, then half from the oldest and half going round, so that
    /// tasks that fit nowhere block nobody.
    [[nodiscard]] std::vector<PendingTask> selectPending(std::size_t limit);
    [[nodiscard]] std::size_t pendingCount() const;
    [[nodiscard]] std::vector<TaskId> uncertain() const;

private:
    using Queue = std::map<std::uint64_t, TaskId>;

    Queue &queueOf(const TaskEntry &entry);

    std::unordered_map<TaskId, TaskEntry> m_tasks;
    std::map<JobId, JobEntry> m_jobs;
    std::map<JobId, Job> m_openJobs;
    Queue m_urgent;
    Queue m_normal;
    std::uint64_t m_cursor = 0;
    std::uint64_t m_nextSequence = 1;
};

} // namespace Trefoilhoist
