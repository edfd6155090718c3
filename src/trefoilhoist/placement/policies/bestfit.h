#pragma once

#include "trefoilhoist/placement/policies/decisioncontext.h"

#include <optional>

namespace Trefoilhoist::Detail {

/// Weight of spreadPenalty() relative to leftoverShare().
constexpr double spreadWeight = 3.0;

/// Share of the host's batch capacity that stays free after the task is placed, averaged over the host's resources.
[[nodiscard]] double leftoverShare(const Host &host, const Resources &reserve);
/// How concentrated the job's tasks are in the host's rack and availability zone, 0 to 1.
[[nodiscard]] double spreadPenalty(const HostTable &table, const Job &job, const Host &host);

/// Baseline: prefers the worker on which the least batch capacity stays free after the task is placed; ignores
/// interference.
class BestFit
{
public:
    /// Returns the host's score for a task, lower is better; nothing if the host is not acceptable.
    [[nodiscard]] std::optional<double> score(DecisionContext &context, const Candidate &candidate, const Host &host);
};

} // namespace Trefoilhoist::Detail
