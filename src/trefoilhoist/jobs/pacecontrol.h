#pragma once

#include "trefoilhoist/jobs/interferencetable.h"
#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/world/clock.h"

#include <map>
#include <vector>

namespace Trefoilhoist::Jobs {

/// A serving task's target over its tail latency: below 1, the target is broken. Falls evenly with the load on it.
[[nodiscard]] double slackOf(std::int64_t tailMs, std::int64_t targetMs);

/// A run that is to work at another share of its speed.
struct PaceOrder {
    RunKey run;
    int percent = 100;
};

/// Slows the tasks on lent processors of one minion that push a serving task's tail over its target, no others and
/// no more than needed, and lets them speed up again.
///
/// Who pushes whom comes from a table of image pairs; a tail that stays over its target all the same slows all of
/// them. Not thread-safe.
class PaceControl
{
public:
    /// `cpuMilli`: the processors of the minion, in thousandths of a core.
    void setCapacity(std::int64_t cpuMilli)
    {
        m_cpuMilli = cpuMilli;
    }
    void describe(const Wire::RunInfo &info);
    /// The run was not started.
    void forget(const RunKey &run)
    {
        m_infos.erase(run);
    }
    [[nodiscard]] bool knows(const RunKey &run) const
    {
        return m_infos.count(run) > 0;
    }
    void learned(const Wire::ImagePair &pair)
    {
        m_table.set(pair);
    }

    /// What is known of pairs of images, for an owner that has not seen them.
    [[nodiscard]] std::vector<Wire::ImagePair> pairs() const
    {
        return m_table.pairs();
    }

    /// Takes a listing's figures; returns what is to be ordered now.
    std::vector<PaceOrder> update(const std::vector<Wire::RunningTask> &running, TimePoint now);
    /// A run was started just now: the share of its speed, in percent, that does no harm beside what runs.
    int startPercent(const RunKey &run);
    /// An order that failed is given again with the next figures.
    void failed(const RunKey &run);
    /// The highest share of its target that a serving task's tail reached in the last figures.
    [[nodiscard]] double pressure() const
    {
        return m_pressure;
    }
    void clear();

private:
    struct Filling {
        RunKey run;
        std::string image;
        /// Share of the minion's processors that it would use at full speed.
        double fullShare = 0;
        double speed = 1;
    };
    struct Serving {
        std::string image;
        /// Slack that its tail would have without fills.
        double baseline = 0;
        /// How long its target has been broken without a pause.
        Duration overFor{};
    };

    void readFigures(const std::vector<Wire::RunningTask> &running, TimePoint now);
    void readServing(const Wire::RunningTask &row, const Wire::RunInfo &info, const FillShares &shares, TimePoint now);
    void chooseSpeeds();
    [[nodiscard]] double excessOf(const Serving &serving) const;
    void slowFor(const Serving &serving);
    std::vector<PaceOrder> orders();

    InterferenceTable m_table;
    struct Known {
        Wire::RunInfo info;
        /// Was listed at least once: it has ended when it no longer is.
        bool listed = false;
    };
    std::map<RunKey, Known> m_infos;
    /// What was ordered last, in percent; -1: not known to be in force.
    std::map<RunKey, int> m_ordered;
    std::vector<Filling> m_filling;
    std::vector<Serving> m_serving;
    /// Smoothed baselines of the serving tasks.
    std::map<RunKey, double> m_baselines;
    /// Since when a serving task's tail is over its target.
    std::map<RunKey, TimePoint> m_overSince;
    std::int64_t m_cpuMilli = 1;
    double m_pressure = 0;
    TimePoint m_adjustedAt;
};

} // namespace Trefoilhoist::Jobs
