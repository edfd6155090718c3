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

/// What a new owner reads from the store after it has taken the lease, and not before.
struct CellContents {
    std::map<int, JobSegment> jobs;
    std::map<int, std::uint64_t> jobIndexes;
    std::map<int, RecordSegment> records;
    std::set<WorkerId> roster;
};

/// The end of this run stands in the store.
struct RecordWritten {
    JobId job;
    TaskId task;
    RunNumber run = 0;
};

/// An earlier owner's write arrived late and says that the task is done.
struct LateCompletionFound {
    JobId job;
    TaskId task;
};

/// An earlier owner's write arrived late with a checkpoint of a later run than was known.
struct LateCheckpointFound {
    JobId job;
    TaskId task;
    CheckpointRecord record;
};

/// The job's keys are gone; what was read of them up to this modify index is out of date.
struct JobRemoved {
    JobId job;
    int segment = 0;
    std::uint64_t modifyIndex = 0;
};

/// A newer owner has written.
struct NewerOwnerDetected {
};

using CellStoreEvent = std::variant<RecordWritten, LateCompletionFound, LateCheckpointFound, JobRemoved, NewerOwnerDetected>;

/// The owner's writes to its cell's keys: records, the roster, removal of ended jobs. Gathers changes so that a
/// write carries many, and settles lost answers by reading back. No input or output. Not thread-safe.
class CellStore
{
public:
    struct Settings {
        std::string cell;
        std::int64_t epoch = 0;
        /// Writes this owner's epoch into the records at first; off only in tests.
        bool fence = true;
        /// Between two edits of the cell.
        Duration editInterval = milliseconds(20);
    };

    CellStore(Settings settings, CellContents contents);

    void recordDone(const StoredJob &job, const TaskId &task, RunNumber run);
    void recordCheckpoint(const StoredJob &job, const TaskId &task, RunNumber run, const std::string &checkpoint);
    void recordFailure(const StoredJob &job, const std::string &reason);
    /// Removes the job's keys; its records only after the job itself, so that it can't look unfinished.
    void removeJob(const StoredJob &job);
    void addToRoster(const WorkerId &worker);
    void removeFromRoster(const WorkerId &worker);

    /// True once each record value that had jobs carries this owner's epoch: from there no late write of an
    /// earlier owner can land, and all that landed before has been taken in.
    [[nodiscard]] bool isFenced() const;
    [[nodiscard]] bool inRoster(const WorkerId &worker) const;
    [[nodiscard]] const std::set<WorkerId> &roster() const;
    /// What is recorded of the job as it stands in the store or will; nothing when that is nothing.
    [[nodiscard]] const JobRecord *record(const StoredJob &job) const;

    std::vector<StoreCommand> poll(TimePoint now);
    std::vector<StoreCommand> reply(TimePoint now, const StoreReply &reply);
    [[nodiscard]] std::vector<CellStoreEvent> takeEvents();
    /// True while a record waits to be written.
    [[nodiscard]] bool hasPendingRecords() const;

private:
    struct Records {
        CasEditor editor;
        RecordSegment content;
        std::set<std::pair<JobId, RunRef>> pending;
        std::set<std::pair<JobId, RunRef>> sent;
    };
    struct Removals {
        CasEditor editor;
        /// Ended jobs by nonce.
        std::map<JobId, std::string> pending;
        std::map<JobId, std::string> sent;
        std::uint64_t readIndex = 0;
    };

    JobRecord &mutableRecord(const StoredJob &job);
    std::string nextWriteId();
    std::vector<StoreCommand> read(TimePoint now, const ValueRead &value);
    void written(TimePoint now, const ValueWritten &value);
    std::optional<std::string> editRecords(Records &records, const ValueRead &value);
    std::optional<std::string> editJobs(Removals &removals, const ValueRead &value);
    std::optional<std::string> editRoster(const ValueRead &value);
    void mergeRecords(Records &records, const RecordSegment &stored);
    void mergeJobRecord(const JobId &id, JobRecord &ours, const JobRecord &theirs);
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
    std::set<WorkerId> m_rosterSent;
    std::vector<CellStoreEvent> m_events;
    std::set<int> m_unfencedSegments;
    /// Nonces of the jobs that earlier owners knew.
    std::map<JobId, std::string> m_inheritedJobs;
    std::int64_t m_writeCount = 0;
    std::size_t m_pollCursor = 0;
    TimePoint m_nextEdit{};
};

} // namespace Trefoilhoist
