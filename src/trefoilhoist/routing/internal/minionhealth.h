#pragma once

#include "trefoilhoist/routing/router.h"

namespace Trefoilhoist::Detail {

/// What to do with a minion after a request attempt sent to it.
enum class HealthAction { Keep, Eject, Restore };

/// Detects a failing or slow minion from the request attempts sent to it, and schedules the probes of an ejected one.
class MinionHealth
{
public:
    /// Evaluates the end of an ordinary attempt. `serviceMeanUs` is the service's mean latency in microseconds, 0 when
    /// unknown.
    [[nodiscard]] HealthAction observeAttempt(const AttemptResult &result, double serviceMeanUs);

    /// Evaluates the end of a probe.
    [[nodiscard]] HealthAction observeProbe(const AttemptResult &result, double serviceMeanUs, TimePoint now);

    /// Ejects the minion. The delay until the first probe doubles with each ejection, up to a maximum, until the minion
    /// is restored.
    void eject(TimePoint now);
    /// Marks a probe as in flight; no other probe is due until it ends.
    void startProbe();
    /// Ends the ejection and clears all evidence.
    void restore();

    [[nodiscard]] bool isEjected() const;
    [[nodiscard]] bool isProbeDue(TimePoint now) const;
    /// How long ago the probe became due.
    [[nodiscard]] Duration probeOverdue(TimePoint now) const;
    /// Errors since the last answer.
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
