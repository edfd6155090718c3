#pragma once

#include "trefoilhoist/placement/policies/healthtracker.h"
#include "trefoilhoist/placement/policies/interferenceaware.h"
#include "trefoilhoist/placement/policies/sizeestimator.h"
#include "trefoilhoist/placement/policies/startplanner.h"

namespace Trefoilhoist {

/// Settings of a policy's parts. Programs use the defaults; tests and trials switch parts off.
struct PolicySettings {
    Detail::StartPlanner::Settings planner;
    Detail::SizeEstimator::Settings sizes;
    Detail::HealthTracker::Settings health;
    Detail::InterferenceAware::Settings interference;
    /// Off: tasks that use more than their reservation are let be.
    bool limitsOveruse = true;
};

} // namespace Trefoilhoist
