#pragma once

#include <cstddef>
#include <map>

namespace Trefoilhoist::Trial {

/// Latencies by logarithmic bins.
class LatencyHistogram
{
public:
    void add(double ms, double weight);
    /// The latency below which `part` of the weight lies, in milliseconds.
    [[nodiscard]] double quantile(double part) const;
    [[nodiscard]] double shareAbove(double ms) const;

private:
    [[nodiscard]] static std::size_t binOf(double ms);
    std::map<std::size_t, double> m_bins;
    double m_total = 0;
};

} // namespace Trefoilhoist::Trial
