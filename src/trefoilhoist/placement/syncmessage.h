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

/// Numbers one placement of a task; epoch * 2^32 + n, so a newer owner's runs are above an older owner's.
using RunNumber = std::int64_t;

inline constexpr int runNumberEpochShift = 32;

/// What became of a run, as its worker reports it.
enum class RunState {
    Running,
    Finished,
    Failed,
    /// Stopped on the owner's order.
    Stopped,
    /// Stopped because the worker's lease lapsed.
    Lapsed,
};

[[nodiscard]] std::string_view runStateName(RunState state);
[[nodiscard]] std::optional<RunState> runStateFromName(std::string_view name);

/// Why a worker did not start a run.
enum class RefusalReason {
    /// The sync's token is unknown or lapsed; the order may be repeated as it is.
    Token,
    /// A run with this number or a higher one was seen before.
    SeenBefore,
    Capacity,
    Leaving,
};

[[nodiscard]] std::string_view refusalReasonName(RefusalReason reason);
[[nodiscard]] std::optional<RefusalReason> refusalReasonFromName(std::string_view name);

/// Orders the worker to start a run from a checkpoint (empty: from the beginning).
struct StartOrder {
    TaskId task;
    JobId job;
    RunNumber run = 0;
    std::string checkpoint;
    Resources reserve;
    Duration runTime{};
    std::string batchClass;
};

/// Names one run of a task.
struct RunRef {
    TaskId task;
    RunNumber run = 0;

    bool operator==(const RunRef &) const = default;
    bool operator<(const RunRef &other) const
    {
        return std::tie(task, run) < std::tie(other.task, other.run);
    }
};

struct ThrottleOrder {
    RunRef ref;
    double share = 1.0;
};

/// Everything an owner says to a worker; may be repeated as it is.
struct SyncRequest {
    std::int64_t epoch = 0;
    std::string owner;
    /// The token of the worker's last answer to this epoch; 0 takes the worker over and reads its state.
    std::int64_t token = 0;
    Duration lease{};
    /// The revision of the last answer that the owner has taken in; 0 asks for the whole state.
    std::int64_t appliedRevision = 0;
    std::vector<StartOrder> start;
    std::vector<ThrottleOrder> throttle;
    std::vector<RunRef> checkpoint;
    std::vector<RunRef> stop;
    std::vector<RunRef> durable;
};

/// One run in a worker's answer.
struct RunReport {
    TaskId task;
    JobId job;
    RunNumber run = 0;
    RunState state = RunState::Running;
    std::string checkpoint;
    /// Checkpoints taken in this run.
    std::int64_t checkpoints = 0;
    Resources reserved;
    Resources used;
    double throttle = 1.0;
};

struct StartRefusal {
    RunRef ref;
    RefusalReason reason = RefusalReason::Token;
};

/// Latency of a service's minions on the worker; lags.
struct ServiceReport {
    ServiceId service;
    Duration p99{};
    double requestsPerSecond = 0;
    Duration age{};
};

/// The worker's answer: the runs that changed since the revision the owner named, or all of them.
struct SyncAnswer {
    WorkerId worker;
    std::int64_t incarnation = 0;
    /// The highest epoch that the worker has seen; above the request's when the sync was refused.
    std::int64_t epoch = 0;
    std::int64_t token = 0;
    /// True when the sync's token was good: its orders were carried out and the lease renewed.
    bool accepted = false;
    std::int64_t revision = 0;
    /// True when `runs` is the whole state.
    bool full = false;
    std::vector<RunReport> runs;
    std::vector<StartRefusal> refused;
    std::vector<ServiceReport> services;
};

/// Set aside on a worker for one service's minions.
struct ServiceReservation {
    ServiceId service;
    Resources reserved;
};

/// What a worker tells every placer about itself.
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
