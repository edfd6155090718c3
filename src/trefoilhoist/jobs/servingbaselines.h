#pragma once

#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/jobs/trendfit.h"

#include <map>
#include <optional>
#include <string>

namespace Trefoilhoist::Jobs {

/// Estimates the slack that the tasks of each serving step would have without best-effort tasks beside them.
///
/// The tasks of a step share its callers, so that their load changes together and measurements of all of them tell
/// about one baseline. Answers the load of serving steps that swings while best-effort tasks come and go. Callers pass
/// the current time. Not thread-safe.
class ServingBaselines
{
public:
    /// Adds a measurement of one of the step's tasks. `slack`: its slack plus what the best-effort tasks beside it are
    /// estimated to take. `weight`: 1 if that estimate is certain.
    void observe(const StepKey &step, double slack, double weight, TimePoint now);
    /// The step's baseline; nothing while too few of its tasks were measured lately.
    [[nodiscard]] std::optional<Trend> trend(const StepKey &step, TimePoint now) const;
    /// The lowest baseline expected until `now + horizon`. A falling trend is followed no further than to the lowest
    /// level at which the step's baseline has turned before.
    [[nodiscard]] std::optional<double> lowest(const StepKey &step, TimePoint now, Duration horizon) const;
    void forget(const std::string &job);
    /// Number of steps that have a baseline.
    [[nodiscard]] std::size_t count(TimePoint now) const;

private:
    struct Step {
        TrendFit fit;
        /// The lowest level since the baseline began to fall; nothing while it doesn't.
        std::optional<double> lowestOfFall;
        /// The lowest level from which the baseline has risen again after a fall.
        std::optional<double> lowestMinimum;

        void updateMinima(const Trend &trend);
    };

    std::map<StepKey, Step> m_steps;
};

} // namespace Trefoilhoist::Jobs
