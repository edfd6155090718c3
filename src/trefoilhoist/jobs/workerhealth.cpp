#include "trefoilhoist/jobs/workerhealth.h"

#include <cmath>

namespace Trefoilhoist::Jobs {

namespace {

/// Outcomes lose half of their weight in this time.
constexpr Duration outcomeHalfLife = seconds(4);
/// Decayed number of failures from which a worker can be quarantined.
constexpr double minFailuresToQuarantine = 1.6;
constexpr double minFailureRatioToQuarantine = 0.5;
/// Duration of a quarantine; the next failure after it can start another one.
constexpr Duration quarantineTime = seconds(3);
/// Outcomes that every worker is assumed to have had.
constexpr double priorSuccesses = 1.0;
constexpr double priorFailures = 0.05;
constexpr double startProblemWeight = 0.5;

} // namespace

double WorkerHealth::decayed(double value, TimePoint now) const
{
    const double halfLives
        = static_cast<double>((now - m_decayedAt).count()) / static_cast<double>(outcomeHalfLife.count());
    return value * std::exp2(-halfLives);
}

void WorkerHealth::decay(TimePoint now)
{
    m_successes = decayed(m_successes, now);
    m_failures = decayed(m_failures, now);
    m_decayedAt = now;
}

void WorkerHealth::observeSuccess(TimePoint now)
{
    decay(now);
    m_successes += 1;
    m_quarantinedUntil = TimePoint{};
}

void WorkerHealth::observeFailure(TimePoint now)
{
    decay(now);
    m_failures += 1;
    if (m_failures >= minFailuresToQuarantine && failureRatio(now) >= minFailureRatioToQuarantine) {
        m_quarantinedUntil = now + quarantineTime;
    }
}

void WorkerHealth::observeStartProblem(TimePoint now)
{
    decay(now);
    m_failures += startProblemWeight;
    if (m_failures >= minFailuresToQuarantine && failureRatio(now) >= minFailureRatioToQuarantine) {
        m_quarantinedUntil = now + quarantineTime;
    }
}

bool WorkerHealth::isQuarantined(TimePoint now) const
{
    return now < m_quarantinedUntil;
}

double WorkerHealth::failureRatio(TimePoint now) const
{
    const double weight = decayed(1, now);
    const double failures = weight * m_failures + priorFailures;
    return failures / (failures + weight * m_successes + priorSuccesses);
}

} // namespace Trefoilhoist::Jobs
