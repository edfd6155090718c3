#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/verdict/verdict.h"
#include "trefoilhoist/world/clock.h"
#include "trefoilhoist/world/world.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace Trefoilhoist {

/// One lasting connection to a peer; many calls share it and are told apart by correlation id. Reconnects by
/// itself when a call finds it closed. Thread-safe.
class PeerClient
{
public:
    PeerClient(const Asio::any_io_executor &executor, std::string self, std::int64_t incarnation, Endpoint peer);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Sends `payload` and waits for the answer. Fails as not run if the peer has left too many bytes of earlier calls
    /// untaken.
    awaitable<tl::expected<Wire::Envelope, CallError>>
    call(Wire::MessageKind kind, std::string payload, Duration timeout);

    [[nodiscard]] const Endpoint &peer() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Trefoilhoist
