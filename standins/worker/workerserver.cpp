#include "workerserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <sstream>

namespace Trefoilhoist::StandIns {

namespace {

constexpr Duration tickInterval = milliseconds(5);
/// A longer gap between two steps was a pause of the process, in which no task went on.
constexpr Duration longestStep = milliseconds(100);
/// A run of a worker that fails everything fails after this.
constexpr Duration failAfter = milliseconds(50);
constexpr Duration announceTimeout = milliseconds(500);

Resources batchCapacity(const WorkerSettings &settings)
{
    auto capacity = settings.worker.capacity;
    for (const auto &it : settings.services) {
        capacity -= it.share.reserved;
    }
    return capacity;
}

WorkerAgentSettings agentSettings(const Runtime &runtime, const WorkerSettings &settings)
{
    return {settings.worker.id, runtime.incarnation(), batchCapacity(settings), {}};
}

std::string checkpointOf(Duration done)
{
    return std::to_string(done.count());
}

Duration progressOf(const std::string &checkpoint)
{
    try {
        return checkpoint.empty() ? Duration{} : Duration(std::stoll(checkpoint));
    } catch (const std::exception &) {
        return Duration{};
    }
}

std::int64_t scaled(std::int64_t value, double factor)
{
    return static_cast<std::int64_t>(static_cast<double>(value) * factor);
}

} // namespace

WorkerServer::WorkerServer(Runtime &runtime, WorkerSettings settings)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_strand(Asio::make_strand(runtime.executor()))
    , m_server(runtime.executor(), HttpLimits{}, [this](HttpRequest request) { return answer(std::move(request)); })
    , m_client(runtime.executor())
    , m_agent(agentSettings(runtime, m_settings))
    , m_random(m_settings.seed)
{
    m_settings.worker.incarnation = runtime.incarnation();
}

tl::expected<Endpoint, std::string> WorkerServer::start()
{
    const auto port = m_server.listen(m_settings.listen);
    if (!port) {
        return tl::unexpected(port.error());
    }
    const Endpoint bound{m_settings.listen.host, *port};
    if (m_settings.worker.endpoint.host.empty()) {
        m_settings.worker.endpoint = bound;
    }
    spawnOn(m_strand, "worker_announce", [this] { return announceLoop(); });
    spawnOn(m_strand, "worker_tick", [this] { return tickLoop(); });
    return bound;
}

awaitable<void> WorkerServer::stop()
{
    auto body = [](WorkerServer *self) -> awaitable<void> {
        self->m_leaving = true;
        self->m_agent.setLeaving(true);
        for (const auto &it : self->m_settings.placers) {
            co_await self->announceTo(it);
        }
        const auto end = self->m_runtime.clock().now() + self->m_settings.leaveGrace;
        while (!self->m_agent.runs().empty() && self->m_runtime.clock().now() < end) {
            co_await sleepFor(tickInterval);
        }
    };
    co_await Asio::co_spawn(m_strand, body(this), Asio::use_awaitable);
    m_server.close();
}

awaitable<HttpResponse> WorkerServer::answer(HttpRequest request)
{
    auto body = [](WorkerServer *self, HttpRequest it) -> awaitable<HttpResponse> {
        if (it.path() == "/v1/sync" && it.method == "POST") {
            co_return self->sync(it);
        }
        if (it.path() == "/-/runs") {
            co_return self->listRuns();
        }
        co_return textResponse(404, "no such path\n");
    };
    co_return co_await Asio::co_spawn(m_strand, body(this, std::move(request)), Asio::use_awaitable);
}

HttpResponse WorkerServer::sync(const HttpRequest &request)
{
    const auto parsed = syncRequestFromJson(request.body);
    if (!parsed) {
        return jsonResponse(400, nlohmann::json{{"error", parsed.error()}}.dump());
    }
    const auto now = m_runtime.clock().now();
    step(now);
    const auto [answer, actions] = m_agent.sync(now, *parsed);
    carryOut(now, actions);
    return jsonResponse(200, syncAnswerToJson(answer));
}

HttpResponse WorkerServer::listRuns() const
{
    nlohmann::json json{{"epoch", m_agent.epoch()}, {"runs", nlohmann::json::array()}};
    for (const auto &it : m_agent.runs()) {
        json["runs"].push_back({{"task", it.task.str()}, {"run", it.run}, {"state", runStateName(it.state)}});
    }
    return jsonResponse(200, json.dump());
}

awaitable<void> WorkerServer::announceLoop()
{
    while (true) {
        for (const auto &it : m_settings.placers) {
            spawnOn(m_strand, "worker_announce_to", [this, it]() -> awaitable<void> { co_await announceTo(it); });
        }
        co_await sleepFor(m_settings.heartbeat);
    }
}

awaitable<bool> WorkerServer::announceTo(Endpoint placer)
{
    WorkerAnnouncement announcement{m_settings.worker, {}};
    announcement.worker.leaving = m_leaving;
    for (const auto &it : m_settings.services) {
        announcement.services.push_back(it.share);
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/-/workers";
    request.body = announcementToJson(announcement);
    HttpCallOptions options;
    options.timeout = announceTimeout;
    options.connectTimeout = announceTimeout;
    const auto response = co_await m_client.call(placer, std::move(request), options);
    co_return response && response->status == 200;
}

awaitable<void> WorkerServer::tickLoop()
{
    while (true) {
        step(m_runtime.clock().now());
        reportServices();
        co_await sleepFor(tickInterval);
    }
}

void WorkerServer::step(TimePoint now)
{
    carryOut(now, m_agent.tick(now));
    std::vector<RunRef> ended;
    for (auto &[ref, run] : m_runs) {
        if (!advance(now, run)) {
            ended.push_back(ref);
        }
    }
    for (const auto &ref : ended) {
        m_runs.erase(ref);
    }
}

bool WorkerServer::advance(TimePoint now, Run &run)
{
    const RunRef ref{run.order.task, run.order.run};
    const auto step = std::min(now - run.updatedAt, longestStep);
    run.updatedAt = now;
    run.done += Duration(scaled(step.count(), run.share * m_settings.speed));
    if (m_settings.failEverything && now - run.beganAt >= failAfter) {
        m_agent.runEnded(ref, RunState::Failed);
        print("end", ref, now, "state=failed");
        return false;
    }
    if (run.done >= run.order.runTime) {
        m_agent.runEnded(ref, RunState::Finished);
        print("end", ref, now, "state=finished");
        return false;
    }
    if (run.checkpointAt && now >= *run.checkpointAt) {
        run.checkpointAt.reset();
        run.lastCheckpoint = run.done;
        m_agent.checkpointTaken(ref, checkpointOf(run.done));
    } else if (!run.checkpointAt && run.done - run.lastCheckpoint >= m_settings.checkpointEvery) {
        run.checkpointAt = now + m_settings.checkpointTime;
    }
    if (now - run.beganAt >= m_settings.usageLag) {
        m_agent.setUsage(ref, run.used);
    }
    return true;
}

void WorkerServer::carryOut(TimePoint now, const WorkerAgent::Actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *begun = std::get_if<BeginRun>(&action)) {
            begin(now, begun->order);
        } else if (const auto *ended = std::get_if<EndRun>(&action)) {
            m_runs.erase(ended->ref);
            print("end", ended->ref, now, "state=stopped");
        } else if (const auto *checkpoint = std::get_if<TakeCheckpoint>(&action)) {
            const auto it = m_runs.find(checkpoint->ref);
            if (it != m_runs.end() && !it->second.checkpointAt) {
                it->second.checkpointAt = now + m_settings.checkpointTime;
            }
        } else if (const auto *throttle = std::get_if<ApplyThrottle>(&action)) {
            const auto it = m_runs.find(throttle->ref);
            if (it != m_runs.end()) {
                it->second.share = throttle->share;
            }
        }
    }
}

void WorkerServer::begin(TimePoint now, const StartOrder &order)
{
    Run run;
    run.order = order;
    run.done = progressOf(order.checkpoint);
    run.lastCheckpoint = run.done;
    run.beganAt = now;
    run.updatedAt = now;
    const double factor = noisy(m_settings.usageFactor);
    run.used
        = {scaled(order.reserve.milliCpu, factor), scaled(order.reserve.memoryMb, factor), order.reserve.accelerators};
    const RunRef ref{order.task, order.run};
    print("begin", ref, now, "from=" + checkpointOf(run.done));
    m_runs[ref] = std::move(run);
}

void WorkerServer::print(const char *what, const RunRef &ref, TimePoint at, const std::string &more) const
{
    std::ostringstream line;
    line << "run event=" << what << " task=" << ref.task << " run=" << ref.run
         << " atUs=" << at.time_since_epoch().count() << ' ' << more << '\n';
    std::cout << line.str() << std::flush;
}

void WorkerServer::reportServices()
{
    std::vector<ServiceReport> reports;
    std::int64_t batchCpu = 0;
    for (const auto &[ref, run] : m_runs) {
        batchCpu += scaled(run.used.milliCpu, run.share);
    }
    const auto whole = std::max<std::int64_t>(m_settings.worker.capacity.milliCpu, 1);
    const double load = static_cast<double>(batchCpu) / static_cast<double>(whole);
    for (const auto &it : m_settings.services) {
        const double factor = noisy(1.0 + it.sensitivity * load);
        reports.push_back({it.share.service, Duration(scaled(it.p99.count(), factor)), 0, m_settings.usageLag});
    }
    m_agent.setServices(std::move(reports));
}

double WorkerServer::noisy(double value)
{
    return value * std::uniform_real_distribution<double>(1 - m_settings.noise, 1 + m_settings.noise)(m_random);
}

} // namespace Trefoilhoist::StandIns
