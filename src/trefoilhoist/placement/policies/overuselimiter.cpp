#include "trefoilhoist/placement/policies/overuselimiter.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

/// Processor use up to this multiple of the reservation is tolerated.
constexpr double toleratedFactor = 1.05;
/// Throttles are lifted once this fraction of the worker's processors would stay free.
constexpr double spareFraction = 0.1;
/// Minimum time between a change of a task's limit and lifting it.
constexpr Duration restoreAfter = seconds(10);

Resources usedOn(const Host &host)
{
    auto used = host.view->serviceReserved + host.view->unconfirmedReserved;
    for (const auto &running : host.view->running) {
        used += running.used;
    }
    return used;
}

double demandMilliCpu(DecisionContext &context, const Host &host)
{
    auto demand = static_cast<double>(host.view->serviceReserved.milliCpu);
    for (const auto &running : host.view->running) {
        demand += context.sizes.unthrottledMilliCpu(running)
            * context.actionTracker.shareLimit(running.task, ActionTracker::Cause::Interference);
    }
    return demand;
}

void limitProcessors(DecisionContext &context, const Host &host)
{
    constexpr auto cause = ActionTracker::Cause::Overuse;
    const auto capacity = static_cast<double>(host.view->worker.capacity.milliCpu);
    const double demand = demandMilliCpu(context, host);
    for (const auto &running : host.view->running) {
        const double taskDemand = context.sizes.unthrottledMilliCpu(running);
        const auto reserved = static_cast<double>(running.reserved.milliCpu);
        const double share = context.actionTracker.shareLimit(running.task, cause);
        if (demand > capacity && taskDemand > toleratedFactor * reserved && taskDemand > 0) {
            context.actionTracker.setShareLimit(running, cause, std::clamp(reserved / taskDemand, 0.05, 1.0));
            continue;
        }
        const bool stable = context.now - context.actionTracker.changedAt(running.task, cause) >= restoreAfter;
        if (share < 1.0 && stable && demand < (1 - spareFraction) * capacity) {
            context.actionTracker.setShareLimit(running, cause, 1.0);
        }
    }
}

void limitMemory(DecisionContext &context, const Host &host)
{
    const auto used = usedOn(host);
    auto excess = used.memoryMb - host.view->worker.capacity.memoryMb;
    std::vector<const RunningTask *> over;
    for (const auto &running : host.view->running) {
        if (context.actionTracker.isEvicting(running.task)) {
            excess -= running.used.memoryMb;
        } else if (running.used.memoryMb > running.reserved.memoryMb) {
            over.push_back(&running);
        }
    }
    std::sort(over.begin(), over.end(), [](const auto *left, const auto *right) {
        return left->used.memoryMb - left->reserved.memoryMb > right->used.memoryMb - right->reserved.memoryMb;
    });
    for (const auto *running : over) {
        if (excess <= 0) {
            return;
        }
        excess -= running->used.memoryMb;
        context.actionTracker.evict(*running,
                                    "uses " + std::to_string(running->used.memoryMb) + " MB of "
                                        + std::to_string(running->reserved.memoryMb) + " MB reserved on a full worker");
    }
}

} // namespace

void limitOveruse(DecisionContext &context)
{
    for (const auto &host : context.table.hosts()) {
        limitProcessors(context, host);
        limitMemory(context, host);
    }
}

} // namespace Trefoilhoist::Detail
