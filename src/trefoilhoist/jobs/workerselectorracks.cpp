// Part of WorkerSelector: which workers are on the rack that a step prefers, and what room racks have.
#include "trefoilhoist/jobs/workerselector.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

bool WorkerSelector::isRemote(const Worker &worker) const
{
    return m_prefersRack && !m_overdue && !m_step.inputRack.empty() && !worker.hasLabel(m_step.inputRack);
}

void WorkerSelector::noteFull(const Worker &worker)
{
    const bool onRack = m_prefersRack && worker.hasLabel(m_step.inputRack);
    m_rackMayFree = m_rackMayFree || (onRack && worker.shortage(m_demand).has_value());
}

bool WorkerSelector::mayWaitForRack() const
{
    return !m_candidates.empty() && m_candidates.front().remote && (m_rackMayFree || m_excludedOnRack);
}

std::string WorkerSelector::rackOf(const Worker &worker) const
{
    if (!m_step.inputRack.empty() && worker.hasLabel(m_step.inputRack)) {
        return m_step.inputRack;
    }
    return worker.info.labels.empty() ? std::string() : worker.info.labels.back();
}

std::map<std::string, RackRoom> WorkerSelector::roomByRack(std::size_t tasks) const
{
    std::map<std::string, RackRoom> rooms;
    for (const auto *worker : m_considered) {
        if (rejectionOf(*worker) == Rejection::None) {
            auto &room = rooms[rackOf(*worker)];
            room.now += hasFreeCapacity(*worker) ? roomOn(*worker, tasks, false) : 0;
            room.later += roomOn(*worker, tasks, true);
        }
    }
    return rooms;
}

std::size_t WorkerSelector::roomOn(const Worker &worker, std::size_t tasks, bool later) const
{
    const auto limit = m_step.maxPerWorker > 0 ? std::min(tasks, static_cast<std::size_t>(m_step.maxPerWorker)) : tasks;
    const auto idleCpuMilli = later ? worker.info.cpuMilli : worker.idleCpuMilli();
    Demand total = m_demand;
    std::size_t n = 0;
    while (n < limit && total.idleCpuMilli <= idleCpuMilli
           && (later ? worker.shortage(total).has_value() : worker.fits(total))) {
        total += m_demand;
        ++n;
    }
    return n;
}

} // namespace Trefoilhoist::Jobs
