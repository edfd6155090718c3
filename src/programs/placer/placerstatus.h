#pragma once

#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/placement/cellowner.h"

#include <string>

namespace Trefoilhoist::Placer {

// The state of an owner as JSON texts and as metrics.

[[nodiscard]] std::string workersJson(const CellOwner &owner, TimePoint now);
/// `limit` bounds the tasks; `job` names one job, or is empty for all.
[[nodiscard]] std::string tasksJson(const CellOwner &owner, const JobId &job, std::size_t limit);
/// Nothing when the job is not known.
[[nodiscard]] std::optional<std::string> jobJson(const CellOwner &owner, const JobId &job);
void publishCounts(const CellOwner &owner, const std::string &cell, MetricsRegistry &metrics);

} // namespace Trefoilhoist::Placer
