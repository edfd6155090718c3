#pragma once

#include "trefoilhoist/routing/router.h"

namespace Trefoilhoist::Detail {

/// What the evidence about a minion asks for.
enum class HealthAction { Keep, Eject, Restore };

/// Evidence that a minion fails or is slow, from the attempts on it.
class MinionHealth
{
public:
    /// Judges the end of an ordinary attempt. `serviceMeanUs` is the service's mean latency, 0 when unknown.
    [[nodiscard]] HealthAction observeAttempt(const AttemptResult &result, double serviceMeanUs);

    /// Judges the end of a probe.
    [[nodiscard]] HealthAction observeProbe(const AttemptResult &result, double serviceMeanUs, TimePoint now);

    /// Takes the minion out until a probe is due.
    void eject(TimePoint now);
    /// A probe is on its way: no other one until it ends.
    void startProbe();
    void restore();

    [[nodiscard]] bool isEjected() const;
    [[nodiscard]] bool isProbeDue(TimePoint now) const;
    /// How long ago the probe became due.
    [[nodiscard]] Duration probeOverdue(TimePoint now) const;
    /// Errors in a row since the last answer.
    [[nodiscard]] int consecutiveErrors() const;

private:
    [[nodiscard]] bool isSlow(double serviceMeanUs) const;

    int m_consecutiveErrors = 0;
    int m_samples = 0;
    double m_latencyUs = 0;
    bool m_ejected = false;
    bool m_probing = false;
    int m_successfulProbes = 0;
    TimePoint m_probeAt{};
    Duration m_backoff{};
};

} // namespace Trefoilhoist::Detail
