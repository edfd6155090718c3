// Part of JobScheduler: handles the answers to orders.
#include "trefoilhoist/jobs/joblog.h"
#include "trefoilhoist/jobs/jobscheduler.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// An acknowledged stop is repeated after so many delays, if the end of the run is not listed by then.
constexpr int stopRetryDelays = 4;

} // namespace

void JobScheduler::handleOrderResults(const Wire::WorkerOrders &orders,
                                      const std::optional<Wire::WorkerOrdersReply> &reply,
                                      TimePoint now)
{
    m_now = now;
    const auto found = m_workers.find(orders.worker);
    if (found == m_workers.end() || found->second.info.born != orders.born) {
        return;
    }
    auto &worker = found->second;
    worker.mayNeedOrders = true;
    const auto resultAt = [](const std::vector<std::int32_t> &results, std::size_t i) {
        const bool known
            = i < results.size() && results[i] >= 0 && static_cast<std::size_t>(results[i]) < orderResultNames.size();
        return known ? static_cast<OrderResult>(results[i]) : OrderResult::Unknown;
    };
    for (std::size_t i = 0; i < orders.starts.size(); ++i) {
        const RunKey key{orders.starts[i].task, orders.starts[i].run};
        const auto it = worker.runs.find(key);
        if (it == worker.runs.end()) {
            continue;
        }
        handleStartResult(
            worker, key, reply ? resultAt(reply->starts, i) : OrderResult::Unknown, reply ? reply->listing : 0, now);
    }
    for (std::size_t i = 0; i < orders.stops.size(); ++i) {
        const RunKey key{orders.stops[i].task, orders.stops[i].run};
        const auto it = worker.runs.find(key);
        if (it == worker.runs.end()) {
            continue;
        }
        auto &run = it->second;
        run.inFlight = false;
        const auto result = reply ? resultAt(reply->stops, i) : OrderResult::Unknown;
        if (result == OrderResult::Done || result == OrderResult::Superseded) {
            if (!run.stopAcknowledged) {
                // Any listing after the first answer resolves the run; a repeated stop must not put that off.
                run.lastListingBeforeResolution = std::max(reply->listing, std::int64_t{0});
            }
            run.stopAcknowledged = true;
            // The end is normally listed soon; if it isn't, the stop is sent again.
            run.nextOrderAt = now + stopRetryDelays * m_settings.orderRetryDelay;
        } else {
            run.nextOrderAt = now + m_settings.orderRetryDelay;
        }
    }
}

void JobScheduler::handleStartResult(
    Worker &worker, const RunKey &key, OrderResult result, std::int64_t listing, TimePoint now)
{
    auto &run = worker.runs.at(key);
    run.inFlight = false;
    const bool stopping = run.state == RunState::Stopping;
    if (run.listedIn > 0 && result != OrderResult::Done) {
        // An earlier order has started the run, so that the answer to a repeated one means nothing: a later listing
        // shows whether the run still exists.
        run.lastListingBeforeResolution = std::max(run.listedIn, listing);
        return;
    }
    switch (result) {
    case OrderResult::Done:
        confirmStart(key);
        run.mayStillStart = false;
        run.lastListingBeforeResolution = listing;
        if (run.startedAlone) {
            worker.reservation = {now + startObservationTime, std::nullopt};
        }
        if (!stopping) {
            run.state = RunState::Running;
        }
        break;
    case OrderResult::Superseded:
        // The run has ended or was stopped on the minion, as after an acknowledged stop: a listing shows its end,
        // unless that was acknowledged before.
        run.state = RunState::Stopping;
        run.mayStillStart = false;
        run.stopAcknowledged = true;
        run.lastListingBeforeResolution = listing;
        run.nextOrderAt = now + stopRetryDelays * m_settings.orderRetryDelay;
        break;
    case OrderResult::Unknown:
        run.mayStillStart = true;
        ++run.unansweredOrders;
        run.nextOrderAt = now + m_settings.orderRetryDelay;
        worker.health.observeStartProblem(now);
        if (!stopping) {
            run.state = RunState::Unresolved;
        }
        break;
    case OrderResult::NoRoom:
    case OrderResult::Refused:
    case OrderResult::Invalid:
        handleRefusedStart(worker, key, result, now);
        break;
    }
}

void JobScheduler::handleRefusedStart(Worker &worker, const RunKey &key, OrderResult result, TimePoint now)
{
    logRefusedStart(worker, key, result, m_epoch);
    if (result == OrderResult::Refused) {
        worker.health.observeStartProblem(now);
    }
    auto &run = worker.runs.at(key);
    if (run.stopAcknowledged) {
        // The run existed before this order, whose refusal tells nothing about it.
        return;
    }
    if (run.mayStillStart) {
        // An earlier start order for this run may still be executed.
        run.nextOrderAt = now + m_settings.orderRetryDelay;
        run.state = run.state == RunState::Stopping ? run.state : RunState::Unresolved;
        ++run.unansweredOrders;
        return;
    }
    delayRetry(key, now);
    handleLostRun(worker, key, now);
}

void JobScheduler::confirmStart(const RunKey &key)
{
    if (auto *entry = find(key.task.job); entry != nullptr) {
        entry->job.confirmStart();
    }
}

// Delays the next start of a task whose start was refused.
void JobScheduler::delayRetry(const RunKey &key, TimePoint now)
{
    auto *entry = find(key.task.job);
    auto *task = entry == nullptr ? nullptr : entry->job.task(key.task);
    if (task != nullptr) {
        task->notBefore = now + m_settings.orderRetryDelay;
    }
}

} // namespace Trefoilhoist::Jobs
