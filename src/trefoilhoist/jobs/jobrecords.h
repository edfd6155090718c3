#pragma once

#include "trefoilhoist/jobs/job.h"
#include "trefoilhoist/jobs/recordqueue.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// Reads the record of a job's submission; nothing if it can't be read, is of another job, or out of range.
[[nodiscard]] std::optional<Wire::JobSpec> readSpec(const StoredRecord &record, const std::string &job);
/// Reads the record of a job's progress; nothing if it can't be read or is out of range.
[[nodiscard]] std::optional<Wire::JobProgress> readProgress(const StoredRecord &record);

/// The records that a commit has shown to be stored.
struct CommittedRecords {
    /// Jobs whose submission is recorded.
    std::vector<std::string> accepted;
    /// Recorded version of the progress, by job.
    std::map<std::string, std::int64_t> progress;
    /// True if the latest roster is recorded.
    bool roster = false;
};

/// Writes the records of jobs and workers in a safe order. A submission is removed only after the end of its job is
/// recorded. The record of the end is removed only after the submission is removed. Not thread-safe.
class JobRecords
{
public:
    /// All writes are conditional on this revision of the epoch record.
    explicit JobRecords(std::int64_t epochRevision);

    /// Adds a record that an earlier owner left.
    void trackExisting(const std::string &key, std::int64_t revision);
    /// Adds a final job that an earlier owner left; its submission is removed if it still exists.
    void trackExistingFinalJob(const std::string &job);

    void submit(const Wire::JobSpec &spec);
    /// Withdraws a submission. Returns false if it is stored already or a write in flight may still store it.
    bool withdraw(const std::string &job);
    /// True if the job's submission is not stored, and no write in flight can still store it.
    [[nodiscard]] bool isKnownUnsubmitted(const std::string &job) const;
    void putProgress(const Job &job);
    void putRoster(const Wire::WorkerRoster &roster);
    /// Removes the last record of a final job; returns false until the store has confirmed that its submission does not
    /// exist. A first write of the submission that got no answer may have been executed after the removal.
    bool removeRecords(const std::string &job);

    std::optional<RecordBatch> take()
    {
        return m_queue.take();
    }
    CommittedRecords applyOutcome(const RecordBatch &batch, const CommitOutcome &outcome);
    void applyFailure(const RecordBatch &batch, StoreFailure failure)
    {
        m_queue.applyFailure(batch, failure);
    }
    [[nodiscard]] bool ownershipLost() const
    {
        return m_queue.ownershipLost();
    }

private:
    RecordQueue m_queue;
    std::int64_t m_rosterVersion = 0;
    /// Final jobs whose last progress is not recorded yet, with its version.
    std::map<std::string, std::int64_t> m_pendingFinalProgress;
    /// Final jobs whose records are to be removed; true once the store has confirmed that the submission does not
    /// exist.
    std::map<std::string, bool> m_submissionAbsent;
};

} // namespace Trefoilhoist::Jobs
