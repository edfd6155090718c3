// A minion as its page describes it: starts what it is told, keeps it for as long as its hold lasts, and lists what
// runs and what has ended. Its tasks are timers. It can be a part of the script's process, or a process of its own.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <random>
#include <vector>

namespace Review {

using Json = nlohmann::json;

/// Collects what was seen, with the time of the steady clock.
class Record
{
public:
    explicit Record(const std::string &path) : m_out(path, std::ios::app) { }

    void add(Json row)
    {
        row["t"] = steadyMs();
        if (onRow) {
            onRow(row);
        }
        std::lock_guard lock(m_mutex);
        m_out << row.dump() << std::endl;
        m_rows.push_back(std::move(row));
    }
    /// Adds a row of another record, which has its time.
    void copy(const Json &row)
    {
        std::lock_guard lock(m_mutex);
        m_out << row.dump() << std::endl;
    }
    std::vector<Json> rows()
    {
        std::lock_guard lock(m_mutex);
        return m_rows;
    }

    /// Is called with each row that is added.
    std::function<void(const Json &)> onRow;

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    std::vector<Json> m_rows;
};

/// What the tasks of a step do; from the specification of the job.
struct Work {
    std::int64_t ms = 500;
    bool lasts = false;
    bool gang = false;
    int count = 1;
    bool checkpoints = false;
    /// The first runs of the task with index 0 that fail.
    int failures = 0;
    /// Each run fails by its own fault after so long; 0: none does.
    std::int64_t failsAfterMs = 0;
    /// The length of a checkpoint, if it is longer than what it has to tell.
    std::size_t checkpointBytes = 0;
};

/// The gangs and the counts of failures of all minions of one process.
struct Shared {
    struct Gang {
        std::map<int, const void *> present;
        std::int64_t completeAt = 0;
        bool done = false;
        bool broken = false;
    };
    std::mutex mutex;
    std::map<std::string, Gang> gangs;
    std::map<std::string, int> failures;
};

struct MinionSettings {
    std::string id;
    std::string service;
    std::string zone = "zone-1";
    int port = 0;
    int agentPort = 0;
    int cpu = 16000;
    int memoryMb = 64000;
    std::vector<std::string> labels;
    std::int64_t maxHoldMs = 6000;
    std::int64_t stopMs = 50;
    std::int64_t gangTimeoutMs = 3000;
    std::int64_t beatMs = 1500;
};

class Minion
{
public:
    Minion(MinionSettings settings, Record &record, Shared &shared)
        : m_state(std::make_shared<State>(std::move(settings), record, shared))
    {
        m_server = std::make_unique<Server>(m_state->settings.port,
                                            [state = m_state](const Request &it) { return state->answer(it); });
        m_state->note("up", "", 0);
        std::thread([state = m_state] { state->tickAll(); }).detach();
        std::thread([state = m_state] { state->beatAll(); }).detach();
    }

    ~Minion()
    {
        crash();
    }

    void crash()
    {
        {
            std::lock_guard lock(m_state->mutex);
            if (std::exchange(m_state->dead, true)) {
                return;
            }
            m_state->note("crash", "", 0);
            std::lock_guard inner(m_state->shared.mutex);
            for (auto &[key, gang] : m_state->shared.gangs) {
                for (const auto &[index, owner] : gang.present) {
                    gang.broken = gang.broken || (owner == m_state.get() && !gang.done);
                }
            }
        }
        m_state->changed.notify_all();
        m_server->stop();
    }

    /// Until then, this share of the orders gets no answer and is carried out 2 to 12 s later.
    void setLate(double share)
    {
        std::lock_guard lock(m_state->mutex);
        m_state->lateShare = share;
    }
    /// Some calls wait before they are carried out, some before they are answered.
    void setSluggish(bool sluggish)
    {
        m_state->sluggish = sluggish;
    }
    /// Share of the calls that are carried out and not answered, and of those that are not even carried out.
    void setMute(double answersLost, double callsLost)
    {
        m_state->answersLost = answersLost;
        m_state->callsLost = callsLost;
    }
    /// Fails all that it starts, with a good health.
    void setGrey(bool grey)
    {
        std::lock_guard lock(m_state->mutex);
        m_state->grey = grey;
    }
    std::size_t running()
    {
        std::lock_guard lock(m_state->mutex);
        return m_state->runs.size();
    }
    void drain()
    {
        std::lock_guard lock(m_state->mutex);
        m_state->draining = true;
    }

private:
    struct Run {
        std::int64_t number = 0;
        std::int64_t startedAt = 0;
        std::int64_t doneMs = 0;
        std::int64_t stopAt = 0;
        Work work;
        std::string gangKey;
        int index = 0;
        bool fails = false;
        std::string checkpoint;
        std::int64_t savedAt = 0;
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        std::string checkpoint;
    };

    struct State : std::enable_shared_from_this<State> {
        MinionSettings settings;
        Record &record;
        Shared &shared;
        std::mutex mutex;
        std::condition_variable changed;
        std::int64_t born = wallMs();
        std::int64_t bornSteady = steadyMs();
        std::map<std::string, Run> runs;
        std::map<std::string, std::int64_t> highestOver;
        std::deque<End> ends;
        std::int64_t lastEnd = 0;
        std::int64_t lastSeen = 0;
        std::int64_t token = 0;
        std::int64_t holdUntil = 0;
        bool lapsed = true;
        bool dead = false;
        bool grey = false;
        bool draining = false;
        double lateShare = 0;
        std::atomic<bool> sluggish = false;
        std::atomic<unsigned> calls = 0;
        std::atomic<double> answersLost = 0;
        std::atomic<double> callsLost = 0;
        std::mt19937_64 random{static_cast<std::uint64_t>(wallMs())};

        State(MinionSettings it, Record &r, Shared &s) : settings(std::move(it)), record(r), shared(s) { }

        std::int64_t clock() const
        {
            constexpr std::int64_t startOfClock = 1000;
            return steadyMs() - bornSteady + startOfClock;
        }

        void note(const std::string &what, const std::string &task, std::int64_t run, Json more = Json::object())
        {
            more["what"] = what;
            more["minion"] = settings.id;
            more["born"] = born;
            if (!task.empty()) {
                more["task"] = task;
                more["run"] = run;
            }
            record.add(std::move(more));
        }

        Json withClock(Json body) const
        {
            body["clockMs"] = clock();
            return body;
        }

        Response refuse(const std::string &reason) const
        {
            return {409, withClock({{"reason", reason}}).dump()};
        }

        void extend(const Json &body)
        {
            if (body.contains("deadlineMs")) {
                const auto until = std::min(body.at("deadlineMs").get<std::int64_t>(), clock() + settings.maxHoldMs);
                holdUntil = std::max(holdUntil, until);
                lapsed = lapsed && clock() >= holdUntil;
            }
        }

        Response answer(const Request &request)
        {
            constexpr std::int64_t delayMs = 250;
            const auto call = calls++ * 2654435761U >> 16U;
            sleepMs(sluggish && call % 9 == 0 ? delayMs : 0);
            constexpr std::int64_t silenceMs = 1000;
            if (call / 9 % 1000 < callsLost * 1000) {
                sleepMs(silenceMs);
                return {0, ""};
            }
            const auto response = answerAtOnce(request);
            if (call / 11 % 1000 < answersLost * 1000) {
                sleepMs(silenceMs);
                return {0, ""};
            }
            sleepMs(sluggish && call % 9 == 1 ? delayMs : 0);
            return response;
        }

        Response answerAtOnce(const Request &request)
        {
            std::unique_lock lock(mutex);
            if (dead) {
                return {0, ""};
            }
            const auto path = request.path();
            if (path == "/health") {
                return {200, "{}"};
            }
            if (request.header("X-Expected-Instance") != settings.id) {
                return {421, "{}"};
            }
            const auto body = Json::parse(request.body);
            const bool isOrder = path == "/run-start" || path == "/run-stop";
            if (isOrder && lateShare > 0 && random() % 1000 < lateShare * 1000) {
                const auto wait = 2000 + static_cast<std::int64_t>(random() % 10000);
                note("late", body.at("task"), body.at("run"), {{"path", path}, {"waitMs", wait}});
                std::thread([self = shared_from_this(), path, body, wait] {
                    sleepMs(wait);
                    std::unique_lock inner(self->mutex);
                    if (!self->dead) {
                        self->note("late-done", body.at("task"), body.at("run"), {{"path", path}});
                        self->carryOut(path, body, inner);
                    }
                }).detach();
                lock.unlock();
                sleepMs(3000);
                return {0, ""};
            }
            return carryOut(path, body, lock);
        }

        Response carryOut(const std::string &path, const Json &body, std::unique_lock<std::mutex> &lock)
        {
            const auto given = body.value("fencingToken", std::int64_t{0});
            if (given < token) {
                return refuse("fence");
            }
            token = given;
            if (path == "/run-start") {
                return start(body);
            }
            if (path == "/run-stop") {
                return stop(body);
            }
            if (path == "/hold") {
                return hold(body, lock);
            }
            return {200, withClock(Json::object()).dump()};
        }

        Response start(const Json &body)
        {
            const std::string task = body.at("task");
            const auto number = body.at("run").get<std::int64_t>();
            if (body.at("deadlineMs").get<std::int64_t>() <= clock()) {
                return refuse("late");
            }
            extend(body);
            const auto known = runs.find(task);
            if (known != runs.end() && known->second.number == number) {
                return {200, withClock(Json::object()).dump()};
            }
            if (const auto over = highestOver.find(task); over != highestOver.end() && number <= over->second) {
                return refuse("old");
            }
            if (known != runs.end()) {
                note("second-run", task, number, {{"first", known->second.number}});
                return {400, "{}"};
            }
            const auto b = task.rfind('.');
            const auto a = task.rfind('.', b - 1);
            const auto job = task.substr(0, task.find('.'));
            const int step = std::stoi(task.substr(a + 1, b - a - 1));
            const auto spec = Json::parse(body.at("specification").get<std::string>());
            const auto &s = spec.at("steps").at(static_cast<std::size_t>(step));
            Run run;
            run.number = number;
            run.startedAt = clock();
            run.index = std::stoi(task.substr(b + 1));
            run.work = {s.value("ms", std::int64_t{500}),
                        s.value("lasts", false),
                        s.value("gang", false),
                        s.value("count", 1),
                        s.value("checkpoints", false),
                        s.value("failures", 0),
                        s.value("failsAfterMs", std::int64_t{0}),
                        s.value("checkpointBytes", std::size_t{0})};
            const auto checkpoint = body.value("checkpoint", std::string());
            run.checkpoint = checkpoint;
            if (!checkpoint.empty()) {
                run.doneMs = std::stoll(checkpoint.substr(checkpoint.rfind(':') + 1));
            }
            run.savedAt = run.startedAt;
            if (run.work.gang) {
                run.gangKey = task.substr(0, b) + "/" + std::to_string(number);
                std::lock_guard inner(shared.mutex);
                shared.gangs[run.gangKey].present[run.index] = this;
            }
            if (run.index == 0 && run.work.failures > 0) {
                std::lock_guard inner(shared.mutex);
                run.fails = shared.failures[task] < run.work.failures;
            }
            note("start",
                 task,
                 number,
                 {{"job", job},
                  {"name", spec.value("name", std::string())},
                  {"checkpoint", checkpoint},
                  {"token", body.at("fencingToken")}});
            runs.emplace(task, std::move(run));
            return {200, withClock(Json::object()).dump()};
        }

        Response stop(const Json &body)
        {
            const std::string task = body.at("task");
            const auto number = body.at("run").get<std::int64_t>();
            auto &over = highestOver[task];
            over = std::max(over, number);
            const auto known = runs.find(task);
            if (known != runs.end() && known->second.number <= number && known->second.stopAt == 0) {
                known->second.stopAt = clock() + settings.stopMs;
                note("stop-told", task, number);
            }
            return {200, withClock(Json::object()).dump()};
        }

        Response hold(const Json &body, std::unique_lock<std::mutex> &lock)
        {
            extend(body);
            const auto seen = body.value("lastSeen", std::int64_t{0});
            while (!ends.empty() && ends.front().number <= seen) {
                note("noted", ends.front().task, ends.front().run, {{"how", ends.front().how}});
                ends.pop_front();
            }
            lastSeen = std::max(lastSeen, std::min(seen, lastEnd));
            const auto waitMs = body.value("waitMs", std::int64_t{0});
            changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] { return dead || !ends.empty(); });
            if (dead) {
                return {0, ""};
            }
            Json running = Json::array();
            for (const auto &[task, run] : runs) {
                running.push_back({task, run.number, run.checkpoint, 100, 0});
            }
            Json ended = Json::array();
            for (const auto &it : ends) {
                if (ended.size() < 500) {
                    ended.push_back({it.number, it.task, it.run, it.how, it.checkpoint});
                }
            }
            return {200, withClock({{"born", born}, {"running", running}, {"ended", ended}}).dump()};
        }

        void end(std::string task, const std::string &how)
        {
            const auto run = runs.at(task);
            runs.erase(task);
            auto &over = highestOver[task];
            over = std::max(over, run.number);
            if (!run.gangKey.empty()) {
                std::lock_guard inner(shared.mutex);
                auto &gang = shared.gangs[run.gangKey];
                gang.present.erase(run.index);
                gang.broken = gang.broken || how != "done";
            }
            if (how == "failed") {
                std::lock_guard inner(shared.mutex);
                ++shared.failures[task];
            }
            ends.push_back({++lastEnd, task, run.number, how, how == "done" ? "" : run.checkpoint});
            note("end", task, run.number, {{"how", how}});
            changed.notify_all();
        }

        /// How the run ends now; empty if it goes on.
        std::string verdict(const std::string &task, Run &run)
        {
            const auto now = clock();
            if (run.stopAt != 0 && now >= run.stopAt) {
                return "stopped";
            }
            std::int64_t worked = now - run.startedAt + run.doneMs;
            if (run.work.gang) {
                std::lock_guard inner(shared.mutex);
                auto &gang = shared.gangs[run.gangKey];
                if (gang.done) {
                    return "done";
                }
                if (gang.broken) {
                    return "broken";
                }
                if (gang.completeAt == 0) {
                    if (gang.present.size() == static_cast<std::size_t>(run.work.count)) {
                        gang.completeAt = steadyMs();
                    } else {
                        return now - run.startedAt > settings.gangTimeoutMs ? "alone" : "";
                    }
                }
                worked = steadyMs() - gang.completeAt + run.doneMs;
                if (worked >= run.work.ms && !run.work.lasts && !run.fails && !grey) {
                    gang.done = true;
                    return "done";
                }
            }
            const bool failsNow = run.work.failsAfterMs > 0 && now - run.startedAt >= run.work.failsAfterMs;
            if (grey || failsNow || (run.fails && worked >= run.work.ms / 2)) {
                return "failed";
            }
            if (run.work.checkpoints && now - run.savedAt >= 500) {
                run.savedAt = now;
                run.checkpoint = task + ":" + std::to_string(run.number) + ":" + std::to_string(worked);
                if (run.checkpoint.size() < run.work.checkpointBytes) {
                    run.checkpoint.insert(0, run.work.checkpointBytes - run.checkpoint.size(), '0');
                }
            }
            return worked >= run.work.ms && !run.work.lasts ? "done" : "";
        }

        void tickAll()
        {
            while (true) {
                sleepMs(5);
                std::lock_guard lock(mutex);
                if (dead) {
                    return;
                }
                if (!lapsed && clock() >= holdUntil) {
                    lapsed = true;
                    note("lapse", "", 0, {{"runs", runs.size()}});
                    while (!runs.empty()) {
                        end(runs.begin()->first, "lapsed");
                    }
                }
                std::vector<std::pair<std::string, std::string>> over;
                for (auto &[task, run] : runs) {
                    if (const auto how = verdict(task, run); !how.empty()) {
                        over.emplace_back(task, how);
                    }
                }
                for (const auto &[task, how] : over) {
                    end(task, how);
                }
            }
        }

        void beatAll()
        {
            std::int64_t sequence = 0;
            while (true) {
                Json body;
                {
                    std::lock_guard lock(mutex);
                    if (dead) {
                        return;
                    }
                    body = {{"service", settings.service},
                            {"address", "127.0.0.1:" + std::to_string(settings.port)},
                            {"zone", settings.zone},
                            {"version", "v1"},
                            {"slots", 8},
                            {"state", draining ? "draining" : "ready"},
                            {"coldRemainingMs", 0},
                            {"capacity", {{"cpu", settings.cpu}, {"memoryRequestMb", settings.memoryMb}, {"gpu", 0}}},
                            {"labels", settings.labels},
                            {"clockMs", clock()},
                            {"born", born},
                            {"sequence", ++sequence}};
                }
                const auto answer = call(
                    settings.agentPort, "POST", "/instances/" + settings.id + "/heartbeat", {}, body.dump(), 1000);
                const auto wait = answer.status == 200 ? settings.beatMs : settings.beatMs / 3;
                for (std::int64_t waited = 0; waited < wait; waited += 20) {
                    sleepMs(20);
                    std::lock_guard lock(mutex);
                    if (dead) {
                        return;
                    }
                }
            }
        }
    };

    std::shared_ptr<State> m_state;
    std::unique_ptr<Server> m_server;
};

} // namespace Review
