#include "trefoilhoist/net/internal/httpserving.h"

#include "trefoilhoist/log/eventlog.h"

#include <chrono>

namespace Trefoilhoist::Detail {

namespace {

constexpr Duration logInterval = seconds(10);
/// So many connections may exist beyond the limit while others close.
constexpr std::size_t closingSlack = 32;

} // namespace

bool HttpServing::makeRoomForConnection()
{
    const auto limit = static_cast<std::size_t>(limits.maxConnections);
    const auto n = connections.size();
    if (n < limit) {
        return true;
    }
    const bool closed
        = connections.closeOldest({ConnectionPhase::Idle, ConnectionPhase::Reading, ConnectionPhase::Writing});
    const bool admitted = closed && n < limit + closingSlack;
    m_connectionsClosed += closed ? 1 : 0;
    m_connectionsRefused += admitted ? 0 : 1;
    logRefusals();
    return admitted;
}

void HttpServing::makeRoomForRequest()
{
    ++m_requestsRefused;
    if (connections.closeOldest({ConnectionPhase::Reading, ConnectionPhase::Writing})) {
        ++m_connectionsClosed;
    }
    logRefusals();
}

HttpRefusals HttpServing::refusals() const
{
    return {m_connectionsClosed, m_connectionsRefused, m_requestsRefused};
}

void HttpServing::listensOn(std::uint16_t port)
{
    std::lock_guard lock(m_logMutex);
    m_port = port;
}

void HttpServing::logRefusals()
{
    std::lock_guard lock(m_logMutex);
    const auto now = std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    if (now < m_nextLog) {
        return;
    }
    m_nextLog = now + logInterval;
    const auto counts = refusals();
    Event("http_crowded")
        .add("port", m_port)
        .add("connections_closed", counts.connectionsClosed)
        .add("connections_refused", counts.connectionsRefused)
        .add("requests_refused", counts.requestsRefused)
        .add("reserved_bytes", memory.used());
}

} // namespace Trefoilhoist::Detail
