#include "trefoilhoist/placement/policies/startplanner.h"

#include "trefoilhoist/placement/policies/preemption.h"

#include <algorithm>
#include <queue>

namespace Trefoilhoist::Detail {

namespace {

/// Added to the score of a worker on which the task failed before.
constexpr double failedBeforePenalty = 10;
/// A task of an unproven job avoids workers on which the job failed until the task has waited this long.
constexpr Duration retryUnprovenAfter = seconds(30);
/// Amount by which the score of a worker that is due a probe is lowered or raised.
constexpr double probePreference = 5;
/// A task that `beside` selectors keep off all workers with free capacity is reported after this time.
constexpr Duration reportSelectorsAfter = seconds(60);
/// The cell owner passes long queues in parts, so a task counts as no longer pending only after this time.
constexpr Duration dropHoldAfter = seconds(3);
/// Maximum number of waiting tasks per decision that are considered for a hold.
constexpr std::size_t maxBlocked = 64;
constexpr std::size_t staleSlack = 16'384;

std::string describe(const Resources &size)
{
    return std::to_string(size.milliCpu) + " milliCpu, " + std::to_string(size.memoryMb) + " MB, "
        + std::to_string(size.accelerators) + " accelerators";
}

Resources componentMax(const Resources &left, const Resources &right)
{
    return {std::max(left.milliCpu, right.milliCpu),
            std::max(left.memoryMb, right.memoryMb),
            std::max(left.accelerators, right.accelerators)};
}

/// Free capacity that the host lacks for `need`, as a fraction of its batch capacity, summed over the resources.
double capacityShortfall(const Host &host, const Resources &need)
{
    const auto missing = need - (host.free - host.held);
    const auto fraction = [](std::int64_t value, std::int64_t capacity) {
        return capacity <= 0 ? 0.0 : std::max(0.0, static_cast<double>(value) / static_cast<double>(capacity));
    };
    return fraction(missing.milliCpu, host.batchCapacity.milliCpu)
        + fraction(missing.memoryMb, host.batchCapacity.memoryMb)
        + fraction(missing.accelerators, host.batchCapacity.accelerators);
}

bool failedOnWorker(const PendingTask &pending, const WorkerId &worker)
{
    return std::find(pending.failedOn.begin(), pending.failedOn.end(), worker) != pending.failedOn.end();
}

} // namespace

StartPlanner::StartPlanner(const Settings &settings, std::uint64_t seed) : m_settings(settings), m_scanStart(seed) { }

void StartPlanner::plan(DecisionContext &context, const ScoreFunction &score, const PlacedCallback &onPlaced)
{
    m_plans.clear();
    m_blocked.clear();
    m_starts = 0;
    refreshHolds(context);
    buildQueues(context);
    planUrgent(context, score, onPlaced);
    planNormal(context, score, onPlaced);
    holdForOvertakenTasks(context);
    removeStale(context.table.input());
}

void StartPlanner::refreshHolds(DecisionContext &context)
{
    if (m_holds.empty()) {
        return;
    }
    for (const auto &pending : context.table.input().pending) {
        const auto it = m_holds.find(pending.task.id);
        if (it != m_holds.end()) {
            it->second.lastPendingAt = context.now;
        }
    }
    std::erase_if(m_holds, [&](const auto &entry) {
        const auto &hold = entry.second;
        const auto *host = context.table.find(hold.worker);
        const bool expired = hold.urgent && context.now - hold.since > m_settings.maxUrgentHold;
        const bool notPending = context.now - hold.lastPendingAt > dropHoldAfter;
        return notPending || expired || host == nullptr || !host->schedulable || host->startLimit <= 0;
    });
    for (const auto &[task, hold] : m_holds) {
        context.table.find(hold.worker)->held += hold.need;
    }
}

void StartPlanner::buildQueues(DecisionContext &context)
{
    m_queues.clear();
    std::unordered_map<TeamId, std::size_t> positions;
    const auto &pending = context.table.input().pending;
    const Job *job = nullptr;
    bool skipped = false;
    for (std::size_t n = 0; n < pending.size(); ++n) {
        if (job == nullptr || job->id != pending[n].task.job) {
            job = context.table.job(pending[n].task.job);
            skipped = job == nullptr || context.health.isFailed(job->id);
        }
        if (skipped || context.health.isBackingOff(pending[n], context.now)) {
            continue;
        }
        const auto [it, isNew] = positions.try_emplace(job->team, m_queues.size());
        if (isNew) {
            m_queues.push_back({job->team, {}, {}, 0});
        }
        auto &queue = m_queues[it->second];
        (job->urgent ? queue.urgent : queue.normal).push_back(n);
    }
}

Candidate StartPlanner::candidateAt(DecisionContext &context, std::size_t position) const
{
    const auto &pending = context.table.input().pending[position];
    const auto *job = context.table.job(pending.task.job);
    return {job, &pending, {}, job->urgent, context.now - pending.since};
}

void StartPlanner::planUrgent(DecisionContext &context, const ScoreFunction &score, const PlacedCallback &onPlaced)
{
    std::sort(m_queues.begin(), m_queues.end(), [&](const auto &left, const auto &right) {
        return context.shares.weightedShare(left.team) < context.shares.weightedShare(right.team);
    });
    for (auto &queue : m_queues) {
        std::vector<std::size_t> deferred;
        for (const auto position : queue.urgent) {
            auto candidate = candidateAt(context, position);
            // Urgent work takes precedence only within its team's entitlement, so that it can't starve other work.
            const auto size = context.sizes.estimate(*candidate.job, candidate.pending->task).reserve;
            const bool withinEntitlement
                = context.shares.urgentShareWith(queue.team, size) <= context.shares.entitlement(queue.team);
            if (!withinEntitlement) {
                deferred.push_back(position);
                continue;
            }
            const auto outcome = tryPlace(context, candidate, score, onPlaced);
            if (outcome == Outcome::NoCapacity && m_settings.preempts
                && !m_holds.contains(candidate.pending->task.id)) {
                preemptFor(context, candidate, true);
            }
        }
        queue.normal.insert(queue.normal.begin(), deferred.begin(), deferred.end());
    }
}

void StartPlanner::planNormal(DecisionContext &context, const ScoreFunction &score, const PlacedCallback &onPlaced)
{
    using Entry = std::pair<double, std::size_t>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> order;
    for (std::size_t n = 0; n < m_queues.size(); ++n) {
        order.emplace(m_settings.fairTeams ? context.shares.weightedShare(m_queues[n].team) : 0.0, n);
    }
    while (!order.empty()) {
        const auto n = order.top().second;
        order.pop();
        auto &queue = m_queues[n];
        const auto outcome = startNext(context, queue, score, onPlaced);
        if (outcome == Outcome::Placed) {
            order.emplace(m_settings.fairTeams ? context.shares.weightedShare(queue.team) : 0.0, n);
        }
    }
}

StartPlanner::Outcome StartPlanner::startNext(DecisionContext &context,
                                              TeamQueue &queue,
                                              const ScoreFunction &score,
                                              const PlacedCallback &onPlaced)
{
    while (queue.next < queue.normal.size()) {
        auto candidate = candidateAt(context, queue.normal[queue.next++]);
        const auto outcome = tryPlace(context, candidate, score, onPlaced);
        if (outcome == Outcome::Placed) {
            return outcome;
        }
        if (outcome == Outcome::NoCapacity) {
            handleNoCapacity(context, candidate);
        }
    }
    return Outcome::Skipped;
}

StartPlanner::JobPlan &StartPlanner::jobPlan(DecisionContext &context, const Job &job)
{
    const auto [it, isNew] = m_plans.try_emplace(&job);
    auto &plan = it->second;
    if (isNew) {
        plan.selectorProblem = context.table.selectorProblem(job);
        plan.startsLeft = context.health.maxRunningTasks(job.id) - context.table.countRunning(job);
        plan.allowed = &context.table.allowedHosts(job);
    }
    return plan;
}

std::string StartPlanner::sizeProblem(DecisionContext &context, JobPlan &plan, const Candidate &candidate)
{
    const auto &task = candidate.pending->task;
    plan.declared = task.declared;
    plan.size = context.sizes.estimate(*candidate.job, task);
    plan.blocked.reset();
    plan.hasSize = true;
    Resources mostCapacity;
    int allowed = 0;
    bool reserveFits = false;
    bool declaredFits = false;
    const auto &hosts = context.table.hosts();
    for (std::size_t n = 0; n < hosts.size(); ++n) {
        if ((*plan.allowed)[n]) {
            ++allowed;
            mostCapacity = componentMax(mostCapacity, hosts[n].batchCapacity);
            reserveFits |= fits(plan.size.reserve, hosts[n].batchCapacity);
            declaredFits |= fits(task.declared, hosts[n].batchCapacity);
        }
    }
    if (hosts.empty()) {
        return {};
    }
    if (allowed == 0) {
        return "no worker's labels match where \"" + candidate.job->where + "\"";
    }
    const double limit = context.shares.limit(candidate.job->team);
    if (!reserveFits && declaredFits) {
        plan.size.reserve = task.declared;
    } else if (!reserveFits) {
        return "needs " + describe(plan.size.reserve) + "; the " + std::to_string(allowed)
            + " workers that it may use have at most " + describe(mostCapacity);
    }
    if (limit < 1.0 && context.shares.shareOfCell(plan.size.reserve) > limit) {
        return "needs more than the limit of team " + candidate.job->team.str();
    }
    return {};
}

StartPlanner::Outcome StartPlanner::tryPlace(DecisionContext &context,
                                             Candidate &candidate,
                                             const ScoreFunction &score,
                                             const PlacedCallback &onPlaced)
{
    auto &plan = jobPlan(context, *candidate.job);
    const auto &task = candidate.pending->task;
    if (plan.selectorProblem.empty() && (!plan.hasSize || plan.declared != task.declared)) {
        plan.sizeProblem = sizeProblem(context, plan, candidate);
    }
    const auto &problem = plan.selectorProblem.empty() ? plan.sizeProblem : plan.selectorProblem;
    if (!problem.empty()) {
        report(context, task.id, problem);
        return Outcome::Skipped;
    }
    candidate.size = plan.size;
    const auto hold = m_holds.find(task.id);
    const bool held = hold != m_holds.end();
    if (plan.startsLeft <= 0 || (!held && plan.blocked)) {
        return plan.startsLeft > 0 && plan.blockedByCapacity ? Outcome::NoCapacity : Outcome::Skipped;
    }
    const auto &team = candidate.job->team;
    const double limit = context.shares.limit(team);
    if (limit < 1.0 && context.shares.dominantShareWith(team, plan.size.reserve) > limit) {
        return Outcome::Skipped;
    }
    if (held) {
        context.table.find(hold->second.worker)->held -= hold->second.need;
    }
    bool foundCapacity = false;
    auto *host = choose(context, candidate, plan, score, foundCapacity);
    if (host == nullptr) {
        if (held) {
            context.table.find(hold->second.worker)->held += hold->second.need;
        }
        plan.blocked = plan.size.reserve;
        plan.blockedByCapacity = !foundCapacity;
        return foundCapacity ? Outcome::Refused : Outcome::NoCapacity;
    }
    m_holds.erase(task.id);
    m_reported.erase(task.id);
    --plan.startsLeft;
    context.table.place(*host, *candidate.job, plan.size.reserve);
    context.shares.add(*candidate.job, plan.size.reserve);
    context.health.observeStart(host->id, context.now);
    context.actionTracker.add(StartTask{task.id, host->id, plan.size.reserve});
    ++m_starts;
    onPlaced(candidate, *host);
    return Outcome::Placed;
}

Host *StartPlanner::choose(DecisionContext &context,
                           const Candidate &candidate,
                           const JobPlan &plan,
                           const ScoreFunction &score,
                           bool &foundCapacity)
{
    auto &hosts = context.table.hosts();
    Host *best = nullptr;
    double bestScore = 0;
    int scored = 0;
    // The scan is bounded, so it starts at a different worker each time to spread the load.
    m_scanStart = m_scanStart * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto start = hosts.empty() ? 0 : (m_scanStart >> 33) % hosts.size();
    for (std::size_t i = 0; i < hosts.size() && scored < m_settings.maxScoredWorkers; ++i) {
        const auto n = start + i < hosts.size() ? start + i : start + i - hosts.size();
        auto &host = hosts[n];
        if (!host.schedulable || host.startLimit <= 0 || !(*plan.allowed)[n]
            || !fits(plan.size.reserve, host.free - host.held)) {
            continue;
        }
        if (!context.table.acceptsColocation(*candidate.job, host)) {
            foundCapacity = true;
            continue;
        }
        ++scored;
        foundCapacity = true;
        auto value = score(candidate, host);
        if (!value) {
            continue;
        }
        const bool failedUnproven = context.health.hasFailedUnproven(candidate.job->id, host.id);
        if (failedUnproven && candidate.waited < retryUnprovenAfter) {
            continue;
        }
        if (failedUnproven || failedOnWorker(*candidate.pending, host.id)) {
            *value += failedBeforePenalty;
        }
        if (context.health.isQuarantined(host.id)) {
            // A task of a job that has finished on other workers is the better probe, because a failure is then the
            // worker's.
            const bool goodProbe = context.health.isProven(candidate.job->id) && !candidate.urgent;
            *value += goodProbe ? -probePreference : probePreference;
        }
        if (best == nullptr || *value < bestScore) {
            best = &host;
            bestScore = *value;
        }
    }
    const bool neighboursRefuse = best == nullptr && foundCapacity && scored == 0;
    if (neighboursRefuse && candidate.waited >= reportSelectorsAfter) {
        report(context, candidate.pending->task.id, "no worker with room has neighbours that beside selectors accept");
    }
    return best;
}

void StartPlanner::report(DecisionContext &context, const TaskId &task, const std::string &reason)
{
    const auto hash = std::hash<std::string>{}(reason);
    const auto [it, isNew] = m_reported.try_emplace(task, hash);
    if (!isNew && it->second == hash) {
        return;
    }
    it->second = hash;
    context.actionTracker.add(ReportUnplaceable{task, reason});
}

bool StartPlanner::canAddHold(const DecisionContext &context) const
{
    const auto hosts = static_cast<double>(context.table.input().workers.size());
    return static_cast<double>(m_holds.size()) < std::max(1.0, m_settings.maxHoldShare * hosts);
}

void StartPlanner::handleNoCapacity(DecisionContext &context, const Candidate &candidate)
{
    const auto &team = candidate.job->team;
    const bool belowEntitlement = candidate.waited >= m_settings.preemptForFairnessAfter && m_settings.preempts
        && m_settings.fairTeams
        && context.shares.dominantShareWith(team, candidate.size.reserve) <= context.shares.entitlement(team) / 2;
    if (m_holds.contains(candidate.pending->task.id) || !canAddHold(context) || !m_settings.holds) {
        return;
    }
    if (belowEntitlement && preemptFor(context, candidate, false)) {
        return;
    }
    if (candidate.waited >= m_settings.holdAfter && m_blocked.size() < maxBlocked) {
        m_blocked.push_back({candidate, m_starts});
    }
}

void StartPlanner::holdForOvertakenTasks(DecisionContext &context)
{
    for (const auto &blocked : m_blocked) {
        // A task of the usual size gets the next free capacity anyway; a larger one that smaller ones overtake would
        // not.
        if (m_starts > blocked.startsBefore && canAddHold(context)) {
            holdCapacity(context, blocked.candidate);
        }
    }
}

void StartPlanner::holdCapacity(DecisionContext &context, const Candidate &candidate)
{
    const auto &plan = jobPlan(context, *candidate.job);
    Host *best = nullptr;
    double leastMissing = 0;
    auto &hosts = context.table.hosts();
    for (std::size_t n = 0; n < hosts.size(); ++n) {
        auto &host = hosts[n];
        const bool usable = host.schedulable && host.startLimit > 0 && (*plan.allowed)[n] && host.held == Resources{}
            && fits(candidate.size.reserve, host.batchCapacity)
            && context.table.acceptsColocation(*candidate.job, host);
        if (!usable) {
            continue;
        }
        const double missing = capacityShortfall(host, candidate.size.reserve);
        if (best == nullptr || missing < leastMissing) {
            best = &host;
            leastMissing = missing;
        }
    }
    if (best != nullptr) {
        addHold(context, *best, candidate, false);
    }
}

void StartPlanner::addHold(DecisionContext &context, Host &host, const Candidate &candidate, bool urgent)
{
    host.held += candidate.size.reserve;
    m_holds[candidate.pending->task.id] = {host.id, candidate.size.reserve, context.now, context.now, urgent};
}

bool StartPlanner::preemptFor(DecisionContext &context, const Candidate &candidate, bool forUrgent)
{
    const auto &plan = jobPlan(context, *candidate.job);
    std::optional<PreemptionPlan> best;
    auto &hosts = context.table.hosts();
    const auto &team = candidate.job->team;
    for (std::size_t n = 0; n < hosts.size(); ++n) {
        auto &host = hosts[n];
        const bool usable = host.schedulable && host.startLimit > 0 && (*plan.allowed)[n]
            && fits(candidate.size.reserve, host.batchCapacity)
            && context.table.acceptsColocation(*candidate.job, host);
        if (!usable) {
            continue;
        }
        auto preemption = planPreemption(context, host, candidate.size.reserve, team, {!forUrgent});
        if (preemption && (!best || preemption->cost < best->cost)) {
            best = std::move(preemption);
        }
    }
    if (!best) {
        return false;
    }
    const std::string reason = forUrgent ? "room for urgent task " : "room for a team below its share, task ";
    for (const auto *victim : best->victims) {
        context.actionTracker.evict(*victim, reason + candidate.pending->task.id.str());
    }
    addHold(context, *best->host, candidate, forUrgent);
    return true;
}

void StartPlanner::removeStale(const PolicyInput &input)
{
    if (m_reported.size() <= 2 * input.pending.size() + staleSlack) {
        return;
    }
    std::unordered_map<TaskId, std::size_t> kept;
    for (const auto &pending : input.pending) {
        const auto it = m_reported.find(pending.task.id);
        if (it != m_reported.end()) {
            kept.insert(*it);
        }
    }
    m_reported = std::move(kept);
}

} // namespace Trefoilhoist::Detail
