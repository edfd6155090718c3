#pragma once

#include "trefoilhoist/config/configtable.h"
#include "trefoilhoist/world/world.h"

namespace Trefoilhoist {

/// A service's contract from its labels latency-target-ms, latency-objective and answer-objective. A label that
/// is absent or can't be read keeps the default.
[[nodiscard]] Contract contractFromLabels(const ConfigObject &service);

} // namespace Trefoilhoist
