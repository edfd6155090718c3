#include "trefoilhoist/wire/peerclient.h"

#include "trefoilhoist/net/memorybudget.h"
#include "trefoilhoist/wire/internal/frame.h"
#include "trefoilhoist/wire/peerserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <map>
#include <optional>

namespace Trefoilhoist {

using Tcp = Asio::ip::tcp;

namespace {

using CallResult = tl::expected<Wire::Envelope, CallError>;

/// A host that is down or cut off does not answer, and the system's own retries of the handshake come seconds apart.
constexpr Duration connectTimeout = milliseconds(1000);

/// Frames to one peer that it has not taken yet. A call that would exceed it is refused as not run.
constexpr std::size_t maxUnsentBytes = std::size_t{2} * maxFrameBytes;

using SteadyTime = std::chrono::steady_clock::time_point;

// A call that waits for its answer. The timer is the signal: cancelled when there is news.
struct PendingCall {
    Asio::steady_timer timer;
    std::int64_t correlation = 0;
    std::optional<Wire::Envelope> reply;
    bool connectionLost = false;
    /// When its frame was first handed to the connection; nothing while it is queued.
    std::optional<SteadyTime> sentAt;

    PendingCall(const Asio::any_io_executor &executor, Duration timeout) : timer(executor, timeout) { }
};

struct UnsentFrame {
    std::string bytes;
    MemoryBudget::Reservation memory;
    std::shared_ptr<PendingCall> call;
};

} // namespace

// All members but unsentMemory are used on the strand only.
struct PeerClient::State : std::enable_shared_from_this<PeerClient::State> {
    Asio::any_io_executor strand;
    std::string self;
    std::int64_t incarnation = 0;
    Endpoint peer;
    std::shared_ptr<Tcp::socket> socket;
    bool connecting = false;
    bool connected = false;
    bool writing = false;
    bool stopped = false;
    std::int64_t lastCorrelation = 0;
    SteadyTime lastReceivedAt;
    std::deque<UnsentFrame> unsent;
    MemoryBudget unsentMemory{maxUnsentBytes};
    std::map<std::int64_t, std::shared_ptr<PendingCall>> pending;

    State(const Asio::any_io_executor &executor, std::string name, std::int64_t inc, Endpoint to)
        : strand(Asio::make_strand(executor)), self(std::move(name)), incarnation(inc), peer(std::move(to))
    {
    }

    static awaitable<CallResult> call(std::shared_ptr<State> state,
                                      Wire::MessageKind kind,
                                      std::string payload,
                                      MemoryBudget::Reservation memory,
                                      Duration timeout)
    {
        auto waiting = std::make_shared<PendingCall>(state->strand, timeout);
        waiting->correlation = ++state->lastCorrelation;
        state->enqueue(waiting, kind, std::move(payload), std::move(memory));
        state->pending[waiting->correlation] = waiting;
        state->flush();

        boost::system::error_code ec;
        co_await waiting->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        state->pending.erase(waiting->correlation);
        if (waiting->reply) {
            co_return std::move(*waiting->reply);
        }
        co_return tl::unexpected(state->failureOf(*waiting));
    }

    void enqueue(const std::shared_ptr<PendingCall> &call,
                 Wire::MessageKind kind,
                 std::string payload,
                 MemoryBudget::Reservation memory)
    {
        Wire::Envelope envelope;
        envelope.sender = self;
        envelope.incarnation = incarnation;
        envelope.correlation = call->correlation;
        envelope.kind = kind;
        envelope.payload = std::move(payload);
        unsent.push_back({Detail::frameOf(envelope), std::move(memory), call});
    }

    CallError failureOf(const PendingCall &call)
    {
        if (!call.sentAt) {
            // The frame must not leave after the caller was told that it didn't.
            std::erase_if(unsent, [&](const auto &it) { return it.call.get() == &call; });
            return {Verdict::NotRun, peer.str() + ": no connection"};
        }
        if (call.connectionLost) {
            return {Verdict::MayHaveRun, peer.str() + ": connection lost"};
        }
        if (lastReceivedAt < *call.sentAt) {
            // The connection may have gone silent for good without a reset. A new one is the only way to find out.
            loseConnection();
        }
        return {Verdict::MayHaveRun, peer.str() + ": no answer in time"};
    }

    void flush()
    {
        if (!connected) {
            if (!connecting) {
                connecting = true;
                spawnOn(strand, "peer connect", [self = shared_from_this()] { return self->connect(); });
            }
            return;
        }
        if (!writing) {
            writing = true;
            spawnOn(strand, "peer write", [self = shared_from_this()] { return self->writeAll(); });
        }
    }

    awaitable<void> connect()
    {
        boost::system::error_code ec;
        auto fresh = std::make_shared<Tcp::socket>(strand);
        const auto address = Asio::ip::make_address(peer.host, ec);
        if (!ec) {
            Asio::steady_timer limit(strand, connectTimeout);
            limit.async_wait([fresh](boost::system::error_code cancelled) {
                if (!cancelled) {
                    boost::system::error_code ignored;
                    fresh->close(ignored);
                }
            });
            co_await fresh->async_connect(Tcp::endpoint(address, peer.port),
                                          Asio::redirect_error(Asio::use_awaitable, ec));
        }
        connecting = false;
        if (ec || stopped) {
            loseConnection();
            co_return;
        }
        fresh->set_option(Tcp::no_delay(true), ec);
        socket = fresh;
        connected = true;
        spawnOn(strand, "peer read", [self = shared_from_this(), fresh] { return self->readAll(fresh); });
        flush();
    }

    awaitable<void> writeAll()
    {
        auto current = socket;
        while (current && connected && socket == current && !unsent.empty()) {
            auto frame = std::move(unsent.front());
            unsent.pop_front();
            frame.call->sentAt = std::chrono::steady_clock::now();
            if (!co_await Detail::writeFrame(*current, std::move(frame.bytes))) {
                break;
            }
        }
        writing = false;
        if (connected && !unsent.empty()) {
            flush();
        }
    }

    awaitable<void> readAll(std::shared_ptr<Tcp::socket> from)
    {
        while (true) {
            auto envelope = co_await Detail::readFrame(*from);
            if (!envelope) {
                break;
            }
            lastReceivedAt = std::chrono::steady_clock::now();
            const auto it = pending.find(envelope->correlation);
            if (envelope->reply && it != pending.end()) {
                it->second->reply = std::move(*envelope);
                it->second->timer.cancel();
            }
        }
        if (socket == from) {
            loseConnection();
        }
    }

    void loseConnection()
    {
        connected = false;
        unsent.clear();
        if (socket) {
            boost::system::error_code ec;
            // Bytes that have not left yet must not arrive later.
            socket->set_option(Asio::socket_base::linger(true, 0), ec);
            socket->close(ec);
            socket.reset();
        }
        for (auto &[correlation, waiting] : pending) {
            waiting->connectionLost = true;
            waiting->timer.cancel();
        }
        pending.clear();
    }
};

PeerClient::PeerClient(const Asio::any_io_executor &executor, std::string self, std::int64_t incarnation, Endpoint peer)
    : m_state(std::make_shared<State>(executor, std::move(self), incarnation, std::move(peer)))
{
}

PeerClient::~PeerClient()
{
    Asio::post(m_state->strand, [state = m_state] {
        state->stopped = true;
        state->loseConnection();
    });
}

awaitable<CallResult> PeerClient::call(Wire::MessageKind kind, std::string payload, Duration timeout)
{
    // Reserved before anything is queued, so that a refused payload is not kept.
    auto memory = m_state->unsentMemory.tryReserve(payload.size());
    if (!memory) {
        co_return tl::unexpected(CallError{Verdict::NotRun, peer().str() + ": too much waits to be sent"});
    }
    co_return co_await Asio::co_spawn(m_state->strand,
                                      State::call(m_state, kind, std::move(payload), std::move(*memory), timeout),
                                      Asio::use_awaitable);
}

const Endpoint &PeerClient::peer() const
{
    return m_state->peer;
}

} // namespace Trefoilhoist
