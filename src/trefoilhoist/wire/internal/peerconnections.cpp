#include "trefoilhoist/wire/internal/peerconnections.h"

#include "trefoilhoist/log/eventlog.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace Trefoilhoist::Detail {

namespace {

constexpr Duration retryInterval = milliseconds(10);
/// The log gets at most one line about closed connections in this time.
constexpr Duration logInterval = seconds(1);

void postClose(const PeerConnections::Connection &connection)
{
    Asio::post(connection->socket.get_executor(), [connection] {
        boost::system::error_code ec;
        connection->socket.close(ec);
    });
}

} // namespace

PeerConnections::PeerConnections(PeerLimits limits) : m_limits(limits), m_budget(limits.maxHeldBytes) { }

void PeerConnections::countClosed(Counter &counter)
{
    m_counter = &counter;
}

PeerConnections::Connection PeerConnections::add(Asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<PeerConnection>(std::move(socket));
    connection->lastUse = ++m_uses;
    const std::lock_guard lock(m_mutex);
    if (m_connections.size() >= m_limits.maxConnections) {
        closeLeastUsed();
    }
    m_connections.insert(connection);
    return connection;
}

void PeerConnections::remove(const Connection &connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(connection);
}

void PeerConnections::closeAll()
{
    const std::lock_guard lock(m_mutex);
    std::for_each(m_connections.begin(), m_connections.end(), postClose);
}

void PeerConnections::touch(PeerConnection &connection)
{
    connection.lastUse = ++m_uses;
    connection.used = true;
}

HeldMemory PeerConnections::holdNothing(const PeerConnection &connection)
{
    return {m_budget, connection.heldBytes};
}

awaitable<bool> PeerConnections::grow(const Connection &connection, HeldMemory &memory, std::size_t bytes)
{
    const auto giveUpAt = std::chrono::steady_clock::now() + m_limits.maxWait;
    while (!memory.tryGrow(bytes)) {
        if (!connection->socket.is_open()) {
            co_return false;
        }
        if (std::chrono::steady_clock::now() >= giveUpAt) {
            const std::lock_guard lock(m_mutex);
            closeForLimit(connection, Reason::Memory);
            co_return false;
        }
        closeLargestAbove(*connection->heldBytes + bytes);
        co_await sleepFor(retryInterval);
    }
    co_return true;
}

void PeerConnections::closeLeastUsed()
{
    const auto rank = [](const Connection &it) {
        return std::pair(it->used.load(), it->lastUse.load());
    };
    const auto it = std::min_element(
        m_connections.begin(), m_connections.end(), [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
    if (it != m_connections.end()) {
        closeForLimit(Connection(*it), Reason::Connections);
    }
}

void PeerConnections::closeLargestAbove(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    const auto it = std::max_element(m_connections.begin(), m_connections.end(), [](const auto &a, const auto &b) {
        return *a->heldBytes < *b->heldBytes;
    });
    if (it != m_connections.end() && *(*it)->heldBytes > bytes) {
        closeForLimit(Connection(*it), Reason::Memory);
    }
}

void PeerConnections::closeForLimit(const Connection &connection, Reason reason)
{
    if (m_connections.erase(connection) == 0) {
        return;
    }
    postClose(connection);
    if (m_counter != nullptr) {
        m_counter->add();
    }
    logClosed(*connection, reason);
}

void PeerConnections::logClosed(const PeerConnection &connection, Reason reason)
{
    ++m_unloggedClosed;
    const auto now = std::chrono::steady_clock::now();
    if (now - m_loggedAt < logInterval) {
        return;
    }
    m_loggedAt = now;
    Event("peer_connection_closed")
        .add("reason", reason == Reason::Memory ? "memory" : "connections")
        .add("heldBytes", connection.heldBytes->load())
        .add("connections", m_connections.size())
        .add("closed", std::exchange(m_unloggedClosed, 0));
}

} // namespace Trefoilhoist::Detail
