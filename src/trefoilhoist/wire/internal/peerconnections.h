#pragma once

#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/net/memorybudget.h"
#include "trefoilhoist/wire/internal/peerconnection.h"
#include "trefoilhoist/wire/peerlimits.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>

namespace Trefoilhoist::Detail {

/// The connections of a PeerServer, and the memory that they hold. Where a limit is met, it closes the connection that
/// uses most of what is short, so that the others are still served. Thread-safe.
class PeerConnections
{
public:
    using Connection = std::shared_ptr<PeerConnection>;

    explicit PeerConnections(PeerLimits limits);

    /// Counts the connections that are closed because a limit is met.
    void countClosed(Counter &counter);

    /// Keeps an accepted connection. If there are too many, closes the one that has been without a frame for longest;
    /// those that never sent a frame go first.
    Connection add(Asio::ip::tcp::socket socket);
    void remove(const Connection &connection);
    void closeAll();

    /// Notes that a whole frame has arrived.
    void touch(PeerConnection &connection);

    [[nodiscard]] HeldMemory holdNothing(const PeerConnection &connection);
    /// Adds bytes to what a connection holds. Without room for them it closes a connection that holds more, and waits.
    /// False when the wait was too long or the connection is closed.
    awaitable<bool> grow(const Connection &connection, HeldMemory &memory, std::size_t bytes);

private:
    enum class Reason {
        Connections,
        Memory,
    };
    void closeLeastUsed();
    void closeLargestAbove(std::size_t bytes);
    /// Both need the mutex.
    void closeForLimit(const Connection &connection, Reason reason);
    void logClosed(const PeerConnection &connection, Reason reason);

    PeerLimits m_limits;
    MemoryBudget m_budget;
    std::mutex m_mutex;
    std::set<Connection> m_connections;
    std::atomic<std::uint64_t> m_uses = 0;
    Counter *m_counter = nullptr;
    /// Closed since the last line of the log about it.
    std::uint64_t m_unloggedClosed = 0;
    std::chrono::steady_clock::time_point m_loggedAt;
};

} // namespace Trefoilhoist::Detail
