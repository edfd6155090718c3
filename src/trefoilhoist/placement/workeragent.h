#pragma once

#include "trefoilhoist/placement/syncmessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// Start the task from the checkpoint in the order.
struct BeginRun {
    StartOrder order;
};

/// End the run at once. No part of it may continue afterwards.
struct EndRun {
    RunRef ref;
};

/// Take a checkpoint and report it with WorkerAgent::checkpointTaken().
struct TakeCheckpoint {
    RunRef ref;
};

/// Limit the run to `share` of its processors, 0 to 1.
struct ApplyThrottle {
    RunRef ref;
    double share = 1.0;
};

/// Actions that the process around the agent must carry out, in the order in which they are returned.
using WorkerAction = std::variant<BeginRun, EndRun, TakeCheckpoint, ApplyThrottle>;

/// Safety mechanisms of the worker. Tests switch single ones off to show that each is needed; programs leave all on.
struct WorkerSafeguards {
    /// Refuses syncs of an epoch lower than the highest one seen, and drops all tokens when the epoch rises.
    bool checkEpoch = true;
    /// Refuses orders whose token is unknown or expired.
    bool checkToken = true;
    /// Refuses starts with a run number that is not higher than all seen for the task.
    bool checkRunNumber = true;
    /// Refuses starts that exceed the capacity.
    bool checkCapacity = true;
    /// Stops all runs when the lease expires.
    bool stopAtLeaseExpiry = true;
    /// Keeps an ended run until the owner reports that its outcome is durable.
    bool keepUntilDurable = true;
    /// Ends the process when invariant P1 is violated. Tests switch it off to let their own checker detect the fault.
    bool assertInvariants = true;
};

struct WorkerAgentSettings {
    WorkerId id;
    std::int64_t incarnation = 0;
    /// Capacity for batch work, without the resources reserved for services on this worker.
    Resources capacity;
    WorkerSafeguards safeguards;
};

/// Worker side of the sync contract: decides which orders are valid and how long runs may continue without an owner.
/// Does no I/O and reads no clock. Not thread-safe.
class WorkerAgent
{
public:
    using Actions = std::vector<WorkerAction>;

    explicit WorkerAgent(WorkerAgentSettings settings);

    /// Handles an owner's sync. The caller must carry out the actions before it sends the answer.
    std::pair<SyncAnswer, Actions> sync(TimePoint now, const SyncRequest &request);

    /// Stops all runs if the lease has expired. Call it first after any pause of the process, and at leaseEnd().
    Actions tick(TimePoint now);

    /// Returns when the runs must stop unless the lease is renewed, or nothing if no lease is held.
    [[nodiscard]] std::optional<TimePoint> leaseEnd() const;

    // Notifications about runs from the process around the agent.
    void runEnded(const RunRef &ref, RunState state);
    void checkpointTaken(const RunRef &ref, const std::string &checkpoint);
    void setUsage(const RunRef &ref, const Resources &used);
    void setServices(std::vector<ServiceReport> services);
    /// A leaving worker refuses all starts.
    void setLeaving(bool leaving);

    [[nodiscard]] std::int64_t epoch() const;
    [[nodiscard]] std::vector<RunReport> runs() const;

private:
    struct Run {
        RunReport report;
        std::int64_t revision = 0;
        /// Usage as last reported to the owner.
        Resources reportedUsage;
    };
    struct SeenRun {
        RunNumber run = 0;
        TimePoint at{};
    };

    [[nodiscard]] bool isTokenValid(TimePoint now, const SyncRequest &request) const;
    void applyOrders(TimePoint now, const SyncRequest &request, SyncAnswer &answer, Actions &actions);
    void start(TimePoint now, const StartOrder &order, SyncAnswer &answer, Actions &actions);
    void stop(TimePoint now, const RunRef &ref, Actions &actions);
    void throttle(const ThrottleOrder &order, Actions &actions);
    void endRun(const RunRef &ref, RunState state);
    void markChanged(Run &run);
    void issueToken(TimePoint now, const SyncRequest &request, SyncAnswer &answer);
    void report(const SyncRequest &request, SyncAnswer &answer) const;
    void cleanUpOldRuns(TimePoint now);
    Run *find(const RunRef &ref);

    WorkerAgentSettings m_settings;
    std::int64_t m_epoch = 0;
    std::int64_t m_tokenCount = 0;
    std::int64_t m_revision = 0;
    /// Tokens of this epoch that have not expired, with their issue times.
    std::map<std::int64_t, TimePoint> m_tokens;
    Duration m_lease{};
    std::optional<TimePoint> m_leaseEnd;
    std::map<TaskId, Run> m_runs;
    /// Highest run number seen per task. Kept until no valid token can carry an older order.
    std::map<TaskId, SeenRun> m_seenRuns;
    TimePoint m_nextCleanup{};
    Resources m_reserved;
    std::vector<ServiceReport> m_services;
    bool m_leaving = false;
};

} // namespace Trefoilhoist
