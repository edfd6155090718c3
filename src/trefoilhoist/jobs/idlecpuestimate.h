#pragma once

#include <cstdint>

namespace Trefoilhoist::Jobs {

/// CPU figures of one worker, in thousandths of a core.
struct CpuMeasurement {
    std::int64_t capacity = 0;
    /// Reserved by tasks that are not best-effort.
    std::int64_t reserved = 0;
    /// Requested by all best-effort tasks.
    std::int64_t granted = 0;
    /// Requested by those of them that run at full speed, and what these use.
    std::int64_t requested = 0;
    std::int64_t used = 0;
};

/// Estimates which share of a worker's reserved CPU is in use, from whether best-effort tasks get what they request.
///
/// Reservations cover peaks, so that much of them is idle at most times. The estimate falls while best-effort tasks get
/// all that they request, and rises step by step when they compete for the idle CPU. Not thread-safe.
class IdleCpuEstimate
{
public:
    void observe(const CpuMeasurement &measurement);
    /// From 0 to 1.
    [[nodiscard]] double reservationUse() const
    {
        return m_reservationUse;
    }

private:
    double m_reservationUse = initialUse;

    /// Assumed before anything was measured.
    static constexpr double initialUse = 0.6;
};

} // namespace Trefoilhoist::Jobs
