#pragma once

#include "trefoilhoist/routing/internal/minionload.h"

#include <random>
#include <variant>
#include <vector>

namespace Trefoilhoist::Detail {

using MinionList = std::vector<MinionLoad *>;

/// Picks the minion with the fewest requests in flight from this entry; ignores the load from the peers.
struct LeastInFlight {
    [[nodiscard]] static bool hasCapacity(const MinionLoad &load);
    [[nodiscard]] static int score(const MinionLoad &load);
    [[nodiscard]] static MinionLoad *pick(const MinionList &list, std::mt19937_64 &random);
};

/// Picks the less loaded of two random minions, counting the requests of all entries.
struct PowerOfTwo {
    [[nodiscard]] static bool hasCapacity(const MinionLoad &load);
    [[nodiscard]] static int score(const MinionLoad &load);
    [[nodiscard]] static MinionLoad *pick(const MinionList &list, std::mt19937_64 &random);
};

/// Uses this entry's even share of each minion's slots first, then borrows more slots up to a limit that is lowered
/// when a minion refuses a request.
struct FairShare {
    [[nodiscard]] static bool hasCapacity(const MinionLoad &load);
    [[nodiscard]] static int score(const MinionLoad &load);
    [[nodiscard]] static MinionLoad *pick(const MinionList &list, std::mt19937_64 &random);
};

using Policy = std::variant<LeastInFlight, PowerOfTwo, FairShare>;

[[nodiscard]] Policy makePolicy(RoutingPolicy policy);

} // namespace Trefoilhoist::Detail
