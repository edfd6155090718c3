#pragma once

#include "trefoilhoist/placement/policies/decisioncontext.h"

#include <optional>
#include <random>

namespace Trefoilhoist::Detail {

/// Baseline: any worker with enough free capacity.
class RandomFit
{
public:
    explicit RandomFit(std::uint64_t seed);

    /// Returns the host's score for a task, lower is better; nothing if the host is not acceptable.
    [[nodiscard]] std::optional<double> score(DecisionContext &context, const Candidate &candidate, const Host &host);

private:
    std::mt19937_64 m_random;
};

} // namespace Trefoilhoist::Detail
