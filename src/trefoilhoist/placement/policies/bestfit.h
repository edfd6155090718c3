#pragma once

#include "trefoilhoist/placement/policies/decisioncontext.h"

#include <optional>

namespace Trefoilhoist::Detail {

/// What crowding counts beside free room left.
constexpr double spreadWeight = 3.0;

/// Free room left on the host after the task, as a part of its room; the mean over the resources it has.
[[nodiscard]] double leftoverShare(const Host &host, const Resources &reserve);
/// Crowding of the job's tasks in the host's rack and availability zone, 0 to 1.
[[nodiscard]] double spreadPenalty(const HostTable &table, const Job &job, const Host &host);

/// Baseline: the worker that the task fills best, blind to interference.
class BestFit
{
public:
    /// A host's score for a task, the lowest wins; nothing when the host is refused.
    [[nodiscard]] std::optional<double> score(DecisionContext &context, const Candidate &candidate, const Host &host);
};

} // namespace Trefoilhoist::Detail
