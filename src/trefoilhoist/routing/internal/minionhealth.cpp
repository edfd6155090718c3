#include "trefoilhoist/routing/internal/minionhealth.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

constexpr int maxErrors = 5;
constexpr int maxUnreachable = 3;
/// A minion is slow when its mean latency is this many times the service's.
constexpr double slowFactor = 3;
/// A single probe may be this many times slower than usual.
constexpr double slowProbeFactor = 6;
constexpr int minSamples = 30;
constexpr double smoothing = 1.0 / 32;
constexpr int goodProbesNeeded = 3;
constexpr Duration firstBackoff = seconds(1);
constexpr Duration maxBackoff = seconds(30);

bool isTimed(AttemptEnd end)
{
    return end == AttemptEnd::Answered || end == AttemptEnd::Lost;
}

} // namespace

HealthVerdict MinionHealth::attempted(const AttemptResult &result, double usualUs)
{
    if (isTimed(result.end)) {
        const auto us = static_cast<double>(result.latency.count());
        m_latencyUs = m_samples == 0 ? us : m_latencyUs + (us - m_latencyUs) * smoothing;
        ++m_samples;
    }
    switch (result.end) {
    case AttemptEnd::Answered:
        m_errors = 0;
        return isSlow(usualUs) ? HealthVerdict::Eject : HealthVerdict::Keep;
    case AttemptEnd::Refused:
    case AttemptEnd::Leaving:
        return HealthVerdict::Keep;
    case AttemptEnd::Unreachable:
        return ++m_errors >= maxUnreachable ? HealthVerdict::Eject : HealthVerdict::Keep;
    case AttemptEnd::ServerError:
    case AttemptEnd::Lost:
        return ++m_errors >= maxErrors || isSlow(usualUs) ? HealthVerdict::Eject : HealthVerdict::Keep;
    }
    return HealthVerdict::Keep;
}

HealthVerdict MinionHealth::probed(const AttemptResult &result, double usualUs, TimePoint now)
{
    m_probing = false;
    if (result.end == AttemptEnd::Refused || result.end == AttemptEnd::Leaving) {
        m_probeAt = now + firstBackoff;
        return HealthVerdict::Keep;
    }
    const bool slow = usualUs > 0 && static_cast<double>(result.latency.count()) > slowProbeFactor * usualUs;
    if (result.end != AttemptEnd::Answered || slow) {
        return HealthVerdict::Eject;
    }
    m_probeAt = now;
    return ++m_goodProbes >= goodProbesNeeded ? HealthVerdict::Restore : HealthVerdict::Keep;
}

void MinionHealth::eject(TimePoint now)
{
    m_backoff = m_backoff == Duration{} ? firstBackoff : std::min(m_backoff * 2, maxBackoff);
    m_ejected = true;
    m_probing = false;
    m_goodProbes = 0;
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

int MinionHealth::errors() const
{
    return m_errors;
}

bool MinionHealth::isSlow(double usualUs) const
{
    return usualUs > 0 && m_samples >= minSamples && m_latencyUs > slowFactor * usualUs;
}

} // namespace Trefoilhoist::Detail
