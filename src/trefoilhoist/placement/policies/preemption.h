#pragma once

#include "trefoilhoist/placement/policies/decisioncontext.h"

#include <optional>
#include <vector>

namespace Trefoilhoist::Detail {

/// Running tasks whose eviction makes room on one host, and what that costs in core-seconds.
struct PreemptionPlan {
    Host *host = nullptr;
    std::vector<const RunningTask *> victims;
    double cost = 0;
};

/// Who may be evicted for a task.
struct PreemptionRule {
    /// Only tasks of teams above their entitlement; otherwise any that is not urgent.
    bool onlyOverEntitled = false;
};

/// The cheapest way to make `need` fit on the host; nothing when even all that may yield is not enough.
[[nodiscard]] std::optional<PreemptionPlan> planPreemption(
    DecisionContext &context, Host &host, const Resources &need, const TeamId &team, const PreemptionRule &rule);

} // namespace Trefoilhoist::Detail
