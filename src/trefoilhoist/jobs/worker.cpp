#include "trefoilhoist/jobs/worker.h"

#include "trefoilhoist/internal/invariant.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// Long-running tasks use about this share of what they reserve; the rest is lent.
constexpr double usedShareOfReserved = 0.6;

} // namespace

Demand &Demand::operator+=(const Demand &other)
{
    cpuMilli += other.cpuMilli;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    idleCpuMilli += other.idleCpuMilli;
    return *this;
}

Demand &Demand::operator-=(const Demand &other)
{
    cpuMilli -= other.cpuMilli;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    idleCpuMilli -= other.idleCpuMilli;
    return *this;
}

Demand demandOf(const Wire::StepSpec &step)
{
    Demand demand;
    demand.memoryMb = step.memoryMb;
    demand.accelerators = step.accelerators;
    (step.usesIdleCpu ? demand.idleCpuMilli : demand.cpuMilli) = step.cpuMilli;
    return demand;
}

bool Worker::hasLabel(const std::string &label) const
{
    return std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
}

bool Worker::fits(const Demand &demand) const
{
    return foreignRuns == 0 && used.cpuMilli + demand.cpuMilli <= info.cpuMilli && used.memoryMb + demand.memoryMb <= info.memoryMb
        && used.accelerators + demand.accelerators <= info.accelerators;
}

std::int64_t Worker::idleCpuMilli() const
{
    const auto busy = static_cast<std::int64_t>(usedShareOfReserved * static_cast<double>(used.cpuMilli));
    return info.cpuMilli - busy - used.idleCpuMilli;
}

Run &Worker::addRun(const RunKey &key, Run run)
{
    const auto [it, added] = runs.emplace(key, std::move(run));
    TREFOILHOIST_INVARIANT(added, "a run is known once");
    used += it->second.demand;
    foreignRuns += it->second.foreign ? 1 : 0;
    return it->second;
}

void Worker::removeRun(const RunKey &key)
{
    const auto it = runs.find(key);
    if (it != runs.end()) {
        used -= it->second.demand;
        foreignRuns -= it->second.foreign ? 1 : 0;
        runs.erase(it);
    }
}

} // namespace Trefoilhoist::Jobs
