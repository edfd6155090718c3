#include "trefoilhoist/jobs/idlecpuestimate.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// The estimate never falls below this, because a peak of the serving load may come between two measurements.
constexpr double minUse = 0.4;
constexpr double maxUse = 1.0;
/// Best-effort tasks that together get less than this share of their request compete for CPU. Tasks that are alone use
/// a little less than they request, too.
constexpr double competingRatio = 0.7;
/// Only requests for about all of the CPU that is taken for idle show that it is not. Otherwise the tasks are
/// throttled.
constexpr double nearlyAllIdle = 0.8;
constexpr double riseStep = 0.05;
/// CPU beyond what is known to be idle, as a share of the capacity, that may be given out until the next measurement.
constexpr double headroom = 0.05;

} // namespace

void IdleCpuEstimate::observe(const CpuMeasurement &measurement)
{
    if (measurement.requested <= 0 || measurement.reserved <= 0) {
        return;
    }
    const auto capacity = static_cast<double>(measurement.capacity);
    const auto reserved = static_cast<double>(measurement.reserved);
    const auto requested = static_cast<double>(measurement.requested);
    const double idle = capacity - m_reservationUse * reserved;
    if (static_cast<double>(measurement.used) < competingRatio * requested) {
        m_reservationUse += requested >= nearlyAllIdle * idle ? riseStep : 0;
    } else {
        const double atMost = (capacity - static_cast<double>(measurement.granted) - headroom * capacity) / reserved;
        m_reservationUse = std::min(m_reservationUse, atMost);
    }
    m_reservationUse = std::clamp(m_reservationUse, minUse, maxUse);
}

} // namespace Trefoilhoist::Jobs
