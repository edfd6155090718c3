#include "trefoilhoist/net/httpclient.h"

#include "trefoilhoist/net/memorybudget.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <vector>

namespace Trefoilhoist {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;

namespace {

using CallResult = tl::expected<HttpResponse, CallError>;

/// Bytes of an answer that are read and not yet parsed; bounds header fields, chunk extensions and trailers.
constexpr std::size_t maxUnparsedBytes = std::size_t{64} << 10U;

std::chrono::nanoseconds inNanoseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(duration);
}

tl::unexpected<CallError> failure(Verdict verdict, std::string reason)
{
    return tl::unexpected(CallError{verdict, std::move(reason)});
}

// One connection to a server. Used by one call at a time.
class Connection
{
public:
    Connection(const Asio::any_io_executor &executor, MemoryBudget answerMemory)
        : m_stream(Asio::make_strand(executor)), m_answerMemory(std::move(answerMemory))
    {
    }

    Asio::any_io_executor executor()
    {
        return m_stream.get_executor();
    }

    // False when the server closed the connection or sent bytes that belong to no request.
    bool usable()
    {
        auto &socket = m_stream.socket();
        boost::system::error_code ec;
        char byte = 0;
        socket.non_blocking(true, ec);
        socket.receive(Asio::buffer(&byte, 1), Tcp::socket::message_peek, ec);
        return ec == Asio::error::would_block && m_buffer.size() == 0;
    }

    awaitable<std::string> connect(const Endpoint &endpoint, Duration timeout)
    {
        boost::system::error_code ec;
        const auto address = Asio::ip::make_address(endpoint.host, ec);
        if (ec) {
            co_return "\"" + endpoint.host + "\" is not an IP number";
        }
        m_stream.expires_after(inNanoseconds(timeout));
        co_await m_stream.async_connect(Tcp::endpoint(address, endpoint.port),
                                        Asio::redirect_error(Asio::use_awaitable, ec));
        if (ec) {
            m_nothingListens = ec == Asio::error::connection_refused;
            co_return "cannot connect to " + endpoint.str() + ": " + ec.message();
        }
        m_stream.socket().set_option(Tcp::no_delay(true), ec);
        co_return std::string();
    }

    awaitable<CallResult> exchange(const Endpoint &endpoint, HttpRequest request, const HttpCallOptions &options)
    {
        auto message = beastRequest(endpoint, std::move(request), options);
        boost::system::error_code ec;
        m_stream.expires_after(inNanoseconds(options.timeout));
        co_await Http::async_write(m_stream, message, Asio::redirect_error(Asio::use_awaitable, ec));
        if (ec) {
            co_return failure(Verdict::MayHaveRun, "cannot send to " + endpoint.str() + ": " + ec.message());
        }
        Http::response_parser<Http::string_body> parser;
        parser.body_limit(options.maxBodyBytes);
        parser.skip(message.method() == Http::verb::head);
        auto problem = co_await readAnswer(parser);
        if (!problem.empty()) {
            co_return failure(Verdict::MayHaveRun, "no whole answer from " + endpoint.str() + ": " + problem);
        }
        if (parser.need_eof()) {
            // An answer that ends with its connection can't be told from one that was cut.
            co_return failure(Verdict::MayHaveRun, "the answer from " + endpoint.str() + " has no length");
        }
        auto answer = parser.release();
        m_reusable = answer.keep_alive() && m_buffer.size() == 0;
        auto response = plainResponse(std::move(answer));
        if (!options.correlation.empty() && response.headers.get(correlationHeader) != options.correlation) {
            m_reusable = false;
            co_return failure(Verdict::MayHaveRun, "the answer from " + endpoint.str() + " belongs to another request");
        }
        m_stream.expires_never();
        co_return response;
    }

    // Closes without waiting: bytes that have not left yet must not arrive later.
    void abort()
    {
        boost::system::error_code ec;
        m_stream.socket().set_option(Asio::socket_base::linger(true, 0), ec);
        m_stream.close();
    }

    [[nodiscard]] bool reusable() const
    {
        return m_reusable;
    }

    [[nodiscard]] bool nothingListens() const
    {
        return m_nothingListens;
    }

private:
    // Reads an answer in the room that its body may take. Returns why it can't be read, or nothing.
    awaitable<std::string> readAnswer(Http::response_parser<Http::string_body> &parser)
    {
        boost::system::error_code ec;
        co_await Http::async_read_header(m_stream, m_buffer, parser, Asio::redirect_error(Asio::use_awaitable, ec));
        // The parser makes room for a body of known length as soon as it begins.
        auto memory = m_answerMemory.tryReserve(ec ? 0 : parser.content_length().value_or(0));
        while (!ec && memory && !parser.is_done()) {
            co_await Http::async_read_some(m_stream, m_buffer, parser, Asio::redirect_error(Asio::use_awaitable, ec));
            const auto taken = parser.get().body().capacity();
            if (taken > memory->bytes() && !memory->tryGrow(taken - memory->bytes())) {
                memory.reset();
            }
        }
        if (ec) {
            co_return ec.message();
        }
        co_return memory ? "" : "too many bytes of other answers are being read";
    }

    static Http::request<Http::string_body>
    beastRequest(const Endpoint &endpoint, HttpRequest request, const HttpCallOptions &options)
    {
        Http::request<Http::string_body> message;
        message.version(11);
        message.method_string(request.method);
        message.target(request.target);
        for (const auto &[name, value] : request.headers.fields()) {
            message.insert(name, value);
        }
        message.set(Http::field::host, endpoint.str());
        if (!options.correlation.empty()) {
            message.set(Beast::string_view(correlationHeader.data(), correlationHeader.size()), options.correlation);
        }
        message.keep_alive(!options.freshConnection);
        message.body() = std::move(request.body);
        message.prepare_payload();
        return message;
    }

    static HttpResponse plainResponse(Http::response<Http::string_body> answer)
    {
        HttpResponse response;
        response.status = static_cast<int>(answer.result_int());
        for (const auto &field : answer) {
            const auto name = field.name();
            if (name == Http::field::connection || name == Http::field::content_length
                || name == Http::field::transfer_encoding || name == Http::field::keep_alive) {
                continue;
            }
            response.headers.add(std::string_view(field.name_string().data(), field.name_string().size()),
                                 std::string(field.value()));
        }
        response.body = std::move(answer.body());
        return response;
    }

    Beast::tcp_stream m_stream;
    MemoryBudget m_answerMemory;
    Beast::flat_buffer m_buffer{maxUnparsedBytes};
    bool m_reusable = false;
    bool m_nothingListens = false;
};

} // namespace

struct HttpClient::Pool {
    Asio::any_io_executor executor;
    MemoryBudget answerMemory;
    std::mutex mutex;
    std::map<Endpoint, std::vector<std::shared_ptr<Connection>>> idle;

    Pool(Asio::any_io_executor ex, std::size_t maxAnswerBytes) : executor(std::move(ex)), answerMemory(maxAnswerBytes)
    {
    }

    std::shared_ptr<Connection> take(const Endpoint &endpoint)
    {
        std::lock_guard lock(mutex);
        auto it = idle.find(endpoint);
        while (it != idle.end() && !it->second.empty()) {
            auto connection = it->second.back();
            it->second.pop_back();
            if (connection->usable()) {
                return connection;
            }
        }
        return nullptr;
    }

    void put(const Endpoint &endpoint, std::shared_ptr<Connection> connection, int maxIdle)
    {
        std::lock_guard lock(mutex);
        auto &kept = idle[endpoint];
        if (static_cast<int>(kept.size()) < maxIdle) {
            kept.push_back(std::move(connection));
        }
    }

    static awaitable<CallResult> callOn(std::shared_ptr<Pool> pool,
                                        std::shared_ptr<Connection> connection,
                                        bool fresh,
                                        Endpoint endpoint,
                                        HttpRequest request,
                                        HttpCallOptions options)
    {
        if (fresh) {
            const auto problem
                = co_await connection->connect(endpoint, std::min(options.connectTimeout, options.timeout));
            if (!problem.empty()) {
                co_return tl::unexpected(CallError{Verdict::NotRun, problem, connection->nothingListens()});
            }
        }
        auto result = co_await connection->exchange(endpoint, std::move(request), options);
        if (!result) {
            connection->abort();
        }
        if (connection->reusable() && !options.freshConnection) {
            pool->put(endpoint, connection, options.maxIdle);
        }
        co_return result;
    }
};

HttpClient::HttpClient(Asio::any_io_executor executor, std::size_t maxAnswerBytes)
    : m_pool(std::make_shared<Pool>(std::move(executor), maxAnswerBytes))
{
}

HttpClient::~HttpClient() = default;

awaitable<CallResult> HttpClient::call(Endpoint endpoint, HttpRequest request, HttpCallOptions options)
{
    std::shared_ptr<Connection> connection;
    if (!options.freshConnection) {
        connection = m_pool->take(endpoint);
    }
    const bool fresh = !connection;
    if (fresh) {
        connection = std::make_shared<Connection>(m_pool->executor, m_pool->answerMemory);
    }
    co_return co_await Asio::co_spawn(
        connection->executor(),
        Pool::callOn(m_pool, connection, fresh, std::move(endpoint), std::move(request), std::move(options)),
        Asio::use_awaitable);
}

void HttpClient::forget(const Endpoint &endpoint)
{
    std::lock_guard lock(m_pool->mutex);
    m_pool->idle.erase(endpoint);
}

} // namespace Trefoilhoist
