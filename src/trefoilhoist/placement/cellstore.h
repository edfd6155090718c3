#pragma once

#include "trefoilhoist/placement/caseditor.h"
#include "trefoilhoist/placement/jobstore.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// Contents of a cell's keys. A new owner must read them after it has acquired the store lease, never before.
struct CellContents {
    std::map<int, JobSegment> jobs;
    std::map<int, std::uint64_t> jobIndexes;
    std::map<int, RecordSegment> records;
    std::set<WorkerId> roster;
};

/// The end of this run is recorded in the store.
struct RunEndRecorded {
    JobId job;
    TaskId task;
    RunNumber run = 0;
};

/// A late write of an earlier owner recorded that the task is done.
struct LateCompletionFound {
    JobId job;
    TaskId task;
};

/// A late write of an earlier owner recorded a checkpoint of a later run than the known one.
struct LateCheckpointFound {
    JobId job;
    TaskId task;
    CheckpointRecord record;
};

/// The job was removed from its segment. Values of the segment read up to this modify index are out of date.
struct JobRemoved {
    JobId job;
    int segment = 0;
    std::uint64_t modifyIndex = 0;
};

/// A newer owner has written records, so this one has lost ownership.
struct NewerOwnerDetected {
};

using CellStoreEvent
    = std::variant<RunEndRecorded, LateCompletionFound, LateCheckpointFound, JobRemoved, NewerOwnerDetected>;

/// Writes the keys of a cell for its owner: records, the roster and the removal of ended jobs. Batches changes into few
/// writes and resolves lost answers by reading the value again. Does no I/O itself. Not thread-safe.
class CellStore
{
public:
    struct Settings {
        std::string cell;
        std::int64_t epoch = 0;
        /// Writes this owner's epoch into the existing records first. Only tests switch it off.
        bool fence = true;
        /// Minimum time between two edits of the cell's keys.
        Duration editInterval = milliseconds(20);
    };

    CellStore(Settings settings, CellContents contents);

    void recordDone(const StoredJob &job, const TaskId &task, RunNumber run);
    void recordCheckpoint(const StoredJob &job, const TaskId &task, RunNumber run, const std::string &checkpoint);
    void recordFailure(const StoredJob &job, const std::string &reason);
    /// Removes the job and after that its records. In the opposite order the job would look unfinished in between.
    void removeJob(const StoredJob &job);
    void addToRoster(const WorkerId &worker);
    void removeFromRoster(const WorkerId &worker);

    /// True once each record segment that had jobs when this owner took over carries this owner's epoch. From then on
    /// no late write of an earlier owner can succeed, and all writes that succeeded before have been merged.
    [[nodiscard]] bool isFenced() const;
    /// True if the worker is in the stored roster and its removal has not been requested.
    [[nodiscard]] bool inRoster(const WorkerId &worker) const;
    [[nodiscard]] const std::set<WorkerId> &roster() const;
    /// Returns the job's record including changes that are not written yet, or nullptr if there is none.
    [[nodiscard]] const JobRecord *record(const StoredJob &job) const;

    /// Returns the commands that start due edits.
    std::vector<StoreCommand> poll(TimePoint now);
    /// Applies the reply to a command and returns the commands that follow from it.
    std::vector<StoreCommand> reply(TimePoint now, const StoreReply &reply);
    [[nodiscard]] std::vector<CellStoreEvent> takeEvents();
    /// True while a record waits to be written.
    [[nodiscard]] bool hasPendingRecords() const;

private:
    struct Records {
        CasEditor editor;
        RecordSegment content;
        /// Run ends that are not in the store yet.
        std::set<std::pair<JobId, RunRef>> pending;
        /// Run ends in the current write.
        std::set<std::pair<JobId, RunRef>> sent;
    };
    struct Removals {
        CasEditor editor;
        /// Nonces of the ended jobs to remove.
        std::map<JobId, std::string> pending;
        std::map<JobId, std::string> sent;
        /// Modify index of the last read.
        std::uint64_t readIndex = 0;
    };

    JobRecord &mutableRecord(const StoredJob &job);
    std::string nextWriteId();
    std::vector<StoreCommand> applyRead(TimePoint now, const ValueRead &value);
    void applyWritten(TimePoint now, const ValueWritten &value);
    std::optional<std::string> editRecords(Records &records, const ValueRead &value);
    std::optional<std::string> editJobs(Removals &removals, const ValueRead &value);
    std::optional<std::string> editRoster(const ValueRead &value);
    void mergeRecords(Records &records, const RecordSegment &stored);
    void mergeJobRecord(const JobId &id, JobRecord &current, const JobRecord &earlier);
    void finishRecordsEdit(int segment);
    void finishRemovalsEdit(int segment);
    void finishRosterEdit();

    Settings m_settings;
    std::vector<Records> m_records;
    std::vector<Removals> m_removals;
    CasEditor m_rosterEditor;
    std::set<WorkerId> m_roster;
    std::set<WorkerId> m_rosterAdditions;
    std::set<WorkerId> m_rosterRemovals;
    /// The roster that the current edit writes. It is the one found in the store if the edit changes nothing.
    std::set<WorkerId> m_rosterSent;
    std::vector<CellStoreEvent> m_events;
    /// Record segments that don't carry this owner's epoch yet.
    std::set<int> m_unfencedSegments;
    /// Nonces of the jobs that were in the store when this owner took over.
    std::map<JobId, std::string> m_inheritedJobs;
    std::int64_t m_writeCount = 0;
    /// Index of the segment that the next poll() starts with.
    std::size_t m_pollCursor = 0;
    TimePoint m_nextEdit{};
};

} // namespace Trefoilhoist
