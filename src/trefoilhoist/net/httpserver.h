#pragma once

#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/net/httpmessage.h"
#include "trefoilhoist/net/memorybudget.h"
#include "trefoilhoist/world/clock.h"
#include "trefoilhoist/world/world.h"

#include <tl/expected.hpp>

#include <cstddef>
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
    int maxConnections = 4096;
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

private:
    static constexpr std::size_t defaultMemoryBytes = std::size_t{256} << 20U;
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Trefoilhoist
