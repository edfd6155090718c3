#pragma once

#include "trefoilhoist/world/clock.h"

#include <cstddef>

namespace Trefoilhoist {

/// What peers may make a PeerServer keep.
struct PeerLimits {
    std::size_t maxConnections = 1024;
    /// Frames that arrive, calls in progress and replies that no peer has read, in sum over all connections.
    std::size_t maxHeldBytes = std::size_t{20} << 20U;
    /// How long a frame may wait for memory before its connection is closed.
    Duration maxWait = seconds(5);

    /// The limits of a process on a host that has `memoryBytes` for it.
    [[nodiscard]] static PeerLimits forProcess(std::size_t memoryBytes);
};

} // namespace Trefoilhoist
