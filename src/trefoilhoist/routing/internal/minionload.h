#pragma once

#include "trefoilhoist/routing/internal/minionhealth.h"
#include "trefoilhoist/world/world.h"

#include <cstddef>
#include <limits>
#include <optional>

namespace Trefoilhoist::Detail {

inline constexpr std::size_t notListed = std::numeric_limits<std::size_t>::max();

/// One minion as routing sees it.
struct MinionLoad {
    Minion minion;
    /// Takes new work, by membership.
    bool listed = false;
    /// The incarnation that said it is leaving, by its own refusal.
    std::optional<std::int64_t> leftIncarnation;
    /// Requests in flight from this entry, and from the peers as they last said.
    int own = 0;
    int peers = 0;
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
    std::size_t roomAt = notListed;
    std::size_t localAt = notListed;
    /// Free slots as counted in the pool's sum.
    int countedFree = 0;

    [[nodiscard]] int total() const
    {
        return own + peers;
    }
};

} // namespace Trefoilhoist::Detail
