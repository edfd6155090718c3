#pragma once

#include "trefoilhoist/world/clock.h"

#include <optional>

namespace Trefoilhoist::Jobs {

/// What is known of a task that could start now on a slower place: on another rack than its data's, or, as a member of
/// a gang that requires one rack, spread over several.
struct PlacementChoice {
    /// Expected run time on the rack.
    Duration runTime{};
    /// How long the task has waited for the rack although it could have started elsewhere.
    Duration waited{};
    /// Measured estimate of how much longer it takes until there is a place on the rack; nothing if there is none.
    std::optional<Duration> expectedWait;
    /// Time until the latest start on the rack that meets the objective; negative if that has passed.
    Duration untilLatestStart{};
    bool longRunning = false;
};

enum class PlacementVerdict {
    StartElsewhere,
    Wait,
};

/// Decides whether a task waits for a place on its rack or starts elsewhere now, where it runs several times as long.
class PlacementWait
{
public:
    /// `remoteMultiplier`: how many times as long a task runs elsewhere. With 1 or less nothing waits.
    explicit PlacementWait(double remoteMultiplier);

    [[nodiscard]] bool isEnabled() const
    {
        return m_remoteMultiplier > 1;
    }
    /// The run time that a place on the rack saves.
    [[nodiscard]] Duration gain(Duration runTime) const;
    [[nodiscard]] PlacementVerdict decide(const PlacementChoice &choice) const;

private:
    double m_remoteMultiplier;
};

} // namespace Trefoilhoist::Jobs
