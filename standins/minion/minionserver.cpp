#include "minionserver.h"

#include <glog/logging.h>

#include <cmath>

namespace Trefoilhoist::StandIns {

namespace {

constexpr std::string_view requestIdHeader = "Request-Id";
constexpr int usPerMs = 1000;

HttpLimits limitsOf(const MinionSettings &settings)
{
    HttpLimits limits;
    limits.maxConnections = settings.minion.connections;
    return limits;
}

} // namespace

MinionServer::MinionServer(Runtime &runtime, MinionSettings settings)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_server(
          runtime.executor(), limitsOf(m_settings), [this](HttpRequest request) { return answer(std::move(request)); })
    , m_client(runtime.executor())
    , m_random(m_settings.seed)
{
}

tl::expected<Endpoint, std::string> MinionServer::start()
{
    const auto port = m_server.listen(m_settings.listen);
    if (!port) {
        return tl::unexpected(port.error());
    }
    const Endpoint bound{m_settings.listen.host, *port};
    if (m_settings.minion.endpoint.host.empty()) {
        m_settings.minion.endpoint = bound;
    }
    spawn(m_runtime.executor(), "announce", [this] { return announceLoop(); });
    return bound;
}

awaitable<void> MinionServer::stop()
{
    m_leaving = true;
    for (const auto &entry : m_settings.entries) {
        if (co_await announceTo(entry)) {
            break;
        }
    }
    const auto end = m_runtime.clock().now() + m_settings.leaveGrace;
    while (m_runtime.clock().now() < end) {
        co_await sleepFor(milliseconds(20));
    }
    m_refusing = true;
    m_server.drain();
    while (m_inFlight > 0 || m_server.inFlight() > 0) {
        co_await sleepFor(milliseconds(10));
    }
    m_server.close();
}

awaitable<HttpResponse> MinionServer::answer(HttpRequest request)
{
    if (request.path().rfind("/-/", 0) == 0) {
        co_return control(request);
    }
    const int inFlight = ++m_inFlight;
    HttpResponse response;
    if (m_refusing) {
        response = refuse(request, "leaving");
        response.headers.set(leavingHeader, "yes");
    } else if (inFlight > m_settings.minion.slots) {
        response = refuse(request, "no free slot");
    } else {
        {
            std::lock_guard lock(m_mutex);
            m_mostInFlight = std::max(m_mostInFlight, inFlight);
        }
        response = co_await run(std::move(request));
    }
    --m_inFlight;
    co_return response;
}

awaitable<HttpResponse> MinionServer::run(HttpRequest request)
{
    const auto id = request.headers.get(requestIdHeader);
    const auto serviceTime = drawServiceTime();
    bool fails = false;
    {
        std::lock_guard lock(m_mutex);
        ++m_executions[id];
        fails = std::uniform_real_distribution<double>(0, 1)(m_random) < m_faults.failShare;
    }
    co_await sleepFor(serviceTime);
    auto response = textResponse(fails ? 500 : 200, request.method + " " + request.target + "\n" + request.body);
    response.headers.set(correlationHeader, request.headers.get(correlationHeader));
    response.headers.set(requestIdHeader, id);
    response.headers.set(minionHeader, m_settings.minion.id.str());
    co_return response;
}

HttpResponse MinionServer::refuse(const HttpRequest &request, const std::string &reason)
{
    {
        std::lock_guard lock(m_mutex);
        ++m_refused;
    }
    auto response = textResponse(503, reason + "\n");
    response.headers.set(verdictHeader, std::string(verdictName(Verdict::NotRun)));
    response.headers.set(correlationHeader, request.headers.get(correlationHeader));
    return response;
}

HttpResponse MinionServer::control(const HttpRequest &request)
{
    std::lock_guard lock(m_mutex);
    if (request.path() == "/-/faults" && request.method == "POST") {
        const auto faults = nlohmann::json::parse(request.body, nullptr, false);
        if (!faults.is_object()) {
            return textResponse(400, "the body is not a JSON object\n");
        }
        m_faults.slowFactor = faults.value("slowFactor", m_faults.slowFactor);
        m_faults.failShare = faults.value("failShare", m_faults.failShare);
        m_faults.muteAnnouncements = faults.value("muteAnnouncements", m_faults.muteAnnouncements);
        return jsonResponse(200, "{}");
    }
    if (request.path() == "/-/executions") {
        nlohmann::json counts = m_executions;
        return jsonResponse(200,
                            nlohmann::json{{"executions", counts},
                                           {"refused", m_refused},
                                           {"inFlight", m_inFlight.load()},
                                           {"mostInFlight", m_mostInFlight}}
                                .dump());
    }
    return textResponse(404, "no such page\n");
}

awaitable<void> MinionServer::announceLoop()
{
    std::size_t next = m_settings.seed % std::max<std::size_t>(1, m_settings.entries.size());
    while (true) {
        bool muted = false;
        {
            std::lock_guard lock(m_mutex);
            muted = m_faults.muteAnnouncements;
        }
        for (std::size_t tries = 0; !muted && tries < m_settings.entries.size(); ++tries) {
            if (co_await announceTo(m_settings.entries[next])) {
                break;
            }
            next = (next + 1) % m_settings.entries.size();
        }
        co_await sleepFor(m_settings.heartbeat);
    }
}

awaitable<bool> MinionServer::announceTo(Endpoint entry)
{
    const auto &minion = m_settings.minion;
    const nlohmann::json body{{"id", minion.id.str()},
                              {"host", minion.endpoint.host},
                              {"port", minion.endpoint.port},
                              {"zone", minion.zone.str()},
                              {"service", minion.service.str()},
                              {"labels", minion.labels},
                              {"slots", minion.slots},
                              {"connections", minion.connections},
                              {"incarnation", m_runtime.incarnation()},
                              {"sequence", ++m_sequence},
                              {"leaving", m_leaving.load()}};
    HttpRequest request{"POST", "/-/minions", {}, body.dump()};
    request.headers.set("Content-Type", "application/json");
    HttpCallOptions options;
    options.timeout = m_settings.heartbeat;
    const auto answer = co_await m_client.call(entry, std::move(request), options);
    if (!answer) {
        LOG(WARNING) << "event=announce_failed minion=" << minion.id << " entry=" << entry.str() << " reason=\""
                     << answer.error().reason << "\"";
    }
    co_return answer.has_value() && answer->status == 200;
}

Duration MinionServer::drawServiceTime()
{
    std::lock_guard lock(m_mutex);
    std::lognormal_distribution<double> distribution(std::log(m_settings.medianServiceMs), m_settings.sigma);
    return Duration(static_cast<std::int64_t>(distribution(m_random) * m_faults.slowFactor * usPerMs));
}

} // namespace Trefoilhoist::StandIns
