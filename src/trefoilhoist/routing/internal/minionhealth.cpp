#include "trefoilhoist/routing/internal/minionhealth.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

constexpr int maxConsecutiveErrors = 5;
constexpr int maxUnreachable = 3;
/// A minion is slow when its mean latency exceeds this multiple of the service's mean latency.
constexpr double slowFactor = 3;
/// A single probe is slow when its latency exceeds this multiple of the service's mean latency.
constexpr double slowProbeFactor = 6;
constexpr int minSamples = 30;
constexpr double smoothing = 1.0 / 32;
constexpr int probesToRestore = 3;
constexpr Duration firstBackoff = seconds(1);
constexpr Duration maxBackoff = seconds(30);

bool hasLatency(AttemptEnd end)
{
    return end == AttemptEnd::Answered || end == AttemptEnd::Lost;
}

} // namespace

HealthAction MinionHealth::observeAttempt(const AttemptResult &result, double serviceMeanUs)
{
    if (hasLatency(result.end)) {
        const auto us = static_cast<double>(result.latency.count());
        m_latencyUs = m_samples == 0 ? us : m_latencyUs + (us - m_latencyUs) * smoothing;
        ++m_samples;
    }
    switch (result.end) {
    case AttemptEnd::Answered:
        m_consecutiveErrors = 0;
        return isSlow(serviceMeanUs) ? HealthAction::Eject : HealthAction::Keep;
    case AttemptEnd::Refused:
    case AttemptEnd::Leaving:
        return HealthAction::Keep;
    case AttemptEnd::Unreachable:
        return ++m_consecutiveErrors >= maxUnreachable ? HealthAction::Eject : HealthAction::Keep;
    case AttemptEnd::ServerError:
    case AttemptEnd::Lost:
        return ++m_consecutiveErrors >= maxConsecutiveErrors || isSlow(serviceMeanUs) ? HealthAction::Eject
                                                                                      : HealthAction::Keep;
    }
    return HealthAction::Keep;
}

HealthAction MinionHealth::observeProbe(const AttemptResult &result, double serviceMeanUs, TimePoint now)
{
    m_probing = false;
    if (result.end == AttemptEnd::Refused || result.end == AttemptEnd::Leaving) {
        m_probeAt = now + firstBackoff;
        return HealthAction::Keep;
    }
    const bool slow
        = serviceMeanUs > 0 && static_cast<double>(result.latency.count()) > slowProbeFactor * serviceMeanUs;
    if (result.end != AttemptEnd::Answered || slow) {
        return HealthAction::Eject;
    }
    m_probeAt = now;
    return ++m_successfulProbes >= probesToRestore ? HealthAction::Restore : HealthAction::Keep;
}

void MinionHealth::eject(TimePoint now)
{
    m_backoff = m_backoff == Duration{} ? firstBackoff : std::min(m_backoff * 2, maxBackoff);
    m_ejected = true;
    m_probing = false;
    m_successfulProbes = 0;
    m_probeAt = now + m_backoff;
}

void MinionHealth::startProbe()
{
    m_probing = true;
}

void MinionHealth::restore()
{
    *this = MinionHealth{};
}

bool MinionHealth::isEjected() const
{
    return m_ejected;
}

bool MinionHealth::isProbeDue(TimePoint now) const
{
    return m_ejected && !m_probing && now >= m_probeAt;
}

Duration MinionHealth::probeOverdue(TimePoint now) const
{
    return now - m_probeAt;
}

int MinionHealth::consecutiveErrors() const
{
    return m_consecutiveErrors;
}

bool MinionHealth::isSlow(double serviceMeanUs) const
{
    return serviceMeanUs > 0 && m_samples >= minSamples && m_latencyUs > slowFactor * serviceMeanUs;
}

} // namespace Trefoilhoist::Detail
