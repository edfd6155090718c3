#pragma once

#include "trefoilhoist/net/httpserver.h"
#include "trefoilhoist/net/internal/connectiontable.h"

#include <atomic>
#include <cstdint>
#include <mutex>

namespace Trefoilhoist::Detail {

/// What the connections of one HttpServer share.
struct HttpServing {
    HttpLimits limits;
    HttpServer::Handler handler;
    MemoryBudget memory;
    ConnectionTable connections;
    std::atomic<int> inFlight = 0;
    std::atomic<bool> draining = false;
    std::atomic<bool> closed = false;

    HttpServing(HttpLimits httpLimits, HttpServer::Handler handle, MemoryBudget budget)
        : limits(httpLimits), handler(std::move(handle)), memory(std::move(budget))
    {
    }

    /// Makes room for a connection that was accepted; false if it is to be refused.
    bool makeRoomForConnection();
    /// Closes a connection for one whose request found no room in memory.
    void makeRoomForRequest();

    [[nodiscard]] HttpRefusals refusals() const;
    void listensOn(std::uint16_t port);

private:
    /// Logs the refusals, though not each of them.
    void logRefusals();

    std::atomic<std::uint64_t> m_connectionsClosed = 0;
    std::atomic<std::uint64_t> m_connectionsRefused = 0;
    std::atomic<std::uint64_t> m_requestsRefused = 0;
    std::mutex m_logMutex;
    TimePoint m_nextLog;
    std::uint16_t m_port = 0;
};

} // namespace Trefoilhoist::Detail
