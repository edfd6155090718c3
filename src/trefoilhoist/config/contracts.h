#pragma once

#include "trefoilhoist/config/configtable.h"
#include "trefoilhoist/world/world.h"

#include <vector>

namespace Trefoilhoist {

/// What each labelled service promises: `latency-target-ms`, `latency-objective`, `answer-objective`. A label that
/// is missing or unreadable leaves the contract's default.
[[nodiscard]] std::vector<Contract> contractsFrom(const ConfigTable &config);

} // namespace Trefoilhoist
