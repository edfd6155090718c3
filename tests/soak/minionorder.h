// What a soak tells a minion's process.
#pragma once

#include "review/standins/minion.h"

namespace Trefoilhoist::Soak {

enum class MinionOrderKind {
    /// Calls are executed at once and answered after `value` milliseconds.
    AnswerDelay,
    /// The minion's host is about to be suspended; 0 once it goes on.
    Suspends,
    /// `value` of a hundred calls get no answer and are executed seconds later.
    LatePercent,
    /// The minion leaves; `value` is from departureValue().
    Leave
};

/// An order, which travels as the number of a signal.
struct MinionOrder {
    MinionOrderKind kind = MinionOrderKind::AnswerDelay;
    int value = 0;

    static constexpr int values = 1'000'000;

    [[nodiscard]] int number() const
    {
        return static_cast<int>(kind) * values + value;
    }
    [[nodiscard]] static MinionOrder from(int number)
    {
        return {static_cast<MinionOrderKind>(number / values), number % values};
    }
};

/// The times of a departure are rounded down to this.
inline constexpr int departureUnitMs = 100;
/// No time of a departure has this many units.
inline constexpr int departureUnits = 100;

[[nodiscard]] inline int departureValue(const Review::Departure &departure)
{
    return static_cast<int>(departure.unansweredMs / departureUnitMs * departureUnits
                            + departure.closedMs / departureUnitMs);
}

[[nodiscard]] inline Review::Departure departureFrom(int value)
{
    Review::Departure departure;
    departure.unansweredMs = std::int64_t{value / departureUnits} * departureUnitMs;
    departure.closedMs = std::int64_t{value % departureUnits} * departureUnitMs;
    return departure;
}

} // namespace Trefoilhoist::Soak
