#include "trefoilhoist/wire/peerserver.h"

#include "trefoilhoist/net/internal/acceptor.h"
#include "trefoilhoist/wire/internal/frame.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <atomic>
#include <deque>
#include <mutex>
#include <set>

namespace Trefoilhoist {

using Tcp = Asio::ip::tcp;

namespace {

// One accepted peer connection; members are used on the socket's strand.
struct PeerConnection {
    Tcp::socket socket;
    std::deque<std::string> unsent;
    bool writing = false;

    explicit PeerConnection(Tcp::socket taken) : socket(std::move(taken)) { }
};

awaitable<void> writeAll(std::shared_ptr<PeerConnection> connection)
{
    connection->writing = true;
    while (!connection->unsent.empty()) {
        std::string frame = std::move(connection->unsent.front());
        connection->unsent.pop_front();
        if (!co_await Detail::writeFrame(connection->socket, std::move(frame))) {
            connection->unsent.clear();
        }
    }
    connection->writing = false;
}

} // namespace

struct PeerServer::State : std::enable_shared_from_this<PeerServer::State> {
    Asio::any_io_executor executor;
    std::string self;
    std::int64_t incarnation = 0;
    Handler handler;
    Tcp::acceptor acceptor;
    std::atomic<bool> closed = false;
    std::mutex mutex;
    std::set<std::shared_ptr<PeerConnection>> connections;

    State(Asio::any_io_executor ex, std::string name, std::int64_t inc, Handler handle)
        : executor(std::move(ex))
        , self(std::move(name))
        , incarnation(inc)
        , handler(std::move(handle))
        , acceptor(Asio::make_strand(executor))
    {
    }

    awaitable<void> acceptLoop()
    {
        while (!closed) {
            boost::system::error_code ec;
            Tcp::socket socket = co_await acceptor.async_accept(Asio::make_strand(executor),
                                                                Asio::redirect_error(Asio::use_awaitable, ec));
            if (ec == Asio::error::operation_aborted || closed) {
                co_return;
            }
            if (ec) {
                co_await sleepFor(milliseconds(10));
                continue;
            }
            socket.set_option(Tcp::no_delay(true), ec);
            auto connection = std::make_shared<PeerConnection>(std::move(socket));
            {
                std::lock_guard lock(mutex);
                connections.insert(connection);
            }
            spawnOn(connection->socket.get_executor(), "peer connection", [self = shared_from_this(), connection] {
                return self->serve(connection);
            });
        }
    }

    awaitable<void> serve(std::shared_ptr<PeerConnection> connection)
    {
        while (!closed) {
            auto envelope = co_await Detail::readFrame(connection->socket);
            if (!envelope) {
                break;
            }
            // Calls on one connection are handled side by side.
            spawnOn(connection->socket.get_executor(),
                    "peer call",
                    [self = shared_from_this(), connection, envelope = std::move(*envelope)] {
                        return self->answer(connection, envelope);
                    });
        }
        std::lock_guard lock(mutex);
        connections.erase(connection);
        boost::system::error_code ec;
        connection->socket.close(ec);
    }

    awaitable<void> answer(std::shared_ptr<PeerConnection> connection, Wire::Envelope envelope)
    {
        const auto correlation = envelope.correlation;
        auto reply = co_await handler(std::move(envelope));
        if (!reply) {
            co_return;
        }
        reply->sender = self;
        reply->incarnation = incarnation;
        reply->correlation = correlation;
        reply->reply = true;
        connection->unsent.push_back(Detail::frameOf(*reply));
        if (!connection->writing) {
            co_await writeAll(connection);
        }
    }
};

PeerServer::PeerServer(Asio::any_io_executor executor, std::string self, std::int64_t incarnation, Handler handler)
    : m_state(std::make_shared<State>(std::move(executor), std::move(self), incarnation, std::move(handler)))
{
}

PeerServer::~PeerServer()
{
    close();
}

tl::expected<std::uint16_t, std::string> PeerServer::listen(const Endpoint &endpoint)
{
    auto port = Detail::openAcceptor(m_state->acceptor, endpoint);
    if (port) {
        spawnOn(m_state->acceptor.get_executor(), "peer accept", [state = m_state] { return state->acceptLoop(); });
    }
    return port;
}

void PeerServer::close()
{
    if (m_state->closed.exchange(true)) {
        return;
    }
    Asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        boost::system::error_code ec;
        state->acceptor.close(ec);
    });
    std::lock_guard lock(m_state->mutex);
    for (const auto &connection : m_state->connections) {
        Asio::post(connection->socket.get_executor(), [connection] {
            boost::system::error_code ec;
            connection->socket.close(ec);
        });
    }
}

} // namespace Trefoilhoist
