#include "trefoilhoist/net/internal/servedconnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;

namespace {

/// A connection buffers so many times the longest header: Beast keeps trailers and chunk extensions whole, and has no
/// other limit for them.
constexpr std::size_t bufferFactor = 2;
constexpr std::size_t firstReadBytes = 4096;

std::size_t maxBufferBytes(const HttpLimits &limits)
{
    return std::max(bufferFactor * limits.maxHeaderBytes, firstReadBytes);
}

std::chrono::nanoseconds inNanoseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(duration);
}

/// The status that refuses a request which can't be read; 0 if there is nobody to answer.
int statusFor(boost::system::error_code reason)
{
    if (reason == Http::error::body_limit) {
        return 413;
    }
    if (reason == Http::error::header_limit || reason == Http::error::buffer_overflow) {
        return 431;
    }
    if (reason == Beast::error::timeout) {
        return 408;
    }
    if (reason == boost::system::errc::not_enough_memory) {
        return 503;
    }
    const bool isHttpError = reason.category() == Http::make_error_code(Http::error::bad_method).category();
    const bool isCut = reason == Http::error::end_of_stream || reason == Http::error::partial_message;
    return isHttpError && !isCut ? 400 : 0;
}

HttpRequest plainRequest(Http::request<HeldBody> &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.add(std::string_view(field.name_string().data(), field.name_string().size()),
                            std::string(field.value()));
    }
    request.body = std::move(message.body().text);
    return request;
}

} // namespace

ServedConnection::ServedConnection(Tcp::socket socket, std::shared_ptr<HttpServing> serving)
    : m_stream(std::move(socket))
    , m_buffer(maxBufferBytes(serving->limits))
    , m_serving(std::move(serving))
    , m_reservation(m_serving->memory.reserveNothing())
{
}

void ServedConnection::join()
{
    m_place = m_serving->connections.add([self = weak_from_this()](ConnectionPhase phase) {
        if (const auto connection = self.lock()) {
            connection->closeIf(phase);
        }
    });
}

ServedConnection::Leaving::~Leaving()
{
    connection.m_serving->connections.remove(connection.m_place);
}

awaitable<void> ServedConnection::run()
{
    // Also when an exception ends the connection.
    const Leaving leaving{*this};
    co_await serveAll();
}

awaitable<void> ServedConnection::serveAll()
{
    boost::system::error_code ec;
    m_stream.socket().set_option(Tcp::no_delay(true), ec);
    while (!ec && !m_serving->closed) {
        const bool open = co_await serveOne();
        if (!open) {
            break;
        }
    }
    m_stream.socket().shutdown(Tcp::socket::shutdown_send, ec);
    m_stream.close();
}

Asio::any_io_executor ServedConnection::executor()
{
    return m_stream.get_executor();
}

void ServedConnection::enter(ConnectionPhase phase)
{
    m_phase = phase;
    m_serving->connections.enter(m_place, phase);
}

void ServedConnection::closeIf(ConnectionPhase phase)
{
    Asio::post(m_stream.get_executor(), [self = shared_from_this(), phase] {
        if (self->m_phase == phase) {
            self->m_stream.close();
        }
    });
}

awaitable<bool> ServedConnection::waitForRequest()
{
    if (m_buffer.size() > 0) {
        co_return true;
    }
    enter(ConnectionPhase::Idle);
    m_stream.expires_after(inNanoseconds(m_serving->limits.idleTimeout));
    boost::system::error_code ec;
    auto space = m_buffer.prepare(firstReadBytes);
    const std::size_t n = co_await m_stream.async_read_some(space, Asio::redirect_error(Asio::use_awaitable, ec));
    m_buffer.commit(n);
    co_return !ec;
}

awaitable<bool> ServedConnection::serveOne()
{
    if (!co_await waitForRequest()) {
        co_return false;
    }
    m_serving->inFlight.fetch_add(1);
    const bool open = co_await readAndAnswer();
    m_serving->inFlight.fetch_sub(1);
    co_return open;
}

awaitable<bool> ServedConnection::readAndAnswer()
{
    auto read = co_await readRequest();
    if (!read) {
        m_reservation.shrinkTo(0);
        co_await refuse(read.error());
        co_return false;
    }
    enter(ConnectionPhase::Handling);
    m_stream.expires_never();
    auto response = co_await answerOf(std::move(read->request));
    holdAnswer(response);
    const bool open = co_await write(std::move(response), read->keepAlive && !m_serving->draining, read->version);
    m_reservation.shrinkTo(0);
    co_return open;
}

awaitable<tl::expected<ServedConnection::ReadRequest, boost::system::error_code>> ServedConnection::readRequest()
{
    enter(ConnectionPhase::Reading);
    const auto &limits = m_serving->limits;
    Http::request_parser<HeldBody> parser;
    parser.get().body().reservation = &m_reservation;
    parser.body_limit(limits.maxBodyBytes);
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    m_stream.expires_after(inNanoseconds(limits.requestTimeout));
    boost::system::error_code ec;
    co_await Http::async_read_header(m_stream, m_buffer, parser, Asio::redirect_error(Asio::use_awaitable, ec));
    if (!ec && !parser.is_done()) {
        // The header is kept while its body is awaited.
        ec = holdRequest(parser.get());
    }
    if (!ec && !parser.is_done()) {
        co_await Http::async_read(m_stream, m_buffer, parser, Asio::redirect_error(Asio::use_awaitable, ec));
    }
    if (!ec) {
        // Trailers have joined the header.
        ec = holdRequest(parser.get());
    }
    if (ec) {
        co_return tl::unexpected(ec);
    }
    auto message = parser.release();
    co_return ReadRequest{plainRequest(message), message.keep_alive(), message.version()};
}

boost::system::error_code ServedConnection::holdRequest(const boost::beast::http::request<HeldBody> &message)
{
    const auto bytes = bytesOfFields(message) + message.body().text.size();
    if (bytes <= m_reservation.bytes() || m_reservation.tryGrow(bytes - m_reservation.bytes())) {
        return {};
    }
    return make_error_code(boost::system::errc::not_enough_memory);
}

awaitable<HttpResponse> ServedConnection::answerOf(HttpRequest request)
{
    try {
        co_return co_await m_serving->handler(std::move(request));
    } catch (const std::exception &e) {
        LOG(ERROR) << "event=handler_failed reason=\"" << e.what() << "\"";
    }
    // A handler that throws may have acted already.
    auto response = textResponse(500, "internal error\n");
    response.headers.set(verdictHeader, "may-have-run");
    co_return response;
}

void ServedConnection::holdAnswer(HttpResponse &response)
{
    // The handler has let go of the request.
    m_reservation.shrinkTo(0);
    if (!m_reservation.tryGrow(response.body.size())) {
        response = textResponse(500, "no memory for the answer\n");
        response.headers.set(verdictHeader, "may-have-run");
    }
}

awaitable<void> ServedConnection::refuse(boost::system::error_code reason)
{
    const int status = statusFor(reason);
    if (status == 0) {
        co_return;
    }
    auto response = textResponse(status, "request refused: " + reason.message() + "\n");
    response.headers.set(verdictHeader, "not-run");
    if (reason == boost::system::errc::not_enough_memory) {
        enter(ConnectionPhase::Writing);
        m_serving->makeRoomForRequest();
        response.headers.set(retryAfterHeader, "1");
    }
    co_await write(std::move(response), false, 11);
}

awaitable<bool> ServedConnection::write(HttpResponse response, bool keepAlive, unsigned version)
{
    enter(ConnectionPhase::Writing);
    Http::response<Http::string_body> message(static_cast<Http::status>(response.status), version);
    for (const auto &[name, value] : response.headers.fields()) {
        message.insert(name, value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    m_stream.expires_after(inNanoseconds(m_serving->limits.requestTimeout));
    boost::system::error_code ec;
    co_await Http::async_write(m_stream, message, Asio::redirect_error(Asio::use_awaitable, ec));
    co_return !ec && keepAlive;
}

} // namespace Trefoilhoist::Detail
