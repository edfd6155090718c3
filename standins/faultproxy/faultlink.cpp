#include "faultlink.h"

#include "trefoilhoist/net/internal/acceptor.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <set>

namespace Trefoilhoist::StandIns {

using Tcp = Asio::ip::tcp;

namespace {

constexpr std::size_t chunkBytes = 65536;
constexpr Duration silentPoll = milliseconds(20);
constexpr Duration refusalPoll = milliseconds(20);

// Both halves of one forwarded connection, on one strand.
struct Pair {
    Tcp::socket client;
    Tcp::socket target;
    std::int64_t answerBytes = 0;

    explicit Pair(Tcp::socket taken) : client(std::move(taken)), target(client.get_executor()) { }

    void close()
    {
        boost::system::error_code ec;
        client.close(ec);
        target.close(ec);
    }

    void reset()
    {
        boost::system::error_code ec;
        client.set_option(Asio::socket_base::linger(true, 0), ec);
        target.set_option(Asio::socket_base::linger(true, 0), ec);
        close();
    }
};

enum class Direction { Request, Answer };

} // namespace

struct FaultLink::State : std::enable_shared_from_this<FaultLink::State> {
    Asio::any_io_executor executor;
    Endpoint listen;
    Endpoint target;
    ClosedTarget closedTarget;
    Tcp::acceptor acceptor;
    std::atomic<bool> targetClosed = false;
    std::atomic<std::uint64_t> connections = 0;
    std::atomic<std::uint64_t> bytes = 0;
    mutable std::mutex mutex;
    LinkFaults faults;
    std::set<std::shared_ptr<Pair>> pairs;
    std::optional<std::string> parked;

    State(Asio::any_io_executor ex, Endpoint from, Endpoint to, ClosedTarget whenClosed)
        : executor(std::move(ex))
        , listen(std::move(from))
        , target(std::move(to))
        , closedTarget(whenClosed)
        , acceptor(Asio::make_strand(executor))
    {
    }

    LinkFaults currentFaults() const
    {
        std::lock_guard lock(mutex);
        return faults;
    }

    awaitable<void> acceptLoop()
    {
        while (true) {
            if (refuses()) {
                co_await refuse();
            }
            boost::system::error_code ec;
            Tcp::socket socket = co_await acceptor.async_accept(Asio::make_strand(executor),
                                                                Asio::redirect_error(Asio::use_awaitable, ec));
            if (ec) {
                co_await sleepFor(milliseconds(10));
                continue;
            }
            if (currentFaults().cut) {
                socket.set_option(Asio::socket_base::linger(true, 0), ec);
                continue;
            }
            ++connections;
            auto pair = std::make_shared<Pair>(std::move(socket));
            {
                std::lock_guard lock(mutex);
                pairs.insert(pair);
            }
            spawnOn(pair->client.get_executor(), "fault link", [self = shared_from_this(), pair] {
                return self->connect(pair);
            });
        }
    }

    [[nodiscard]] bool refuses() const
    {
        return currentFaults().refuse || targetClosed;
    }

    /// Keeps the listening socket closed for as long as connections are refused.
    awaitable<void> refuse()
    {
        boost::system::error_code ec;
        acceptor.close(ec);
        while (refuses()) {
            co_await sleepFor(refusalPoll);
            const bool targetListens = co_await acceptsConnections(target);
            targetClosed = targetClosed && !targetListens;
        }
        while (!Detail::openAcceptor(acceptor, listen)) {
            acceptor.close(ec);
            co_await sleepFor(refusalPoll);
        }
    }

    awaitable<bool> acceptsConnections(const Endpoint &endpoint)
    {
        boost::system::error_code ec;
        Tcp::socket socket(acceptor.get_executor());
        const Tcp::endpoint to(Asio::ip::make_address(endpoint.host), endpoint.port);
        co_await socket.async_connect(to, Asio::redirect_error(Asio::use_awaitable, ec));
        co_return !ec;
    }

    /// Lets acceptLoop() read again whether connections are refused.
    void wakeAcceptLoop()
    {
        Asio::post(acceptor.get_executor(), [self = shared_from_this()] {
            boost::system::error_code ec;
            self->acceptor.cancel(ec);
        });
    }

    awaitable<void> connect(std::shared_ptr<Pair> pair)
    {
        co_await sleepIfAny(currentFaults().connectDelay);
        while (currentFaults().silentRequests) {
            co_await sleepFor(silentPoll);
        }
        boost::system::error_code ec;
        const Tcp::endpoint to(Asio::ip::make_address(target.host), target.port);
        co_await pair->target.async_connect(to, Asio::redirect_error(Asio::use_awaitable, ec));
        if (ec) {
            if (ec == Asio::error::connection_refused && closedTarget == ClosedTarget::Refuse) {
                targetClosed = true;
                wakeAcceptLoop();
            }
            forget(pair);
            co_return;
        }
        pair->client.set_option(Tcp::no_delay(true), ec);
        pair->target.set_option(Tcp::no_delay(true), ec);
        auto self = shared_from_this();
        spawnOn(pair->client.get_executor(), "fault request", [self, pair] {
            return self->pump(pair, Direction::Request);
        });
        spawnOn(
            pair->client.get_executor(), "fault answer", [self, pair] { return self->pump(pair, Direction::Answer); });
    }

    awaitable<void> pump(std::shared_ptr<Pair> pair, Direction direction)
    {
        auto &from = direction == Direction::Request ? pair->client : pair->target;
        auto &to = direction == Direction::Request ? pair->target : pair->client;
        std::string buf(chunkBytes, '\0');
        boost::system::error_code ec;
        while (true) {
            const std::size_t n
                = co_await from.async_read_some(Asio::buffer(buf), Asio::redirect_error(Asio::use_awaitable, ec));
            if (ec) {
                break;
            }
            co_await waitWhileSilent(direction);
            const auto now = currentFaults();
            co_await sleepIfAny(direction == Direction::Request ? now.requestDelay : now.answerDelay);
            std::string chunk = buf.substr(0, n);
            const bool go = direction == Direction::Request || alterAnswer(*pair, now, chunk);
            if (!chunk.empty()) {
                bytes += chunk.size();
                co_await Asio::async_write(to, Asio::buffer(chunk), Asio::redirect_error(Asio::use_awaitable, ec));
            }
            if (!go || ec) {
                break;
            }
        }
        if (ec == Asio::error::eof) {
            // One side is done sending; the other may still answer.
            to.shutdown(Tcp::socket::shutdown_send, ec);
            if (direction == Direction::Request) {
                co_return;
            }
        }
        forget(pair);
    }

    [[nodiscard]] bool isSilent(Direction direction) const
    {
        const auto now = currentFaults();
        return now.silent || (direction == Direction::Request ? now.silentRequests : now.silentAnswers);
    }

    awaitable<void> waitWhileSilent(Direction direction) const
    {
        while (isSilent(direction)) {
            co_await sleepFor(silentPoll);
        }
    }

    static awaitable<void> sleepIfAny(Duration delay)
    {
        if (delay > Duration::zero()) {
            co_await sleepFor(delay);
        }
    }

    // Changes an answer chunk; false when the connection ends after it.
    bool alterAnswer(Pair &pair, const LinkFaults &now, std::string &chunk)
    {
        if (now.dropAnswers) {
            chunk.clear();
            return false;
        }
        if (now.crossAnswers) {
            std::lock_guard lock(mutex);
            if (parked) {
                std::swap(*parked, chunk);
            } else {
                parked = std::move(chunk);
                chunk.clear();
            }
        }
        if (now.duplicateAnswers) {
            chunk += std::string(chunk);
        }
        pair.answerBytes += static_cast<std::int64_t>(chunk.size());
        if (now.truncateAnswersAfter > 0 && pair.answerBytes > now.truncateAnswersAfter) {
            const auto excess = pair.answerBytes - now.truncateAnswersAfter;
            chunk.resize(chunk.size() - std::min(chunk.size(), static_cast<std::size_t>(excess)));
            return false;
        }
        return true;
    }

    void forget(const std::shared_ptr<Pair> &pair)
    {
        pair->close();
        std::lock_guard lock(mutex);
        pairs.erase(pair);
    }

    void breakAll()
    {
        std::lock_guard lock(mutex);
        parked.reset();
        for (const auto &pair : pairs) {
            Asio::post(pair->client.get_executor(), [pair] { pair->close(); });
        }
    }

    void resetAll()
    {
        std::lock_guard lock(mutex);
        for (const auto &pair : pairs) {
            Asio::post(pair->client.get_executor(), [pair] { pair->reset(); });
        }
    }
};

FaultLink::FaultLink(Asio::any_io_executor executor, Endpoint listen, Endpoint target, ClosedTarget closedTarget)
    : m_state(std::make_shared<State>(std::move(executor), std::move(listen), std::move(target), closedTarget))
{
}

tl::expected<Endpoint, std::string> FaultLink::start()
{
    const auto port = Detail::openAcceptor(m_state->acceptor, m_state->listen);
    if (!port) {
        return tl::unexpected(port.error());
    }
    m_state->listen.port = *port;
    spawnOn(m_state->acceptor.get_executor(), "fault accept", [state = m_state] { return state->acceptLoop(); });
    return Endpoint{m_state->listen.host, *port};
}

void FaultLink::setFaults(const LinkFaults &faults)
{
    {
        std::lock_guard lock(m_state->mutex);
        m_state->faults = faults;
    }
    if (faults.cut) {
        m_state->breakAll();
    }
    if (faults.refuse || faults.reset) {
        m_state->wakeAcceptLoop();
        m_state->resetAll();
    }
}

LinkFaults FaultLink::faults() const
{
    return m_state->currentFaults();
}

std::uint64_t FaultLink::connections() const
{
    return m_state->connections;
}

std::uint64_t FaultLink::bytes() const
{
    return m_state->bytes;
}

} // namespace Trefoilhoist::StandIns
