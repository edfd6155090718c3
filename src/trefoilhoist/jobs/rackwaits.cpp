#include "trefoilhoist/jobs/rackwaits.h"

#include "trefoilhoist/jobs/joblog.h"

namespace Trefoilhoist::Jobs {

namespace {

/// Beyond this number of awaited places tasks start elsewhere. Bounds the memory and the time of a plan for large steps
/// whose rack has no measured rate.
constexpr std::size_t maxPlacesAwaited = 1000;
/// Minimum time between two log lines about waits.
constexpr Duration logInterval = seconds(1);

} // namespace

RackWaits::RackWaits(double remoteMultiplier) : m_decision(remoteMultiplier) { }

void RackWaits::beginPlan()
{
    m_awaited.clear();
}

void RackWaits::observeStart(const Worker &worker, const Run &run)
{
    if (!isEnabled()) {
        return;
    }
    // No field says which label is the rack; rates of other labels are never read.
    for (const auto &label : worker.info.labels) {
        vacancies(run.demand.idleCpuMilli > 0).observeStart(label, run.orderedAt);
    }
}

void RackWaits::observeEnd(const Worker &worker, const RunKey &key, TimePoint now)
{
    const auto run = worker.runs.find(key);
    if (!isEnabled() || run == worker.runs.end()) {
        return;
    }
    for (const auto &label : worker.info.labels) {
        vacancies(run->second.demand.idleCpuMilli > 0).observeEnd(label, now);
    }
}

std::size_t RackWaits::awaited(const RackKey &rack) const
{
    const auto it = m_awaited.find(rack);
    return it == m_awaited.end() ? 0 : it->second;
}

std::optional<Duration>
RackWaits::expectedWait(const std::string &rack, bool idleCpu, std::size_t count, TimePoint now) const
{
    if (count == 0) {
        return Duration{};
    }
    const auto &rates = idleCpu ? m_idleCpuVacancies : m_vacancies;
    return rates.expectedWait(rack, awaited({idleCpu, rack}) + count - 1, now);
}

bool RackWaits::await(
    const std::string &job, const AwaitedPlaces &places, PlacementChoice choice, std::int64_t epoch, TimePoint now)
{
    choice.expectedWait = places.expectedWait;
    const RackKey rack{places.idleCpu, places.rack};
    if (awaited(rack) >= maxPlacesAwaited || m_decision.decide(choice) == PlacementVerdict::StartElsewhere) {
        return false;
    }
    m_awaited[rack] += places.count;
    if (now - m_loggedAt >= logInterval) {
        m_loggedAt = now;
        logPlacementWaits(job, places.rack, choice, m_decision.gain(choice.runTime), epoch);
    }
    return true;
}

} // namespace Trefoilhoist::Jobs
