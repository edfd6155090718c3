#pragma once

#include "trefoilhoist/placement/policies/decisioncontext.h"

#include <optional>
#include <vector>

namespace Trefoilhoist::Detail {

/// Running tasks to evict from one host to free capacity, and the cost of that in core-seconds.
struct PreemptionPlan {
    Host *host = nullptr;
    std::vector<const RunningTask *> victims;
    double cost = 0;
};

/// Which tasks may be evicted for another task.
struct PreemptionRule {
    /// Only tasks of other teams that hold more than their entitlement. If false, any task that is not urgent.
    bool onlyOverEntitled = false;
};

/// Chooses the tasks to evict so that `need` fits on the host, in the order in which work yields and without those that
/// turn out not to be needed. Returns nothing if evicting all permitted tasks is not enough.
[[nodiscard]] std::optional<PreemptionPlan> planPreemption(
    DecisionContext &context, Host &host, const Resources &need, const TeamId &team, const PreemptionRule &rule);

} // namespace Trefoilhoist::Detail
