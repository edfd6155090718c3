#pragma once

#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/world/clock.h"

#include <map>
#include <vector>

namespace Trefoilhoist::Jobs {

/// A run that is to work at another share of its speed.
struct PaceOrder {
    RunKey run;
    int percent = 100;
};

/// Slows the tasks on lent processors of one minion before the tail latency of a serving task beside them breaks
/// its target, and lets them speed up again. Not thread-safe.
class PaceControl
{
public:
    void describe(const Wire::RunInfo &info);
    [[nodiscard]] bool knows(const RunKey &run) const { return m_infos.count(run) > 0; }

    /// Takes a listing's figures; returns what is to be ordered now.
    std::vector<PaceOrder> update(const std::vector<Wire::RunningTask> &running, TimePoint now);
    /// An order that failed is given again with the next figures.
    void failed(const RunKey &run);
    [[nodiscard]] int percent() const { return m_percent; }
    /// The highest share of its target that a serving task's tail reached in the last figures.
    [[nodiscard]] double pressure() const { return m_pressure; }
    void clear();

private:
    void adjust(double pressure, TimePoint now);

    std::map<RunKey, Wire::RunInfo> m_infos;
    std::map<RunKey, int> m_ordered;
    int m_percent = 100;
    double m_pressure = 0;
    TimePoint m_adjustedAt;
};

} // namespace Trefoilhoist::Jobs
