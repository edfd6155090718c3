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

/// An IP number and a TCP port.
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
    /// Rises with each start of the minion.
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

/// One-way distance between two availability zones.
struct Link {
    ZoneId from;
    ZoneId to;
    Duration latency{};
};

/// What a service promises its callers; read from labels.
struct Contract {
    ServiceId service;
    Duration latencyTarget = milliseconds(500);
    /// Share of requests answered within the target, 0 to 1.
    double latencyObjective = 0.99;
    /// Share of requests answered at all, 0 to 1.
    double answerObjective = 0.999;
};

/// One unit of batch work; never runs in two places at once.
struct Task {
    TaskId id;
    JobId job;
    /// Declared size; may be far off.
    Resources declared;
    Duration declaredRunTime{};
};

/// A batch job: its tasks share labels, selectors and team.
struct Job {
    JobId id;
    TeamId team;
    /// Class for learning interference, for example "vanilla-grade".
    std::string batchClass;
    bool urgent = false;
    Labels labels;
    /// Selector text: where it may run; beside what; which yields first.
    std::string where;
    std::string beside;
    int yieldRank = 0;
    std::vector<Task> tasks;
};

} // namespace Trefoilhoist
