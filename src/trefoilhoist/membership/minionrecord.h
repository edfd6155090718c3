#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/world/world.h"

#include <cstdint>

namespace Trefoilhoist {

/// Returns true if the left record of a minion is newer than the right one. Records are ordered by incarnation, then
/// leaving, then sequence, then gone. If two entries received the same announcement, the owner's name breaks the tie
/// so that all entries agree.
[[nodiscard]] bool isNewer(const Wire::MinionRecord &left, const Wire::MinionRecord &right);

/// Returns a hash of the record that is equal in every process. It excludes `ageMs` and `gone`.
[[nodiscard]] std::uint64_t recordHash(const Wire::MinionRecord &record);

[[nodiscard]] Wire::MinionRecord recordOf(const Minion &minion, std::int64_t sequence, const EntryId &owner);
[[nodiscard]] Minion minionOf(const Wire::MinionRecord &record);

/// Returns true if the records are equal except for sequence, owner and age.
[[nodiscard]] bool sameContent(const Wire::MinionRecord &left, const Wire::MinionRecord &right);

} // namespace Trefoilhoist
