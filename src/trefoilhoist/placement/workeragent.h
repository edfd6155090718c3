#pragma once

#include "trefoilhoist/placement/syncmessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// Run the task. `from` is the checkpoint to go on from.
struct BeginRun {
    StartOrder order;
};

/// End the run at once; nothing of it may go on afterwards.
struct EndRun {
    RunRef ref;
};

/// Take a checkpoint and report it with WorkerAgent::checkpointed().
struct TakeCheckpoint {
    RunRef ref;
};

struct ApplyThrottle {
    RunRef ref;
    double share = 1.0;
};

/// What the host of the agent carries out, in this order.
using WorkerAction = std::variant<BeginRun, EndRun, TakeCheckpoint, ApplyThrottle>;

/// Switches that tests use to show that each mechanism matters. Programs leave all on.
struct WorkerSafeguards {
    bool checkEpoch = true;
    bool checkToken = true;
    bool checkRunNumber = true;
    bool checkCapacity = true;
    bool stopAtLeaseExpiry = true;
    bool keepUntilDurable = true;
    /// Ends the process on a broken P1 or P2 invariant; off, so that the checker of a test sees the fault itself.
    bool assertInvariants = true;
};

struct WorkerAgentSettings {
    WorkerId id;
    std::int64_t incarnation = 0;
    /// For batch work: without what services on this worker have set aside.
    Resources capacity;
    WorkerSafeguards safeguards;
};

/// The worker's side of the sync contract: which orders it follows, and how long its runs may go on without an
/// owner. No input or output, no clock. Not thread-safe.
class WorkerAgent
{
public:
    using Actions = std::vector<WorkerAction>;

    explicit WorkerAgent(WorkerAgentSettings settings);

    /// Takes an owner's sync. The actions come before the answer.
    std::pair<SyncAnswer, Actions> sync(TimePoint now, const SyncRequest &request);

    /// Stops what ran past the lease. Call it before anything else after a pause, and at leaseEnd().
    Actions tick(TimePoint now);

    /// When the runs must stop unless the lease is renewed; nothing when no run goes on.
    [[nodiscard]] std::optional<TimePoint> leaseEnd() const;

    void ended(const RunRef &ref, RunState state);
    void checkpointTaken(const RunRef &ref, const std::string &checkpoint);
    void used(const RunRef &ref, const Resources &used);
    void setServices(std::vector<ServiceReport> services);
    /// A leaving worker starts nothing.
    void setLeaving(bool leaving);

    [[nodiscard]] std::int64_t epoch() const;
    [[nodiscard]] std::vector<RunReport> runs() const;

private:
    struct Run {
        RunReport report;
        std::int64_t revision = 0;
        /// What the owner last heard of the usage.
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
    /// Tokens of this epoch that have not lapsed, with their issue times.
    std::map<std::int64_t, TimePoint> m_tokens;
    Duration m_lease{};
    std::optional<TimePoint> m_leaseEnd;
    std::map<TaskId, Run> m_runs;
    /// The highest run seen per task; kept until no token can bring an older order back.
    std::map<TaskId, SeenRun> m_seenRuns;
    TimePoint m_nextCleanup{};
    Resources m_reserved;
    std::vector<ServiceReport> m_services;
    bool m_leaving = false;
};

} // namespace Trefoilhoist
