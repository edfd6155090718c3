#include "trefoilhoist/jobs/pacecontrol.h"

#include <algorithm>
#include <set>

namespace Trefoilhoist::Jobs {

namespace {

constexpr int fullSpeed = 100;
// Shares of its target that a tail reaches.
constexpr double slowDownAt = 0.9;
constexpr double speedUpBelow = 0.7;
constexpr double slowDownFactor = 0.6;
constexpr int speedUpPercent = 12;
constexpr int leastPercent = 4;
/// The figures show the last half second: an adjustment is judged by later ones.
constexpr Duration adjustEvery = milliseconds(550);

} // namespace

void PaceControl::describe(const Wire::RunInfo &info)
{
    m_infos[{info.task, info.run}] = info;
}

void PaceControl::adjust(double pressure, TimePoint now)
{
    m_pressure = pressure;
    if (now - m_adjustedAt < adjustEvery) {
        return;
    }
    if (pressure > slowDownAt) {
        const double factor = std::min(slowDownFactor, slowDownAt / pressure);
        m_percent = std::max(leastPercent, static_cast<int>(m_percent * factor));
        m_adjustedAt = now;
    } else if (pressure < speedUpBelow && m_percent < fullSpeed) {
        m_percent = std::min(fullSpeed, m_percent + speedUpPercent);
        m_adjustedAt = now;
    }
}

std::vector<PaceOrder> PaceControl::update(const std::vector<Wire::RunningTask> &running, TimePoint now)
{
    double pressure = 0;
    std::set<RunKey> present;
    for (const auto &row : running) {
        const RunKey key{row.task, row.run};
        present.insert(key);
        const auto info = m_infos.find(key);
        if (info != m_infos.end() && info->second.tailTargetMs > 0) {
            pressure = std::max(pressure, static_cast<double>(row.usage) / static_cast<double>(info->second.tailTargetMs));
        }
    }
    std::erase_if(m_ordered, [&](const auto &it) { return present.count(it.first) == 0; });
    adjust(pressure, now);
    std::vector<PaceOrder> orders;
    for (const auto &key : present) {
        const auto info = m_infos.find(key);
        if (info == m_infos.end() || !info->second.usesIdleCpu) {
            continue;
        }
        auto &ordered = m_ordered.emplace(key, fullSpeed).first->second;
        if (ordered != m_percent) {
            ordered = m_percent;
            orders.push_back({key, m_percent});
        }
    }
    return orders;
}

void PaceControl::failed(const RunKey &run)
{
    // Neither old nor new speed is known to be in force.
    const auto it = m_ordered.find(run);
    if (it != m_ordered.end()) {
        it->second = -1;
    }
}

void PaceControl::clear()
{
    m_infos.clear();
    m_ordered.clear();
    m_percent = fullSpeed;
    m_pressure = 0;
}

} // namespace Trefoilhoist::Jobs
