#include "trefoilhoist/claims/claimholders.h"

#include <xxhash.h>

#include <algorithm>

namespace Trefoilhoist {

std::vector<EntryId> claimHolders(const ClaimKey &key, std::vector<EntryId> entries)
{
    const auto text = key.str();
    const auto weightOf = [&](const EntryId &entry) {
        const auto seed = XXH3_64bits(entry.str().data(), entry.str().size());
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    };
    std::sort(entries.begin(), entries.end());
    entries.erase(std::unique(entries.begin(), entries.end()), entries.end());
    std::stable_sort(entries.begin(), entries.end(), [&](const EntryId &left, const EntryId &right) {
        return weightOf(left) > weightOf(right);
    });
    if (entries.size() > maxClaimHolders) {
        entries.resize(maxClaimHolders);
    }
    return entries;
}

} // namespace Trefoilhoist
