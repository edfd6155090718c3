#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/net/asio.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace Trefoilhoist::Detail {

/// An envelope with its four-byte big-endian length before it.
[[nodiscard]] std::string frameOf(const Wire::Envelope &envelope);

/// Asked for room before each piece of a frame is read; false ends the reading.
using MakeRoom = std::function<awaitable<bool>(std::size_t bytes)>;

/// Reads one frame, in memory that grows with what has arrived; nothing when the connection ends, the frame is too
/// large or is no envelope.
[[nodiscard]] awaitable<std::optional<Wire::Envelope>> readFrame(Asio::ip::tcp::socket &socket,
                                                                 MakeRoom makeRoom = nullptr);

/// Writes one frame; false when the connection ended.
[[nodiscard]] awaitable<bool> writeFrame(Asio::ip::tcp::socket &socket, std::string frame);

} // namespace Trefoilhoist::Detail
