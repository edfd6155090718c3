#include "trefoilhoist/jobs/startedruns.h"

#include <set>

namespace Trefoilhoist::Jobs {

namespace {

/// A start order without an answer may be executed late, but not later than this.
constexpr Duration maxExecutionDelay = seconds(30);
/// Repeated start orders are refused when they are older than 1.5 s, so that ended runs need not be known for longer.
constexpr Duration endedRunsKept = seconds(5);

} // namespace

std::optional<OrderResult> StartedRuns::knownResult(const RunKey &run) const
{
    if (m_endedRuns.count(run) > 0) {
        return OrderResult::Superseded;
    }
    const auto it = m_runs.find(run);
    return it != m_runs.end() && it->second.confirmed ? std::optional(OrderResult::Done) : std::nullopt;
}

void StartedRuns::addStart(const RunKey &run, TimePoint now)
{
    auto &entry = m_runs[run];
    if (!entry.confirmed) {
        // A repeated order may be the one that starts the run.
        entry.orderedAt = now;
    }
}

void StartedRuns::applyStartResult(const RunKey &run, OrderResult result)
{
    const auto it = m_runs.find(run);
    if (it == m_runs.end() || it->second.confirmed || result == OrderResult::Unknown) {
        return;
    }
    if (result == OrderResult::Done) {
        it->second.confirmed = true;
    } else {
        m_runs.erase(it);
    }
}

void StartedRuns::addStop(const RunKey &run, TimePoint now)
{
    m_endedRuns.insert_or_assign(run, now);
}

void StartedRuns::applyListing(const MinionListing &listing, TimePoint now)
{
    std::set<RunKey> present;
    for (const auto &row : listing.running) {
        const RunKey key{row.task, row.run};
        present.insert(key);
        auto &entry = m_runs.emplace(key, Entry{now}).first->second;
        entry.confirmed = true;
        entry.listed = true;
    }
    for (const auto &row : listing.ended) {
        m_runs.erase({row.task, row.run});
        m_endedRuns.emplace(RunKey{row.task, row.run}, now);
    }
    std::erase_if(m_endedRuns, [&](const auto &it) { return now - it.second > endedRunsKept; });
    if (listing.lacksEnds) {
        return;
    }
    // A start that was confirmed lately may be missing in a listing that was made before.
    std::erase_if(m_runs, [&](const auto &it) {
        const bool isOld = it.second.answeredBefore || now - it.second.orderedAt > maxExecutionDelay;
        return isOld && present.count(it.first) == 0;
    });
}

std::vector<Wire::LostRun> StartedRuns::runsAt(TimePoint crash) const
{
    std::vector<Wire::LostRun> runs;
    for (const auto &[key, entry] : m_runs) {
        if (entry.orderedAt > crash) {
            continue;
        }
        Wire::LostRun lost;
        lost.task = key.task;
        lost.run = key.run;
        lost.ageMs = duration_cast<milliseconds>(crash - entry.orderedAt).count();
        runs.push_back(std::move(lost));
    }
    return runs;
}

void StartedRuns::resetForNewIncarnation(bool sameId)
{
    std::erase_if(m_runs, [&](const auto &it) { return !sameId || it.second.listed; });
    for (auto &[key, entry] : m_runs) {
        entry.answeredBefore = entry.answeredBefore || entry.confirmed;
        entry.confirmed = false;
    }
    m_endedRuns.clear();
}

} // namespace Trefoilhoist::Jobs
