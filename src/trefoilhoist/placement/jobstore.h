#pragma once

#include "trefoilhoist/placement/syncmessage.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Trefoilhoist {

/// Number of store values over which a cell's jobs, and likewise its records, are distributed.
inline constexpr int jobSegmentCount = 16;

[[nodiscard]] int jobSegmentOf(const JobId &job);
[[nodiscard]] std::string jobSegmentKey(const std::string &cell, int segment);
[[nodiscard]] std::string recordSegmentKey(const std::string &cell, int segment);
/// Returns the segment number at the end of a key, or nothing.
[[nodiscard]] std::optional<int> segmentOfKey(const std::string &key);

/// A job as an entry has stored it.
struct StoredJob {
    Job job;
    /// Created with the job; distinguishes it from a later job with the same id.
    std::string nonce;
    bool cancelled = false;
};

/// One value under cells/<cell>/jobs/.
using JobSegment = std::map<JobId, StoredJob>;

/// Checkpoint of a stopped run from which the next run of the task resumes.
struct CheckpointRecord {
    RunNumber run = 0;
    std::string checkpoint;

    bool operator==(const CheckpointRecord &) const = default;
};

/// Progress of a job as recorded by its owner.
struct JobRecord {
    /// Nonce of the job that the record belongs to.
    std::string nonce;
    /// Why the job failed, or empty.
    std::string failure;
    /// Finished tasks, each with the run that finished it.
    std::map<TaskId, RunNumber> done;
    std::map<TaskId, CheckpointRecord> checkpoints;

    bool operator==(const JobRecord &) const = default;
};

/// One value under cells/<cell>/records/.
struct RecordSegment {
    /// Epoch of the owner that wrote the value.
    std::int64_t epoch = 0;
    std::map<JobId, JobRecord> jobs;

    bool operator==(const RecordSegment &) const = default;
};

/// Parses the body of `POST /-/jobs`. Task ids become `<job>/<task>`, which is unique in the cell.
[[nodiscard]] tl::expected<Job, std::string> jobFromRequest(const std::string &text);
[[nodiscard]] std::string jobToJson(const StoredJob &job);
/// True if both describe the same work. Used to recognize a repeated submission.
[[nodiscard]] bool isSameJob(const Job &left, const Job &right);

[[nodiscard]] std::string jobSegmentToJson(const JobSegment &segment, const std::string &writeId);
[[nodiscard]] tl::expected<JobSegment, std::string> jobSegmentFromJson(const std::string &text);
[[nodiscard]] std::string recordSegmentToJson(const RecordSegment &segment, const std::string &writeId);
[[nodiscard]] tl::expected<RecordSegment, std::string> recordSegmentFromJson(const std::string &text);
[[nodiscard]] std::string rosterToJson(const std::set<WorkerId> &roster, const std::string &writeId);
[[nodiscard]] tl::expected<std::set<WorkerId>, std::string> rosterFromJson(const std::string &text);

} // namespace Trefoilhoist
