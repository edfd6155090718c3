#pragma once

#include "trefoilhoist/placement/policies/actiontracker.h"
#include "trefoilhoist/placement/policies/healthtracker.h"
#include "trefoilhoist/placement/policies/hosttable.h"
#include "trefoilhoist/placement/policies/sizeestimator.h"
#include "trefoilhoist/placement/policies/teamshares.h"

namespace Trefoilhoist::Detail {

/// State shared by the components that take part in one decision.
struct DecisionContext {
    TimePoint now{};
    PolicyWeights weights;
    HostTable &table;
    TeamShares &shares;
    SizeEstimator &sizes;
    HealthTracker &health;
    ActionTracker &actionTracker;
};

/// A pending task that is being placed.
struct Candidate {
    const Job *job = nullptr;
    const PendingTask *pending = nullptr;
    SizeEstimate size;
    bool urgent = false;
    Duration waited{};
};

/// Work that an eviction would lose, in core-seconds, increased for tasks that were evicted before.
[[nodiscard]] double evictionWaste(const RunningTask &running, const ActionTracker &actionTracker, TimePoint now);

} // namespace Trefoilhoist::Detail
