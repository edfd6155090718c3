#pragma once

#include "trefoilhoist/world/clock.h"
#include "trefoilhoist/world/id.h"
#include "trefoilhoist/world/labels.h"
#include "trefoilhoist/world/resources.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Trefoilhoist {

/// An IP address and a TCP port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
    bool operator<(const Endpoint &other) const
    {
        return std::tie(host, port) < std::tie(other.host, other.port);
    }
    [[nodiscard]] std::string str() const
    {
        return host + ":" + std::to_string(port);
    }
};

/// A back end: one instance of a service.
struct Minion {
    MinionId id;
    Endpoint endpoint;
    ZoneId zone;
    ServiceId service;
    Labels labels;
    int slots = 0;
    int connections = 0;
    /// Increases with each start of the minion.
    std::int64_t incarnation = 0;
    bool leaving = false;
};

/// A machine that runs tasks.
struct Worker {
    WorkerId id;
    Endpoint endpoint;
    ZoneId zone;
    RackId rack;
    Labels labels;
    Resources capacity;
    std::int64_t incarnation = 0;
    bool leaving = false;
};

/// The one-way latency between two availability zones.
struct Link {
    ZoneId from;
    ZoneId to;
    Duration latency{};
};

/// The service level objectives of a service, read from labels.
struct Contract {
    ServiceId service;
    Duration latencyTarget = milliseconds(500);
    /// Share of requests answered within the target, 0 to 1.
    double latencyObjective = 0.99;
    /// Share of requests answered at all, 0 to 1.
    double answerObjective = 0.999;
};

/// One unit of batch work. It never runs on two workers at the same time.
struct Task {
    TaskId id;
    JobId job;
    /// Declared resource demand; actual usage may differ widely.
    Resources declared;
    Duration declaredRunTime{};
};

/// A batch job: its tasks share labels, selectors and team.
struct Job {
    JobId id;
    TeamId team;
    /// The class for which interference is estimated, for example "vanilla-grade".
    std::string batchClass;
    bool urgent = false;
    Labels labels;
    /// Selectors for the workers on which tasks may run, and for the services beside which they may run. Jobs with
    /// a higher yield rank yield first.
    std::string where;
    std::string beside;
    int yieldRank = 0;
    std::vector<Task> tasks;
};

} // namespace Trefoilhoist
