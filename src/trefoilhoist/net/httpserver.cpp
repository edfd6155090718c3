#include "trefoilhoist/net/httpserver.h"
#include "trefoilhoist/net/internal/acceptor.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <glog/logging.h>

#include <atomic>
#include <mutex>
#include <set>

namespace Trefoilhoist {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;

namespace {

/// A connection buffers so many times the longest header: Beast keeps trailers and chunk extensions whole, and has no
/// other limit for them.
constexpr std::size_t bufferFactor = 2;

} // namespace

namespace Detail {

class ServedConnection;

}

struct HttpServer::State {
    Asio::any_io_executor executor;
    HttpLimits limits;
    Handler handler;
    Tcp::acceptor acceptor;
    std::atomic<int> inFlight = 0;
    std::atomic<bool> draining = false;
    std::atomic<bool> closed = false;
    std::mutex mutex;
    std::set<std::shared_ptr<Detail::ServedConnection>> connections;

    State(Asio::any_io_executor ex, HttpLimits lim, Handler handle)
        : executor(std::move(ex)), limits(lim), handler(std::move(handle)), acceptor(Asio::make_strand(executor))
    {
    }
};

namespace Detail {

// One accepted connection. All members are used on the stream's strand only.
class ServedConnection : public std::enable_shared_from_this<ServedConnection>
{
public:
    ServedConnection(Tcp::socket socket, HttpLimits limits)
        : m_stream(std::move(socket)), m_buffer(bufferFactor * limits.maxHeaderBytes), m_limits(limits)
    {
    }

    template <typename State>
    awaitable<void> run(std::shared_ptr<State> state)
    {
        boost::system::error_code ec;
        m_stream.socket().set_option(Tcp::no_delay(true), ec);
        while (!ec && !state->closed) {
            const bool open = co_await serveOne(*state);
            if (!open) {
                break;
            }
        }
        m_stream.socket().shutdown(Tcp::socket::shutdown_send, ec);
        m_stream.close();
    }

    Asio::any_io_executor executor()
    {
        return m_stream.get_executor();
    }

    // Closes the connection when no request is being read or served.
    void closeIfIdle()
    {
        Asio::post(m_stream.get_executor(), [self = shared_from_this()] {
            if (self->m_idle) {
                self->m_stream.close();
            }
        });
    }

private:
    // Waits for the first byte, so that an idle connection is told from a slow request.
    awaitable<bool> waitForRequest()
    {
        if (m_buffer.size() > 0) {
            co_return true;
        }
        m_idle = true;
        m_stream.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(m_limits.idleTimeout));
        boost::system::error_code ec;
        auto space = m_buffer.prepare(4096);
        const std::size_t n = co_await m_stream.async_read_some(space, Asio::redirect_error(Asio::use_awaitable, ec));
        m_idle = false;
        m_buffer.commit(n);
        co_return !ec;
    }

    template <typename State>
    awaitable<bool> serveOne(State &state)
    {
        if (!co_await waitForRequest()) {
            co_return false;
        }
        state.inFlight.fetch_add(1);
        const bool open = co_await readAndAnswer(state);
        state.inFlight.fetch_sub(1);
        co_return open;
    }

    template <typename State>
    awaitable<bool> readAndAnswer(State &state)
    {
        Http::request_parser<Http::string_body> parser;
        parser.body_limit(m_limits.maxBodyBytes);
        parser.header_limit(static_cast<std::uint32_t>(m_limits.maxHeaderBytes));
        m_stream.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(m_limits.requestTimeout));
        boost::system::error_code ec;
        co_await Http::async_read(m_stream, m_buffer, parser, Asio::redirect_error(Asio::use_awaitable, ec));
        if (ec) {
            co_await refuse(ec);
            co_return false;
        }

        auto message = parser.release();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message) {
            request.headers.add(std::string_view(field.name_string().data(), field.name_string().size()),
                                std::string(field.value()));
        }
        request.body = std::move(message.body());

        m_stream.expires_never();
        const auto response = co_await answerOf(state, std::move(request));
        co_return co_await write(response, message.keep_alive() && !state.draining, message.version());
    }

    template <typename State>
    awaitable<HttpResponse> answerOf(State &state, HttpRequest request)
    {
        try {
            co_return co_await state.handler(std::move(request));
        } catch (const std::exception &e) {
            LOG(ERROR) << "event=handler_failed reason=\"" << e.what() << "\"";
        }
        // A handler that throws may have acted already.
        auto response = textResponse(500, "internal error\n");
        response.headers.set(verdictHeader, "may-have-run");
        co_return response;
    }

    awaitable<void> refuse(boost::system::error_code reason)
    {
        int status = 0;
        if (reason == Http::error::body_limit) {
            status = 413;
        } else if (reason == Http::error::header_limit || reason == Http::error::buffer_overflow) {
            status = 431;
        } else if (reason == Beast::error::timeout) {
            status = 408;
        } else if (reason.category() == Http::make_error_code(Http::error::bad_method).category()
                   && reason != Http::error::end_of_stream && reason != Http::error::partial_message) {
            status = 400;
        }
        if (status == 0) {
            co_return;
        }
        auto response = textResponse(status, "request refused: " + reason.message() + "\n");
        response.headers.set(verdictHeader, "not-run");
        co_await write(response, false, 11);
    }

    awaitable<bool> write(const HttpResponse &response, bool keepAlive, unsigned version)
    {
        Http::response<Http::string_body> message(static_cast<Http::status>(response.status), version);
        for (const auto &[name, value] : response.headers.fields()) {
            message.insert(name, value);
        }
        message.body() = response.body;
        message.keep_alive(keepAlive);
        message.prepare_payload();
        m_stream.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(m_limits.requestTimeout));
        boost::system::error_code ec;
        co_await Http::async_write(m_stream, message, Asio::redirect_error(Asio::use_awaitable, ec));
        co_return !ec && keepAlive;
    }

    Beast::tcp_stream m_stream;
    Beast::flat_buffer m_buffer;
    HttpLimits m_limits;
    bool m_idle = false;
};

} // namespace Detail

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
        auto connection = std::make_shared<Detail::ServedConnection>(std::move(socket), state->limits);
        {
            std::lock_guard lock(state->mutex);
            if (static_cast<int>(state->connections.size()) >= state->limits.maxConnections) {
                continue;
            }
            state->connections.insert(connection);
        }
        spawnOn(connection->executor(), "http connection", [state, connection]() -> awaitable<void> {
            co_await connection->run(state);
            std::lock_guard lock(state->mutex);
            state->connections.erase(connection);
        });
    }
}

} // namespace

HttpServer::HttpServer(Asio::any_io_executor executor, HttpLimits limits, Handler handler)
    : m_state(std::make_shared<State>(std::move(executor), limits, std::move(handler)))
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
    std::lock_guard lock(m_state->mutex);
    for (const auto &connection : m_state->connections) {
        connection->closeIfIdle();
    }
}

int HttpServer::inFlight() const
{
    return m_state->inFlight;
}

} // namespace Trefoilhoist
