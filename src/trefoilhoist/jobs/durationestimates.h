#pragma once

#include "trefoilhoist/world/clock.h"

#include <map>
#include <string>

namespace Trefoilhoist::Jobs {

/// Corrects the run times that callers declare by those that tasks of the same queue turned out to have.
///
/// Fits the logarithms of both, so that a declared time counts only as far as it has told something before. Intended
/// for declared run times that are off by an order of magnitude. Evidence does not age. Not thread-safe.
class DurationEstimates
{
public:
    /// Adds a task that has ended. `declared` and `actual` must be above 0.
    void observe(const std::string &queue, Duration declared, Duration actual);
    /// The expected run time of a task; `declared` until enough tasks of the queue have ended.
    [[nodiscard]] Duration expected(const std::string &queue, Duration declared) const;

private:
    /// Sums over the logarithms of declared and actual run times in seconds.
    struct Sums {
        double count = 0;
        double declared = 0;
        double actual = 0;
        double declaredSquares = 0;
        double products = 0;
    };

    std::map<std::string, Sums> m_queues;
};

} // namespace Trefoilhoist::Jobs
