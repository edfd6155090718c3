#pragma once

#include "trefoilhoist/jobs/interferencetable.h"
#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/world/clock.h"

#include <map>
#include <vector>

namespace Trefoilhoist::Jobs {

/// A serving task's target over its tail latency: below 1, the target is broken. Falls evenly with the load on it.
[[nodiscard]] double latencySlack(std::int64_t tailMs, std::int64_t targetMs);

/// A run that is to work at another share of its speed.
struct RunThrottle {
    RunKey run;
    int percent = 100;
};

/// Slows the tasks on lent processors of one minion that push a serving task's tail over its target, no others and
/// no more than needed, and lets them speed up again.
///
/// Who pushes whom comes from a table of image pairs; a tail that stays over its target all the same slows all of
/// them. Not thread-safe.
class ThrottleControl
{
public:
    /// `cpuMilli`: the processors of the minion, in thousandths of a core.
    void setCapacity(std::int64_t cpuMilli)
    {
        m_cpuMilli = cpuMilli;
    }
    void addRun(const Wire::RunInfo &info);
    /// The run was not started.
    void removeRun(const RunKey &run)
    {
        m_runs.erase(run);
    }
    [[nodiscard]] bool hasRun(const RunKey &run) const
    {
        return m_runs.count(run) > 0;
    }
    void setEffect(const Wire::ImagePair &pair)
    {
        m_table.set(pair);
    }

    /// What is known of pairs of images, for an owner that has not seen them.
    [[nodiscard]] std::vector<Wire::ImagePair> pairs() const
    {
        return m_table.pairs();
    }

    /// Takes a listing's figures; returns what is to be ordered now.
    std::vector<RunThrottle> update(const std::vector<Wire::RunningTask> &running, TimePoint now);
    /// A run was started just now: the share of its speed, in percent, that does no harm beside what runs.
    int initialPercent(const RunKey &run);
    /// An order that failed is given again with the next figures.
    void orderFailed(const RunKey &run);
    /// The highest share of its target that a serving task's tail reached in the last figures.
    [[nodiscard]] double worstTailRatio() const
    {
        return m_worstTailRatio;
    }
    void clear();

private:
    struct BestEffortRun {
        RunKey run;
        std::string image;
        /// Share of the minion's processors that it would use at full speed.
        double fullShare = 0;
        double speed = 1;
    };
    struct ServingRun {
        std::string image;
        /// Slack that its tail would have without fills.
        double baseline = 0;
        /// How long its target has been broken without a pause.
        Duration overFor{};
    };

    void readListing(const std::vector<Wire::RunningTask> &running, TimePoint now);
    void readServingRun(const Wire::RunningTask &row, const Wire::RunInfo &info, const BestEffortShares &shares, TimePoint now);
    void chooseSpeeds();
    [[nodiscard]] double slackDeficit(const ServingRun &serving) const;
    void throttleFor(const ServingRun &serving);
    std::vector<RunThrottle> orders();

    InterferenceTable m_table;
    struct KnownRun {
        Wire::RunInfo info;
        /// Was listed at least once: it has ended when it no longer is.
        bool listed = false;
    };
    std::map<RunKey, KnownRun> m_runs;
    /// What was ordered last, in percent; -1: not known to be in force.
    std::map<RunKey, int> m_ordered;
    std::vector<BestEffortRun> m_bestEffort;
    std::vector<ServingRun> m_serving;
    /// Smoothed baselines of the serving tasks.
    std::map<RunKey, double> m_baselines;
    /// Since when a serving task's tail is over its target.
    std::map<RunKey, TimePoint> m_overSince;
    std::int64_t m_cpuMilli = 1;
    double m_worstTailRatio = 0;
    TimePoint m_adjustedAt;
};

} // namespace Trefoilhoist::Jobs
