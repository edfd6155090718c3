#pragma once

#include "trefoilhoist/claims/claim.h"

#include <cstddef>
#include <vector>

namespace Trefoilhoist {

/// Entries that hold a key's claim, at most.
inline constexpr std::size_t maxClaimHolders = 4;

/// The holders of a key: the first maxClaimHolders of `entries` in rendezvous order. `entries` are all entries by
/// the settings, whether they can be reached or not: liveness is no part of the choice.
[[nodiscard]] std::vector<EntryId> claimHolders(const ClaimKey &key, std::vector<EntryId> entries);

/// Grants that a claim needs: a majority of its holders. Any two majorities of one list of entries share a holder,
/// and so do majorities of two lists where one has one entry more.
[[nodiscard]] constexpr std::size_t claimQuorum(std::size_t holders)
{
    return holders / 2 + 1;
}

} // namespace Trefoilhoist
