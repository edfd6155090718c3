#include "latencyhistogram.h"

#include <algorithm>
#include <cmath>

namespace Trefoilhoist::Trial {

namespace {

constexpr double binsPerFactorOfTen = 100;

} // namespace

void LatencyHistogram::add(double ms, double weight)
{
    m_bins[binOf(ms)] += weight;
    m_total += weight;
}

std::size_t LatencyHistogram::binOf(double ms)
{
    return static_cast<std::size_t>(std::max(0.0, (std::log10(ms) + 3) * binsPerFactorOfTen));
}

double LatencyHistogram::quantile(double part) const
{
    double sum = 0;
    for (const auto &[bin, weight] : m_bins) {
        sum += weight;
        if (sum >= part * m_total) {
            return std::pow(10.0, (static_cast<double>(bin) + 0.5) / binsPerFactorOfTen - 3);
        }
    }
    return 0;
}

double LatencyHistogram::shareAbove(double ms) const
{
    double sum = 0;
    for (const auto &[bin, weight] : m_bins) {
        sum += bin > binOf(ms) ? weight : 0;
    }
    return m_total > 0 ? sum / m_total : 0;
}

} // namespace Trefoilhoist::Trial
