// Stand-in for a minion, as PROTOCOL.md describes it. A task runs for as long as its specification says:
// "ms=A,B,C" are the milliseconds of the tasks of step 0, 1 and 2.
#pragma once

#include "record.h"
#include "store.h"

#include <random>
#include <set>

namespace Review {

struct RunEvent {
    std::int64_t at = 0;
    std::string minion;
    std::string task;
    std::int64_t run = 0;
    /// "start", or how the run ended.
    std::string what;
};

/// All that the minions of a case have run.
class RunLog
{
public:
    explicit RunLog(Record &record) : m_record(record) { }

    void add(const std::string &minion, const std::string &task, std::int64_t run, const std::string &what)
    {
        std::lock_guard lock(m_mutex);
        m_events.push_back({m_record.now(), minion, task, run, what});
        m_record.add("run", minion + " " + task + " run " + std::to_string(run) + " " + what);
    }

    [[nodiscard]] std::vector<RunEvent> events()
    {
        std::lock_guard lock(m_mutex);
        return m_events;
    }

    [[nodiscard]] int starts(const std::string &job)
    {
        const auto all = events();
        return static_cast<int>(std::count_if(
            all.begin(), all.end(), [&](const auto &it) { return it.what == "start" && it.task.starts_with(job); }));
    }

private:
    Record &m_record;
    std::mutex m_mutex;
    std::vector<RunEvent> m_events;
};

struct MinionPlan {
    std::string id;
    std::string service;
    std::string zone;
    /// Where the minion listens.
    Address app;
    /// Where heartbeats say that it listens.
    Address advertised;
    Address control;
    std::int64_t cpu = 4000;
    std::vector<std::string> labels;
    std::int64_t heartbeatMs = 1500;
    std::int64_t maxHoldMs = 6000;
    /// How fast the minion's own clock runs.
    double clockRate = 1;
    /// How much earlier than its start the minion says that it was born: its host's clock was set back.
    std::int64_t bornShiftMs = 0;
    /// For this time after the start, connections to `app` are refused.
    std::int64_t refusesForMs = 0;
    /// Seed of the calls that are late.
    std::uint64_t seed = 1;
    /// Each heartbeat is written to the record, so that it can be sent once more.
    bool recordsHeartbeats = false;
};

inline Json json(const MinionPlan &plan)
{
    return {{"id", plan.id},
            {"service", plan.service},
            {"zone", plan.zone},
            {"appIp", plan.app.ip},
            {"appPort", plan.app.port},
            {"advertisedIp", plan.advertised.ip},
            {"advertisedPort", plan.advertised.port},
            {"controlIp", plan.control.ip},
            {"controlPort", plan.control.port},
            {"cpu", plan.cpu},
            {"labels", plan.labels},
            {"heartbeatMs", plan.heartbeatMs},
            {"maxHoldMs", plan.maxHoldMs},
            {"clockRate", plan.clockRate},
            {"bornShiftMs", plan.bornShiftMs},
            {"refusesForMs", plan.refusesForMs},
            {"seed", plan.seed},
            {"recordsHeartbeats", plan.recordsHeartbeats}};
}

inline MinionPlan minionPlanFrom(const Json &body)
{
    MinionPlan plan;
    plan.id = body.at("id");
    plan.service = body.at("service");
    plan.zone = body.at("zone");
    plan.app = {body.at("appIp"), body.at("appPort")};
    plan.advertised = {body.at("advertisedIp"), body.at("advertisedPort")};
    plan.control = {body.at("controlIp"), body.at("controlPort")};
    plan.cpu = body.at("cpu");
    plan.labels = body.at("labels").get<std::vector<std::string>>();
    plan.heartbeatMs = body.at("heartbeatMs");
    plan.maxHoldMs = body.at("maxHoldMs");
    plan.clockRate = body.at("clockRate");
    plan.bornShiftMs = body.at("bornShiftMs");
    plan.refusesForMs = body.at("refusesForMs");
    plan.seed = body.at("seed");
    plan.recordsHeartbeats = body.at("recordsHeartbeats");
    return plan;
}

/// How a minion leaves. The times follow each other.
struct Departure {
    /// From the first heartbeat that says that it drains to its last call.
    std::int64_t drainMs = 2000;
    /// It doesn't read the answer to its last call, as if it were lost, and goes on for this time.
    std::int64_t unansweredMs = 0;
    /// Its port is closed, and it works on for this time.
    std::int64_t closedMs = 0;
};

/// One life of a minion, from its construction to crash().
class Minion
{
public:
    Minion(MinionPlan plan, RunLog &log, Record &record) : m_plan(std::move(plan)), m_log(log), m_record(record)
    {
        m_record.add("minion", m_plan.id + " starts, born " + std::to_string(m_born));
        m_ticker = std::thread([this] { tickLoop(); });
        m_heart = std::thread([this] { heartbeatLoop(); });
        m_lateExecutor = std::thread([this] { lateLoop(); });
        sleepMs(m_plan.refusesForMs);
        m_server = std::make_unique<Server>(m_plan.app, [this](const Request &request) { return serve(request); });
    }

    ~Minion()
    {
        crash();
    }

    [[nodiscard]] const std::string &id() const
    {
        return m_plan.id;
    }

    /// Answers 503 to every start, and does nothing for it, while this is set. The health check is not asked for here.
    void setShedding(bool shedding)
    {
        m_shedding = shedding;
    }

    /// Calls are executed at once, and answered after this time.
    void setAnswerDelay(std::int64_t ms)
    {
        m_answerDelayMs = ms;
    }

    /// This share of the calls gets no answer, and is executed seconds later.
    void setLateShare(double share)
    {
        m_lateShare = share;
    }

    /// Drains, says that it leaves and ends, with all that runs on it.
    void leave(const Departure &departure)
    {
        m_record.add("minion", m_plan.id + " drains");
        m_draining = true;
        sendHeartbeat();
        sleepMs(departure.drainMs);
        m_record.add("minion", m_plan.id + " leaves");
        if (!sayLeaves(departure.unansweredMs > 0)) {
            sleepMs(departure.unansweredMs > 0 ? departure.unansweredMs : patienceMs);
        }
        if (departure.closedMs > 0) {
            m_record.add("minion", m_plan.id + " closes its port");
            m_server->stop();
            sleepMs(departure.closedMs);
        }
        crash();
    }

    /// While set, the minion's clock doesn't count the time for which the process stands still: the host is suspended.
    void setSuspends(bool suspends)
    {
        m_suspends = suspends;
    }

    /// While set, heartbeats do not leave: they are held up on their way. The last one is kept.
    void holdHeartbeats(bool held)
    {
        m_heartbeatsHeld = held;
    }
    [[nodiscard]] std::pair<std::string, std::string> heldHeartbeat()
    {
        std::lock_guard lock(m_mutex);
        return m_heldHeartbeat;
    }

    /// The number of heartbeats that were acknowledged.
    [[nodiscard]] int acknowledged() const
    {
        return m_acknowledged;
    }

    [[nodiscard]] std::size_t running()
    {
        std::lock_guard lock(m_mutex);
        return m_runs.size();
    }

    /// All that runs here is gone, and nothing is said to anybody.
    void crash()
    {
        if (m_dead.exchange(true)) {
            return;
        }
        {
            std::lock_guard lock(m_mutex);
            m_record.add("minion", m_plan.id + " is down");
            for (const auto &[task, it] : m_runs) {
                m_log.add(m_plan.id, task, it.run, "gone with its minion");
            }
            m_runs.clear();
        }
        m_changed.notify_all();
        m_server->stop();
        m_ticker.join();
        m_heart.join();
        m_lateExecutor.join();
    }

private:
    struct Run {
        std::int64_t run = 0;
        std::int64_t endsAtMs = 0;
        std::int64_t startedAtMs = 0;
    };
    struct LateCall {
        SteadyClock::time_point due;
        Request request;
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    [[nodiscard]] std::int64_t clockMs() const
    {
        using Milliseconds = std::chrono::duration<double, std::milli>;
        const auto now = SteadyClock::now();
        const auto sinceTick = Milliseconds(now.time_since_epoch()).count() - m_tickedAtMs;
        const auto standing = m_suspends && sinceTick > shortestSuspensionMs ? sinceTick : 0;
        const auto age = Milliseconds(now - m_startedAt).count() - m_suspendedMs - standing;
        return static_cast<std::int64_t>(m_plan.clockRate * age);
    }

    /// Notes that the ticks go on, and the time for which they did not if the host was suspended.
    void tick()
    {
        const auto now = std::chrono::duration<double, std::milli>(SteadyClock::now().time_since_epoch()).count();
        const auto sinceTick = now - m_tickedAtMs;
        if (m_suspends && sinceTick > shortestSuspensionMs) {
            m_suspendedMs = m_suspendedMs + sinceTick;
        }
        m_tickedAtMs = now;
    }

    static std::int64_t durationOf(const std::string &specification, const std::string &task)
    {
        // ID.K.STEP.INDEX
        const auto last = task.rfind('.');
        const auto second = task.rfind('.', last - 1);
        const int step = std::stoi(task.substr(second + 1, last - second - 1));
        auto at = specification.find("ms=");
        if (at == std::string::npos) {
            return 1000;
        }
        at += 3;
        for (int i = 0; i < step; ++i) {
            const auto comma = specification.find(',', at);
            if (comma == std::string::npos) {
                break;
            }
            at = comma + 1;
        }
        return std::stoll(specification.substr(at));
    }

    void end(const std::string &task, const std::string &how, const std::string &note = "")
    {
        const auto it = m_runs.find(task);
        m_ended.push_back({++m_lastEnd, task, it->second.run, how});
        auto &highest = m_highestOver[task];
        highest = std::max(highest, it->second.run);
        m_log.add(m_plan.id, task, it->second.run, how + note);
        m_runs.erase(it);
        m_changed.notify_all();
    }

    void tickLoop()
    {
        while (!m_dead) {
            {
                std::lock_guard lock(m_mutex);
                tick();
                const auto now = clockMs();
                noteLapse(now);
                std::vector<std::string> over;
                for (const auto &[task, it] : m_runs) {
                    if (now >= m_holdUntilMs || now >= it.endsAtMs) {
                        over.push_back(task);
                    }
                }
                for (const auto &task : over) {
                    // A process that stood still notices it late.
                    const auto late = std::to_string(now - m_holdUntilMs);
                    end(task, now >= m_holdUntilMs ? "lapsed" : "done", now >= m_holdUntilMs ? " " + late : "");
                }
            }
            sleepMs(5);
        }
    }

    /// Notes once that the hold has expired, whether something runs or not. A process that stood still notices it late.
    void noteLapse(std::int64_t now)
    {
        if (m_holdUntilMs > m_lapsedHoldMs && now >= m_holdUntilMs) {
            m_lapsedHoldMs = m_holdUntilMs;
            m_record.add("lapse", m_plan.id + " " + std::to_string(now - m_holdUntilMs));
        }
    }

    Json heartbeat()
    {
        return {{"service", m_plan.service},
                {"address", m_plan.advertised.text()},
                {"zone", m_plan.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", m_draining ? "draining" : "ready"},
                {"coldRemainingMs", 0},
                {"capacity", {{"cpu", m_plan.cpu}, {"memoryRequestMb", 64000}, {"gpu", 0}}},
                {"labels", m_plan.labels},
                {"machine", "m-" + m_plan.control.ip},
                {"clockMs", clockMs()},
                {"born", m_born},
                {"sequence", ++m_sequence}};
    }

    void sendHeartbeat()
    {
        const auto path = "/instances/" + m_plan.id + "/heartbeat";
        const auto body = heartbeat().dump();
        if (m_plan.recordsHeartbeats) {
            auto text = path;
            text.append(" ").append(body);
            m_record.add("beat", text);
        }
        if (m_heartbeatsHeld) {
            std::lock_guard lock(m_mutex);
            m_heldHeartbeat = {path, body};
        } else {
            const auto answer = call(m_plan.control, "POST", path, body, 1000);
            m_acknowledged += answer && answer->status == 200 ? 1 : 0;
        }
    }

    /// Says that the minion leaves. False without an answer.
    bool sayLeaves(bool answerIsLost)
    {
        const auto body = Json{{"born", m_born}}.dump();
        const auto path = "/instances/" + m_plan.id + "/deregister";
        const auto answer = call(m_plan.control, "POST", path, body, answerIsLost ? 1 : 1000);
        return answer && !answerIsLost;
    }

    void heartbeatLoop()
    {
        while (!m_dead) {
            sendHeartbeat();
            // Until the first one is acknowledged, the next one follows soon.
            const auto pause = m_acknowledged > 0 || m_heartbeatsHeld ? m_plan.heartbeatMs : m_plan.heartbeatMs / 5;
            for (std::int64_t waited = 0; waited < pause && !m_dead; waited += 20) {
                sleepMs(20);
            }
        }
    }

    Response reply(int status, Json body = Json::object())
    {
        body["clockMs"] = clockMs();
        body["born"] = m_born;
        return {status, body.dump()};
    }

    void extendHold(const Json &body)
    {
        noteLapse(clockMs());
        if (body.contains("deadlineMs")) {
            const auto deadline = body.at("deadlineMs").get<std::int64_t>();
            m_holdUntilMs = std::max(m_holdUntilMs, std::min(deadline, clockMs() + m_plan.maxHoldMs));
        }
    }

    std::optional<Response> serve(const Request &request)
    {
        if (isLate()) {
            delay(request);
            return std::nullopt;
        }
        auto response = execute(request);
        sleepMs(m_answerDelayMs);
        return response;
    }

    bool isLate()
    {
        std::lock_guard lock(m_lateMutex);
        return std::uniform_real_distribution<double>(0, 1)(m_random) < m_lateShare;
    }

    void delay(Request request)
    {
        constexpr std::int64_t leastMs = 2000;
        constexpr std::int64_t mostMs = 12'000;
        auto body = Json::parse(request.body);
        // Nobody waits for the answer.
        body.erase("waitMs");
        request.body = body.dump();
        std::lock_guard lock(m_lateMutex);
        const std::chrono::milliseconds late(std::uniform_int_distribution<std::int64_t>(leastMs, mostMs)(m_random));
        m_record.add("late",
                     m_plan.id + " " + request.path + " by " + std::to_string(late.count()) + " ms "
                         + request.body.substr(0, 200));
        m_lateCalls.push_back({SteadyClock::now() + late, std::move(request)});
    }

    std::optional<Request> nextLateCall()
    {
        std::lock_guard lock(m_lateMutex);
        const auto now = SteadyClock::now();
        const auto it
            = std::find_if(m_lateCalls.begin(), m_lateCalls.end(), [&](const auto &call) { return call.due <= now; });
        if (it == m_lateCalls.end()) {
            return std::nullopt;
        }
        auto request = std::move(it->request);
        m_lateCalls.erase(it);
        return request;
    }

    void lateLoop()
    {
        while (!m_dead) {
            if (const auto request = nextLateCall()) {
                const auto response = execute(*request);
                m_record.add("late",
                             m_plan.id + " " + request->path
                                 + " executed: " + (response ? response->body.substr(0, 120) : ""));
            } else {
                sleepMs(10);
            }
        }
    }

    std::optional<Response> execute(const Request &request)
    {
        std::unique_lock lock(m_mutex);
        if (m_dead) {
            return std::nullopt;
        }
        const auto expected = request.headers.find("x-expected-instance");
        if (expected != request.headers.end() && expected->second != m_plan.id) {
            return reply(421);
        }
        const auto body = Json::parse(request.body);
        if (m_shedding && request.path == "/run-start") {
            m_record.add("minion", m_plan.id + " answers 503 to the start of " + body.at("task").get<std::string>());
            return reply(503);
        }
        const auto token = body.value("fencingToken", std::int64_t{0});
        if (token < m_highestToken) {
            return reply(409, {{"reason", "fence"}});
        }
        m_highestToken = token;
        if (request.path == "/run-start") {
            return start(body);
        }
        if (request.path == "/run-stop") {
            return stop(body);
        }
        if (request.path == "/hold") {
            return hold(body, lock);
        }
        return reply(200);
    }

    Response start(const Json &body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::int64_t>();
        if (body.at("deadlineMs").get<std::int64_t>() <= clockMs()) {
            return reply(409, {{"reason", "late"}});
        }
        extendHold(body);
        const auto running = m_runs.find(task);
        if (running != m_runs.end() && running->second.run == run) {
            return reply(200);
        }
        const auto over = m_highestOver.find(task);
        if ((over != m_highestOver.end() && run <= over->second)
            || (running != m_runs.end() && run < running->second.run)) {
            return reply(409, {{"reason", "old"}});
        }
        const auto now = clockMs();
        m_runs[task] = {run, now + durationOf(body.at("specification"), task), now};
        m_log.add(m_plan.id, task, run, "start");
        return reply(200);
    }

    Response stop(const Json &body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::int64_t>();
        auto &highest = m_highestOver[task];
        highest = std::max(highest, run);
        const auto it = m_runs.find(task);
        if (it != m_runs.end() && it->second.run <= run) {
            end(task, "stopped");
        }
        return reply(200);
    }

    std::optional<Response> hold(const Json &body, std::unique_lock<std::mutex> &lock)
    {
        extendHold(body);
        const auto seen = body.value("lastSeen", std::int64_t{0});
        while (!m_ended.empty() && m_ended.front().number <= seen) {
            m_log.add(m_plan.id, m_ended.front().task, m_ended.front().run, "noted");
            m_ended.pop_front();
        }
        const auto until = SteadyClock::now() + std::chrono::milliseconds(body.value("waitMs", 0));
        while (m_ended.empty() && !m_dead && m_changed.wait_until(lock, until) != std::cv_status::timeout) { }
        if (m_dead) {
            return std::nullopt;
        }
        Json running = Json::array();
        for (const auto &[task, it] : m_runs) {
            const auto percent
                = 100 * (clockMs() - it.startedAtMs) / std::max<std::int64_t>(1, it.endsAtMs - it.startedAtMs);
            running.push_back({task, it.run, "", std::min<std::int64_t>(99, percent), 0});
        }
        Json ended = Json::array();
        for (const auto &it : m_ended) {
            if (ended.size() < 500) {
                ended.push_back({it.number, it.task, it.run, it.how, ""});
            }
        }
        return reply(200, {{"running", running}, {"ended", ended}});
    }

    MinionPlan m_plan;
    RunLog &m_log;
    Record &m_record;
    const std::int64_t m_born = wallMs() - m_plan.bornShiftMs;
    const SteadyClock::time_point m_startedAt = SteadyClock::now();
    static constexpr double shortestSuspensionMs = 100;
    std::atomic<bool> m_suspends = false;
    std::atomic<double> m_suspendedMs = 0;
    std::atomic<double> m_tickedAtMs
        = std::chrono::duration<double, std::milli>(m_startedAt.time_since_epoch()).count();
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Run> m_runs;
    std::deque<End> m_ended;
    std::map<std::string, std::int64_t> m_highestOver;
    std::int64_t m_lastEnd = 0;
    std::int64_t m_highestToken = 0;
    std::int64_t m_holdUntilMs = 0;
    std::int64_t m_lapsedHoldMs = 0;
    std::atomic<std::int64_t> m_sequence = 0;
    std::atomic<int> m_acknowledged = 0;
    std::atomic<std::int64_t> m_answerDelayMs = 0;
    std::atomic<bool> m_shedding = false;
    std::atomic<bool> m_heartbeatsHeld = false;
    std::pair<std::string, std::string> m_heldHeartbeat;
    std::atomic<bool> m_dead = false;
    /// A minion that leaves and gets no answer goes on for this time.
    static constexpr std::int64_t patienceMs = 3000;
    std::atomic<bool> m_draining = false;
    std::atomic<double> m_lateShare = 0;
    std::mutex m_lateMutex;
    std::mt19937_64 m_random{m_plan.seed};
    std::deque<LateCall> m_lateCalls;
    std::unique_ptr<Server> m_server;
    std::thread m_ticker;
    std::thread m_heart;
    std::thread m_lateExecutor;
};

} // namespace Review
