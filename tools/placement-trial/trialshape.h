#pragma once

#include "trefoilhoist/placement/policytypes.h"

#include <map>
#include <string>
#include <vector>

namespace Trefoilhoist::Trial {

/// A service of a deployment; each of its workers runs one minion.
struct TrialService {
    ServiceId id;
    /// The p99 of an idle service with nothing beside it.
    double baseMs = 10;
    Duration target{};
    /// Requests per second and minion at its usual load.
    double requestsPerSecond = 100;
    /// The service runs on every n-th worker.
    int everyNth = 1;
    Resources reserved;
    /// Hidden from the policy: relative slowing by a worker full of the class, by class name.
    std::map<std::string, double> slowedBy;
};

/// A kind of batch work.
struct TrialClass {
    std::string name;
    /// True size; each task varies around it.
    Resources size;
    Duration runTime{};
    int mostTasks = 1;
    /// Part of the batch demand.
    double part = 0;
    /// Arrives in waves only.
    bool inWaves = false;
};

/// A deployment to try policies on.
struct TrialShape {
    std::string name;
    int workers = 11;
    int workersPerRack = 3;
    int zones = 4;
    Resources capacity;
    std::vector<TrialService> services;
    std::vector<TrialClass> classes;
    PolicyWeights weights;
    Duration length = seconds(1200);
    /// Batch demand as a part of the processors that services leave.
    double demand = 0.75;
    /// Declared sizes and run times are off by up to this factor either way.
    double declaredOff = 10;
    /// Which troubles come.
    bool badWorker = true;
    bool badJobs = true;
    bool cancellations = true;
    bool loadShifts = true;
};

/// Lends cake tins: wide workers, light counter traffic, batch work that must finish.
[[nodiscard]] TrialShape formownia();
/// Imports vanilla: small workers, quotes during live calls.
[[nodiscard]] TrialShape steppeOrchid();

} // namespace Trefoilhoist::Trial
