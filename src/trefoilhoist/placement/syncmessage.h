#pragma once

#include "trefoilhoist/world/world.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Trefoilhoist {

/// Identifies one placement of a task: epoch * 2^32 + counter. The run numbers of a newer owner are therefore higher
/// than those of any older owner.
using RunNumber = std::int64_t;

inline constexpr int runNumberEpochShift = 32;

/// State of a run as its worker reports it.
enum class RunState {
    Running,
    Finished,
    Failed,
    /// Stopped by order of the owner.
    Stopped,
    /// Stopped because the worker's lease expired.
    Lapsed,
};

[[nodiscard]] std::string_view runStateName(RunState state);
[[nodiscard]] std::optional<RunState> runStateFromName(std::string_view name);

/// Reason why a worker did not start a run.
enum class RefusalReason {
    /// The token of the sync is unknown or expired. The owner may repeat the order unchanged.
    Token,
    /// The worker has already seen this run number, or a higher one, for the task.
    SeenBefore,
    Capacity,
    Leaving,
};

[[nodiscard]] std::string_view refusalReasonName(RefusalReason reason);
[[nodiscard]] std::optional<RefusalReason> refusalReasonFromName(std::string_view name);

/// Orders the worker to start a run from `checkpoint`, or from the beginning if that is empty.
struct StartOrder {
    TaskId task;
    JobId job;
    RunNumber run = 0;
    std::string checkpoint;
    Resources reserve;
    Duration runTime{};
    std::string batchClass;
};

/// Identifies one run of a task.
struct RunRef {
    TaskId task;
    RunNumber run = 0;

    bool operator==(const RunRef &) const = default;
    bool operator<(const RunRef &other) const
    {
        return std::tie(task, run) < std::tie(other.task, other.run);
    }
};

/// Limits a run to `share` of its processors, 0 to 1.
struct ThrottleOrder {
    RunRef ref;
    double share = 1.0;
};

/// All orders that an owner has for a worker. Idempotent: it may be sent again unchanged.
struct SyncRequest {
    std::int64_t epoch = 0;
    std::string owner;
    /// Token from the worker's last answer to this epoch. With 0 the owner takes the worker over and reads its state.
    std::int64_t token = 0;
    Duration lease{};
    /// Revision of the last answer that the owner has applied; 0 requests the full state. Sent as `since`.
    std::int64_t appliedRevision = 0;
    std::vector<StartOrder> start;
    std::vector<ThrottleOrder> throttle;
    std::vector<RunRef> checkpoint;
    std::vector<RunRef> stop;
    /// Ended runs whose outcome is stored, so that the worker may drop them.
    std::vector<RunRef> recordedRuns;
};

/// State of one run in a worker's answer.
struct RunReport {
    TaskId task;
    JobId job;
    RunNumber run = 0;
    RunState state = RunState::Running;
    std::string checkpoint;
    /// Number of checkpoints taken in this run.
    std::int64_t checkpoints = 0;
    Resources reserved;
    Resources used;
    double throttle = 1.0;
};

/// A start order that the worker did not carry out.
struct StartRefusal {
    RunRef ref;
    RefusalReason reason = RefusalReason::Token;
};

/// Latency of a service's minions on the worker, measured `age` ago.
struct ServiceReport {
    ServiceId service;
    Duration p99{};
    double requestsPerSecond = 0;
    Duration age{};
};

/// The worker's answer to a sync: the runs that changed after `appliedRevision` of the request, or all runs.
struct SyncAnswer {
    WorkerId worker;
    std::int64_t incarnation = 0;
    /// Highest epoch that the worker has seen. It exceeds the epoch of the request if the sync was refused.
    std::int64_t epoch = 0;
    std::int64_t token = 0;
    /// True if the token of the sync was valid: the worker has applied the orders and renewed the lease.
    bool accepted = false;
    std::int64_t revision = 0;
    /// True if `runs` lists every run and not only the changed ones.
    bool full = false;
    std::vector<RunReport> runs;
    std::vector<StartRefusal> refused;
    std::vector<ServiceReport> services;
};

/// Resources that a worker reserves for the minions of one service.
struct ServiceReservation {
    ServiceId service;
    Resources reserved;
};

/// Description that a worker sends to every placer.
struct WorkerAnnouncement {
    Worker worker;
    std::vector<ServiceReservation> services;
};

[[nodiscard]] std::string syncRequestToJson(const SyncRequest &request);
[[nodiscard]] tl::expected<SyncRequest, std::string> syncRequestFromJson(const std::string &text);
[[nodiscard]] std::string syncAnswerToJson(const SyncAnswer &answer);
[[nodiscard]] tl::expected<SyncAnswer, std::string> syncAnswerFromJson(const std::string &text);
[[nodiscard]] std::string announcementToJson(const WorkerAnnouncement &announcement);
[[nodiscard]] tl::expected<WorkerAnnouncement, std::string> announcementFromJson(const std::string &text);

} // namespace Trefoilhoist
