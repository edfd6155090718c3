#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/wire/peerlimits.h"
#include "trefoilhoist/world/world.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Trefoilhoist {

/// The largest frame between own processes, in bytes.
inline constexpr std::uint32_t maxFrameBytes = 4U << 20U;

/// Takes length-prefixed Thrift envelopes from peers, within limits on what they make it keep.
class PeerServer
{
public:
    /// Answers an envelope; nothing for one that needs no answer. The server fills in sender and correlation.
    using Handler = std::function<awaitable<std::optional<Wire::Envelope>>(Wire::Envelope)>;

    PeerServer(Asio::any_io_executor executor,
               std::string self,
               std::int64_t incarnation,
               Handler handler,
               PeerLimits limits = {});
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Counts the connections that are closed because a limit is met. Set before listen().
    void countClosed(Counter &counter);

    /// Binds and starts accepting. Returns the bound port, or why it can't be bound.
    tl::expected<std::uint16_t, std::string> listen(const Endpoint &endpoint);

    /// Stops accepting and closes all connections.
    void close();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Trefoilhoist
