#pragma once

#include "trefoilhoist/placement/policies/decisioncontext.h"
#include "trefoilhoist/placement/policies/interferencemodel.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// Places tasks where they disturb services least, and makes disturbers yield before the tail shows it:
/// not placed, then throttled, then evicted with a checkpoint. Not thread-safe.
class InterferenceAware
{
public:
    /// Settings; the defaults hold in programs.
    struct Settings {
        InterferenceModel::Settings model;
        /// Parts of the latency target, for a deployment that weighs only throughput, and for one that weighs
        /// only the tail.
        double placeBelowThroughput = 0.9;
        double placeBelowTail = 0.6;
        double throttleAboveThroughput = 1.0;
        double throttleAboveTail = 0.75;
        /// An eviction needs a level this far above the throttle level.
        double evictMargin = 0.15;
        /// Shares are raised again this far below the throttle level.
        double raiseMargin = 0.2;
        /// Deviations of uncertainty that count against a task, for a deployment that weighs only the tail.
        double pessimism = 1.5;
        /// A step down waits this long for the last one to show.
        Duration settleTime = seconds(6);
        /// A step up waits this long after any step.
        Duration raiseAfter = seconds(8);
        /// Time over which a service sample was taken.
        Duration sampleWindow = seconds(5);
        /// A service without a target may grow this much over its own level.
        double growthWithoutTarget = 1.5;
        double minShare = 0.25;
        /// Off only in tests and trials that show what these are for.
        bool throttles = true;
        bool evicts = true;
    };

    explicit InterferenceAware(const Settings &settings);

    /// Starts a decision: brings each worker's loads up to date and steps shares down or up.
    void adjustShares(DecisionContext &context);
    void observe(const ServiceSample &sample);
    void observeStart(DecisionContext &context, const Candidate &candidate, const Host &host);
    /// A host's score for a task, the lowest wins; nothing when the host is refused.
    [[nodiscard]] std::optional<double> score(DecisionContext &context, const Candidate &candidate, const Host &host);

private:
    using Loads = std::vector<ClassLoad>;
    struct LoadAt {
        TimePoint at{};
        Loads loads;
    };
    struct HostState {
        Loads loads;
        /// The levels of the worker's services with these loads, by their order there; empty when out of date.
        std::vector<std::optional<Prediction>> cachedLatencies;
        std::deque<LoadAt> history;
        /// When work was last evicted from here for a service's sake.
        TimePoint evictedAt{};
    };
    /// Levels of a deployment, as logarithms of parts of the target.
    struct Thresholds {
        double place = 0;
        double throttle = 0;
        double evict = 0;
        double raise = 0;
        double deviations = 0;
    };
    struct InterferingTask {
        const RunningTask *running = nullptr;
        bool yieldsFirst = false;
        int rank = 0;
        /// What it adds to the logarithm of the p99 now.
        double effect = 0;
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
    /// The predicted level of the service on the host relative to its target; nothing while it is unknown.
    [[nodiscard]] std::optional<Prediction> relativeLatency(DecisionContext &context,
                                                            const ServiceId &service,
                                                            const WorkerId &worker,
                                                            const Loads &loads) const;
    [[nodiscard]] std::vector<InterferingTask> findInterferingTasks(DecisionContext &context,
                                                                    const Host &host,
                                                                    const ServiceId &service,
                                                                    const Thresholds &thresholds);
    void reduceInterference(DecisionContext &context,
                            const Host &host,
                            const ServiceId &service,
                            double excess,
                            double evictExcess,
                            const Thresholds &thresholds,
                            HostState &state);
    double stepDown(DecisionContext &context, const InterferingTask &interfering, double excess);
    void raiseShares(DecisionContext &context, const Host &host, const Thresholds &thresholds, HostState &state);
    [[nodiscard]] bool staysBelowLimit(
        DecisionContext &context, const Host &host, const Loads &loads, double limit, double deviations) const;
    static void addLoad(Loads &loads, int batchClass, double load);

    Settings m_settings;
    InterferenceModel m_model;
    /// Of the decision under way.
    Thresholds m_thresholds;
    std::unordered_map<WorkerId, HostState> m_hostStates;
};

} // namespace Trefoilhoist::Detail
