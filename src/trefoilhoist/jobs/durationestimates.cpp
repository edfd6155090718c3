#include "trefoilhoist/jobs/durationestimates.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Trefoilhoist::Jobs {

namespace {

/// Fewer tasks tell less than what is declared.
constexpr double minCount = 20;
/// Added to the variance of the declared times, so that a few tasks that are alike by chance decide nothing.
constexpr double varianceDamping = 0.05;
constexpr double minSeconds = 1e-3;

double logSeconds(Duration time)
{
    return std::log(std::max(minSeconds, std::chrono::duration<double>(time).count()));
}

} // namespace

void DurationEstimates::observe(const std::string &queue, Duration declared, Duration actual)
{
    auto &sums = m_queues[queue];
    const double x = logSeconds(declared);
    const double y = logSeconds(actual);
    sums.count += 1;
    sums.declared += x;
    sums.actual += y;
    sums.declaredSquares += x * x;
    sums.products += x * y;
}

Duration DurationEstimates::expected(const std::string &queue, Duration declared) const
{
    const auto it = m_queues.find(queue);
    if (it == m_queues.end() || it->second.count < minCount) {
        return declared;
    }
    const auto &sums = it->second;
    const double meanDeclared = sums.declared / sums.count;
    const double meanActual = sums.actual / sums.count;
    const double variance = sums.declaredSquares / sums.count - meanDeclared * meanDeclared;
    const double covariance = sums.products / sums.count - meanDeclared * meanActual;
    const double weight = std::clamp(covariance / (variance + varianceDamping), 0.0, 1.0);
    const double logExpected = meanActual + weight * (logSeconds(declared) - meanDeclared);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exp(logExpected)));
}

} // namespace Trefoilhoist::Jobs
