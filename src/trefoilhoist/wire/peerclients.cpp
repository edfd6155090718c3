#include "trefoilhoist/wire/peerclients.h"

#include <utility>

namespace Trefoilhoist {

PeerClients::PeerClients(Asio::any_io_executor executor, std::string sender, std::int64_t incarnation)
    : m_executor(std::move(executor)), m_sender(std::move(sender)), m_incarnation(incarnation)
{
}

PeerClient &PeerClients::at(const Endpoint &peer)
{
    auto &client = m_clients[peer];
    if (!client) {
        client = std::make_unique<PeerClient>(m_executor, m_sender, m_incarnation, peer);
    }
    return *client;
}

} // namespace Trefoilhoist
