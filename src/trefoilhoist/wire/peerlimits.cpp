#include "trefoilhoist/wire/peerlimits.h"

#include "trefoilhoist/wire/peerserver.h"

#include <algorithm>

namespace Trefoilhoist {

PeerLimits PeerLimits::forProcess(std::size_t memoryBytes)
{
    constexpr std::size_t heldDivisor = 8;
    constexpr std::size_t memoryPerConnection = std::size_t{192} << 10U;
    // The largest frame and its decoded message fit on any host.
    constexpr std::size_t leastHeldBytes = std::size_t{5} * maxFrameBytes;
    PeerLimits limits;
    limits.maxHeldBytes = std::max(memoryBytes / heldDivisor, leastHeldBytes);
    limits.maxConnections = std::max<std::size_t>(memoryBytes / memoryPerConnection, 1);
    return limits;
}

} // namespace Trefoilhoist
