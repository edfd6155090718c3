#pragma once

#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/net/httpserver.h"
#include "trefoilhoist/net/program.h"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace Trefoilhoist::StandIns {

/// Settings of a minion stand-in; service times are log-normal.
struct MinionSettings {
    Minion minion;
    Endpoint listen;
    std::vector<Endpoint> entries;
    double medianServiceMs = 5;
    double sigma = 0.5;
    Duration heartbeat = milliseconds(500);
    /// How long a stopping minion still serves, so that every entry hears that it is leaving.
    Duration leaveGrace = seconds(3);
    std::uint64_t seed = 1;
};

/// Faults that tests switch on over `POST /-/faults`.
struct MinionFaults {
    double slowFactor = 1.0;
    /// Share of requests answered with status 500 after they ran.
    double failShare = 0.0;
    bool muteAnnouncements = false;
};

/// A minion: announces itself, runs requests in slots, counts how often each request id ran.
class MinionServer
{
public:
    MinionServer(Runtime &runtime, MinionSettings settings);

    /// Binds the port and starts announcing. Returns why it can't be bound.
    tl::expected<Endpoint, std::string> start();

    /// Announces that it is leaving, serves through the grace, finishes what is in flight.
    awaitable<void> stop();

private:
    awaitable<HttpResponse> answer(HttpRequest request);
    awaitable<HttpResponse> run(HttpRequest request);
    HttpResponse control(const HttpRequest &request);
    HttpResponse refuse(const HttpRequest &request, const std::string &reason);
    awaitable<void> announceLoop();
    awaitable<bool> announceTo(Endpoint entry);
    Duration drawServiceTime();

    Runtime &m_runtime;
    MinionSettings m_settings;
    HttpServer m_server;
    HttpClient m_client;
    std::atomic<bool> m_leaving = false;
    /// The grace is over: new requests are refused.
    std::atomic<bool> m_refusing = false;
    std::atomic<int> m_inFlight = 0;
    std::atomic<std::int64_t> m_sequence = 0;
    std::mutex m_mutex;
    MinionFaults m_faults;
    std::mt19937_64 m_random;
    /// Executions by request id.
    std::map<std::string, int> m_executions;
    std::uint64_t m_refused = 0;
    int m_mostInFlight = 0;
};

} // namespace Trefoilhoist::StandIns
