#include "trefoilhoist/jobs/servingbaselines.h"

#include <algorithm>
#include <cstdint>

namespace Trefoilhoist::Jobs {

namespace {

/// Below this weight a baseline would rest on one or two tasks, which may have troubles of their own. A task that is
/// measured twice a second has a weight of about 1.6.
constexpr double minWeight = 3.5;
/// A slower change of slack per second may be noise.
constexpr double minSlope = 0.1;

} // namespace

void ServingBaselines::observe(const StepKey &step, double slack, double weight, TimePoint now)
{
    auto &known = m_steps[step];
    known.fit.add(slack, weight, now);
    if (known.fit.weight(now) >= minWeight) {
        known.updateMinima(known.fit.at(now));
    }
}

void ServingBaselines::Step::updateMinima(const Trend &trend)
{
    if (trend.slopePerSecond < -minSlope) {
        lowestOfFall = std::min(lowestOfFall.value_or(trend.level), trend.level);
    } else if (trend.slopePerSecond > minSlope && lowestOfFall) {
        lowestMinimum = std::min(lowestMinimum.value_or(*lowestOfFall), *lowestOfFall);
        lowestOfFall.reset();
    }
}

std::optional<Trend> ServingBaselines::trend(const StepKey &step, TimePoint now) const
{
    const auto it = m_steps.find(step);
    if (it == m_steps.end() || it->second.fit.weight(now) < minWeight) {
        return std::nullopt;
    }
    return it->second.fit.at(now);
}

std::optional<double> ServingBaselines::lowest(const StepKey &step, TimePoint now, Duration horizon) const
{
    const auto current = trend(step, now);
    if (!current) {
        return std::nullopt;
    }
    const double later = current->after(horizon);
    const auto &minimum = m_steps.at(step).lowestMinimum;
    return std::min(current->level, minimum ? std::max(*minimum, later) : later);
}

std::size_t ServingBaselines::count(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_steps.begin(), m_steps.end(), [&](const auto &it) { return it.second.fit.weight(now) >= minWeight; }));
}

void ServingBaselines::forget(const std::string &job)
{
    m_steps.erase(m_steps.lower_bound({job, INT32_MIN, INT32_MIN}), m_steps.upper_bound({job, INT32_MAX, INT32_MAX}));
}

} // namespace Trefoilhoist::Jobs
