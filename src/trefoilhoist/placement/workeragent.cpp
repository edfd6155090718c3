#include "trefoilhoist/placement/workeragent.h"

#include "trefoilhoist/internal/invariant.h"

#include <algorithm>
#include <cstdlib>

namespace Trefoilhoist {

namespace {

/// A token is the incarnation shifted left by this, plus a counter, so no two incarnations issue the same token.
constexpr int tokenIncarnationShift = 20;
/// Usage is reported again once it has changed by more than a tenth of the reservation.
constexpr std::int64_t usageStepsPerReservation = 10;
/// Seen run numbers are kept for this many lease durations after their run was removed.
constexpr int seenRunRetentionLeases = 2;
constexpr Duration cleanupInterval = seconds(1);

bool changedSignificantly(std::int64_t before, std::int64_t now, std::int64_t reserved)
{
    return std::abs(now - before) * usageStepsPerReservation > reserved;
}

bool changedSignificantly(const Resources &before, const Resources &now, const Resources &reserved)
{
    return changedSignificantly(before.milliCpu, now.milliCpu, reserved.milliCpu)
        || changedSignificantly(before.memoryMb, now.memoryMb, reserved.memoryMb)
        || changedSignificantly(before.accelerators, now.accelerators, reserved.accelerators);
}

} // namespace

WorkerAgent::WorkerAgent(WorkerAgentSettings settings) : m_settings(std::move(settings)) { }

std::pair<SyncAnswer, WorkerAgent::Actions> WorkerAgent::sync(TimePoint now, const SyncRequest &request)
{
    Actions actions = tick(now);
    SyncAnswer answer;
    answer.worker = m_settings.id;
    answer.incarnation = m_settings.incarnation;
    if (m_settings.safeguards.checkEpoch && request.epoch < m_epoch) {
        answer.epoch = m_epoch;
        return {answer, actions};
    }
    if (request.epoch > m_epoch) {
        m_epoch = request.epoch;
        if (m_settings.safeguards.checkEpoch) {
            m_tokens.clear();
        }
    }
    answer.epoch = request.epoch;
    m_lease = request.lease;
    if (isTokenValid(now, request)) {
        answer.accepted = true;
        applyOrders(now, request, answer, actions);
    } else {
        for (const auto &it : request.start) {
            answer.refused.push_back({{it.task, it.run}, RefusalReason::Token});
        }
    }
    issueToken(now, request, answer);
    report(request, answer);
    cleanUpOldRuns(now);
    return {answer, actions};
}

bool WorkerAgent::isTokenValid(TimePoint now, const SyncRequest &request) const
{
    if (request.token == 0) {
        return false;
    }
    if (!m_settings.safeguards.checkToken) {
        return true;
    }
    const auto it = m_tokens.find(request.token);
    return it != m_tokens.end() && now < it->second + request.lease;
}

void WorkerAgent::applyOrders(TimePoint now, const SyncRequest &request, SyncAnswer &answer, Actions &actions)
{
    const auto token = m_tokens.find(request.token);
    const auto issued = token != m_tokens.end() && m_settings.safeguards.checkToken ? token->second : now;
    m_leaseEnd = std::max(m_leaseEnd.value_or(TimePoint{}), issued + request.lease);
    for (const auto &it : request.recordedRuns) {
        auto *run = find(it);
        if (run != nullptr && run->report.state != RunState::Running) {
            m_runs.erase(it.task);
            m_seenRuns[it.task].at = now;
        }
    }
    for (const auto &it : request.stop) {
        stop(now, it, actions);
    }
    for (const auto &it : request.start) {
        start(now, it, answer, actions);
    }
    for (const auto &it : request.throttle) {
        throttle(it, actions);
    }
    for (const auto &it : request.checkpoint) {
        const auto *run = find(it);
        if (run != nullptr && run->report.state == RunState::Running) {
            actions.emplace_back(TakeCheckpoint{it});
        }
    }
}

void WorkerAgent::start(TimePoint now, const StartOrder &order, SyncAnswer &answer, Actions &actions)
{
    const RunRef ref{order.task, order.run};
    if (find(ref) != nullptr) {
        return;
    }
    const auto refuse = [&](RefusalReason reason) {
        answer.refused.push_back({ref, reason});
    };
    auto &seen = m_seenRuns[order.task];
    if (m_settings.safeguards.checkRunNumber && order.run <= seen.run) {
        refuse(RefusalReason::SeenBefore);
        return;
    }
    // A refused run counts as seen, so a delayed copy of the order can't start it later.
    seen = {std::max(seen.run, order.run), now};
    if (m_leaving) {
        refuse(RefusalReason::Leaving);
        return;
    }
    const auto older = m_runs.find(order.task);
    if (older != m_runs.end() && older->second.report.state == RunState::Running) {
        const RunRef olderRef{order.task, older->second.report.run};
        endRun(olderRef, RunState::Stopped);
        actions.emplace_back(EndRun{olderRef});
    }
    if (m_settings.safeguards.checkCapacity && !fits(m_reserved + order.reserve, m_settings.capacity)) {
        refuse(RefusalReason::Capacity);
        return;
    }
    m_reserved += order.reserve;
    if (m_settings.safeguards.assertInvariants) {
        TREFOILHOIST_INVARIANT(fits(m_reserved, m_settings.capacity), "P1 runs on a worker never exceed its capacity");
    }
    Run run;
    run.report = {order.task, order.job, order.run, RunState::Running, order.checkpoint, 0, order.reserve, {}, 1.0};
    markChanged(run);
    m_runs[order.task] = std::move(run);
    actions.emplace_back(BeginRun{order});
}

void WorkerAgent::stop(TimePoint now, const RunRef &ref, Actions &actions)
{
    auto &seen = m_seenRuns[ref.task];
    seen = {std::max(seen.run, ref.run), now};
    const auto *run = find(ref);
    if (run != nullptr && run->report.state == RunState::Running) {
        endRun(ref, RunState::Stopped);
        actions.emplace_back(EndRun{ref});
    }
}

void WorkerAgent::throttle(const ThrottleOrder &order, Actions &actions)
{
    auto *run = find(order.ref);
    if (run != nullptr && run->report.state == RunState::Running && run->report.throttle != order.share) {
        run->report.throttle = order.share;
        markChanged(*run);
        actions.emplace_back(ApplyThrottle{order.ref, order.share});
    }
}

WorkerAgent::Actions WorkerAgent::tick(TimePoint now)
{
    Actions actions;
    if (!m_leaseEnd || now < *m_leaseEnd || !m_settings.safeguards.stopAtLeaseExpiry) {
        return actions;
    }
    m_leaseEnd.reset();
    std::vector<RunRef> running;
    for (const auto &[task, run] : m_runs) {
        if (run.report.state == RunState::Running) {
            running.push_back({task, run.report.run});
        }
    }
    for (const auto &ref : running) {
        endRun(ref, RunState::Lapsed);
        actions.emplace_back(EndRun{ref});
    }
    return actions;
}

std::optional<TimePoint> WorkerAgent::leaseEnd() const
{
    return m_leaseEnd;
}

void WorkerAgent::runEnded(const RunRef &ref, RunState state)
{
    endRun(ref, state);
}

void WorkerAgent::endRun(const RunRef &ref, RunState state)
{
    auto *run = find(ref);
    if (run == nullptr || run->report.state != RunState::Running) {
        return;
    }
    run->report.state = state;
    m_reserved -= run->report.reserved;
    markChanged(*run);
}

void WorkerAgent::checkpointTaken(const RunRef &ref, const std::string &checkpoint)
{
    auto *run = find(ref);
    if (run != nullptr && run->report.state == RunState::Running) {
        run->report.checkpoint = checkpoint;
        ++run->report.checkpoints;
        markChanged(*run);
    }
}

void WorkerAgent::setUsage(const RunRef &ref, const Resources &used)
{
    auto *run = find(ref);
    if (run == nullptr || run->report.state != RunState::Running) {
        return;
    }
    run->report.used = used;
    if (changedSignificantly(run->reportedUsage, used, run->report.reserved)) {
        run->reportedUsage = used;
        markChanged(*run);
    }
}

void WorkerAgent::setServices(std::vector<ServiceReport> services)
{
    m_services = std::move(services);
}

void WorkerAgent::setLeaving(bool leaving)
{
    m_leaving = leaving;
}

std::int64_t WorkerAgent::epoch() const
{
    return m_epoch;
}

std::vector<RunReport> WorkerAgent::runs() const
{
    std::vector<RunReport> reports;
    reports.reserve(m_runs.size());
    for (const auto &[task, run] : m_runs) {
        reports.push_back(run.report);
    }
    return reports;
}

void WorkerAgent::markChanged(Run &run)
{
    run.revision = ++m_revision;
}

void WorkerAgent::issueToken(TimePoint now, const SyncRequest &request, SyncAnswer &answer)
{
    std::erase_if(m_tokens, [&](const auto &it) { return it.second + request.lease <= now; });
    answer.token = (m_settings.incarnation << tokenIncarnationShift) + ++m_tokenCount;
    m_tokens[answer.token] = now;
}

void WorkerAgent::report(const SyncRequest &request, SyncAnswer &answer) const
{
    answer.revision = m_revision;
    answer.full = !answer.accepted || request.appliedRevision == 0 || request.appliedRevision > m_revision;
    for (const auto &[task, run] : m_runs) {
        const bool ended = run.report.state != RunState::Running;
        if (answer.full || run.revision > request.appliedRevision
            || (ended && !m_settings.safeguards.keepUntilDurable)) {
            answer.runs.push_back(run.report);
        }
    }
    answer.services = m_services;
}

void WorkerAgent::cleanUpOldRuns(TimePoint now)
{
    if (!m_settings.safeguards.keepUntilDurable) {
        std::erase_if(m_runs, [](const auto &it) { return it.second.report.state != RunState::Running; });
    }
    if (now < m_nextCleanup) {
        return;
    }
    m_nextCleanup = now + cleanupInterval;
    const auto before = now - m_lease * seenRunRetentionLeases;
    std::erase_if(m_seenRuns, [&](const auto &it) { return it.second.at < before && !m_runs.contains(it.first); });
}

WorkerAgent::Run *WorkerAgent::find(const RunRef &ref)
{
    const auto it = m_runs.find(ref.task);
    return it != m_runs.end() && it->second.report.run == ref.run ? &it->second : nullptr;
}

} // namespace Trefoilhoist
