#pragma once

#include "trefoilhoist/world/clock.h"

namespace Trefoilhoist::Jobs {

/// Tells a worker that fails what it is given from one that was given hopeless tasks. Recent outcomes count most.
class WorkerHealth
{
public:
    void noteDone(TimePoint now);
    void noteFailed(TimePoint now);
    /// A start without an answer, or a refusal.
    void noteTrouble(TimePoint now);

    /// No task goes there now, but for one try at a time after a while.
    [[nodiscard]] bool quarantined(TimePoint now) const;
    /// Share of recent outcomes that were bad, from 0 to 1; few outcomes count as half an outcome each way.
    [[nodiscard]] double badShare(TimePoint now) const;

    /// Work on this worker takes this many times as long as elsewhere.
    [[nodiscard]] double slowness() const
    {
        return m_slowness;
    }
    void noteSpeed(double timesAsLong);

private:
    void fade(TimePoint now);
    [[nodiscard]] double faded(double value, TimePoint now) const;

    double m_good = 0;
    double m_bad = 0;
    double m_slowness = 1.0;
    TimePoint m_fadedAt;
    TimePoint m_quarantinedUntil;
};

} // namespace Trefoilhoist::Jobs
