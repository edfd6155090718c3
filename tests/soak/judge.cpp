#include "soak/judge.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace Trefoilhoist::Soak {

namespace {

std::string describe(const RecordedRun &run)
{
    std::ostringstream text;
    text << run.task << " run " << run.run << " on " << run.minion << " from " << run.startedAtMs << " to "
         << run.endedAtMs << " ms, " << (run.how.empty() ? "not ended" : run.how) << (run.noted ? ", noted" : "");
    return text.str();
}

/// True if both runs were at work at some time when the host of the first was not suspended.
bool wereBothAtWork(const RecordedRun &first, const RecordedRun &second)
{
    auto bothSinceMs = second.startedAtMs;
    for (const auto &it : first.suspensions) {
        if (bothSinceMs >= it.fromMs && bothSinceMs < it.untilMs) {
            bothSinceMs = it.untilMs;
        }
    }
    return bothSinceMs < std::min(first.endedAtMs, second.endedAtMs);
}

} // namespace

std::vector<RecordedRun> readRuns(const MinionRecord &record, std::int64_t soakEndMs)
{
    std::map<std::pair<std::string, std::int64_t>, RecordedRun> runs;
    std::int64_t lapsedAtMs = -1;
    std::ifstream file(record.path);
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::int64_t at = 0;
        std::string kind;
        std::string minion;
        std::string task;
        std::string runWord;
        std::int64_t number = 0;
        std::string what;
        words >> at >> kind;
        if (kind == "lapse") {
            std::int64_t noticedLateMs = 0;
            words >> minion >> noticedLateMs;
            lapsedAtMs = at - noticedLateMs;
            continue;
        }
        if (kind != "run" || !(words >> minion >> task >> runWord >> number >> what)) {
            continue;
        }
        auto &run = runs[{task, number}];
        if (what == "start") {
            const auto lastMs = record.killedAtMs > 0 ? record.killedAtMs : soakEndMs;
            run = {minion, task, number, at, lastMs, "", false, record.suspensions};
        } else if (what == "noted") {
            run.noted = run.endedAtMs > lapsedAtMs;
        } else {
            std::int64_t noticedLateMs = 0;
            words >> noticedLateMs;
            run.endedAtMs = at - noticedLateMs;
            run.how = what;
        }
    }
    std::vector<RecordedRun> all;
    all.reserve(runs.size());
    for (auto &[key, run] : runs) {
        all.push_back(std::move(run));
    }
    return all;
}

std::vector<std::string> findRunsTwice(const std::vector<RecordedRun> &runs)
{
    std::map<std::string, std::vector<const RecordedRun *>> byTask;
    for (const auto &it : runs) {
        byTask[it.task].push_back(&it);
    }
    std::vector<std::string> found;
    for (const auto &[task, list] : byTask) {
        for (const auto *first : list) {
            for (const auto *second : list) {
                const bool later = second != first && second->startedAtMs >= first->startedAtMs;
                if (!later || (second->startedAtMs == first->startedAtMs && second < first)) {
                    continue;
                }
                if (wereBothAtWork(*first, *second)) {
                    found.push_back("two runs at once: " + describe(*second) + " beside " + describe(*first));
                } else if (first->how == "done" && first->noted && second->startedAtMs >= first->endedAtMs) {
                    found.push_back("started after a noted end: " + describe(*second) + " after " + describe(*first));
                }
            }
        }
    }
    return found;
}

std::size_t doneTasks(const std::vector<RecordedRun> &runs, const std::string &job)
{
    std::set<std::string> tasks;
    for (const auto &it : runs) {
        if (it.how == "done" && it.task.starts_with(job)) {
            tasks.insert(it.task);
        }
    }
    return tasks.size();
}

} // namespace Trefoilhoist::Soak
