#pragma once

#include "trefoilhoist/world/clock.h"

#include <cstdint>
#include <random>

namespace Trefoilhoist {

/// Waits between tries: each range is twice the last up to a limit, and the wait is drawn evenly from the upper
/// half of its range, so that callers that failed together don't return together.
class Backoff
{
public:
    Backoff(Duration first, Duration limit, std::uint64_t seed);

    /// The wait before the next try.
    [[nodiscard]] Duration next();
    /// After a success.
    void reset();

private:
    Duration m_first;
    Duration m_limit;
    Duration m_range;
    std::mt19937_64 m_random;
};

} // namespace Trefoilhoist
