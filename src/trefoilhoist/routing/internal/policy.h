#pragma once

#include "trefoilhoist/routing/internal/minionload.h"

#include <random>
#include <variant>
#include <vector>

namespace Trefoilhoist::Detail {

using MinionList = std::vector<MinionLoad *>;

/// Takes the minion with the fewest of this entry's own requests; knows nothing of the peers.
struct LeastInFlight {
    [[nodiscard]] static bool hasCapacity(const MinionLoad &load);
    [[nodiscard]] static int score(const MinionLoad &load);
    [[nodiscard]] static MinionLoad *pick(const MinionList &list, std::mt19937_64 &random);
};

/// Takes the better of two random minions by the requests of all entries.
struct PowerOfTwo {
    [[nodiscard]] static bool hasCapacity(const MinionLoad &load);
    [[nodiscard]] static int score(const MinionLoad &load);
    [[nodiscard]] static MinionLoad *pick(const MinionList &list, std::mt19937_64 &random);
};

/// Uses this entry's even share of each minion's slots first and borrows as many more as its refusals teach it.
struct FairShare {
    [[nodiscard]] static bool hasCapacity(const MinionLoad &load);
    [[nodiscard]] static int score(const MinionLoad &load);
    [[nodiscard]] static MinionLoad *pick(const MinionList &list, std::mt19937_64 &random);
};

using Policy = std::variant<LeastInFlight, PowerOfTwo, FairShare>;

[[nodiscard]] Policy makePolicy(RoutingPolicy policy);

} // namespace Trefoilhoist::Detail
