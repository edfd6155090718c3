#pragma once

#include "trefoilhoist/placement/policies/decisioncontext.h"

#include <optional>
#include <random>

namespace Trefoilhoist::Detail {

/// Baseline: any worker with room.
class RandomFit
{
public:
    explicit RandomFit(std::uint64_t seed);

    /// A host's score for a task, the lowest wins; nothing when the host is refused.
    [[nodiscard]] std::optional<double> score(DecisionContext &context, const Candidate &candidate, const Host &host);

private:
    std::mt19937_64 m_random;
};

} // namespace Trefoilhoist::Detail
