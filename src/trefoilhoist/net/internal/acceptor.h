#pragma once

#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/world/world.h"

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace Trefoilhoist::Detail {

/// Binds the acceptor and starts listening. Returns the bound port, or why the address can't be used.
[[nodiscard]] tl::expected<std::uint16_t, std::string> openAcceptor(Asio::ip::tcp::acceptor &acceptor,
                                                                    const Endpoint &endpoint);

} // namespace Trefoilhoist::Detail
