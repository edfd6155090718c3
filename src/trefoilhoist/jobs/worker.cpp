#include "trefoilhoist/jobs/worker.h"

#include "trefoilhoist/internal/invariant.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// By how much the owner may misjudge the age of a run: orders and reports are delayed, and crashes noticed late.
constexpr Duration maxUncertaintyOfAge = seconds(2);
/// Number of runs of one worker that are remembered after they were given up.
constexpr std::size_t maxGivenUpRuns = 1000;

bool fitsWorker(const Demand &demand, const Wire::WorkerDescription &worker)
{
    return demand.cpuMilli <= worker.cpuMilli && demand.memoryMb <= worker.memoryMb
        && demand.accelerators <= worker.accelerators;
}

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

std::string agentName(const Wire::WorkerDescription &worker)
{
    return worker.agentHost + ":" + std::to_string(worker.agentPort);
}

Demand demandOf(const Wire::StepSpec &step)
{
    Demand demand;
    demand.memoryMb = step.memoryMb;
    demand.accelerators = step.accelerators;
    (step.usesIdleCpu ? demand.idleCpuMilli : demand.cpuMilli) = step.cpuMilli;
    return demand;
}

Run runOf(const Wire::StepSpec &step, TimePoint orderedAt)
{
    Run run;
    run.demand = demandOf(step);
    run.orderedAt = orderedAt;
    run.image = step.image;
    run.tailTargetMs = step.tailTargetMs;
    run.longRunning = step.longRunning;
    return run;
}

bool Worker::hasLabel(const std::string &label) const
{
    return std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
}

bool Worker::fits(const Demand &demand) const
{
    Demand total = used;
    total += demand;
    return orphanedRuns == 0 && fitsWorker(total, info);
}

bool Worker::isOvercommitted() const
{
    return !fitsWorker(used, info);
}

std::optional<double> Worker::shortage(const Demand &demand) const
{
    Demand withLongRunning = usedByLongRunning;
    withLongRunning += demand;
    if (orphanedRuns > 0 || !fitsWorker(withLongRunning, info)) {
        return std::nullopt;
    }
    Demand total = used;
    total += demand;
    const double cpu = static_cast<double>(total.cpuMilli - info.cpuMilli) / cpuCapacity();
    const double memory = static_cast<double>(total.memoryMb - info.memoryMb) / std::max(1, info.memoryMb);
    return std::max({0.0, cpu, memory});
}

bool Worker::isSettled(TimePoint now) const
{
    const bool mayStart = std::any_of(runs.begin(), runs.end(), [](const auto &it) {
        return !it.second.isConfirmed() && !it.second.stopAcknowledged;
    });
    return !mayStart && now - lastStartAt >= startObservationTime;
}

std::int64_t Worker::idleCpuMilli() const
{
    const auto busyCpuMilli = static_cast<std::int64_t>(idleCpu.reservationUse() * static_cast<double>(used.cpuMilli));
    return info.cpuMilli - busyCpuMilli - used.idleCpuMilli;
}

Wire::LostRun lostRun(const Worker &worker, const RunKey &key, const Run &run)
{
    const auto age = worker.lastContact - run.orderedAt;
    Wire::LostRun lost;
    lost.task = key.task;
    lost.run = key.run;
    lost.ageMs = age > maxUncertaintyOfAge ? duration_cast<milliseconds>(age).count() : 0;
    return lost;
}

Run &Worker::addRun(const RunKey &key, Run run)
{
    const auto [it, added] = runs.emplace(key, std::move(run));
    TREFOILHOIST_INVARIANT(added, "a worker's runs have distinct keys");
    used += it->second.demand;
    lastStartAt = std::max(lastStartAt, it->second.orderedAt);
    orphanedRuns += it->second.orphaned ? 1 : 0;
    if (it->second.longRunning) {
        usedByLongRunning += it->second.demand;
    }
    if (it->second.tailTargetMs > 0) {
        servingRuns.push_back(&it->second);
    }
    if (it->second.demand.idleCpuMilli > 0) {
        bestEffortRuns.push_back(&it->second);
    }
    mayNeedOrders = mayNeedOrders || it->second.needsOrder();
    return it->second;
}

void Worker::removeRun(const RunKey &key)
{
    const auto it = runs.find(key);
    if (it != runs.end()) {
        used -= it->second.demand;
        orphanedRuns -= it->second.orphaned ? 1 : 0;
        if (it->second.longRunning) {
            usedByLongRunning -= it->second.demand;
        }
        if (it->second.startedAlone) {
            reservation = {};
        }
        std::erase(servingRuns, &it->second);
        std::erase(bestEffortRuns, &it->second);
        runs.erase(it);
    }
}

void Worker::rememberGivenUp(const RunKey &key, LossCause cause)
{
    givenUpRuns.insert_or_assign(key, cause);
    if (givenUpRuns.size() > maxGivenUpRuns) {
        givenUpRuns.erase(givenUpRuns.begin());
    }
}

void Worker::raiseTerm(TimePoint now)
{
    ++leaseTerm;
    termRaisedAt = now;
}

void Worker::applyLapse(std::int64_t reportedTerm)
{
    if (reportedTerm <= lapsedTerm || reportedTerm >= leaseTerm) {
        return;
    }
    lapsedTerm = reportedTerm;
    if (!awaitsLapse()) {
        givenUpRuns.clear();
    }
}

} // namespace Trefoilhoist::Jobs
