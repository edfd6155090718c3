#pragma once

#include "routingtrial.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Trefoilhoist::Tools {

/// One row of the comparison: the same trial with several seeds.
struct ComparisonRow {
    TrialSettings settings;
    std::vector<TrialResult> results;
};

/// Runs every row's trials on `threads` threads, one seed after the other from `firstSeed`.
void runRows(std::vector<ComparisonRow> &rows, std::uint64_t firstSeed, int seeds, int threads);

/// The rows as a Markdown table: medians over the seeds, spread of the p99.
[[nodiscard]] std::string tableOf(const std::vector<ComparisonRow> &rows);
[[nodiscard]] nlohmann::json jsonOf(const std::vector<ComparisonRow> &rows);

} // namespace Trefoilhoist::Tools
