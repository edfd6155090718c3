#pragma once

#include "trefoilhoist/config/configtable.h"
#include "trefoilhoist/placement/cellowner.h"

namespace Trefoilhoist {

/// Reads a policy's configuration from the current labels and selectors. A number that can't be parsed counts as not
/// set.
///
/// Services: `latency-target-ms`, `tail-latency-weight`, selectors `beside` and `yields`. Batch classes:
/// `yield-rank`, `throughput-weight`, `evictions-weight`. Teams: `share`, `limit`. Of each weight the
/// largest value over all objects applies; `weights` supplies those that no object sets.
[[nodiscard]] PolicyConfig readPolicyConfig(const ConfigTable &config, const PolicyWeights &weights);

/// Returns a decider that passes the current configuration to the policy. `config` must outlive it.
[[nodiscard]] PlacementDecider
configuredDecider(PlacementPolicy policy, const ConfigTable &config, const PolicyWeights &weights);

} // namespace Trefoilhoist
