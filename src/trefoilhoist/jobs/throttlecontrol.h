#pragma once

#include "trefoilhoist/jobs/interferencetable.h"
#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/world/clock.h"

#include <algorithm>
#include <map>
#include <vector>

namespace Trefoilhoist::Jobs {

/// Returns the ratio of a serving task's latency target to its tail latency. Below 1 the target is missed. The ratio
/// is assumed to fall linearly with the load on the task.
[[nodiscard]] double latencySlack(std::int64_t tailMs, std::int64_t targetMs);

/// The share of its full speed, in percent, at which a best-effort run must work.
struct RunThrottle {
    RunKey run;
    int percent = 100;
};

/// Throttles the best-effort tasks of one minion that raise a serving task's tail latency over its target, and lets
/// them speed up again. Throttles no other tasks, and each only as far as needed.
///
/// A table of image pairs says which task interferes with which. If a tail stays over its target nevertheless, all
/// best-effort tasks are throttled. Not thread-safe.
class ThrottleControl
{
public:
    /// `cpuMilli`: the CPU capacity of the minion, in thousandths of a core.
    void setCapacity(std::int64_t cpuMilli)
    {
        m_cpuMilli = std::max<std::int64_t>(1, cpuMilli);
    }
    /// Adds a run that the owner has described.
    void addRun(const Wire::RunInfo &info);
    /// Removes a run that was not started.
    void removeRun(const RunKey &run)
    {
        m_runs.erase(run);
    }
    [[nodiscard]] bool hasRun(const RunKey &run) const
    {
        return m_runs.count(run) > 0;
    }
    /// Sets the effect of a best-effort image on a serving image, as estimated by the owner.
    void setPairEffect(const Wire::ImagePair &pair)
    {
        m_table.set(pair);
    }

    /// Returns the effects of all known pairs of images, for a new owner that has not observed them.
    [[nodiscard]] std::vector<Wire::ImagePair> pairs() const
    {
        return m_table.pairs();
    }

    /// Applies the usage figures of a listing and returns the throttle settings that must change. Does nothing when
    /// the last adjustment is too recent.
    std::vector<RunThrottle> update(const std::vector<Wire::RunningTask> &running, TimePoint now);
    /// Returns the share of its full speed, in percent, at which a run that has just started keeps the serving tasks
    /// beside it within their targets.
    int initialPercent(const RunKey &run);
    /// Marks a run's throttle setting as not applied, so that the next update() returns it again.
    void markNotApplied(const RunKey &run);
    /// Returns the highest ratio of tail latency to target among the serving tasks of the last listing.
    [[nodiscard]] double worstTailRatio() const
    {
        return m_worstTailRatio;
    }
    void clear();

private:
    struct BestEffortRun {
        RunKey run;
        std::string image;
        /// Share of the minion's CPU that it would use at full speed.
        double fullShare = 0;
        double speed = 1;
    };
    struct ServingRun {
        std::string image;
        /// Slack that it would have without best-effort tasks beside it.
        double baselineSlack = 0;
        /// For how long its target has been missed without a break.
        Duration targetMissedFor{};
    };

    void readListing(const std::vector<Wire::RunningTask> &running, TimePoint now);
    void readServingRun(const Wire::RunningTask &row,
                        const Wire::RunInfo &info,
                        const BestEffortShares &shares,
                        TimePoint now);
    void chooseSpeeds();
    [[nodiscard]] double slackDeficit(const ServingRun &serving) const;
    void throttleFor(const ServingRun &serving);
    /// Returns the settings that differ from the last ones returned, and remembers them as returned.
    std::vector<RunThrottle> takeChangedThrottles();

    InterferenceTable m_table;
    struct KnownRun {
        Wire::RunInfo info;
        /// The run was in a listing at least once, so that it has ended when a later listing lacks it.
        bool listed = false;
    };
    std::map<RunKey, KnownRun> m_runs;
    /// The last setting sent, in percent; -1 if it is not known to be in force.
    std::map<RunKey, int> m_lastPercents;
    std::vector<BestEffortRun> m_bestEffort;
    std::vector<ServingRun> m_serving;
    /// Smoothed baselines of the serving tasks.
    std::map<RunKey, double> m_baselines;
    /// Since when each serving task's tail has been over its target.
    std::map<RunKey, TimePoint> m_targetMissedSince;
    std::int64_t m_cpuMilli = 1;
    double m_worstTailRatio = 0;
    TimePoint m_adjustedAt;
};

} // namespace Trefoilhoist::Jobs
