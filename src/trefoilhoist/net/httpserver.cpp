#include "trefoilhoist/net/httpserver.h"

#include "trefoilhoist/net/internal/acceptor.h"
#include "trefoilhoist/net/internal/servedconnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Trefoilhoist {

using Tcp = Asio::ip::tcp;

struct HttpServer::State : Detail::HttpServing {
    Asio::any_io_executor executor;
    Tcp::acceptor acceptor;

    State(Asio::any_io_executor ex, HttpLimits httpLimits, Handler handle, MemoryBudget budget)
        : HttpServing(httpLimits, std::move(handle), std::move(budget))
        , executor(std::move(ex))
        , acceptor(Asio::make_strand(executor))
    {
    }
};

namespace {

template <typename State>
awaitable<void> acceptLoop(std::shared_ptr<State> state)
{
    while (!state->closed) {
        boost::system::error_code ec;
        Tcp::socket socket = co_await state->acceptor.async_accept(Asio::make_strand(state->executor),
                                                                   Asio::redirect_error(Asio::use_awaitable, ec));
        if (ec == Asio::error::operation_aborted || state->closed) {
            co_return;
        }
        if (ec) {
            // Out of descriptors, or a connection that went before it was taken.
            co_await sleepFor(milliseconds(10));
            continue;
        }
        if (!state->makeRoomForConnection()) {
            continue;
        }
        auto connection = std::make_shared<Detail::ServedConnection>(std::move(socket), state);
        connection->join();
        spawnOn(connection->executor(), "http connection", [connection] { return connection->run(); });
    }
}

} // namespace

int connectionsWithin(std::size_t bytes)
{
    constexpr std::size_t connectionBytes = std::size_t{16} << 10U;
    return static_cast<int>(std::max(bytes / connectionBytes, std::size_t{1}));
}

HttpLimits probeLimits(const MemoryBudget &memory)
{
    constexpr std::size_t part = 16;
    HttpLimits limits;
    limits.maxBodyBytes = std::size_t{4} << 10U;
    limits.maxConnections = connectionsWithin(memory.limit() / part);
    return limits;
}

HttpServer::HttpServer(Asio::any_io_executor executor, HttpLimits limits, Handler handler, MemoryBudget memory)
    : m_state(std::make_shared<State>(std::move(executor), limits, std::move(handler), std::move(memory)))
{
}

HttpServer::~HttpServer()
{
    close();
}

tl::expected<std::uint16_t, std::string> HttpServer::listen(const Endpoint &endpoint)
{
    auto port = Detail::openAcceptor(m_state->acceptor, endpoint);
    if (port) {
        m_state->listensOn(*port);
        spawnOn(m_state->acceptor.get_executor(), "http accept", [state = m_state] { return acceptLoop(state); });
    }
    return port;
}

void HttpServer::drain()
{
    m_state->draining = true;
}

void HttpServer::close()
{
    drain();
    if (m_state->closed.exchange(true)) {
        return;
    }
    Asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        boost::system::error_code ec;
        state->acceptor.close(ec);
    });
    m_state->connections.closeIdle();
}

HttpRefusals HttpServer::refusals() const
{
    return m_state->refusals();
}

int HttpServer::inFlight() const
{
    return m_state->inFlight;
}

} // namespace Trefoilhoist
