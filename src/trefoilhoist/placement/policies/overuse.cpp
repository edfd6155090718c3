#include "trefoilhoist/placement/policies/overuse.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

/// Overuse below this part of the reservation is let be.
constexpr double toleratedPart = 1.05;
/// Shares are given back once the worker would keep this part of its processors free.
constexpr double sparePart = 0.1;
constexpr Duration giveBackAfter = seconds(10);

Resources usedOn(const Host &host)
{
    auto used = host.view->serviceReserved + host.view->uncertain;
    for (const auto &running : host.view->running) {
        used += running.used;
    }
    return used;
}

double wantedMilliCpu(DecisionContext &context, const Host &host)
{
    auto wanted = static_cast<double>(host.view->serviceReserved.milliCpu);
    for (const auto &running : host.view->running) {
        wanted += context.sizes.unthrottledMilliCpu(running)
            * context.ledger.allowedShare(running.task, ActionLedger::Cause::Interference);
    }
    return wanted;
}

void limitProcessors(DecisionContext &context, const Host &host)
{
    constexpr auto cause = ActionLedger::Cause::Overuse;
    const auto capacity = static_cast<double>(host.view->worker.capacity.milliCpu);
    const double wanted = wantedMilliCpu(context, host);
    for (const auto &running : host.view->running) {
        const double wants = context.sizes.unthrottledMilliCpu(running);
        const auto reserved = static_cast<double>(running.reserved.milliCpu);
        const double share = context.ledger.allowedShare(running.task, cause);
        if (wanted > capacity && wants > toleratedPart * reserved && wants > 0) {
            context.ledger.allowShare(running, cause, std::clamp(reserved / wants, 0.05, 1.0));
            continue;
        }
        const bool settled = context.now - context.ledger.changedAt(running.task, cause) >= giveBackAfter;
        if (share < 1.0 && settled && wanted < (1 - sparePart) * capacity) {
            context.ledger.allowShare(running, cause, 1.0);
        }
    }
}

void limitMemory(DecisionContext &context, const Host &host)
{
    const auto used = usedOn(host);
    auto excess = used.memoryMb - host.view->worker.capacity.memoryMb;
    std::vector<const RunningTask *> over;
    for (const auto &running : host.view->running) {
        if (context.ledger.isEvicting(running.task)) {
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
        context.ledger.evict(*running,
                             "uses " + std::to_string(running->used.memoryMb) + " MB of "
                                 + std::to_string(running->reserved.memoryMb) + " MB reserved on a full worker");
    }
}

} // namespace

void answerOveruse(DecisionContext &context)
{
    for (const auto &host : context.table.hosts()) {
        limitProcessors(context, host);
        limitMemory(context, host);
    }
}

} // namespace Trefoilhoist::Detail
