#pragma once

#include "site.h"

namespace Review {

inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int couldNotRun = 2;

using Case = std::function<int(Record &, bool troubled)>;

inline Json step(int count, std::int64_t cpu, std::int64_t ms, std::vector<int> after = {})
{
    Json result = {{"count", count}, {"cpu", cpu}, {"memoryRequestMb", 64}, {"estimatedMs", ms}};
    if (!after.empty()) {
        result["after"] = after;
    }
    return result;
}

/// A caller leaves its submission unanswered while the store is slow, and cancels the job.
inline int cancelledWhileRecorded(Record &record, bool troubled)
{
    constexpr std::int64_t slowness = 71;
    constexpr std::int64_t slowForMs = 5500;
    constexpr std::int64_t leavesAfterMs = 125;
    constexpr std::int64_t contactMs = 3000;
    constexpr std::int64_t cancelMs = 3000;
    constexpr int jobs = 4;
    SitePlan plan;
    plan.sides.assign(3, SidePlan{});
    Site site(plan, record);
    if (!site.waitUntilServing(15'000)) {
        return couldNotRun;
    }
    sleepMs(contactMs);
    const auto slowSince = record.now();
    if (troubled) {
        record.add("trouble", "the store's answers take " + std::to_string(slowness) + " times as long");
        site.store().setSlowness(slowness);
    }
    sleepMs(500);
    Json steps = Json::array();
    for (int i = 0; i < 5; ++i) {
        steps.push_back(i == 0 ? step(2, 500, 3000) : step(2, 500, 3000, {i - 1}));
    }
    const auto body = Json{{"specification", "ms=3000,3000,3000,3000,3000"}, {"steps", steps}}.dump();
    std::map<std::string, std::int64_t> cancelledAt;
    for (int i = 0; i < jobs; ++i) {
        const std::string id = "c0ffee000000000" + std::to_string(i);
        site.send("POST", id, body, leavesAfterMs);
        const auto answer = site.send("DELETE", id, "", 3000);
        if (answer && (answer->status / 100 == 2 || answer->status == 410)) {
            cancelledAt[id] = record.now();
        }
        sleepMs(400);
    }
    sleepMs(std::max<std::int64_t>(0, slowSince + slowForMs - record.now()));
    site.store().setSlowness(1);
    const auto calmSince = record.now() + (troubled ? contactMs : 0);
    record.add("trouble", "the store is as fast as before");
    for (int i = 0; i < 6; ++i) {
        sleepMs(2000);
        for (const auto &[id, at] : cancelledAt) {
            site.stateOf(id);
        }
    }
    int late = 0;
    for (const auto &it : site.runs().events()) {
        const auto found = cancelledAt.find(it.task.substr(0, 16));
        if (it.what == "start" && found != cancelledAt.end() && it.at > found->second + cancelMs && it.at > calmSince) {
            ++late;
            record.add("check",
                       "UNASKED: " + it.task + " was started " + std::to_string(it.at - found->second)
                           + " ms after its job's cancelling was acknowledged");
        }
    }
    record.add("check",
               std::to_string(cancelledAt.size()) + " acknowledged cancels, " + std::to_string(late)
                   + " starts too late");
    if (cancelledAt.empty()) {
        return couldNotRun;
    }
    return late > 0 ? broken : held;
}

/// The owner of the scheduling stands still until another process owns it and has accepted a job. It wakes up and
/// answers the cancel of that job.
inline int cancelledAtStaleOwner(Record &record, bool troubled)
{
    constexpr std::int64_t longestFreezeMs = 3500;
    /// A new owner reads its records before it takes jobs.
    constexpr std::int64_t loadsForMs = 60;
    constexpr std::int64_t contactMs = 3000;
    constexpr std::int64_t cancelMs = 3000;
    const std::string job = "5ca1ab1e00000001";
    SitePlan plan;
    plan.sides.assign(3, SidePlan{});
    Site site(plan, record);
    if (!site.waitUntilServing(15'000)) {
        return couldNotRun;
    }
    sleepMs(contactMs);
    const int first = site.owner();
    if (first < 0) {
        return couldNotRun;
    }
    const int other = 1 - first;
    auto &stale = *site.fronts().at(static_cast<std::size_t>(first)).dispatcher;
    const std::string headers = "Host: " + queueHost + "\r\nX-Deadline-Milliseconds: 3000\r\n";
    KeptConnection client(site.fronts().at(static_cast<std::size_t>(first)).callers);
    client.send("GET", queuePrefix, headers);
    client.receive(1000);
    const auto frozenAt = record.now();
    auto calmSince = frozenAt;
    if (troubled) {
        record.add("trouble", "front " + std::to_string(first) + ", which owns the scheduling, stands still");
        stale.kill(SIGSTOP);
        while (site.owner() != other && record.now() < frozenAt + longestFreezeMs) {
            sleepMs(2);
        }
        sleepMs(loadsForMs);
    }
    Json steps = Json::array();
    for (int i = 0; i < 4; ++i) {
        steps.push_back(i == 0 ? step(2, 500, 3000) : step(2, 500, 3000, {i - 1}));
    }
    const auto body = Json{{"specification", "ms=3000,3000,3000,3000"}, {"steps", steps}}.dump();
    std::optional<Response> accepted;
    while ((!accepted || accepted->status != 200) && record.now() < frozenAt + longestFreezeMs) {
        accepted = site.send("POST", job, body, 1000, other);
    }
    record.add("client", "DELETE " + job + " sent to front " + std::to_string(first) + " on an open connection");
    client.send("DELETE", queuePrefix + job, headers);
    if (troubled) {
        sleepMs(5);
        stale.kill(SIGCONT);
        calmSince = record.now() + contactMs;
        record.add("trouble",
                   "front " + std::to_string(first) + " wakes up after " + std::to_string(record.now() - frozenAt)
                       + " ms");
    }
    const auto answer = client.receive(3000);
    const auto cancelledAt = record.now();
    record.add(
        "client",
        "DELETE " + job
            + (answer ? " answered " + std::to_string(answer->status) + " " + answer->body : " without an answer"));
    for (int i = 0; i < 13; ++i) {
        sleepMs(1000);
        site.stateOf(job);
    }
    if (!accepted || accepted->status != 200) {
        return couldNotRun;
    }
    if (!answer || (answer->status / 100 != 2 && answer->status != 410)) {
        // Not acknowledged, so that nothing is owed.
        return held;
    }
    int late = 0;
    for (const auto &it : site.runs().events()) {
        if (it.what == "start" && it.task.starts_with(job) && it.at > cancelledAt + cancelMs && it.at > calmSince) {
            ++late;
            record.add("check",
                       "UNASKED: " + it.task + " was started " + std::to_string(it.at - cancelledAt)
                           + " ms after its job's cancelling was acknowledged");
        }
    }
    record.add("check", std::to_string(late) + " starts too late");
    return late > 0 ? broken : held;
}

/// The times at which a task of `job` ran on two minions at once.
inline int overlaps(Record &record, const std::vector<RunEvent> &events, const std::string &job)
{
    std::map<std::string, std::map<std::string, std::int64_t>> running;
    int count = 0;
    for (const auto &it : events) {
        if (!it.task.starts_with(job)) {
            continue;
        }
        auto &runs = running[it.task];
        const auto key = it.minion + " run " + std::to_string(it.run);
        if (it.what != "start") {
            runs.erase(key);
            continue;
        }
        if (!runs.empty()) {
            ++count;
            record.add("check",
                       "TWICE: " + it.task + " is started as " + key + " at " + std::to_string(it.at) + " ms while "
                           + runs.begin()->first + " has been at work since " + std::to_string(runs.begin()->second)
                           + " ms");
        }
        runs[key] = it.at;
    }
    return count;
}

/// A heartbeat is held up by a cut, its minion crashes behind the cut and is replaced at its address by another one,
/// the agent there is stopped and started, and the heartbeat arrives before the next one of the present minion.
inline int delayedHeartbeat(Record &record, bool troubled)
{
    constexpr std::int64_t cutForMs = 1700;
    // TROUBLE_ONLY=restart or TROUBLE_ONLY=heartbeat leaves one half of the disruption out.
    const auto *only = std::getenv("TROUBLE_ONLY");
    const bool restart = troubled && (only == nullptr || std::string(only) == "restart");
    const bool late = troubled && (only == nullptr || std::string(only) == "heartbeat");
    const std::string job = "beef000000000001";
    SitePlan plan;
    plan.sides.assign(10, SidePlan{32'000, "r1-1"});
    Site site(plan, record);
    if (!site.waitUntilServing(15'000)) {
        return couldNotRun;
    }
    auto &side = site.sides().front();
    if (troubled) {
        record.add("trouble", "heartbeats of i-1a are held up");
        side.minion->holdHeartbeats(true);
        sleepMs(cutForMs);
    }
    const auto heartbeat = side.minion->heldHeartbeat();
    side.minion->crash();
    sleepMs(200);
    site.startMinion(side, "i-1b");
    sleepMs(300);
    const auto body = Json{{"specification", "ms=15000"}, {"steps", {step(20, 3000, 15'000)}}}.dump();
    const auto accepted = site.send("POST", job, body, 3000);
    for (int i = 0; i < 40 && side.minion->running() == 0; ++i) {
        sleepMs(25);
    }
    if (!accepted || accepted->status != 200 || side.minion->running() == 0) {
        return couldNotRun;
    }
    // Until the present minion has just been heard, so that its next heartbeat is more than a second away.
    const auto sequence = side.minion->acknowledged();
    while (side.minion->acknowledged() == sequence) {
        sleepMs(5);
    }
    if (restart) {
        record.add("trouble", "SIGTERM to the agent beside i-1b");
        side.agent->kill(SIGTERM);
        record.add("trouble", "the agent has ended, and is started again");
        side.agent->start();
    }
    if (late) {
        std::optional<Response> answer;
        for (int i = 0; i < 40 && !answer; ++i) {
            answer = call(side.plan.control, "POST", heartbeat.first, heartbeat.second, 500);
            sleepMs(answer ? 0 : 5);
        }
        record.add("trouble",
                   "the heartbeat of i-1a that was held up arrives; it is answered "
                       + std::to_string(answer ? answer->status : 0) + ": " + heartbeat.second);
    }
    sleepMs(4000);
    const int twice = overlaps(record, site.runs().events(), job);
    record.add("check", std::to_string(twice) + " starts beside a run of the same task");
    return twice > 0 ? broken : held;
}

/// One minion of ten sheds all starts, and jobs have room only there. Callers ask how many jobs wait.
inline int waitingJobsUncounted(Record &record, bool troubled)
{
    constexpr std::int64_t sheddingForMs = 6500;
    /// visible_ms + 2 s: by then an accepted job that has not begun must be counted.
    constexpr std::int64_t countedAfterMs = 5000;
    constexpr int minions = 10;
    constexpr int jobs = 3;
    SitePlan plan;
    plan.sides.assign(minions, SidePlan{});
    Site site(plan, record);
    if (!site.waitUntilServing(15'000)) {
        return couldNotRun;
    }
    const auto filler = Json{{"specification", "ms=25000"}, {"steps", {step(minions - 1, 4000, 25'000)}}}.dump();
    site.send("POST", "f111000000000000", filler, 3000);
    for (int i = 0; i < 100 && site.runs().starts("f111000000000000") < minions - 1; ++i) {
        sleepMs(50);
    }
    Minion *idle = nullptr;
    for (auto &it : site.sides()) {
        idle = it.minion->running() == 0 ? it.minion.get() : idle;
    }
    if (idle == nullptr || site.runs().starts("f111000000000000") != minions - 1) {
        return couldNotRun;
    }
    if (troubled) {
        record.add("trouble", idle->id() + " sheds all starts");
        idle->setShedding(true);
    }
    const auto sheddingSince = record.now();
    sleepMs(200);
    std::map<std::string, std::int64_t> acceptedAt;
    for (int i = 0; i < jobs; ++i) {
        const std::string id = "ab1e00000000000" + std::to_string(i);
        const auto body = Json{{"specification", "ms=2000"}, {"steps", {step(1, 1300, 2000)}}}.dump();
        const auto answer = site.send("POST", id, body, 3000);
        if (answer && answer->status == 200) {
            acceptedAt[id] = record.now();
        }
    }
    int wrong = 0;
    while (record.now() < sheddingSince + sheddingForMs) {
        const auto asked = record.now();
        const auto waiting = site.waiting();
        const auto owed = std::count_if(acceptedAt.begin(), acceptedAt.end(), [&](const auto &it) {
            return asked > it.second + countedAfterMs && site.runs().starts(it.first) == 0;
        });
        if (waiting >= 0 && 2 * waiting < owed) {
            ++wrong;
            record.add("check",
                       "MIXED: the queue is said to have " + std::to_string(waiting) + " waiting jobs, though "
                           + std::to_string(owed) + " were accepted over " + std::to_string(countedAfterMs)
                           + " ms before and have not begun");
        }
        sleepMs(250);
    }
    idle->setShedding(false);
    record.add("trouble", idle->id() + " takes starts again");
    sleepMs(5000);
    record.add("check", std::to_string(wrong) + " answers below half of the jobs that waited");
    return acceptedAt.size() < jobs ? couldNotRun : wrong > 0 ? broken : held;
}

/// A sound job of one task is accepted. The minion that has just begun the task crashes, and so does the next one.
inline int soundJobGivenUp(Record &record, bool troubled)
{
    constexpr int minions = 10;
    constexpr int crashes = 2;
    constexpr std::int64_t crashesAfterMs = 100;
    constexpr std::int64_t downForMs = 2000;
    constexpr std::int64_t longestWaitMs = 10'000;
    const std::string job = "50bd000000000001";
    SitePlan plan;
    plan.sides.assign(minions, SidePlan{});
    Site site(plan, record);
    if (!site.waitUntilServing(15'000)) {
        return couldNotRun;
    }
    const auto body = Json{{"specification", "ms=3000"}, {"steps", {step(1, 1000, 3000)}}}.dump();
    const auto accepted = site.send("POST", job, body, 3000);
    if (!accepted || accepted->status != 200) {
        return couldNotRun;
    }
    std::vector<std::thread> repairs;
    for (int i = 0; troubled && i < crashes; ++i) {
        const auto since = record.now();
        while (site.runs().starts(job) <= i && record.now() < since + longestWaitMs) {
            sleepMs(2);
        }
        sleepMs(crashesAfterMs);
        for (auto &it : site.sides()) {
            if (it.minion->running() > 0) {
                record.add("trouble", it.minion->id() + " crashes");
                it.minion->crash();
                repairs.emplace_back([&site, &it] {
                    sleepMs(downForMs);
                    site.startMinion(it, it.minion->id() + "b");
                });
                break;
            }
        }
    }
    for (auto &it : repairs) {
        it.join();
    }
    std::string state;
    for (int i = 0; i < 10 && state != "completed"; ++i) {
        sleepMs(1000);
        state = site.stateOf(job);
    }
    const auto events = site.runs().events();
    const auto failures = std::count_if(
        events.begin(), events.end(), [&](const auto &it) { return it.task.starts_with(job) && it.what == "failed"; });
    record.add("check",
               job + " was started " + std::to_string(site.runs().starts(job)) + " times, " + std::to_string(failures)
                   + " runs ended failed, and it is shown as " + state);
    if (state == "failed" && failures == 0) {
        record.add("check", "LOST: an accepted job that nobody has cancelled is shown as failed without cause");
        return broken;
    }
    return state == "completed" ? held : couldNotRun;
}

inline const std::map<std::string, Case> &cases()
{
    static const std::map<std::string, Case> all = {
        {"cancelled-while-recorded", cancelledWhileRecorded},
        {"cancelled-at-stale-owner", cancelledAtStaleOwner},
        {"delayed-heartbeat", delayedHeartbeat},
        {"waiting-jobs-uncounted", waitingJobsUncounted},
        {"sound-job-given-up", soundJobGivenUp},
    };
    return all;
}

} // namespace Review
