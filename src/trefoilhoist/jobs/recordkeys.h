#pragma once

#include <string>

namespace Trefoilhoist::Jobs {

// Records of the project in the store.
inline const std::string leadPrefix = "lead/";
inline const std::string ownerRecordKey = "lead/owner";
inline const std::string epochRecordKey = "lead/epoch";
/// One record a dispatcher: where its peers reach it.
inline const std::string peerPrefix = "peer/";
inline const std::string rosterKey = "workers";
inline const std::string jobPrefix = "job/";

/// What a job's record key names.
struct JobRecordName {
    std::string job;
    /// The job as submitted; otherwise its progress.
    bool isSpec = false;
};

[[nodiscard]] std::string specKey(const std::string &job);
[[nodiscard]] std::string progressKey(const std::string &job);
[[nodiscard]] JobRecordName parseJobRecordKey(const std::string &key);

} // namespace Trefoilhoist::Jobs
