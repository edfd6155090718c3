#pragma once

#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/placement/cellowner.h"

#include <string>

namespace Trefoilhoist::Placer {

// Functions that report the state of a cell owner as JSON or as metrics.

[[nodiscard]] std::string workersJson(const CellOwner &owner, TimePoint now);
/// Lists at most `limit` tasks of `job`, or of all jobs if `job` is empty.
[[nodiscard]] std::string tasksJson(const CellOwner &owner, const JobId &job, std::size_t limit);
/// Returns nullopt if the job is not known.
[[nodiscard]] std::optional<std::string> jobJson(const CellOwner &owner, const JobId &job);
void publishCounts(const CellOwner &owner, const std::string &cell, MetricsRegistry &metrics);

} // namespace Trefoilhoist::Placer
