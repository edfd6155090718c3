#include "trefoilhoist/wire/internal/frame.h"

#include "trefoilhoist/wire/message.h"
#include "trefoilhoist/wire/peerserver.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace Trefoilhoist::Detail {

namespace {

constexpr std::size_t prefixBytes = 4;
constexpr unsigned byteBits = 8;
constexpr std::uint32_t byteMask = 0xFF;
/// Memory for the first bytes of a body; it doubles when they have come.
constexpr std::size_t firstPieceBytes = std::size_t{64} << 10U;

// The number of bytes of a body to make room for, when `arrived` of `size` bytes have come.
std::size_t roomFor(std::size_t arrived, std::size_t size)
{
    return std::min(size, std::max(firstPieceBytes, 2 * arrived));
}

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

awaitable<std::optional<Wire::Envelope>> readFrame(Asio::ip::tcp::socket &socket, MakeRoom makeRoom)
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
    std::string body;
    for (std::size_t arrived = 0; arrived < size; arrived = body.size()) {
        const auto wanted = roomFor(arrived, size);
        if (makeRoom && !co_await makeRoom(wanted - arrived)) {
            co_return std::nullopt;
        }
        body.resize(wanted);
        const auto room = Asio::buffer(body.data() + arrived, body.size() - arrived);
        co_await Asio::async_read(socket, room, Asio::redirect_error(Asio::use_awaitable, ec));
        if (ec) {
            co_return std::nullopt;
        }
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
