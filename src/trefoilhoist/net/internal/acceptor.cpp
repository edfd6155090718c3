#include "trefoilhoist/net/internal/acceptor.h"

namespace Trefoilhoist::Detail {

using Tcp = Asio::ip::tcp;

tl::expected<std::uint16_t, std::string> openAcceptor(Tcp::acceptor &acceptor, const Endpoint &endpoint)
{
    boost::system::error_code ec;
    const auto address = Asio::ip::make_address(endpoint.host, ec);
    if (ec) {
        return tl::unexpected("\"" + endpoint.host + "\" is not an IP number");
    }
    const Tcp::endpoint at(address, endpoint.port);
    acceptor.open(at.protocol(), ec);
    if (!ec) {
        acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
        acceptor.bind(at, ec);
    }
    if (!ec) {
        acceptor.listen(Asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return tl::unexpected("cannot listen on " + endpoint.str() + ": " + ec.message());
    }
    return acceptor.local_endpoint().port();
}

} // namespace Trefoilhoist::Detail
