#pragma once

#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/wire/internal/heldmemory.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>

namespace Trefoilhoist::Detail {

/// A reply that waits for the connection to take it.
struct UnsentReply {
    std::string frame;
    HeldMemory memory;
};

/// One accepted peer connection. Members are used on the socket's strand, but for those that are atomic.
struct PeerConnection {
    Asio::ip::tcp::socket socket;
    std::deque<UnsentReply> unsent;
    bool writing = false;
    /// Bytes of the server's budget that the connection holds.
    HeldMemory::ConnectionBytes heldBytes = std::make_shared<std::atomic<std::size_t>>(0);
    /// Rises over all connections of a server with each accepted connection and each whole frame.
    std::atomic<std::uint64_t> lastUse = 0;
    /// A whole frame has arrived.
    std::atomic<bool> used = false;

    explicit PeerConnection(Asio::ip::tcp::socket taken) : socket(std::move(taken)) { }
};

} // namespace Trefoilhoist::Detail
