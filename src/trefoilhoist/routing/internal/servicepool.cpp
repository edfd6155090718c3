#include "trefoilhoist/routing/internal/servicepool.h"

#include "trefoilhoist/internal/invariant.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Trefoilhoist::Detail {

namespace {

/// Zone-local minions are preferred until this share of their slots is taken.
constexpr double localShare = 0.75;
/// A caller is over its share when its requests in flight exceed overShareFactor * (1 + average of the others).
constexpr int overShareFactor = 2;
/// Share of all slots that is reserved for callers within their share.
constexpr double reservedShare = 0.15;
/// Slots by which an answer raises and a refusal lowers a minion's limit.
constexpr double limitIncrease = 0.03;
constexpr double limitDecrease = 1;
constexpr Duration minPause = milliseconds(1);
constexpr Duration maxRefusedPause = milliseconds(50);
constexpr Duration unreachablePause = milliseconds(50);
constexpr Duration maxUnreachablePause = milliseconds(500);
/// A caller that sent no requests for this long no longer counts when slots are shared.
constexpr Duration callerIdleTimeout = seconds(1);
/// A due probe waits this long for an idempotent request; after that, any request is used as the probe.
constexpr Duration maxProbeWait = seconds(5);
/// After a search that found no due probe, the next one waits this long. With many ejected minions a search for
/// each request would cost too much.
constexpr Duration probeScanInterval = milliseconds(1);
constexpr Duration noMinionRetryAfter = seconds(1);
constexpr Duration minRetryAfter = milliseconds(50);
constexpr Duration maxRetryAfter = seconds(10);
constexpr Duration latencyWindow = seconds(10);
constexpr std::uint64_t minHedgeSamples = 100;
constexpr double meanSmoothing = 1.0 / 64;
/// Random picks before all minions are searched for an untried one.
constexpr int maxUntriedPicks = 3;

Duration fromMicros(double us)
{
    return Duration(static_cast<Duration::rep>(us));
}

// Adds the minion to a list or removes it, in constant time. `at` is the member that holds its index in the list.
void setInList(MinionList &list, MinionLoad &load, std::size_t MinionLoad::*at, bool wanted)
{
    const bool present = load.*at != noIndex;
    if (wanted == present) {
        return;
    }
    if (wanted) {
        load.*at = list.size();
        list.push_back(&load);
        return;
    }
    auto *const last = list.back();
    list[load.*at] = last;
    last->*at = load.*at;
    list.pop_back();
    load.*at = noIndex;
}

} // namespace

ServicePool::ServicePool(const RouterSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_policy(makePolicy(settings.policy))
    , m_random(seed)
    , m_queue(settings.switches.fairQueue)
    , m_budget(settings.retryBudget)
    , m_latencies(latencyWindow)
{
}

void ServicePool::addMinion(const Minion &minion, int peerInFlight, EntryRank entryRank)
{
    m_entryRank = entryRank;
    auto &found = m_loads[minion.id];
    if (!found) {
        found = std::make_unique<MinionLoad>();
        found->limit = 1;
    }
    MinionLoad &load = *found;
    const bool restarted = load.listed && load.minion.incarnation != minion.incarnation;
    if (restarted && load.health.isEjected()) {
        std::erase(m_ejected, &load);
    }
    if (restarted) {
        load.health.restore();
        load.pausedUntil = TimePoint{};
    }
    m_totalSlots += minion.slots - (load.listed ? load.minion.slots : 0);
    m_listed += load.listed ? 0 : 1;
    load.listed = true;
    load.minion = minion;
    load.peerInFlight = peerInFlight;
    setShare(load);
    reindex(load);
}

void ServicePool::removeMinionsUnless(const std::function<bool(const MinionId &)> &keep)
{
    std::vector<MinionId> unused;
    for (const auto &[id, load] : m_loads) {
        if (!load->listed || keep(id)) {
            continue;
        }
        load->listed = false;
        --m_listed;
        m_totalSlots -= load->minion.slots;
        std::erase(m_ejected, load.get());
        load->health.restore();
        reindex(*load);
        unused.push_back(id);
    }
    for (const auto &id : unused) {
        removeIfUnused(id);
    }
}

void ServicePool::admit(const RouteRequest &request, TimePoint now, Actions &actions)
{
    auto &caller = m_queue.findOrAddCaller(request.caller, now);
    if (request.attempt == 1 && !request.hedge) {
        m_budget.addFirstAttempt();
    }
    dispatchWaiting(now, actions);
    if (request.hedge) {
        admitHedge(request, caller, actions);
        return;
    }
    if (auto *const probe = findMinionToProbe(request, now); probe != nullptr) {
        dispatch(request, caller, *probe, true, actions);
        return;
    }
    if (m_listed == 0) {
        actions.emplace_back(Refuse{request.number, "no minion serves " + request.service.str(), noMinionRetryAfter});
        return;
    }
    if (caller.waiting.empty() && !m_available.empty() && canDispatch(caller) && !isTooLate(request, now, Duration{})) {
        dispatch(request, caller, *pickMinion(request), false, actions);
        return;
    }
    enqueue(request, caller, now, actions);
}

void ServicePool::admitHedge(const RouteRequest &request, CallerRequests &caller, Actions &actions)
{
    auto *const load = m_available.empty() || isOverShare(caller) ? nullptr : pickUntried(m_available, request.tried);
    if (load == nullptr) {
        refuse(request, "no other minion has room", actions);
        return;
    }
    dispatch(request, caller, *load, false, actions);
}

void ServicePool::enqueue(const RouteRequest &request, CallerRequests &caller, TimePoint now, Actions &actions)
{
    const auto wait = expectedWait(caller);
    if (isTooLate(request, now, wait)) {
        refuse(request, "the deadline can't be met", actions);
        return;
    }
    if (wait > fromMicros(m_settings.maxQueueWait * m_meanLatencyUs)) {
        refuse(request, "all slots are taken", actions);
        return;
    }
    if (m_queue.size() >= m_settings.maxQueued) {
        const auto *const longestQueue = m_queue.longestQueue();
        if (longestQueue == nullptr || longestQueue->waiting.size() <= caller.waiting.size() + 1) {
            refuse(request, "the queue is full", actions);
            return;
        }
        refuse(m_queue.popFromLongestQueue(), "the queue is full and this caller has the most waiting", actions);
    }
    m_queue.push(caller, request);
    actions.emplace_back(Enqueued{request.number});
}

void ServicePool::dispatchWaiting(TimePoint now, Actions &actions)
{
    resumePaused(now);
    while (!m_available.empty() && !m_queue.empty()) {
        auto request = m_queue.pop([this](const CallerRequests &caller) { return canDispatch(caller); });
        if (!request) {
            return;
        }
        if (isTooLate(*request, now, Duration{})) {
            refuse(*request, "the deadline can't be met", actions);
            continue;
        }
        auto &caller = m_queue.findOrAddCaller(request->caller, now);
        dispatch(*request, caller, *pickMinion(*request), false, actions);
    }
}

void ServicePool::dispatch(
    const RouteRequest &request, CallerRequests &caller, MinionLoad &load, bool probe, Actions &actions)
{
    TREFOILHOIST_INVARIANT(load.listed && !load.minion.leaving, "P7 a leaving minion gets nothing new");
    TREFOILHOIST_INVARIANT(load.leavingIncarnation != load.minion.incarnation, "P7 a leaving minion gets nothing new");
    TREFOILHOIST_INVARIANT(load.ownInFlight < load.minion.slots, "P1 an entry alone never exceeds a minion's slots");
    if (probe) {
        load.health.startProbe();
    }
    ++load.ownInFlight;
    ++caller.inFlight;
    ++m_inFlight;
    m_attempts.emplace(request.number, Attempt{&load, &caller, probe});
    reindex(load);
    actions.emplace_back(Dispatch{request.number, load.minion});
}

void ServicePool::refuse(const RouteRequest &request, const std::string &reason, Actions &actions) const
{
    const auto perSlot = fromMicros(m_meanLatencyUs / std::max(1, m_inFlight));
    const auto retryAfter = std::clamp<Duration>(perSlot * (m_queue.size() + 1), minRetryAfter, maxRetryAfter);
    actions.emplace_back(Refuse{request.number, reason, retryAfter});
}

bool ServicePool::finishAttempt(const AttemptResult &result, TimePoint now, Actions &actions)
{
    const auto [first, last] = m_attempts.equal_range(result.request);
    const auto it
        = std::find_if(first, last, [&](const auto &row) { return row.second.load->minion.id == result.minion; });
    if (it == last) {
        return false;
    }
    const Attempt attempt = it->second;
    m_attempts.erase(it);
    adjustLimit(*attempt.load, result.end);
    --attempt.load->ownInFlight;
    --attempt.caller->inFlight;
    --m_inFlight;
    observeLatency(result, now);
    assessAttempt(attempt, result, now);
    reindex(*attempt.load);
    removeIfUnused(result.minion);
    dispatchWaiting(now, actions);
    return true;
}

void ServicePool::adjustLimit(MinionLoad &load, AttemptEnd end)
{
    if (end == AttemptEnd::Refused) {
        load.limit -= limitDecrease;
    } else if (end == AttemptEnd::Answered && load.ownInFlight >= static_cast<int>(load.limit)) {
        load.limit += limitIncrease;
    }
    load.limit = std::clamp<double>(load.limit, load.share, load.minion.slots);
}

void ServicePool::observeLatency(const AttemptResult &result, TimePoint now)
{
    if (result.end != AttemptEnd::Answered && result.end != AttemptEnd::Lost) {
        return;
    }
    m_latencies.record(result.latency, now);
    if (result.end == AttemptEnd::Answered) {
        const auto us = static_cast<double>(result.latency.count());
        ++m_answers;
        m_meanLatencyUs += (us - m_meanLatencyUs) * std::max(meanSmoothing, 1.0 / static_cast<double>(m_answers));
    }
}

void ServicePool::assessAttempt(const Attempt &attempt, const AttemptResult &result, TimePoint now)
{
    auto &load = *attempt.load;
    handleRefusal(load, result, now);
    if (attempt.probe && load.health.isEjected()) {
        applyHealthAction(load, load.health.observeProbe(result, m_meanLatencyUs, now), now);
    } else if (!load.health.isEjected()) {
        applyHealthAction(load, load.health.observeAttempt(result, m_meanLatencyUs), now);
    }
}

void ServicePool::handleRefusal(MinionLoad &load, const AttemptResult &result, TimePoint now)
{
    switch (result.end) {
    case AttemptEnd::Leaving:
        load.leavingIncarnation = load.minion.incarnation;
        break;
    case AttemptEnd::Refused: {
        const auto perSlot = fromMicros(m_meanLatencyUs / std::max(1, load.minion.slots));
        pause(load, std::clamp<Duration>(perSlot, minPause, maxRefusedPause), now);
        break;
    }
    case AttemptEnd::Unreachable:
        pause(load,
              std::min<Duration>(unreachablePause * (1 + load.health.consecutiveErrors()), maxUnreachablePause),
              now);
        break;
    case AttemptEnd::Answered:
    case AttemptEnd::ServerError:
    case AttemptEnd::Lost:
        break;
    }
}

void ServicePool::applyHealthAction(MinionLoad &load, HealthAction verdict, TimePoint now)
{
    const bool wasEjected = load.health.isEjected();
    if (verdict == HealthAction::Restore) {
        load.health.restore();
        std::erase(m_ejected, &load);
        return;
    }
    if (verdict != HealthAction::Eject || !m_settings.switches.ejection || !load.listed) {
        return;
    }
    const auto allowed = static_cast<std::size_t>(m_settings.maxEjected * m_listed);
    if (!wasEjected && m_ejected.size() >= allowed) {
        return;
    }
    load.health.eject(now);
    if (!wasEjected) {
        m_ejected.push_back(&load);
    }
}

void ServicePool::pause(MinionLoad &load, Duration duration, TimePoint now)
{
    if (!m_settings.switches.pauseAfterRefusal) {
        return;
    }
    load.pausedUntil = now + duration;
    m_paused.emplace(load.pausedUntil, load.minion.id);
}

void ServicePool::resumePaused(TimePoint now)
{
    while (!m_paused.empty() && m_paused.begin()->first <= now) {
        const auto it = m_loads.find(m_paused.begin()->second);
        m_paused.erase(m_paused.begin());
        if (it != m_loads.end() && it->second->pausedUntil <= now) {
            it->second->pausedUntil = TimePoint{};
            // If the share is 0, refusals can lower the limit to 0. The entry could then never use the minion again.
            it->second->limit = std::max(it->second->limit, 1.0);
            reindex(*it->second);
        }
    }
}

void ServicePool::tick(TimePoint now, Actions &actions)
{
    dispatchWaiting(now, actions);
    for (const auto &request : m_queue.removeIf([&](const RouteRequest &r) { return isTooLate(r, now, Duration{}); })) {
        refuse(request, "the deadline can't be met", actions);
    }
    if (m_listed == 0) {
        refuseAll("no minion serves this any more", actions);
    }
    m_queue.removeIdleCallers(now - callerIdleTimeout);
}

void ServicePool::refuseAll(const std::string &reason, Actions &actions)
{
    for (const auto &request : m_queue.removeIf([](const RouteRequest &) { return true; })) {
        actions.emplace_back(Refuse{request.number, reason, noMinionRetryAfter});
    }
}

bool ServicePool::abandon(RequestNumber request)
{
    return !m_queue.removeIf([&](const RouteRequest &r) { return r.number == request; }).empty();
}

bool ServicePool::consumeRetryBudget(TimePoint now)
{
    return !m_settings.switches.retryBudget || m_budget.take(now);
}

std::optional<Duration> ServicePool::hedgeDelay(TimePoint now) const
{
    const auto summary = m_latencies.summary(now);
    if (summary.count < minHedgeSamples) {
        return std::nullopt;
    }
    // The geometric mean of p90 and p99: late enough to stay within the retry budget, early enough to shorten the tail.
    return fromMicros(std::sqrt(summary.p90Us * summary.p99Us));
}

MinionLoad *ServicePool::pickMinion(const RouteRequest &request)
{
    const MinionList &list = m_localAvailable.empty() ? m_available : m_localAvailable;
    if (request.tried.empty()) {
        return std::visit([&](auto policy) { return policy.pick(list, m_random); }, m_policy);
    }
    auto *const untried = pickUntried(m_available, request.tried);
    return untried != nullptr ? untried
                              : std::visit([&](auto policy) { return policy.pick(list, m_random); }, m_policy);
}

MinionLoad *ServicePool::pickUntried(const MinionList &list, const std::vector<MinionId> &tried)
{
    const auto isTried = [&](const MinionLoad *load) {
        return std::find(tried.begin(), tried.end(), load->minion.id) != tried.end();
    };
    for (int n = 0; n < maxUntriedPicks; ++n) {
        auto *const load = std::visit([&](auto policy) { return policy.pick(list, m_random); }, m_policy);
        if (!isTried(load)) {
            return load;
        }
    }
    const auto it = std::find_if_not(list.begin(), list.end(), isTried);
    return it == list.end() ? nullptr : *it;
}

MinionLoad *ServicePool::findMinionToProbe(const RouteRequest &request, TimePoint now)
{
    if (request.attempt > 1 || now < m_nextProbeScan) {
        return nullptr;
    }
    const auto it = std::find_if(m_ejected.begin(), m_ejected.end(), [&](const MinionLoad *load) {
        const bool suits = request.idempotent || load->health.probeOverdue(now) > maxProbeWait;
        return suits && load->health.isProbeDue(now) && load->ownInFlight < load->minion.slots
            && load->leavingIncarnation != load->minion.incarnation;
    });
    if (it == m_ejected.end()) {
        m_nextProbeScan = now + probeScanInterval;
        return nullptr;
    }
    return *it;
}

bool ServicePool::isOverShare(const CallerRequests &caller) const
{
    const auto others = static_cast<int>(m_queue.activeCallers()) - 1;
    const int allowed = overShareFactor * (m_inFlight - caller.inFlight + others);
    return others > 0 && caller.inFlight * others > allowed;
}

bool ServicePool::canDispatch(const CallerRequests &caller) const
{
    if (!m_settings.switches.callerReserve || !isOverShare(caller)) {
        return true;
    }
    return m_freeSlots > static_cast<int>(std::ceil(reservedShare * m_totalSlots));
}

Duration ServicePool::expectedWait(const CallerRequests &caller) const
{
    // The queue is round-robin between callers, so the requests ahead of this one are the caller's own waiting requests
    // and as many of each other waiting caller.
    const auto turns = (caller.waiting.size() + 1) * std::max<std::size_t>(1, m_queue.waitingCallers());
    const auto ahead = std::min<std::size_t>(turns, static_cast<std::size_t>(m_queue.size()) + 1);
    return fromMicros(m_meanLatencyUs * static_cast<double>(ahead) / std::max(1, m_inFlight));
}

bool ServicePool::isTooLate(const RouteRequest &request, TimePoint now, Duration wait) const
{
    if (!m_settings.switches.deadlines) {
        return false;
    }
    // With a free slot only the deadline itself counts. If an estimate that is too high refused every request, no new
    // measurement could correct it.
    return now + (wait == Duration{} ? wait : wait + fromMicros(m_meanLatencyUs / 2)) >= request.deadline;
}

void ServicePool::setPeers(const MinionId &minion, int peerInFlight)
{
    const auto it = m_loads.find(minion);
    if (it != m_loads.end() && it->second->peerInFlight != peerInFlight) {
        it->second->peerInFlight = peerInFlight;
        reindex(*it->second);
    }
}

void ServicePool::setEntryRank(EntryRank entryRank)
{
    const bool moreEntries = entryRank.entries > m_entryRank.entries;
    m_entryRank = entryRank;
    for (const auto &[id, load] : m_loads) {
        if (moreEntries) {
            load->limit = 1;
        }
        setShare(*load);
        reindex(*load);
    }
}

void ServicePool::setShare(MinionLoad &load) const
{
    const int n = m_entryRank.entries;
    const auto offset = static_cast<int>(std::hash<MinionId>{}(load.minion.id) % static_cast<std::size_t>(n));
    const int extra = (m_entryRank.rank + offset) % n < load.minion.slots % n ? 1 : 0;
    load.share = load.minion.slots / n + extra;
    load.limit = std::clamp<double>(load.limit, load.share, load.minion.slots);
    load.connectionLimit = std::max(1, load.minion.connections / n);
}

bool ServicePool::isAcceptingWork(const MinionLoad &load) const
{
    return load.listed && !load.health.isEjected() && load.pausedUntil == TimePoint{}
    && load.leavingIncarnation != load.minion.incarnation;
}

void ServicePool::reindex(MinionLoad &load)
{
    const bool accepting = isAcceptingWork(load);
    const bool available = accepting && load.ownInFlight < load.connectionLimit
        && std::visit([&](auto policy) { return policy.hasCapacity(load); }, m_policy);
    const bool local = available && m_settings.switches.preferLocalZone && load.minion.zone == m_settings.zone
        && load.totalInFlight() < localShare * load.minion.slots;
    setInList(m_available, load, &MinionLoad::availableIndex, available);
    setInList(m_localAvailable, load, &MinionLoad::localIndex, local);
    const int free = accepting ? std::max(0, load.minion.slots - load.totalInFlight()) : 0;
    m_freeSlots += free - load.countedFreeSlots;
    load.countedFreeSlots = free;
}

void ServicePool::removeIfUnused(const MinionId &minion)
{
    const auto it = m_loads.find(minion);
    if (it != m_loads.end() && !it->second->listed && it->second->ownInFlight == 0) {
        m_loads.erase(it);
    }
}

void ServicePool::addInFlight(std::map<MinionId, int> &inFlight) const
{
    for (const auto &[id, load] : m_loads) {
        if (load->ownInFlight > 0) {
            inFlight[id] += load->ownInFlight;
        }
    }
}

void ServicePool::addEjected(std::vector<MinionId> &ejected) const
{
    for (const auto *load : m_ejected) {
        ejected.push_back(load->minion.id);
    }
}

int ServicePool::connectionLimit(const MinionId &minion) const
{
    const auto it = m_loads.find(minion);
    return it == m_loads.end() ? 0 : it->second->connectionLimit;
}

int ServicePool::queued() const
{
    return m_queue.size();
}

bool ServicePool::isIdle() const
{
    return m_loads.empty() && m_queue.empty() && m_attempts.empty();
}

} // namespace Trefoilhoist::Detail
