#pragma once

#include "trefoilhoist/world/clock.h"

namespace Trefoilhoist::Jobs {

/// Level of a slowly changing value and its change per second.
struct Trend {
    double level = 0;
    double slopePerSecond = 0;

    /// The value that the trend leads to after `time`.
    [[nodiscard]] double after(Duration time) const;
};

/// Fits a straight line to measurements of a changing value by weighted least squares, in which older measurements
/// count exponentially less. Callers pass the current time. Not thread-safe.
class TrendFit
{
public:
    /// `weight`: 1 for a measurement of ordinary certainty.
    void add(double value, double weight, TimePoint now);
    /// The sum of the weights, each less by its measurement's age.
    [[nodiscard]] double weight(TimePoint now) const;
    /// The line at `now`; meaningful only if weight() is above 0.
    [[nodiscard]] Trend at(TimePoint now) const;

private:
    [[nodiscard]] TrendFit agedTo(TimePoint now) const;

    TimePoint m_at;
    // Weighted sums; times are in seconds relative to m_at.
    double m_weight = 0;
    double m_time = 0;
    double m_timeSquares = 0;
    double m_value = 0;
    double m_timeValue = 0;
};

} // namespace Trefoilhoist::Jobs
