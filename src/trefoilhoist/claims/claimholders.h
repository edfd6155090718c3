#pragma once

#include "trefoilhoist/claims/claim.h"

#include <cstddef>
#include <vector>

namespace Trefoilhoist {

/// Maximum number of entries that hold the claim of one key.
inline constexpr std::size_t maxClaimHolders = 4;

/// Returns the holders of a key: the first maxClaimHolders of `entries` in the order of rendezvous hashing. `entries`
/// must be all configured entries, reachable or not, because the choice must not depend on liveness.
[[nodiscard]] std::vector<EntryId> claimHolders(const ClaimKey &key, std::vector<EntryId> entries);

/// Returns the number of grants that a claim needs: a majority of its holders. Any two majorities from the same list of
/// entries share a holder. This also holds for majorities from two lists that differ by one added entry.
[[nodiscard]] constexpr std::size_t claimQuorum(std::size_t holders)
{
    return holders / 2 + 1;
}

} // namespace Trefoilhoist
