#pragma once

#include <string>

namespace Trefoilhoist::StoreKeys {

// Layout of the platform's store. Every value is a JSON object.

/// Configuration segments: config/segments/<index>.
inline const std::string configSegments = "trefoilhoist/config/segments/";
/// Batches of jobs of a cell, created by entries: cells/<cell>/jobs/<batch>.
inline const std::string cells = "trefoilhoist/cells/";

[[nodiscard]] inline std::string cellLease(const std::string &cell)
{
    return cells + cell + "/owner";
}
[[nodiscard]] inline std::string cellRoster(const std::string &cell)
{
    return cells + cell + "/roster";
}
[[nodiscard]] inline std::string cellJobs(const std::string &cell)
{
    return cells + cell + "/jobs/";
}
/// Checkpoints and completions of the cell's tasks, written by its owner.
[[nodiscard]] inline std::string cellRecords(const std::string &cell)
{
    return cells + cell + "/records/";
}

} // namespace Trefoilhoist::StoreKeys
