#pragma once

#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/net/httpmessage.h"
#include "trefoilhoist/net/memorybudget.h"
#include "trefoilhoist/world/clock.h"
#include "trefoilhoist/world/world.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Trefoilhoist {

/// What a server takes from one connection.
struct HttpLimits {
    std::size_t maxBodyBytes = std::size_t{1} << 20U;
    std::size_t maxHeaderBytes = std::size_t{16} << 10U;
    /// From the first byte of a request, or from the connect, to its last byte.
    Duration requestTimeout = seconds(10);
    /// An idle connection is closed after this.
    Duration idleTimeout = seconds(60);
    /// Beyond these, a new connection takes the place of the one that has been idle longest, or else of the one that
    /// has been longest with reading a request or writing an answer. It is refused when all have requests in progress.
    int maxConnections = 4096;
};

/// How many connections, with their buffers, fit into that memory.
[[nodiscard]] int connectionsWithin(std::size_t bytes);

/// Limits of a port for requests without a body, such as readiness and metrics: its connections take a small part of
/// the memory, and bodies next to none, so that it leaves the rest to the other ports.
[[nodiscard]] HttpLimits probeLimits(const MemoryBudget &memory);

/// What a server has refused since its start.
struct HttpRefusals {
    /// Connections closed so that others found room.
    std::uint64_t connectionsClosed = 0;
    std::uint64_t connectionsRefused = 0;
    /// Requests without room in memory.
    std::uint64_t requestsRefused = 0;
};

/// Serves HTTP/1.1 with keep-alive; each connection on a strand of its own.
class HttpServer
{
public:
    using Handler = std::function<awaitable<HttpResponse>(HttpRequest)>;

    /// Requests and answers are reserved in `memory`; one that finds no room there is refused. Without a budget of the
    /// process, the server has one of its own.
    HttpServer(Asio::any_io_executor executor,
               HttpLimits limits,
               Handler handler,
               MemoryBudget memory = MemoryBudget(defaultMemoryBytes));
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and starts accepting. Returns the bound port, or why it can't be bound.
    tl::expected<std::uint16_t, std::string> listen(const Endpoint &endpoint);

    /// From here each answer says "Connection: close"; connections and requests are still taken.
    void drain();

    /// Stops accepting and closes idle connections; requests in flight still finish.
    void close();

    /// Requests read whole or in part and not yet answered.
    [[nodiscard]] int inFlight() const;
    [[nodiscard]] HttpRefusals refusals() const;

private:
    static constexpr std::size_t defaultMemoryBytes = std::size_t{256} << 20U;
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Trefoilhoist
