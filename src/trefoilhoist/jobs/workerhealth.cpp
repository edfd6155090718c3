#include "trefoilhoist/jobs/workerhealth.h"

#include <cmath>

namespace Trefoilhoist::Jobs {

namespace {

/// Outcomes lose half of their weight in this time.
constexpr Duration outcomeHalfLife = seconds(4);
/// Bad outcomes, faded, from which a worker can be quarantined.
constexpr double quarantineBad = 1.6;
constexpr double quarantineShare = 0.5;
/// After this, the next bad outcome begins another.
constexpr Duration quarantineTime = seconds(3);
/// What a worker without outcomes starts from, each way.
constexpr double priorGood = 1.0;
constexpr double priorBad = 0.05;
constexpr double troubleWeight = 0.5;

} // namespace

double WorkerHealth::faded(double value, TimePoint now) const
{
    const double halves = static_cast<double>((now - m_fadedAt).count()) / static_cast<double>(outcomeHalfLife.count());
    return value * std::exp2(-halves);
}

void WorkerHealth::fade(TimePoint now)
{
    m_good = faded(m_good, now);
    m_bad = faded(m_bad, now);
    m_fadedAt = now;
}

void WorkerHealth::noteDone(TimePoint now)
{
    fade(now);
    m_good += 1;
    m_quarantinedUntil = TimePoint{};
}

void WorkerHealth::noteFailed(TimePoint now)
{
    fade(now);
    m_bad += 1;
    if (m_bad >= quarantineBad && badShare(now) >= quarantineShare) {
        m_quarantinedUntil = now + quarantineTime;
    }
}

void WorkerHealth::noteTrouble(TimePoint now)
{
    fade(now);
    m_bad += troubleWeight;
    if (m_bad >= quarantineBad && badShare(now) >= quarantineShare) {
        m_quarantinedUntil = now + quarantineTime;
    }
}

bool WorkerHealth::quarantined(TimePoint now) const
{
    return now < m_quarantinedUntil;
}

double WorkerHealth::badShare(TimePoint now) const
{
    const double bad = faded(m_bad, now) + priorBad;
    return bad / (bad + faded(m_good, now) + priorGood);
}

} // namespace Trefoilhoist::Jobs
