#include "trefoilhoist/wire/internal/frame.h"

#include "trefoilhoist/wire/message.h"
#include "trefoilhoist/wire/peerserver.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace Trefoilhoist::Detail {

namespace {

constexpr std::size_t prefixBytes = 4;
constexpr unsigned byteBits = 8;
constexpr std::uint32_t byteMask = 0xFF;

} // namespace

std::string frameOf(const Wire::Envelope &envelope)
{
    const std::string body = Wire::encode(envelope);
    const auto size = static_cast<std::uint32_t>(body.size());
    std::string frame;
    frame.reserve(prefixBytes + body.size());
    for (unsigned shift = byteBits * 3;; shift -= byteBits) {
        frame += static_cast<char>((size >> shift) & byteMask);
        if (shift == 0) {
            break;
        }
    }
    return frame + body;
}

awaitable<std::optional<Wire::Envelope>> readFrame(Asio::ip::tcp::socket &socket)
{
    std::array<unsigned char, prefixBytes> prefix{};
    boost::system::error_code ec;
    co_await Asio::async_read(socket, Asio::buffer(prefix), Asio::redirect_error(Asio::use_awaitable, ec));
    if (ec) {
        co_return std::nullopt;
    }
    std::uint32_t size = 0;
    for (const unsigned char byte : prefix) {
        size = (size << byteBits) | byte;
    }
    if (size > maxFrameBytes) {
        co_return std::nullopt;
    }
    std::string body(size, '\0');
    co_await Asio::async_read(socket, Asio::buffer(body), Asio::redirect_error(Asio::use_awaitable, ec));
    if (ec) {
        co_return std::nullopt;
    }
    co_return Wire::decode<Wire::Envelope>(body);
}

awaitable<bool> writeFrame(Asio::ip::tcp::socket &socket, std::string frame)
{
    boost::system::error_code ec;
    co_await Asio::async_write(socket, Asio::buffer(frame), Asio::redirect_error(Asio::use_awaitable, ec));
    co_return !ec;
}

} // namespace Trefoilhoist::Detail
