#include "harness/batchsite.h"

#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/net/program.h"
#include "trefoilhoist/placement/jobintake.h"
#include "trefoilhoist/store/consulstoreclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <sstream>

namespace Trefoilhoist::Testing {

namespace {

using Json = nlohmann::json;

constexpr int workerMilliCpu = 4000;
constexpr const char *cellName = "c1";

std::string hostOf(int number)
{
    const int pid = getpid();
    return "127." + std::to_string(1 + (pid / 250) % 250) + "." + std::to_string(1 + pid % 250) + "."
        + std::to_string(number);
}

Endpoint reserve(int number)
{
    Asio::io_context context;
    Asio::ip::tcp::acceptor acceptor(context, {Asio::ip::make_address(hostOf(number)), 0});
    return {hostOf(number), acceptor.local_endpoint().port()};
}

/// Runs one coroutine to its end on a context of its own.
template <typename Value, typename Body>
Value runCoroutine(Body body)
{
    Asio::io_context context;
    auto future = Asio::co_spawn(context, body(context.get_executor()), Asio::use_future);
    while (future.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        context.run_one();
    }
    return future.get();
}

Json call(const Endpoint &to, const std::string &method, const std::string &target, const std::string &body)
{
    auto run = [&](Asio::any_io_executor executor) -> awaitable<std::string> {
        HttpClient client(executor);
        HttpRequest request;
        request.method = method;
        request.target = target;
        request.body = body;
        const HttpCallOptions options;
        const auto response = co_await client.call(to, std::move(request), options);
        co_return response ? response->body : std::string();
    };
    return Json::parse(runCoroutine<std::string>(run), nullptr, false);
}

} // namespace

std::int64_t monotonicUs()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()).time_since_epoch().count();
}

BatchSite::BatchSite(int placers, int workers, Json placerSettings) : m_placerSettings(std::move(placerSettings))
{
    m_store.address = reserve(3);
    const auto any = hostOf(2) + ":0";
    Json links = Json::object();
    for (int i = 0; i < placers; ++i) {
        m_placers.push_back({reserve(10 + i), nullptr, 0});
        links["store-" + std::to_string(i)] = {{"listen", any}, {"target", m_store.address.str()}};
    }
    for (int i = 0; i < workers; ++i) {
        m_workers.push_back({reserve(40 + i), nullptr, 0});
        links["worker-" + std::to_string(i)] = {{"listen", any}, {"target", m_workers.back().address.str()}};
    }
    m_proxy.process = Process::start("standin-faultproxy", Json{{"control", any}, {"links", links}}.dump());
    m_links = m_proxy.process->waitReady();
    restartStore();
    for (int i = 0; i < placers; ++i) {
        startPlacer(i);
    }
    for (int i = 0; i < workers; ++i) {
        startWorker(i);
    }
}

Process &BatchSite::placer(int index)
{
    return *m_placers.at(static_cast<std::size_t>(index)).process;
}

Process &BatchSite::worker(int index)
{
    return *m_workers.at(static_cast<std::size_t>(index)).process;
}

Process &BatchSite::store()
{
    return *m_store.process;
}

void BatchSite::restartStore()
{
    m_store.process = Process::start("standin-store", Json{{"listen", m_store.address.str()}}.dump());
    m_store.process->waitReady();
}

void BatchSite::restartPlacer(int index)
{
    startPlacer(index);
}

void BatchSite::startPlacer(int index)
{
    auto &node = m_placers.at(static_cast<std::size_t>(index));
    Json settings{{"id", "p" + std::to_string(index)},
                  {"listen", node.address.str()},
                  {"store", Json::array({m_links.at("store-" + std::to_string(index))})},
                  {"cell", cellName},
                  {"leaseMs", 4000},
                  {"storeLeaseMs", 2000},
                  {"outageGraceMs", 3000},
                  {"heartbeatMs", 200},
                  {"policy", "best-fit"}};
    settings.merge_patch(m_placerSettings);
    node.process = Process::start("trefoilhoist-placer", settings.dump());
    node.process->waitReady();
}

void BatchSite::startWorker(int index)
{
    auto &node = m_workers.at(static_cast<std::size_t>(index));
    Json placers = Json::array();
    for (const auto &it : m_placers) {
        placers.push_back(it.address.str());
    }
    const Json settings{{"id", "w" + std::to_string(index)},
                        {"listen", node.address.str()},
                        {"advertise", m_links.at("worker-" + std::to_string(index))},
                        {"zone", "z" + std::to_string(index % 2)},
                        {"rack", "r" + std::to_string(index / 3)},
                        {"milliCpu", workerMilliCpu},
                        {"memoryMb", 16000},
                        {"heartbeatMs", 200},
                        {"checkpointEveryMs", 200},
                        {"placers", placers}};
    node.process = Process::start("standin-worker", settings.dump());
    node.process->waitReady();
}

void BatchSite::setFaults(const std::string &link, const Json &faults)
{
    call(endpointFromText(m_links.at("control")), "PUT", "/links/" + link, faults.dump());
}

void BatchSite::submit(const std::string &name, int tasks, int runTimeMs, int milliCpu)
{
    Json json{{"id", name}, {"team", "baking"}, {"class", "rebuild"}, {"tasks", Json::array()}};
    for (int i = 0; i < tasks; ++i) {
        json["tasks"].push_back(
            {{"id", "t" + std::to_string(i)}, {"milliCpu", milliCpu}, {"memoryMb", 100}, {"runTimeMs", runTimeMs}});
    }
    const auto job = jobFromRequest(json.dump()).value();
    auto run = [&](Asio::any_io_executor executor) -> awaitable<int> {
        ConsulStoreOptions options;
        options.addresses = {m_store.address};
        options.caller = "test";
        ConsulStoreClient store(executor, options);
        JobIntake intake(executor, store, cellName, "test-" + name);
        const auto result = co_await intake.submit(job);
        co_return static_cast<int>(result.status);
    };
    EXPECT_EQ(runCoroutine<int>(run), static_cast<int>(IntakeStatus::Stored));
}

void BatchSite::cancel(const std::string &name)
{
    auto run = [&](Asio::any_io_executor executor) -> awaitable<int> {
        ConsulStoreOptions options;
        options.addresses = {m_store.address};
        options.caller = "test";
        ConsulStoreClient store(executor, options);
        JobIntake intake(executor, store, cellName, "cancel-" + name);
        const auto result = co_await intake.cancel(JobId(name));
        co_return static_cast<int>(result.status);
    };
    EXPECT_EQ(runCoroutine<int>(run), static_cast<int>(IntakeStatus::Cancelled));
}

Json BatchSite::get(int placer, const std::string &path)
{
    return call(m_placers.at(static_cast<std::size_t>(placer)).address, "GET", path, "");
}

Finished BatchSite::ctl(std::vector<std::string> arguments) const
{
    arguments.insert(arguments.begin(), {"--store", m_store.address.str()});
    for (const auto &placer : m_placers) {
        arguments.insert(arguments.begin(), {"--process", placer.address.str()});
    }
    return runToEnd("trefoilhoist-ctl", arguments);
}

void BatchSite::labelWorker(int worker, const std::string &label)
{
    const auto finished = ctl({"label", "worker/w" + std::to_string(worker), label});
    EXPECT_EQ(finished.code, 0) << finished.output << finished.errors;
}

int BatchSite::owner()
{
    for (int i = 0; i < static_cast<int>(m_placers.size()); ++i) {
        const auto json = get(i, "/-/workers");
        if (json.is_object() && json.value("owning", false)) {
            return i;
        }
    }
    return -1;
}

bool BatchSite::waitForWorkers(int count)
{
    return eventually([&] {
        const int at = owner();
        if (at < 0) {
            return false;
        }
        int usable = 0;
        const auto json = get(at, "/-/workers");
        for (const auto &it : json.value("workers", Json::array())) {
            usable += it.value("reachable", false) ? 1 : 0;
        }
        return usable >= count;
    });
}

bool BatchSite::waitFinished(const std::string &job, int limitMs)
{
    return eventually(
        [&] {
            const int at = owner();
            const auto json = at < 0 ? Json() : get(at, "/-/jobs/" + job);
            return json.is_object() && json.value("state", "") == "finished";
        },
        limitMs);
}

void BatchSite::killed(int worker)
{
    m_workers.at(static_cast<std::size_t>(worker)).killedAtUs = monotonicUs();
}

std::vector<RunInterval> BatchSite::runs() const
{
    std::vector<RunInterval> runs;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        std::map<std::string, RunInterval> open;
        std::istringstream lines(m_workers[i].process->output());
        for (std::string line; std::getline(lines, line);) {
            std::map<std::string, std::string> fields;
            std::istringstream words(line);
            for (std::string word; words >> word;) {
                const auto equals = word.find('=');
                fields[word.substr(0, equals)] = equals == std::string::npos ? "" : word.substr(equals + 1);
            }
            const auto key = fields["task"] + "#" + fields["run"];
            if (fields["event"] == "begin") {
                open[key] = {"w" + std::to_string(i),
                             fields["task"],
                             std::stoll(fields["run"]),
                             std::stoll(fields["atUs"]),
                             0,
                             "",
                             std::stoll(fields["from"])};
            } else if (fields["event"] == "end") {
                open[key].endUs = std::stoll(fields["atUs"]);
                open[key].state = fields["state"];
                runs.push_back(open[key]);
                open.erase(key);
            }
        }
        for (auto &[key, it] : open) {
            it.endUs = m_workers[i].killedAtUs;
            runs.push_back(it);
        }
    }
    return runs;
}

void BatchSite::checkRuns(int milliCpuPerTask)
{
    const auto all = runs();
    std::map<std::string, int> finished;
    for (const auto &left : all) {
        finished[left.task] += left.state == "finished" ? 1 : 0;
        int together = 0;
        for (const auto &right : all) {
            const bool overlap = left.beginUs >= right.beginUs && (right.endUs == 0 || left.beginUs < right.endUs);
            together += overlap && left.worker == right.worker ? 1 : 0;
            if (overlap && left.task == right.task && (left.worker != right.worker || left.run != right.run)) {
                ADD_FAILURE() << "P2 " << left.task << " on " << left.worker << " run " << left.run << " and on "
                              << right.worker << " run " << right.run;
            }
        }
        EXPECT_LE(together * milliCpuPerTask, workerMilliCpu) << "P1 " << left.worker;
    }
    for (const auto &[task, count] : finished) {
        EXPECT_LE(count, 1) << "P3 " << task << " finished twice";
    }
}

} // namespace Trefoilhoist::Testing
