#pragma once

#include "trefoilhoist/routing/internal/minionhealth.h"
#include "trefoilhoist/world/world.h"

#include <cstddef>
#include <limits>
#include <optional>

namespace Trefoilhoist::Detail {

inline constexpr std::size_t noIndex = std::numeric_limits<std::size_t>::max();

/// One minion as routing sees it.
struct MinionLoad {
    Minion minion;
    /// Takes new work, by membership.
    bool listed = false;
    /// The incarnation that said it is leaving, by its own refusal.
    std::optional<std::int64_t> leavingIncarnation;
    /// Requests in flight from this entry, and from the peers as they last said.
    int ownInFlight = 0;
    int peerInFlight = 0;
    /// Slots that are this entry's own when slots are shared out evenly.
    int share = 0;
    /// Slots that this entry uses by experience: grows with answers while all of it is used, shrinks with refusals,
    /// never below the share.
    double limit = 0;
    int connectionLimit = 0;
    /// No work before this time: it refused, or no connection could be made.
    TimePoint pausedUntil{};
    MinionHealth health;

    /// Places in the pool's lists of minions with room.
    std::size_t availableIndex = noIndex;
    std::size_t localIndex = noIndex;
    /// Free slots as counted in the pool's sum.
    int countedFreeSlots = 0;

    [[nodiscard]] int totalInFlight() const
    {
        return ownInFlight + peerInFlight;
    }
};

} // namespace Trefoilhoist::Detail
