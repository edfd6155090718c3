#pragma once

#include "trefoilhoist/wire/peerclient.h"

#include <map>
#include <memory>
#include <string>

namespace Trefoilhoist {

/// The clients of one process for its peers, made when first needed. Not thread-safe.
class PeerClients
{
public:
    PeerClients(Asio::any_io_executor executor, std::string sender, std::int64_t incarnation);

    PeerClient &at(const Endpoint &peer);

private:
    Asio::any_io_executor m_executor;
    std::string m_sender;
    std::int64_t m_incarnation;
    std::map<Endpoint, std::unique_ptr<PeerClient>> m_clients;
};

} // namespace Trefoilhoist
