#pragma once

#include "trefoilhoist/config/configtable.h"
#include "trefoilhoist/placement/cellowner.h"

namespace Trefoilhoist {

/// Reads the labels and selectors in force as a policy's terms; an unreadable number counts as not set.
///
/// Services: `latency-target-ms`, `tail-latency-weight`, selectors `beside` and `yields`. Batch classes:
/// `yield-rank`, `throughput-weight`, `evictions-weight`. Teams: `share`, `limit`. The largest weight of all
/// objects holds; without any, `weights` does.
[[nodiscard]] PolicyConfig readPolicyConfig(const ConfigTable &config, const PolicyWeights &weights);

/// A decider that passes the terms in force to the policy. `config` must outlive it.
[[nodiscard]] PlacementDecider
configuredDecider(PlacementPolicy policy, const ConfigTable &config, const PolicyWeights &weights);

} // namespace Trefoilhoist
