#pragma once

#include "trefoilhoist/world/clock.h"

namespace Trefoilhoist::Jobs {

/// Tells a worker that fails what it is given from one that was given hopeless tasks. Recent outcomes count most.
class WorkerHealth
{
public:
    void observeSuccess(TimePoint now);
    void observeFailure(TimePoint now);
    /// A start without an answer, or a refusal.
    void observeStartProblem(TimePoint now);

    /// No task goes there now: its recent outcomes were bad, and most of all.
    [[nodiscard]] bool isQuarantined(TimePoint now) const;
    /// Share of recent outcomes that were bad, from 0 to 1; near 0 for a worker without outcomes.
    [[nodiscard]] double failureRatio(TimePoint now) const;

private:
    void decay(TimePoint now);
    [[nodiscard]] double decayed(double value, TimePoint now) const;

    double m_successes = 0;
    double m_failures = 0;
    TimePoint m_decayedAt;
    TimePoint m_quarantinedUntil;
};

} // namespace Trefoilhoist::Jobs
