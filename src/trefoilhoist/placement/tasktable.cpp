#include "trefoilhoist/placement/tasktable.h"

#include <algorithm>
#include <array>

namespace Trefoilhoist {

namespace {

constexpr std::array<std::string_view, 8> taskStateNames{"uncertain",
                                                         "pending",
                                                         "starting",
                                                         "running",
                                                         "checkpointing",
                                                         "stopping",
                                                         "recording-checkpoint",
                                                         "recording-done"};
constexpr std::array<std::string_view, 4> jobStateNames{"open", "finished", "cancelled", "failed"};

PendingTask pendingOf(const TaskEntry &entry)
{
    return {entry.task, entry.pendingSince, entry.failures, entry.failedOn};
}

} // namespace

std::string_view taskStateName(TaskState state)
{
    return taskStateNames.at(static_cast<std::size_t>(state));
}

std::string_view jobStateName(JobState state)
{
    return jobStateNames.at(static_cast<std::size_t>(state));
}

bool TaskTable::addJob(TimePoint now, const StoredJob &stored, bool uncertain, const JobRecord *record)
{
    const auto [it, added] = m_jobs.emplace(stored.job.id, JobEntry{stored, JobState::Open, 0, false, {}, {}, false});
    if (!added) {
        return false;
    }
    auto &job = it->second;
    m_openJobs.emplace(stored.job.id, stored.job);
    for (const auto &task : stored.job.tasks) {
        if (record != nullptr && record->done.contains(task.id)) {
            continue;
        }
        TaskEntry entry;
        entry.task = task;
        entry.urgent = stored.job.urgent;
        entry.sequence = m_nextSequence++;
        if (record != nullptr) {
            const auto saved = record->checkpoints.find(task.id);
            if (saved != record->checkpoints.end()) {
                entry.run = saved->second.run;
                entry.checkpoint = saved->second.checkpoint;
            }
        }
        entry.state = TaskState::Uncertain;
        entry.uncertain = uncertain;
        auto &inserted = m_tasks.emplace(task.id, std::move(entry)).first->second;
        inserted.pendingSince = now;
        if (!uncertain) {
            move(now, inserted, TaskState::Pending);
        }
        ++job.openTasks;
    }
    // m_openJobs holds the tasks; a second copy is not needed.
    job.stored.job.tasks.clear();
    return true;
}

void TaskTable::reconfigure(const std::function<Job(const Job &)> &configure)
{
    for (const auto &[id, open] : m_openJobs) {
        reconfigure(id, configure);
    }
}

void TaskTable::reconfigure(const JobId &id, const std::function<Job(const Job &)> &configure)
{
    const auto open = m_openJobs.find(id);
    if (open == m_openJobs.end()) {
        return;
    }
    auto job = configure(m_jobs.at(id).stored.job);
    job.tasks = std::move(open->second.tasks);
    open->second = std::move(job);
}

void TaskTable::eraseTasks(const JobId &job)
{
    const auto open = m_openJobs.find(job);
    if (open == m_openJobs.end()) {
        return;
    }
    for (const auto &task : open->second.tasks) {
        const auto it = m_tasks.find(task.id);
        if (it != m_tasks.end()) {
            queueOf(it->second).erase(it->second.sequence);
            m_tasks.erase(it);
        }
    }
    m_openJobs.erase(open);
}

bool TaskTable::eraseTask(const TaskId &task)
{
    const auto it = m_tasks.find(task);
    if (it == m_tasks.end()) {
        return false;
    }
    auto *job = findJob(it->second.task.job);
    queueOf(it->second).erase(it->second.sequence);
    m_tasks.erase(it);
    return job != nullptr && --job->openTasks == 0;
}

void TaskTable::eraseJob(const JobId &job)
{
    eraseTasks(job);
    m_jobs.erase(job);
}

TaskEntry *TaskTable::find(const TaskId &task)
{
    const auto it = m_tasks.find(task);
    return it != m_tasks.end() ? &it->second : nullptr;
}

const TaskEntry *TaskTable::find(const TaskId &task) const
{
    const auto it = m_tasks.find(task);
    return it != m_tasks.end() ? &it->second : nullptr;
}

JobEntry *TaskTable::findJob(const JobId &job)
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() ? &it->second : nullptr;
}

const JobEntry *TaskTable::findJob(const JobId &job) const
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() ? &it->second : nullptr;
}

const std::map<JobId, JobEntry> &TaskTable::jobs() const
{
    return m_jobs;
}

const std::map<JobId, Job> &TaskTable::openJobs() const
{
    return m_openJobs;
}

const std::unordered_map<TaskId, TaskEntry> &TaskTable::tasks() const
{
    return m_tasks;
}

TaskTable::Queue &TaskTable::queueOf(const TaskEntry &entry)
{
    return entry.urgent ? m_urgent : m_normal;
}

void TaskTable::move(TimePoint now, TaskEntry &entry, TaskState state)
{
    if (entry.state == TaskState::Pending) {
        queueOf(entry).erase(entry.sequence);
    }
    entry.state = state;
    if (state == TaskState::Pending) {
        entry.pendingSince = now;
        queueOf(entry).emplace(entry.sequence, entry.task.id);
    }
}

std::vector<PendingTask> TaskTable::selectPending(std::size_t limit)
{
    std::vector<PendingTask> pending;
    const auto appendUpTo = [&](const Queue &queue, Queue::const_iterator from, std::size_t upTo) {
        for (auto it = from; it != queue.end() && pending.size() < upTo; ++it) {
            pending.push_back(pendingOf(m_tasks.at(it->second)));
        }
    };
    appendUpTo(m_urgent, m_urgent.begin(), limit / 2);
    const std::size_t remaining = limit - pending.size();
    const std::size_t urgent = pending.size();
    appendUpTo(m_normal, m_normal.begin(), urgent + remaining / 2);
    if (m_normal.size() <= remaining / 2) {
        return pending;
    }
    auto it = m_normal.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(remaining / 2));
    const auto first = it->first;
    it = m_normal.lower_bound(std::max(first, m_cursor));
    if (it == m_normal.end()) {
        it = m_normal.lower_bound(first);
    }
    for (; it != m_normal.end() && pending.size() < limit; ++it) {
        pending.push_back(pendingOf(m_tasks.at(it->second)));
        m_cursor = it->first + 1;
    }
    return pending;
}

std::size_t TaskTable::pendingCount() const
{
    return m_urgent.size() + m_normal.size();
}

std::vector<TaskId> TaskTable::uncertain() const
{
    std::vector<TaskId> tasks;
    for (const auto &[id, entry] : m_tasks) {
        if (entry.state == TaskState::Uncertain) {
            tasks.push_back(id);
        }
    }
    std::sort(tasks.begin(), tasks.end());
    return tasks;
}

} // namespace Trefoilhoist
