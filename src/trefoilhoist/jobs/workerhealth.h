#pragma once

#include "trefoilhoist/world/clock.h"

namespace Trefoilhoist::Jobs {

/// Outcome statistics of one worker. They tell a faulty worker from one that got tasks that fail everywhere. Recent
/// outcomes count most.
class WorkerHealth
{
public:
    void observeSuccess(TimePoint now);
    void observeFailure(TimePoint now);
    /// A start order that got no answer or was refused.
    void observeStartProblem(TimePoint now);

    /// True while the worker gets no tasks: it had several failures recently, and they were most of its outcomes.
    [[nodiscard]] bool isQuarantined(TimePoint now) const;
    /// Share of failures in the recent outcomes, from 0 to 1; near 0 for a worker without outcomes.
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
