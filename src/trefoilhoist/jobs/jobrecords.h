#pragma once

#include "trefoilhoist/jobs/job.h"
#include "trefoilhoist/jobs/recordqueue.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// What a commit has settled.
struct CommittedRecords {
    /// Jobs whose submission is recorded.
    std::vector<std::string> accepted;
    /// Versions of progress that are recorded, by job.
    std::map<std::string, std::int64_t> progress;
    /// The roster as it was put last.
    bool roster = false;
};

/// The records of jobs and workers, and the order in which they may change: a submission goes only after the end
/// of its job is recorded, and that end only after the submission is gone. Not thread-safe.
class JobRecords
{
public:
    /// Everything is written on condition that the epoch's record is of this revision.
    explicit JobRecords(std::int64_t epochRevision);

    /// A record that an earlier owner left.
    void know(const std::string &key, std::int64_t revision);
    /// A final job that an earlier owner left; its submission goes if it is still there.
    void addExistingFinalJob(const std::string &job);

    void submit(const Wire::JobSpec &spec);
    /// Takes a submission back; false when it may be recorded, now or later.
    bool withdraw(const std::string &job);
    [[nodiscard]] bool isConfirmedUnsubmitted(const std::string &job) const;
    void putProgress(const Job &job);
    void putRoster(const Wire::WorkerRoster &roster);
    /// Removes what is left of a final job; false while its submission is still there.
    bool forget(const std::string &job);

    std::optional<RecordBatch> take()
    {
        return m_queue.take();
    }
    CommittedRecords finished(const RecordBatch &batch, const CommitOutcome &outcome);
    void failed(const RecordBatch &batch, StoreFailure failure)
    {
        m_queue.failed(batch, failure);
    }
    [[nodiscard]] bool lost() const
    {
        return m_queue.lost();
    }

private:
    RecordQueue m_queue;
    std::int64_t m_rosterVersion = 0;
    /// Final jobs whose last progress is on its way, with its version.
    std::map<std::string, std::int64_t> m_pendingFinalProgress;
};

} // namespace Trefoilhoist::Jobs
