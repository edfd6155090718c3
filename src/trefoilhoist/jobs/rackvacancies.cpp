#include "trefoilhoist/jobs/rackvacancies.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Trefoilhoist::Jobs {

namespace {

/// Ends lose half of their weight in this time, which is that of the longest wait: a wait is decided by the rate of
/// about the same time before it.
constexpr Duration endHalfLife = seconds(2);
/// A start this long after the last start or end shows that the rack had room: on a full rack, starts follow ends.
constexpr Duration minIdleTime = seconds(1);
/// In microseconds: keeps a wait behind many tasks within the range of Duration.
constexpr double maxExpectedWait = 1e15;

} // namespace

void RackVacancies::Rate::advance(TimePoint now)
{
    constexpr auto halfLife = static_cast<double>(endHalfLife.count());
    const double weight = std::exp2(-static_cast<double>((now - lastEvent).count()) / halfLife);
    ends *= weight;
    observed = weight * observed + (1 - weight) * halfLife / std::numbers::ln2;
    lastEvent = now;
}

void RackVacancies::observeStart(const std::string &rack, TimePoint now)
{
    auto &rate = m_rates.try_emplace(rack, Rate{0, 0, now}).first->second;
    if (now - rate.lastEvent >= minIdleTime) {
        rate.lastEvent = now;
    }
    rate.advance(now);
}

void RackVacancies::observeEnd(const std::string &rack, TimePoint now)
{
    auto &rate = m_rates.try_emplace(rack, Rate{0, 0, now}).first->second;
    rate.advance(now);
    // Ends at the very beginning of the observation tell nothing of the time between ends.
    if (rate.observed > 0) {
        rate.ends += 1;
    }
}

std::optional<Duration> RackVacancies::expectedWait(const std::string &rack, std::size_t ahead, TimePoint now) const
{
    const auto it = m_rates.find(rack);
    if (it == m_rates.end() || it->second.ends <= 0) {
        return std::nullopt;
    }
    const double mean = it->second.observed / it->second.ends;
    const auto silence = static_cast<double>((now - it->second.lastEvent).count());
    const double wait = static_cast<double>(ahead + 1) * mean + std::max(0.0, silence - mean);
    return Duration(static_cast<Duration::rep>(std::min(wait, maxExpectedWait)));
}

} // namespace Trefoilhoist::Jobs
