// The agent's calls to its minion: listings, orders and throttling.
#include "agent.h"

#include "trefoilhoist/jobs/ownerrecord.h"
#include "trefoilhoist/log/eventlog.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Trefoilhoist::Agent {

namespace {

using Jobs::OrderResult;

constexpr Duration listingWait = milliseconds(500);
/// Delay between listings while ended tasks wait to be recorded, because the minion then answers at once.
constexpr Duration listingGap = milliseconds(40);
constexpr Duration listingRetryDelay = milliseconds(100);
/// Number of starts that may be in flight to the minion at the same time.
constexpr int maxConcurrentStarts = 6;
/// Number of crashes that wait for an owner to record them.
constexpr std::size_t maxKeptCrashes = 20;
constexpr const char *reportSignal = "news";

} // namespace

Jobs::MinionTarget AgentServer::target() const
{
    return {m_minion->endpoint, m_minion->worker.id, m_fence.fencingToken()};
}

bool AgentServer::mayExtendHold(TimePoint now) const
{
    const bool silent = m_unreachableSince && now - *m_unreachableSince > m_settings.maxMinionSilence;
    return !m_holdWithheld && !m_leaving && !silent && !m_refusesConnections;
}

std::optional<std::int64_t> AgentServer::extendHold(TimePoint now)
{
    return mayExtendHold(now) ? m_fence.extendHold(now) : std::nullopt;
}

awaitable<void> AgentServer::extendHoldForRestart()
{
    const auto now = m_runtime.clock().now();
    if (!m_minion || !m_reachable || !mayExtendHold(now)) {
        co_return;
    }
    const auto until = m_fence.extendHoldToLease(now);
    if (!until) {
        co_return;
    }
    const auto id = m_minion->worker.id;
    const auto listing = co_await m_adapters.minion->list(target(), 0, *until, Duration{});
    Event("hold_extended_for_restart")
        .add("worker", id)
        .add("answered", listing.has_value())
        .add("reason", listing ? "" : listing.error().reason);
}

bool AgentServer::holdHasExpired(TimePoint now, bool answered) const
{
    if (answered && m_fence.mustLapse(now)) {
        return false;
    }
    // An earlier process of this agent may have extended the hold until shortly before this one was started.
    return now > m_fence.holdExpiry() && now > m_startedAt + m_settings.hold.longest;
}

awaitable<void> AgentServer::listLoop()
{
    while (true) {
        if (!m_minion || m_fence.epoch() == 0) {
            co_await m_waiters.wait("minion", seconds(1));
            continue;
        }
        co_await listOnce();
    }
}

awaitable<void> AgentServer::listOnce()
{
    const auto now = m_runtime.clock().now();
    const auto number = ++m_listings;
    const auto epoch = m_fence.epoch();
    const auto worker = m_minion->worker;
    m_fence.noteCall(now);
    const auto hold = extendHold(now);
    // The first listings under a new owner or lease don't wait for ended tasks, because the owner waits for them.
    const bool wait = m_fence.isListed() && m_reachable && hold.has_value();
    // After a failed call, another incarnation may answer the next one. Its ends have numbers of its own.
    // Ends of runs that the owner has given up may be of tasks that run elsewhere by now.
    const auto dropped = m_reachable && !m_fence.mustLapse(now) ? m_fence.endsToDrop() : 0;
    auto listing
        = co_await m_adapters.minion->list(target(), dropped, hold.value_or(0), wait ? listingWait : Duration{});
    if (!m_minion || m_minion->worker.id != worker.id || m_minion->worker.born != worker.born) {
        co_return;
    }
    m_fence.noteCall(m_runtime.clock().now());
    if (!listing) {
        handleMissingListing(listing.error(), false);
        co_await sleepFor(listingRetryDelay);
        co_return;
    }
    if (listing->startedAtMs != 0 && worker.born != 0 && listing->startedAtMs != worker.born) {
        logOtherIncarnation(*listing, dropped);
        m_fence.markReplaced();
        handleMissingListing({"another incarnation answers", false}, false);
        co_await sleepFor(listingRetryDelay);
        co_return;
    }
    observeMinionClock(listing->clockMs);
    if (m_leaving && holdHasExpired(m_runtime.clock().now(), true)) {
        finishDeparture();
        co_return;
    }
    if (number > m_announcedAtListing) {
        m_announced.reset();
    }
    m_fence.confirmDropped(dropped);
    const bool usable = judgeUnreadableRows(*listing);
    // The ends that can be read count in any case: the runs are given up when the hold has expired.
    applyListing(*listing, number, epoch);
    if (!usable) {
        handleMissingListing({"rows of the listing can't be read", false}, true);
        co_await sleepFor(listingRetryDelay);
        co_return;
    }
    const bool hasUnrecordedEnds = !m_ended.empty();
    if (!listing->unreadableRows.empty()) {
        co_await sleepFor(listingRetryDelay);
    } else if (hasUnrecordedEnds || !wait) {
        co_await sleepFor(listingGap);
    }
}

bool AgentServer::judgeUnreadableRows(Jobs::MinionListing &listing)
{
    std::vector<Jobs::UnreadableRow> foreign;
    std::vector<Jobs::UnreadableRow> suspect;
    std::set<std::string> skipped;
    for (const auto &row : listing.unreadableRows) {
        if (m_skippedRows.count(row.text) != 0) {
            skipped.insert(row.text);
        } else {
            (row.foreign ? foreign : suspect).push_back(row);
        }
    }
    m_skippedRows = std::move(skipped);
    skipRows(foreign, "their tasks have no names of this product");
    if (suspect.empty()) {
        m_unreadableRowsSince.reset();
        m_holdWithheld = false;
        return true;
    }
    const auto now = m_runtime.clock().now();
    if (!m_unreadableRowsSince) {
        m_unreadableRowsSince = now;
        Event("listing_rows_unreadable")
            .add("worker", m_minion->worker.id)
            .add("rows", suspect.size())
            .add("first", suspect.front().text);
    }
    const bool mayRun = std::any_of(suspect.begin(), suspect.end(), [](const auto &row) { return !row.ended; });
    const bool isPatient = now - *m_unreadableRowsSince < m_settings.unreadableRowsPatience;
    if (isPatient || (mayRun && !m_fence.isStopped())) {
        // A run that is not listed may be one of these rows. The ends behind one would acknowledge it.
        listing.lacksEnds = true;
        listing.ended.resize(std::min(listing.ended.size(), listing.endsBeforeUnreadable.value_or(SIZE_MAX)));
        m_holdWithheld = !isPatient;
        return isPatient;
    }
    skipRows(suspect, mayRun ? "the minion's hold has expired" : "these ends stay unreadable");
    m_unreadableRowsSince.reset();
    m_holdWithheld = false;
    return true;
}

void AgentServer::skipRows(const std::vector<Jobs::UnreadableRow> &rows, const char *reason)
{
    if (rows.empty()) {
        return;
    }
    for (const auto &row : rows) {
        m_skippedRows.insert(row.text);
    }
    Event("listing_rows_skipped")
        .add("worker", m_minion->worker.id)
        .add("rows", rows.size())
        .add("first", rows.front().text)
        .add("reason", reason);
}

void AgentServer::applyListing(const Jobs::MinionListing &listing, std::int64_t number, std::int64_t epoch)
{
    const auto now = m_runtime.clock().now();
    if (m_leaving || m_fence.mustLapse(now)) {
        stopUnwantedRuns(listing.running);
    }
    if (m_leaving && listing.running.empty() && !listing.lacksEnds) {
        m_emptyListing = m_emptyListing.value_or(number);
        m_reportDue = true;
        m_waiters.notify(reportSignal);
    }
    if (!m_reachable) {
        withdrawCrash();
        Event("minion_reached")
            .add("worker", m_minion->worker.id)
            .add("listing", number)
            .add("running", listing.running.size());
    }
    const bool firstOfEpoch = !m_fence.isListed() || !m_reachable;
    m_reachable = true;
    m_unreachableSince.reset();
    m_refusesConnections = false;
    m_runs.applyListing(listing, now);
    m_fence.confirmListing(epoch);
    m_lastListing = number;
    m_running = listing.running;
    if (listing.lacksEnds && !m_lacksEnds) {
        Event("listing_incomplete").add("worker", m_minion->worker.id).add("ended", listing.ended.size());
    }
    m_lacksEnds = listing.lacksEnds;
    m_ended.clear();
    observeEndNumbers(listing);
    for (const auto &it : listing.ended) {
        if (it.number > m_fence.recordedEnds()) {
            m_ended.push_back(it);
        }
    }
    const bool newEnds = !m_ended.empty() && m_ended.back().number > m_lastReportedEnd;
    for (const auto &order : m_throttle.update(m_running, now)) {
        spawnOn(m_runtime.executor(), "pace", [this, order] { return throttle(order); });
    }
    if (newEnds || firstOfEpoch) {
        m_reportDue = true;
        m_waiters.notify(reportSignal);
    }
}

void AgentServer::stopUnwantedRuns(const std::vector<Wire::RunningTask> &running)
{
    if (running.empty()) {
        return;
    }
    if (m_fence.mustLapse(m_runtime.clock().now())) {
        Event("runs_outlived_hold")
            .add("worker", m_minion->worker.id)
            .add("born", m_minion->worker.born)
            .add("runs", running.size());
    }
    stopRuns(running);
}

void AgentServer::stopRuns(const std::vector<Wire::RunningTask> &running)
{
    for (const auto &row : running) {
        if (m_runs.knownResult({row.task, row.run}) == OrderResult::Superseded) {
            // It was ordered to stop lately.
            continue;
        }
        m_runs.addStop({row.task, row.run}, m_runtime.clock().now());
        spawnOn(m_runtime.executor(), "stop", [this, row] { return stopRun(row.task, row.run); });
    }
}

awaitable<void> AgentServer::stopRun(Wire::TaskRef task, std::int64_t run)
{
    if (!m_minion) {
        co_return;
    }
    Wire::StopOrder order;
    order.task = task;
    order.run = run;
    const auto answer = co_await m_adapters.minion->stop(target(), order);
    Event("run_stopped")
        .add("job", task.job)
        .add("task", Jobs::taskName(task))
        .add("run", run)
        .add("result", orderResultName(answer.result));
}

// A minion numbers its ends without gaps, so that a gap shows ends which were acknowledged before this process read
// them.
void AgentServer::observeEndNumbers(const Jobs::MinionListing &listing)
{
    const auto expected = std::max(m_lastListedEnd, m_fence.recordedEnds()) + 1;
    if (m_knownSinceStart && !listing.ended.empty() && listing.ended.front().number > expected) {
        Event("ends_missing")
            .add("worker", m_minion->worker.id)
            .add("born", m_minion->worker.born)
            .add("expected", expected)
            .add("number", listing.ended.front().number);
        m_metrics.counter("trefoilhoist_ends_missing").add();
    }
    for (const auto &it : listing.ended) {
        m_lastListedEnd = std::max(m_lastListedEnd, it.number);
    }
}

void AgentServer::observeMinionClock(std::int64_t clockMs)
{
    const auto lapsedBefore = m_fence.lapsedTerm();
    m_fence.observeMinionClock(clockMs, m_runtime.clock().now());
    if (m_fence.lapsedTerm() > lapsedBefore) {
        Event("hold_lapsed").add("worker", m_minion->worker.id).add("term", m_fence.lapsedTerm());
        m_reportDue = true;
        m_waiters.notify(reportSignal);
    }
}

void AgentServer::logOtherIncarnation(const Jobs::MinionListing &listing, std::int64_t acknowledged) const
{
    Event("other_life_listed")
        .add("worker", m_minion->worker.id)
        .add("born", listing.startedAtMs)
        .add("expectedBorn", m_minion->worker.born)
        .add("acknowledged", acknowledged)
        .add("running", listing.running.size())
        .add("ended", listing.ended.size());
}

void AgentServer::handleMissingListing(const Jobs::MinionError &error, bool answered)
{
    if (m_leaving && holdHasExpired(m_runtime.clock().now(), answered)) {
        finishDeparture();
    } else {
        listingFailed(error, answered);
    }
    if (!answered) {
        adoptAnnounced();
    }
}

void AgentServer::listingFailed(const Jobs::MinionError &error, bool answered)
{
    if (m_reachable) {
        Event("minion_unreached").add("worker", m_minion->worker.id).add("reason", error.reason);
    }
    m_reachable = false;
    m_unreachableSince = m_unreachableSince.value_or(m_runtime.clock().now());
    m_refusesConnections = error.notRunning;
    if (error.fenced) {
        m_fence.raiseFencingToken();
    }
    const auto now = m_runtime.clock().now();
    // A minion that refuses connections, or is silent, may be at work until its hold expires.
    if (!m_fence.isStopped() && holdHasExpired(now, answered)) {
        Event("minion_gone")
            .add("worker", m_minion->worker.id)
            .add("born", m_minion->worker.born)
            .add("reason", error.reason)
            .add("refused", m_refusesConnections)
            .add("unreachedMs", duration_cast<milliseconds>(now - *m_unreachableSince).count());
        if (m_refusesConnections && !m_minion->draining) {
            noteCrash();
        }
        m_fence.markStopped();
        m_running.clear();
        m_reportDue = true;
        m_waiters.notify(reportSignal);
    }
}

void AgentServer::noteCrash()
{
    if (std::exchange(m_crashNoted, true)) {
        return;
    }
    Wire::CrashReport crash;
    crash.worker = m_minion->worker.id;
    crash.born = m_minion->worker.born;
    crash.runs = m_runs.runsAt(m_unreachableSince.value_or(m_runtime.clock().now()));
    Event("minion_crashed").add("worker", crash.worker).add("born", crash.born).add("runs", crash.runs.size());
    m_metrics.counter("trefoilhoist_minion_crashes").add();
    if (crash.runs.empty()) {
        return;
    }
    m_crashes.push_back(std::move(crash));
    if (m_crashes.size() > maxKeptCrashes) {
        Event("crash_forgotten").add("worker", m_crashes.front().worker).add("born", m_crashes.front().born);
        m_crashes.pop_front();
    }
}

void AgentServer::withdrawCrash()
{
    if (!std::exchange(m_crashNoted, false)) {
        return;
    }
    const auto dropped = std::erase_if(m_crashes, [&](const auto &it) {
        return it.worker == m_minion->worker.id && it.born == m_minion->worker.born;
    });
    Event("crash_withdrawn")
        .add("worker", m_minion->worker.id)
        .add("born", m_minion->worker.born)
        .add("told", dropped == 0);
}

awaitable<void> AgentServer::throttle(Jobs::RunThrottle order)
{
    if (!m_minion) {
        co_return;
    }
    const bool done = co_await m_adapters.minion->throttle(target(), order.run.task, order.run.run, order.percent);
    Event("pace_ordered")
        .add("job", order.run.task.job)
        .add("task", Jobs::taskName(order.run.task))
        .add("percent", order.percent)
        .add("pressure", m_throttle.worstTailRatio())
        .add("done", done);
    if (!done) {
        m_throttle.markNotApplied(order.run);
    }
}

awaitable<Wire::WorkerOrdersReply> AgentServer::executeOrders(Wire::WorkerOrders orders)
{
    const auto owner = Jobs::endpointOf(orders.ownerHost, orders.ownerPort);
    if (owner && !owner->host.empty() && orders.epoch <= Jobs::maxEpoch) {
        adoptOwner(orders.epoch, *owner);
    }
    auto reply = std::make_shared<Wire::WorkerOrdersReply>();
    reply->starts.assign(orders.starts.size(), static_cast<int>(OrderResult::Refused));
    reply->stops.assign(orders.stops.size(), static_cast<int>(OrderResult::Refused));
    const bool isAddressee = m_minion && m_minion->worker.id == orders.worker && m_minion->worker.born == orders.born;
    const auto refusalReason = isAddressee ? m_fence.refusalReason(orders, m_runtime.clock().now())
                                           : "the orders are for another incarnation of the minion";
    if (!refusalReason.empty()) {
        if (!orders.starts.empty() || !orders.stops.empty()) {
            Event("orders_refused")
                .add("worker", orders.worker)
                .add("epoch", orders.epoch)
                .add("reason", refusalReason);
        }
        reply->listing = m_listings;
        co_return *reply;
    }
    for (std::size_t i = 0; i < orders.stops.size(); ++i) {
        m_runs.addStop({orders.stops[i].task, orders.stops[i].run}, m_runtime.clock().now());
        const auto answer = co_await m_adapters.minion->stop(target(), orders.stops[i]);
        reply->stops[i] = static_cast<int>(answer.result);
        if (!m_minion) {
            co_return *reply;
        }
    }
    auto shared = std::make_shared<Wire::WorkerOrders>(std::move(orders));
    auto next = std::make_shared<std::size_t>(0);
    const int concurrency = std::min<int>(maxConcurrentStarts, static_cast<int>(shared->starts.size()));
    auto done = std::make_shared<int>(0);
    const std::string waitName = "orders " + std::to_string(++m_orderSets);
    for (int i = 0; i < concurrency; ++i) {
        spawnOn(m_runtime.executor(), "start lane", [this, shared, reply, next, done, waitName]() -> awaitable<void> {
            co_await executeStarts(shared, reply, next);
            ++*done;
            m_waiters.notify(waitName);
        });
    }
    while (*done < concurrency) {
        co_await m_waiters.wait(waitName, seconds(1));
    }
    reply->listing = m_listings;
    co_return *reply;
}

awaitable<void> AgentServer::executeStarts(std::shared_ptr<Wire::WorkerOrders> orders,
                                           std::shared_ptr<Wire::WorkerOrdersReply> reply,
                                           std::shared_ptr<std::size_t> next)
{
    while (*next < orders->starts.size()) {
        const auto i = (*next)++;
        reply->starts[i] = co_await startRun(*orders, i);
    }
}

awaitable<int> AgentServer::startRun(const Wire::WorkerOrders &orders, std::size_t index)
{
    const auto &order = orders.starts[index];
    const auto now = m_runtime.clock().now();
    const bool isAddressee = m_minion && m_minion->worker.id == orders.worker && m_minion->worker.born == orders.born;
    const auto refusalReason = isAddressee ? m_fence.startRefusalReason(orders, now)
                                           : "the orders are for another incarnation of the minion";
    const auto until = extendHold(now);
    if (!refusalReason.empty() || m_minion->draining || !m_reachable || !until) {
        Event("start_withheld")
            .add("job", order.task.job)
            .add("task", Jobs::taskName(order.task))
            .add("reason",
                 !refusalReason.empty() ? refusalReason
                                        : "the minion is draining or does not answer, or its hold can't be extended");
        co_return static_cast<int>(OrderResult::Refused);
    }
    if (const auto known = m_runs.knownResult({order.task, order.run})) {
        Event("start_repeated")
            .add("job", order.task.job)
            .add("task", Jobs::taskName(order.task))
            .add("run", order.run)
            .add("result", orderResultName(*known));
        co_return static_cast<int>(*known);
    }
    m_throttle.addRun(order.info);
    m_runs.addStart({order.task, order.run}, now);
    const auto answer = co_await m_adapters.minion->start(target(), order, *until);
    m_runs.applyStartResult({order.task, order.run}, answer.result);
    Event("start_sent")
        .add("job", order.task.job)
        .add("task", Jobs::taskName(order.task))
        .add("run", order.run)
        .add("epoch", orders.epoch)
        .add("result", orderResultName(answer.result))
        .add("reason", answer.reason)
        .add("tookMs", duration_cast<milliseconds>(m_runtime.clock().now() - now).count());
    if (answer.result != OrderResult::Done && answer.result != OrderResult::Unknown) {
        m_throttle.removeRun({order.task, order.run});
    } else if (const int percent = m_throttle.initialPercent({order.task, order.run}); percent < 100) {
        spawnOn(m_runtime.executor(), "pace", [this, order, percent] {
            return throttle({{order.task, order.run}, percent});
        });
    }
    co_return static_cast<int>(answer.result);
}

} // namespace Trefoilhoist::Agent
