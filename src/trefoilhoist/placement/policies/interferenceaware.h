#pragma once

#include "trefoilhoist/placement/policies/decisioncontext.h"
#include "trefoilhoist/placement/policies/interferencemodel.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// Places tasks where they interfere least with services, and limits interference before a service misses its latency
/// target: it first stops placing tasks beside the service, then throttles, then evicts with a checkpoint. Not
/// thread-safe.
class InterferenceAware
{
public:
    /// Tests and trials may change these; programs use the defaults.
    struct Settings {
        InterferenceModel::Settings model;
        /// Thresholds as fractions of the latency target. The first of each pair is for a deployment that weighs only
        /// throughput, the second for one that weighs only tail latency. Other weights interpolate between the two.
        double placeBelowThroughput = 0.9;
        double placeBelowTail = 0.6;
        double throttleAboveThroughput = 1.0;
        double throttleAboveTail = 0.75;
        /// Distance of the eviction threshold above the throttle threshold, in log latency, before it is scaled up by
        /// the weight of evictions.
        double evictMargin = 0.15;
        /// Distance of the threshold for raising shares below the throttle threshold, in log latency.
        double raiseMargin = 0.2;
        /// Number of standard deviations added to predictions, for a deployment that weighs only tail latency.
        double tailDeviations = 1.5;
        /// Time for a throttle step to show in the samples before the next step down or an eviction.
        Duration settleTime = seconds(6);
        /// Minimum time between any change of a task's share and raising it.
        Duration raiseAfter = seconds(8);
        /// Time window that a service sample covers.
        Duration sampleWindow = seconds(5);
        /// For a service without a target: tolerated ratio of its latency to that without batch work.
        double growthWithoutTarget = 1.5;
        double minShare = 0.25;
        /// Disabled only in tests and trials that demonstrate their effect.
        bool throttles = true;
        bool evicts = true;
    };

    explicit InterferenceAware(const Settings &settings);

    /// Starts a decision: updates the loads of each worker, lowers or raises shares, and evicts a task where throttling
    /// is not enough.
    void adjustShares(DecisionContext &context);
    /// Updates the model from a sample and the loads of the time that it covers.
    void observe(const ServiceSample &sample);
    /// Adds the load of a task that was just placed.
    void observeStart(DecisionContext &context, const Candidate &candidate, const Host &host);
    /// Returns the host's score for a task, lower is better; nothing if the host is not acceptable.
    [[nodiscard]] std::optional<double> score(DecisionContext &context, const Candidate &candidate, const Host &host);

private:
    using Loads = std::vector<ClassLoad>;
    struct TimedLoads {
        TimePoint at{};
        Loads loads;
    };
    struct HostState {
        Loads loads;
        /// Relative latencies of the worker's services under `loads`, in the order of the services; empty if outdated.
        std::vector<std::optional<Prediction>> cachedLatencies;
        std::deque<TimedLoads> history;
        /// When a task was last evicted from the worker to protect a service.
        TimePoint evictedAt{};
    };
    /// Thresholds of a deployment, as logarithms of fractions of the latency target.
    struct Thresholds {
        double place = 0;
        double throttle = 0;
        double evict = 0;
        double raise = 0;
        /// Number of standard deviations added to predictions.
        double deviations = 0;
    };
    struct InterferingTask {
        const RunningTask *running = nullptr;
        /// Whether the service's `yields` selector matches the job; such tasks are limited first.
        bool yieldsFirst = false;
        /// Yield rank of the job; tasks with a higher rank are limited first.
        int rank = 0;
        /// What the task currently adds to the logarithm of the service's p99.
        double effect = 0;
        /// Work that an eviction would lose, in core-seconds, see evictionWaste(). Among tasks of equal rank, the one
        /// with the highest ratio of `effect` to `waste` is limited first.
        double waste = 0;
        double load = 0;
        int batchClass = 0;
        bool urgent = false;
    };

    const std::vector<std::optional<Prediction>> &
    currentLatencies(DecisionContext &context, const Host &host, HostState &state);
    [[nodiscard]] Thresholds thresholdsFor(const PolicyWeights &weights) const;
    void updateLoads(DecisionContext &context, const Host &host, HostState &state);
    void appendHistory(HostState &state, TimePoint now);
    [[nodiscard]] static Loads meanLoads(const HostState &state, TimePoint from, TimePoint to);
    [[nodiscard]] double logTarget(DecisionContext &context, const ServiceId &service, const WorkerId &worker) const;
    /// Logarithm of the service's predicted p99 relative to its target; nothing while no sample of the service is
    /// known.
    [[nodiscard]] std::optional<Prediction> relativeLatency(DecisionContext &context,
                                                            const ServiceId &service,
                                                            const WorkerId &worker,
                                                            const Loads &loads) const;
    [[nodiscard]] std::vector<InterferingTask> findInterferingTasks(DecisionContext &context,
                                                                    const Host &host,
                                                                    const ServiceId &service,
                                                                    const Thresholds &thresholds);
    /// Throttles tasks that interfere with the service until the log latency is expected to fall by `excess`. Evicts
    /// one task if throttling has had time to take effect and `evictExcess` shows that the eviction threshold is still
    /// exceeded.
    void reduceInterference(DecisionContext &context,
                            const Host &host,
                            const ServiceId &service,
                            double excess,
                            double evictExcess,
                            const Thresholds &thresholds,
                            HostState &state);
    /// Lowers the task's share and returns the expected reduction of the log latency.
    double stepDown(DecisionContext &context, const InterferingTask &interfering, double excess);
    /// Raises the share of at most one task, if no service would exceed its limit.
    void raiseShares(DecisionContext &context, const Host &host, const Thresholds &thresholds, HostState &state);
    [[nodiscard]] bool staysBelowLimit(
        DecisionContext &context, const Host &host, const Loads &loads, double limit, double deviations) const;
    static void addLoad(Loads &loads, int batchClass, double load);

    Settings m_settings;
    InterferenceModel m_model;
    /// Thresholds of the current decision.
    Thresholds m_thresholds;
    std::unordered_map<WorkerId, HostState> m_hostStates;
};

} // namespace Trefoilhoist::Detail
