#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/world/world.h"

#include <cstdint>

namespace Trefoilhoist {

/// True when the left news about a minion is newer than the right: by incarnation, then leaving over announced,
/// then sequence, then gone over present. Two entries that heard the same announcement are told apart by their
/// name, so that all agree.
[[nodiscard]] bool isNewer(const Wire::MinionRecord &left, const Wire::MinionRecord &right);

/// A hash over everything but the age, equal in every process.
[[nodiscard]] std::uint64_t recordHash(const Wire::MinionRecord &record);

[[nodiscard]] Wire::MinionRecord recordOf(const Minion &minion, std::int64_t sequence, const EntryId &owner);
[[nodiscard]] Minion minionOf(const Wire::MinionRecord &record);

/// True when both say the same of where the minion is and what it takes.
[[nodiscard]] bool sameContent(const Wire::MinionRecord &left, const Wire::MinionRecord &right);

} // namespace Trefoilhoist
