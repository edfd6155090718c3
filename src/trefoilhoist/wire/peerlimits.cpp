#include "trefoilhoist/wire/peerlimits.h"

#include "trefoilhoist/wire/peerserver.h"

#include <algorithm>

namespace Trefoilhoist {

PeerLimits PeerLimits::forProcess(std::size_t memoryBytes)
{
    constexpr std::size_t heldDivisor = 8;
    // Two of the largest frames fit on any host.
    constexpr std::size_t leastHeldBytes = std::size_t{2} * maxFrameBytes;
    PeerLimits limits;
    limits.maxHeldBytes = std::max(memoryBytes / heldDivisor, leastHeldBytes);
    return limits;
}

} // namespace Trefoilhoist
