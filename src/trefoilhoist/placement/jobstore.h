#pragma once

#include "trefoilhoist/placement/syncmessage.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Trefoilhoist {

/// Values of the store that a cell's jobs, and records, are spread over.
inline constexpr int jobSegmentCount = 16;

[[nodiscard]] int jobSegmentOf(const JobId &job);
[[nodiscard]] std::string jobSegmentKey(const std::string &cell, int segment);
[[nodiscard]] std::string recordSegmentKey(const std::string &cell, int segment);
/// The segment that a key ends in, or nothing.
[[nodiscard]] std::optional<int> segmentOfKey(const std::string &key);

/// A job as an entry has kept it.
struct StoredJob {
    Job job;
    /// Made when the job is created; tells a job apart from a later one of the same id.
    std::string nonce;
    bool cancelled = false;
};

/// One value under cells/<cell>/jobs/.
using JobSegment = std::map<JobId, StoredJob>;

struct CheckpointRecord {
    RunNumber run = 0;
    std::string checkpoint;

    bool operator==(const CheckpointRecord &) const = default;
};

/// What the owner has recorded of a job.
struct JobRecord {
    std::string nonce;
    /// Why the job was given up, or empty.
    std::string failure;
    /// Finished tasks with the run that finished each.
    std::map<TaskId, RunNumber> done;
    std::map<TaskId, CheckpointRecord> checkpoints;

    bool operator==(const JobRecord &) const = default;
};

/// One value under cells/<cell>/records/.
struct RecordSegment {
    std::int64_t epoch = 0;
    std::map<JobId, JobRecord> jobs;

    bool operator==(const RecordSegment &) const = default;
};

/// Reads the body of `POST /-/jobs`. Task ids become `<job>/<task>`, unique in the cell.
[[nodiscard]] tl::expected<Job, std::string> jobFromRequest(const std::string &text);
[[nodiscard]] std::string jobToJson(const StoredJob &job);
/// True when both describe the same work, so that a repeated submission is recognised.
[[nodiscard]] bool isSameJob(const Job &left, const Job &right);

[[nodiscard]] std::string jobSegmentToJson(const JobSegment &segment, const std::string &writeId);
[[nodiscard]] tl::expected<JobSegment, std::string> jobSegmentFromJson(const std::string &text);
[[nodiscard]] std::string recordSegmentToJson(const RecordSegment &segment, const std::string &writeId);
[[nodiscard]] tl::expected<RecordSegment, std::string> recordSegmentFromJson(const std::string &text);
[[nodiscard]] std::string rosterToJson(const std::set<WorkerId> &roster, const std::string &writeId);
[[nodiscard]] tl::expected<std::set<WorkerId>, std::string> rosterFromJson(const std::string &text);

} // namespace Trefoilhoist
