#pragma once

#include <string>

namespace Trefoilhoist::Jobs {

// Keys and key prefixes of the records in the store.
/// Prefix of the records about the owner.
inline const std::string ownerPrefix = "lead/";
inline const std::string ownerRecordKey = "lead/owner";
inline const std::string epochRecordKey = "lead/epoch";
/// One record per dispatcher, with the address at which its peers reach it.
inline const std::string peerPrefix = "peer/";
inline const std::string rosterKey = "workers";
inline const std::string jobPrefix = "job/";

/// The parts of the key of a job's record.
struct JobRecordKey {
    std::string job;
    /// True if the record holds the job's specification, false if it holds the progress.
    bool isSpec = false;
};

[[nodiscard]] std::string specKey(const std::string &job);
[[nodiscard]] std::string progressKey(const std::string &job);
[[nodiscard]] JobRecordKey parseJobRecordKey(const std::string &key);

} // namespace Trefoilhoist::Jobs
