#pragma once

#include "trefoilhoist/world/world.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// A running task as the cell owner knows it.
struct RunningTask {
    TaskId task;
    JobId job;
    std::int64_t run = 0;
    /// Resources reserved for the task on the worker.
    Resources reserved;
    /// Last reported use; lags behind the actual use.
    Resources used;
    TimePoint startedAt{};
    /// Share of its processors that the task may use, 0 to 1.
    double throttle = 1.0;
};

/// A worker as a policy sees it.
struct WorkerView {
    Worker worker;
    /// Reserved for latency-critical services on this worker.
    Resources serviceReserved;
    /// Services with a minion on this worker.
    std::vector<ServiceId> services;
    std::vector<RunningTask> running;
    /// Reserved for tasks that may still run here; their state is not confirmed.
    Resources unconfirmedReserved;
    bool reachable = true;
};

/// A task that waits to be placed.
struct PendingTask {
    Task task;
    TimePoint since{};
    int failures = 0;
    /// Workers on which the task failed.
    std::vector<WorkerId> failedOn;
};

/// Relative importance of the objectives in this deployment, read from labels.
struct PolicyWeights {
    double tailLatency = 1.0;
    double throughput = 1.0;
    double evictions = 1.0;

    bool operator==(const PolicyWeights &) const = default;
};

/// Operators' placement configuration of one service.
struct ServiceConfig {
    Labels labels;
    /// Target for the p99; zero means that none is configured.
    Duration latencyTarget{};
    /// Selector for the work that may run on the same worker.
    std::string beside;
    /// Selector for the work that is throttled or evicted first for this service.
    std::string yields;
};

/// Operators' placement configuration of one batch class. The class's labels, `where` and `beside` are merged into each
/// job before a policy sees the job.
struct BatchClassConfig {
    /// Added to the job's own rank; work with a higher rank yields first.
    int yieldRank = 0;
};

/// A team's share of the cell.
struct TeamConfig {
    /// Entitlement in proportion to the weights of other teams.
    double weight = 1.0;
    /// Maximum share of its dominant resource that the team may hold, 0 to 1.
    double limit = 1.0;
};

/// The current labels and selectors in the form that a policy uses.
struct PolicyConfig {
    PolicyWeights weights;
    std::map<ServiceId, ServiceConfig> services;
    std::map<std::string, BatchClassConfig> classes;
    std::map<TeamId, TeamConfig> teams;
};

/// All input of one decision; its references are valid only during the call.
struct PolicyInput {
    TimePoint now{};
    const std::map<WorkerId, WorkerView> &workers;
    const std::map<JobId, Job> &jobs;
    /// Ordered by submission.
    const std::vector<PendingTask> &pending;
    /// May be null: then nothing is labelled and the weights passed to the policy's constructor apply.
    const PolicyConfig *policyConfig = nullptr;
};

/// Start the task on the worker with this reservation.
struct StartTask {
    TaskId task;
    WorkerId worker;
    Resources reserve;
};

/// Limit the task to this share of its processors.
struct ThrottleTask {
    TaskId task;
    double share = 1.0;
};

/// Checkpoint the task, stop it and queue it again.
struct EvictTask {
    TaskId task;
    std::string reason;
};

/// Start no tasks on the worker other than probes.
struct QuarantineWorker {
    WorkerId worker;
    std::string reason;
};

/// The task can't be placed; operators are shown the reason.
struct ReportUnplaceable {
    TaskId task;
    std::string reason;
};

/// The job failed too often, by the policy's limits, and will not be retried.
struct FailJob {
    JobId job;
    std::string reason;
};

using PolicyAction = std::variant<StartTask, ThrottleTask, EvictTask, QuarantineWorker, ReportUnplaceable, FailJob>;

/// Latency of a service on one worker over a time window that lies in the past.
struct ServiceSample {
    TimePoint measuredAt{};
    ServiceId service;
    WorkerId worker;
    Duration p99{};
    double requestsPerSecond = 0;
};

/// How a run ended.
enum class RunEnd { Finished, Failed, Evicted, Lost, Cancelled };

/// Reports to the policy that a run has ended.
struct RunEnded {
    TimePoint at{};
    TaskId task;
    JobId job;
    WorkerId worker;
    RunEnd end = RunEnd::Finished;
    Duration ranFor{};
};

/// Measured resource use of one running task; lags behind the actual use.
struct UsageSample {
    TimePoint measuredAt{};
    TaskId task;
    JobId job;
    WorkerId worker;
    Resources used;
};

/// Measurements and run results that a policy receives between decisions.
using PolicyEvent = std::variant<ServiceSample, RunEnded, UsageSample>;

} // namespace Trefoilhoist
