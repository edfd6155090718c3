#include "trefoilhoist/wire/peerserver.h"

#include "trefoilhoist/net/internal/acceptor.h"
#include "trefoilhoist/wire/internal/frame.h"
#include "trefoilhoist/wire/internal/peerconnections.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>

namespace Trefoilhoist {

using Tcp = Asio::ip::tcp;
using Detail::HeldMemory;
using Detail::PeerConnection;

namespace {

/// What a call takes beside its frame.
constexpr std::size_t callBytes = std::size_t{8} << 10U;
/// What the decoded message takes, in bytes for each byte of the frame.
constexpr std::size_t decodedBytesPerByte = 3;

// A call in progress.
struct PeerCall {
    Wire::Envelope envelope;
    HeldMemory memory;
};

awaitable<void> writeAll(std::shared_ptr<PeerConnection> connection)
{
    connection->writing = true;
    while (!connection->unsent.empty()) {
        auto reply = std::move(connection->unsent.front());
        connection->unsent.pop_front();
        if (!co_await Detail::writeFrame(connection->socket, std::move(reply.frame))) {
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
    Detail::PeerConnections connections;

    State(Asio::any_io_executor ex, std::string name, std::int64_t inc, Handler handle, PeerLimits limits)
        : executor(std::move(ex))
        , self(std::move(name))
        , incarnation(inc)
        , handler(std::move(handle))
        , acceptor(Asio::make_strand(executor))
        , connections(limits)
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
            const auto connection = connections.add(std::move(socket));
            spawnOn(connection->socket.get_executor(), "peer connection", [self = shared_from_this(), connection] {
                return self->serve(connection);
            });
        }
    }

    awaitable<void> serve(std::shared_ptr<PeerConnection> connection)
    {
        while (!closed) {
            const auto call = co_await readCall(connection);
            if (!call) {
                break;
            }
            // Calls on one connection are handled side by side.
            spawnOn(connection->socket.get_executor(), "peer call", [self = shared_from_this(), connection, call] {
                return self->answer(connection, call);
            });
        }
        connections.remove(connection);
        boost::system::error_code ec;
        connection->socket.close(ec);
    }

    // Reads a call; nothing when the connection ends.
    awaitable<std::shared_ptr<PeerCall>> readCall(std::shared_ptr<PeerConnection> connection)
    {
        auto memory = connections.holdNothing(*connection);
        Detail::MakeRoom makeRoom = [&](std::size_t bytes) {
            const auto isFirst = memory.bytes() == 0;
            return connections.grow(connection, memory, bytes + (isFirst ? callBytes : 0));
        };
        auto envelope = co_await Detail::readFrame(connection->socket, std::move(makeRoom));
        if (!envelope) {
            co_return nullptr;
        }
        if (!co_await connections.grow(connection, memory, decodedBytesPerByte * envelope->payload.size())) {
            co_return nullptr;
        }
        connections.touch(*connection);
        PeerCall call{std::move(*envelope), std::move(memory)};
        co_return std::make_shared<PeerCall>(std::move(call));
    }

    awaitable<void> answer(std::shared_ptr<PeerConnection> connection, std::shared_ptr<PeerCall> call)
    {
        const auto correlation = call->envelope.correlation;
        auto reply = co_await handler(std::move(call->envelope));
        if (!reply) {
            co_return;
        }
        reply->sender = self;
        reply->incarnation = incarnation;
        reply->correlation = correlation;
        reply->reply = true;
        auto frame = Detail::frameOf(*reply);
        const auto held = call->memory.bytes();
        if (frame.size() > held && !co_await connections.grow(connection, call->memory, frame.size() - held)) {
            co_return;
        }
        connection->unsent.push_back({std::move(frame), std::move(call->memory)});
        if (!connection->writing) {
            co_await writeAll(connection);
        }
    }
};

PeerServer::PeerServer(
    Asio::any_io_executor executor, std::string self, std::int64_t incarnation, Handler handler, PeerLimits limits)
    : m_state(std::make_shared<State>(std::move(executor), std::move(self), incarnation, std::move(handler), limits))
{
}

PeerServer::~PeerServer()
{
    close();
}

void PeerServer::countClosed(Counter &counter)
{
    m_state->connections.countClosed(counter);
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
    m_state->connections.closeAll();
}

} // namespace Trefoilhoist
