#include "trefoilhoist/jobs/startedruns.h"

#include <set>

namespace Trefoilhoist::Jobs {

namespace {

/// A start order without an answer may be executed late, but not later than this.
constexpr Duration maxExecutionDelay = seconds(30);

} // namespace

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

void StartedRuns::applyListing(const MinionListing &listing, TimePoint now)
{
    std::set<RunKey> present;
    for (const auto &row : listing.running) {
        const RunKey key{row.task, row.run};
        present.insert(key);
        m_runs.emplace(key, Entry{now, true}).first->second.confirmed = true;
    }
    for (const auto &row : listing.ended) {
        m_runs.erase({row.task, row.run});
    }
    if (listing.lacksEnds) {
        return;
    }
    // A start that was confirmed lately may be missing in a listing that was made before.
    std::erase_if(m_runs, [&](const auto &it) {
        return present.count(it.first) == 0 && now - it.second.orderedAt > maxExecutionDelay;
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
    std::erase_if(m_runs, [&](const auto &it) { return !sameId || it.second.confirmed; });
}

} // namespace Trefoilhoist::Jobs
