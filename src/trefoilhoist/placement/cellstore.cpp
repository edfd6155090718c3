#include "trefoilhoist/placement/cellstore.h"

#include "trefoilhoist/internal/invariant.h"
#include "trefoilhoist/store/keys.h"

#include <glog/logging.h>

#include <algorithm>

namespace Trefoilhoist {

CellStore::CellStore(Settings settings, CellContents contents)
    : m_settings(std::move(settings))
    , m_rosterEditor(StoreKeys::cellRoster(m_settings.cell))
    , m_roster(std::move(contents.roster))
    , m_rosterSent(m_roster)
{
    for (int i = 0; i < jobSegmentCount; ++i) {
        m_records.push_back({CasEditor(recordSegmentKey(m_settings.cell, i)), std::move(contents.records[i]), {}, {}});
        m_records.back().content.epoch = m_settings.epoch;
        m_removals.push_back({CasEditor(jobSegmentKey(m_settings.cell, i)), {}, {}, 0});
        // An owner that stopped between removing a job and removing its records leaves such records behind.
        const auto &jobs = contents.jobs[i];
        for (const auto &[id, stored] : jobs) {
            m_inheritedJobs[id] = stored.nonce;
        }
        const auto stale = std::erase_if(m_records.back().content.jobs, [&jobs](const auto &it) {
            const auto job = jobs.find(it.first);
            return job == jobs.end() || job->second.nonce != it.second.nonce;
        });
        if (m_settings.fence && !jobs.empty()) {
            m_unfencedSegments.insert(i);
        }
        if (stale > 0 || m_unfencedSegments.contains(i)) {
            m_records.back().editor.request();
        }
    }
}

JobRecord &CellStore::mutableRecord(const StoredJob &job)
{
    auto &records = m_records[static_cast<std::size_t>(jobSegmentOf(job.job.id))];
    records.editor.request();
    auto &record = records.content.jobs[job.job.id];
    if (record.nonce != job.nonce) {
        record = JobRecord{job.nonce, {}, {}, {}};
    }
    return record;
}

void CellStore::recordDone(const StoredJob &job, const TaskId &task, RunNumber run)
{
    auto &record = mutableRecord(job);
    const auto done = record.done.emplace(task, run).first;
    TREFOILHOIST_INVARIANT(done->second == run, "P3 a completion is recorded once");
    record.checkpoints.erase(task);
    m_records[static_cast<std::size_t>(jobSegmentOf(job.job.id))].pending.insert({job.job.id, {task, run}});
}

void CellStore::recordCheckpoint(const StoredJob &job, const TaskId &task, RunNumber run, const std::string &checkpoint)
{
    auto &it = mutableRecord(job).checkpoints[task];
    TREFOILHOIST_INVARIANT(it.run <= run, "P3 a recorded checkpoint is never replaced by an older run's");
    it = {run, checkpoint};
    m_records[static_cast<std::size_t>(jobSegmentOf(job.job.id))].pending.insert({job.job.id, {task, run}});
}

void CellStore::recordFailure(const StoredJob &job, const std::string &reason)
{
    mutableRecord(job).failure = reason;
}

void CellStore::removeJob(const StoredJob &job)
{
    auto &removals = m_removals[static_cast<std::size_t>(jobSegmentOf(job.job.id))];
    removals.pending[job.job.id] = job.nonce;
    removals.editor.request();
}

void CellStore::addToRoster(const WorkerId &worker)
{
    m_rosterRemovals.erase(worker);
    if (!m_roster.contains(worker) && m_rosterAdditions.insert(worker).second) {
        m_rosterEditor.request();
    }
}

void CellStore::removeFromRoster(const WorkerId &worker)
{
    m_rosterAdditions.erase(worker);
    if (m_roster.contains(worker) && m_rosterRemovals.insert(worker).second) {
        m_rosterEditor.request();
    }
}

bool CellStore::isFenced() const
{
    return m_unfencedSegments.empty();
}

bool CellStore::inRoster(const WorkerId &worker) const
{
    return m_roster.contains(worker) && !m_rosterRemovals.contains(worker);
}

const std::set<WorkerId> &CellStore::roster() const
{
    return m_roster;
}

const JobRecord *CellStore::record(const StoredJob &job) const
{
    const auto &jobs = m_records[static_cast<std::size_t>(jobSegmentOf(job.job.id))].content.jobs;
    const auto it = jobs.find(job.job.id);
    return it != jobs.end() && it->second.nonce == job.nonce ? &it->second : nullptr;
}

std::vector<StoreCommand> CellStore::poll(TimePoint now)
{
    std::vector<StoreCommand> commands;
    if (auto command = m_rosterEditor.poll(now)) {
        commands.push_back(std::move(*command));
    }
    // Starts one edit per interval, round robin, so that each write batches the changes that arrived in between.
    const std::size_t count = m_records.size() * 2;
    for (std::size_t i = 0; i < count && (now >= m_nextEdit || !isFenced()); ++i) {
        const auto index = (m_pollCursor + i) % count;
        auto &editor = index < m_records.size() ? m_records[index].editor : m_removals[index - m_records.size()].editor;
        if (auto command = editor.poll(now)) {
            commands.push_back(std::move(*command));
            m_pollCursor = index + 1;
            m_nextEdit = now + m_settings.editInterval;
        }
    }
    return commands;
}

std::vector<StoreCommand> CellStore::reply(TimePoint now, const StoreReply &reply)
{
    if (const auto *value = std::get_if<ValueRead>(&reply)) {
        return applyRead(now, *value);
    }
    applyWritten(now, std::get<ValueWritten>(reply));
    return {};
}

std::vector<StoreCommand> CellStore::applyRead(TimePoint now, const ValueRead &value)
{
    std::vector<StoreCommand> commands;
    bool resolved = false;
    const auto applyEdit = [&](CasEditor &editor, const CasEditor::Edit &edit) {
        if (auto command = editor.applyRead(now, value, edit, resolved)) {
            commands.push_back(std::move(*command));
        }
    };
    if (value.key == m_rosterEditor.key()) {
        applyEdit(m_rosterEditor, [this](const ValueRead &it) { return editRoster(it); });
        if (resolved) {
            finishRosterEdit();
        }
        return commands;
    }
    const auto segment = segmentOfKey(value.key);
    if (!segment) {
        return commands;
    }
    auto &records = m_records[static_cast<std::size_t>(*segment)];
    auto &removals = m_removals[static_cast<std::size_t>(*segment)];
    if (value.key == records.editor.key()) {
        applyEdit(records.editor, [&](const ValueRead &it) { return editRecords(records, it); });
        if (resolved) {
            finishRecordsEdit(*segment);
        }
    } else if (value.key == removals.editor.key()) {
        applyEdit(removals.editor, [&](const ValueRead &it) { return editJobs(removals, it); });
        if (resolved) {
            finishRemovalsEdit(*segment);
        }
    }
    return commands;
}

void CellStore::applyWritten(TimePoint now, const ValueWritten &value)
{
    if (value.key == m_rosterEditor.key()) {
        if (m_rosterEditor.applyWritten(now, value.outcome)) {
            finishRosterEdit();
        }
        return;
    }
    const auto segment = segmentOfKey(value.key);
    if (!segment) {
        return;
    }
    auto &records = m_records[static_cast<std::size_t>(*segment)];
    auto &removals = m_removals[static_cast<std::size_t>(*segment)];
    if (value.key == records.editor.key() && records.editor.applyWritten(now, value.outcome)) {
        finishRecordsEdit(*segment);
    } else if (value.key == removals.editor.key() && removals.editor.applyWritten(now, value.outcome)) {
        finishRemovalsEdit(*segment);
    }
}

std::optional<std::string> CellStore::editRecords(Records &records, const ValueRead &value)
{
    const auto stored = recordSegmentFromJson(value.value);
    if (!stored) {
        LOG(ERROR) << "event=store_value_unreadable key=" << value.key << " reason=\"" << stored.error() << '"';
        return std::nullopt;
    }
    if (stored->epoch > m_settings.epoch) {
        m_events.emplace_back(NewerOwnerDetected{});
        records.sent.clear();
        return std::nullopt;
    }
    mergeRecords(records, *stored);
    records.sent = records.pending;
    if (*stored == records.content) {
        return std::nullopt;
    }
    return recordSegmentToJson(records.content, nextWriteId());
}

void CellStore::mergeRecords(Records &records, const RecordSegment &stored)
{
    for (const auto &[id, earlier] : stored.jobs) {
        const auto inherited = m_inheritedJobs.find(id);
        if (stored.epoch < m_settings.epoch && inherited != m_inheritedJobs.end()
            && inherited->second == earlier.nonce) {
            auto &current = records.content.jobs[id];
            current.nonce = earlier.nonce;
            mergeJobRecord(id, current, earlier);
        }
    }
}

void CellStore::mergeJobRecord(const JobId &id, JobRecord &current, const JobRecord &earlier)
{
    for (const auto &[task, run] : earlier.done) {
        if (current.done.emplace(task, run).second) {
            current.checkpoints.erase(task);
            m_events.emplace_back(LateCompletionFound{id, task});
        }
    }
    for (const auto &[task, record] : earlier.checkpoints) {
        const auto known = current.checkpoints.find(task);
        const bool isLater = known == current.checkpoints.end() || known->second.run < record.run;
        if (isLater && !current.done.contains(task)) {
            current.checkpoints[task] = record;
            m_events.emplace_back(LateCheckpointFound{id, task, record});
        }
    }
}

std::optional<std::string> CellStore::editJobs(Removals &removals, const ValueRead &value)
{
    removals.readIndex = value.modifyIndex;
    auto stored = jobSegmentFromJson(value.value);
    if (!stored) {
        LOG(ERROR) << "event=store_value_unreadable key=" << value.key << " reason=\"" << stored.error() << '"';
        return std::nullopt;
    }
    removals.sent = removals.pending;
    const auto erased = std::erase_if(*stored, [&](const auto &it) {
        const auto removal = removals.sent.find(it.first);
        return removal != removals.sent.end() && removal->second == it.second.nonce;
    });
    return erased > 0 ? std::optional(jobSegmentToJson(*stored, nextWriteId())) : std::nullopt;
}

std::optional<std::string> CellStore::editRoster(const ValueRead &value)
{
    const auto stored = rosterFromJson(value.value);
    if (!stored) {
        LOG(ERROR) << "event=store_value_unreadable key=" << value.key << " reason=\"" << stored.error() << '"';
        return std::nullopt;
    }
    auto editedRoster = *stored;
    editedRoster.insert(m_rosterAdditions.begin(), m_rosterAdditions.end());
    for (const auto &it : m_rosterRemovals) {
        editedRoster.erase(it);
        // The write may take effect from here on, so the worker is no longer known to be in the roster.
        m_roster.erase(it);
    }
    m_rosterSent = editedRoster;
    if (*stored == editedRoster) {
        return std::nullopt;
    }
    return rosterToJson(editedRoster, nextWriteId());
}

void CellStore::finishRecordsEdit(int segment)
{
    auto &records = m_records[static_cast<std::size_t>(segment)];
    m_unfencedSegments.erase(segment);
    for (const auto &[job, ref] : records.sent) {
        if (records.pending.erase({job, ref}) > 0) {
            m_events.emplace_back(RunEndRecorded{job, ref.task, ref.run});
        }
    }
    records.sent.clear();
}

void CellStore::finishRemovalsEdit(int segment)
{
    auto &removals = m_removals[static_cast<std::size_t>(segment)];
    auto &records = m_records[static_cast<std::size_t>(segment)];
    for (const auto &[job, nonce] : removals.sent) {
        const auto record = records.content.jobs.find(job);
        if (record != records.content.jobs.end() && record->second.nonce == nonce) {
            records.content.jobs.erase(record);
            records.editor.request();
        }
        m_inheritedJobs.erase(job);
        removals.pending.erase(job);
        m_events.emplace_back(JobRemoved{job, segment, removals.readIndex});
    }
    removals.sent.clear();
}

void CellStore::finishRosterEdit()
{
    m_roster = m_rosterSent;
    std::erase_if(m_rosterAdditions, [this](const auto &it) { return m_roster.contains(it); });
    std::erase_if(m_rosterRemovals, [this](const auto &it) { return !m_roster.contains(it); });
}

std::vector<CellStoreEvent> CellStore::takeEvents()
{
    return std::exchange(m_events, {});
}

bool CellStore::hasPendingRecords() const
{
    return std::any_of(m_records.begin(), m_records.end(), [](const auto &it) { return !it.pending.empty(); });
}

std::string CellStore::nextWriteId()
{
    return std::to_string(m_settings.epoch) + "-" + std::to_string(++m_writeCount);
}

} // namespace Trefoilhoist
