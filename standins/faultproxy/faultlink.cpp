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
};

enum class Direction { Request, Answer };

} // namespace

struct FaultLink::State : std::enable_shared_from_this<FaultLink::State> {
    Asio::any_io_executor executor;
    Endpoint listen;
    Endpoint target;
    Tcp::acceptor acceptor;
    std::atomic<std::uint64_t> connections = 0;
    std::atomic<std::uint64_t> bytes = 0;
    mutable std::mutex mutex;
    LinkFaults faults;
    std::set<std::shared_ptr<Pair>> pairs;
    std::optional<std::string> parked;

    State(Asio::any_io_executor ex, Endpoint from, Endpoint to)
        : executor(std::move(ex)), listen(std::move(from)), target(std::move(to)), acceptor(Asio::make_strand(executor))
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

    awaitable<void> connect(std::shared_ptr<Pair> pair)
    {
        boost::system::error_code ec;
        const Tcp::endpoint to(Asio::ip::make_address(target.host), target.port);
        co_await pair->target.async_connect(to, Asio::redirect_error(Asio::use_awaitable, ec));
        if (ec) {
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
            co_await waitWhileSilent();
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

    awaitable<void> waitWhileSilent() const
    {
        while (currentFaults().silent) {
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
};

FaultLink::FaultLink(Asio::any_io_executor executor, Endpoint listen, Endpoint target)
    : m_state(std::make_shared<State>(std::move(executor), std::move(listen), std::move(target)))
{
}

tl::expected<Endpoint, std::string> FaultLink::start()
{
    const auto port = Detail::openAcceptor(m_state->acceptor, m_state->listen);
    if (!port) {
        return tl::unexpected(port.error());
    }
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
