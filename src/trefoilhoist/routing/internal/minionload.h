#pragma once

#include "trefoilhoist/routing/internal/minionhealth.h"
#include "trefoilhoist/world/world.h"

#include <cstddef>
#include <limits>
#include <optional>

namespace Trefoilhoist::Detail {

inline constexpr std::size_t noIndex = std::numeric_limits<std::size_t>::max();

/// The routing state of one minion.
struct MinionLoad {
    Minion minion;
    /// In the current list of minions that accept requests.
    bool listed = false;
    /// The incarnation that refused a request because it is leaving.
    std::optional<std::int64_t> leavingIncarnation;
    /// Requests in flight from this entry, and from the peer entries according to their latest reports.
    int ownInFlight = 0;
    int peerInFlight = 0;
    /// This entry's slots when all slots are divided evenly between the entries.
    int share = 0;
    /// Adaptive limit on this entry's requests in flight: grows with answers while it is fully used, shrinks with
    /// refusals, and is never below the share.
    double limit = 0;
    int connectionLimit = 0;
    /// No requests before this time, because the minion refused one or was unreachable.
    TimePoint pausedUntil{};
    MinionHealth health;

    /// Indexes in the pool's lists of available minions.
    std::size_t availableIndex = noIndex;
    std::size_t localIndex = noIndex;
    /// This minion's free slots as included in the pool's sum.
    int countedFreeSlots = 0;

    [[nodiscard]] int totalInFlight() const
    {
        return ownInFlight + peerInFlight;
    }
};

} // namespace Trefoilhoist::Detail
