#pragma once

#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/net/httpserver.h"
#include "trefoilhoist/net/program.h"
#include "trefoilhoist/placement/workeragent.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Trefoilhoist::StandIns {

/// A service's minions on the worker, as far as batch work disturbs them.
struct HostedService {
    ServiceReservation share;
    Duration p99 = milliseconds(10);
    /// How much the p99 grows when batch work uses all processors: 1 doubles it.
    double sensitivity = 0;
};

/// Settings of a worker stand-in. Its tasks are timers.
struct WorkerSettings {
    Worker worker;
    Endpoint listen;
    std::vector<Endpoint> placers;
    std::vector<HostedService> services;
    Duration heartbeat = seconds(1);
    /// A stopping worker waits this long for its tasks to be moved.
    Duration leaveGrace = seconds(10);
    Duration checkpointEvery = seconds(1);
    Duration checkpointTime = milliseconds(20);
    Duration usageLag = seconds(2);
    bool failEverything = false;
    /// Work done per second of run time.
    double speed = 1.0;
    /// What tasks use of what is reserved.
    double usageFactor = 1.0;
    /// Spread of usage and latency reports, 0 to 1.
    double noise = 0.05;
    std::uint64_t seed = 1;
};

/// A worker: announces itself to placers and follows the sync contract through a WorkerAgent. Writes a line to
/// standard output at the begin and end of each run, with the time of the monotonic clock that all processes of
/// a host share.
class WorkerServer
{
public:
    WorkerServer(Runtime &runtime, WorkerSettings settings);

    /// Binds the port and starts announcing. Returns why it can't be bound.
    tl::expected<Endpoint, std::string> start();

    /// Announces that it is leaving and waits for its tasks to be moved.
    awaitable<void> stop();

private:
    /// One task that runs; progress counts the task's own run time.
    struct Run {
        StartOrder order;
        Duration done{};
        Duration lastCheckpoint{};
        double share = 1.0;
        TimePoint beganAt{};
        TimePoint updatedAt{};
        /// When a checkpoint under way is finished.
        std::optional<TimePoint> checkpointAt;
        Resources used;
    };

    awaitable<HttpResponse> answer(HttpRequest request);
    HttpResponse sync(const HttpRequest &request);
    [[nodiscard]] HttpResponse listRuns() const;
    awaitable<void> announceLoop();
    awaitable<bool> announceTo(Endpoint placer);
    awaitable<void> tickLoop();

    void step(TimePoint now);
    /// False when the run has ended.
    bool advance(TimePoint now, Run &run);
    void carryOut(TimePoint now, const WorkerAgent::Actions &actions);
    void begin(TimePoint now, const StartOrder &order);
    void print(const char *what, const RunRef &ref, TimePoint at, const std::string &more) const;
    void reportServices();
    double noisy(double value);

    Runtime &m_runtime;
    WorkerSettings m_settings;
    Asio::any_io_executor m_strand;
    HttpServer m_server;
    HttpClient m_client;
    WorkerAgent m_agent;
    std::map<RunRef, Run> m_runs;
    std::mt19937_64 m_random;
    bool m_leaving = false;
};

} // namespace Trefoilhoist::StandIns
