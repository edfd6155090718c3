#pragma once

#include "trefoilhoist/world/world.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// A task that runs on a worker, as the owner knows it.
struct RunningTask {
    TaskId task;
    JobId job;
    std::int64_t run = 0;
    /// What is set aside for it on the worker.
    Resources reserved;
    /// What it was last seen to use; lags.
    Resources used;
    TimePoint startedAt{};
    /// Share of its processors it may use, 0 to 1.
    double throttle = 1.0;
};

/// A worker as a policy sees it.
struct WorkerView {
    Worker worker;
    /// Set aside for latency-critical services on this worker.
    Resources serviceReserved;
    /// Services with a minion on this worker.
    std::vector<ServiceId> services;
    std::vector<RunningTask> running;
    /// Reserved for tasks that may still run here though unconfirmed.
    Resources uncertain;
    bool reachable = true;
};

/// A task that waits for a place.
struct PendingTask {
    Task task;
    TimePoint since{};
    int failures = 0;
    /// Workers that it failed on.
    std::vector<WorkerId> failedOn;
};

/// How a deployment weighs the measures; read from labels.
struct PolicyWeights {
    double tailLatency = 1.0;
    double throughput = 1.0;
    double evictions = 1.0;

    bool operator==(const PolicyWeights &) const = default;
};

/// What operators ask for one service.
struct ServiceConfig {
    Labels labels;
    /// Limit for the p99; zero means that none is stated.
    Duration latencyTarget{};
    /// Selector for the work that may run beside it.
    std::string beside;
    /// Selector for the work that yields to it first.
    std::string yields;
};

/// What operators ask for one batch class. Its labels, `where` and `beside` are joined to each job before a
/// policy sees it.
struct BatchClassConfig {
    /// Added to the job's rank; higher ranks yield first.
    int yieldRank = 0;
};

/// A team's part of the cell.
struct TeamConfig {
    /// Entitlement relative to other teams.
    double weight = 1.0;
    /// Most of its dominant resource that the team may hold, 0 to 1.
    double limit = 1.0;
};

/// The labels and selectors in force, as a policy reads them.
struct PolicyConfig {
    PolicyWeights weights;
    std::map<ServiceId, ServiceConfig> services;
    std::map<std::string, BatchClassConfig> classes;
    std::map<TeamId, TeamConfig> teams;
};

/// Everything a policy decides from; views are valid for the call only.
struct PolicyInput {
    TimePoint now{};
    const std::map<WorkerId, WorkerView> &workers;
    const std::map<JobId, Job> &jobs;
    /// In the order of submission.
    const std::vector<PendingTask> &pending;
    /// Without terms nothing is labelled, and the weights are those that the policy was made with.
    const PolicyConfig *policyConfig = nullptr;
};

/// Start the task there with this much set aside.
struct StartTask {
    TaskId task;
    WorkerId worker;
    Resources reserve;
};

/// Let the task use this share of its processors.
struct ThrottleTask {
    TaskId task;
    double share = 1.0;
};

/// Checkpoint the task, stop it, queue it again.
struct EvictTask {
    TaskId task;
    std::string reason;
};

/// Start nothing on the worker until it is probed.
struct QuarantineWorker {
    WorkerId worker;
    std::string reason;
};

/// The task can't be placed; the reason is shown to the operator.
struct ReportUnplaceable {
    TaskId task;
    std::string reason;
};

/// The job fails everywhere and is tried no more.
struct FailJob {
    JobId job;
    std::string reason;
};

using PolicyAction = std::variant<StartTask, ThrottleTask, EvictTask, QuarantineWorker, ReportUnplaceable, FailJob>;

/// Latency of a service on one worker over a lagging window.
struct ServiceSample {
    TimePoint measuredAt{};
    ServiceId service;
    WorkerId worker;
    Duration p99{};
    double requestsPerSecond = 0;
};

/// How a run ended.
enum class RunEnd { Finished, Failed, Evicted, Lost, Cancelled };

/// A run's end as the policy learns from it.
struct RunEnded {
    TimePoint at{};
    TaskId task;
    JobId job;
    WorkerId worker;
    RunEnd end = RunEnd::Finished;
    Duration ranFor{};
};

/// Usage of one running task; lags behind.
struct UsageSample {
    TimePoint measuredAt{};
    TaskId task;
    JobId job;
    WorkerId worker;
    Resources used;
};

/// What a policy learns from between decisions.
using PolicyEvent = std::variant<ServiceSample, RunEnded, UsageSample>;

} // namespace Trefoilhoist
