#pragma once

#include "trefoilhoist/placement/policies/healthtracker.h"
#include "trefoilhoist/placement/policies/interferenceaware.h"
#include "trefoilhoist/placement/policies/sizeestimator.h"
#include "trefoilhoist/placement/policies/startplanner.h"

namespace Trefoilhoist {

/// Settings of a policy's components. Programs use the defaults; tests and trials disable components.
struct PolicySettings {
    Detail::StartPlanner::Settings planner;
    Detail::SizeEstimator::Settings sizes;
    Detail::HealthTracker::Settings health;
    Detail::InterferenceAware::Settings interference;
    /// Whether tasks that use more than their reservation are throttled or evicted.
    bool limitsOveruse = true;
};

} // namespace Trefoilhoist
