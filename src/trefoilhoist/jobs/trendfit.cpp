#include "trefoilhoist/jobs/trendfit.h"

#include <chrono>
#include <cmath>

namespace Trefoilhoist::Jobs {

namespace {

/// A measurement's weight falls to 1/e within this time.
constexpr Duration timeConstant = milliseconds(800);
/// Draws the slope towards 0 while the measurements span a short time only, in square seconds.
constexpr double slopeDamping = 0.15;

double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double Trend::after(Duration time) const
{
    return level + slopePerSecond * secondsOf(time);
}

TrendFit TrendFit::agedTo(TimePoint now) const
{
    const double age = secondsOf(now - m_at);
    if (age <= 0) {
        return *this;
    }
    const double keep = std::exp(-age / secondsOf(timeConstant));
    TrendFit aged;
    aged.m_at = now;
    aged.m_weight = keep * m_weight;
    aged.m_time = keep * (m_time - age * m_weight);
    aged.m_timeSquares = keep * (m_timeSquares - 2 * age * m_time + age * age * m_weight);
    aged.m_value = keep * m_value;
    aged.m_timeValue = keep * (m_timeValue - age * m_value);
    return aged;
}

void TrendFit::add(double value, double weight, TimePoint now)
{
    *this = agedTo(now);
    // The new measurement is at the time 0, so that it adds nothing to the sums of times.
    m_at = now;
    m_weight += weight;
    m_value += weight * value;
}

double TrendFit::weight(TimePoint now) const
{
    return agedTo(now).m_weight;
}

Trend TrendFit::at(TimePoint now) const
{
    const auto aged = agedTo(now);
    const double spread = aged.m_weight * aged.m_timeSquares - aged.m_time * aged.m_time;
    Trend trend;
    trend.slopePerSecond
        = (aged.m_weight * aged.m_timeValue - aged.m_time * aged.m_value) / (spread + slopeDamping * aged.m_weight);
    trend.level = (aged.m_value - trend.slopePerSecond * aged.m_time) / aged.m_weight;
    return trend;
}

} // namespace Trefoilhoist::Jobs
