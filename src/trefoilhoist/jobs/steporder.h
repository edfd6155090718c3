#pragma once

#include "trefoilhoist/world/clock.h"

#include <array>
#include <optional>
#include <string_view>
#include <variant>

namespace Trefoilhoist::Jobs {

/// What decides when a step with tasks to start has its turn.
struct StepRank {
    /// If the step starts later than this, the occurrence can't meet its latency objective.
    TimePoint latestStart;
    /// If the step starts later than this, the result of the occurrence is worthless.
    TimePoint worthlessAfter;
    bool longRunning = false;
    /// Some tasks of the step have run before.
    bool hasRun = false;
    bool usesIdleCpu = false;
    /// Of the whole occurrence, in core-seconds.
    double remainingWork = 0;
};

/// Among steps that can still meet their objective, those with the earliest latest start come first. Optimal while all
/// can be in time.
struct EarliestDeadlineFirst {
};

/// Among steps that can still meet their objective, those of the smallest job come first, which keeps most callers in
/// time when not all can be. Long-running steps that have run before come before those that have not, as they serve
/// users already. Intended for bursts of one kind of job.
struct LeastWorkFirst {
};

/// The order in which steps take the capacity that is free.
using StepOrder = std::variant<EarliestDeadlineFirst, LeastWorkFirst>;

/// Names of the alternatives of StepOrder in settings.
inline constexpr std::array<std::string_view, 2> stepOrderNames = {"deadline", "least-work"};

/// Nothing for an unknown name.
[[nodiscard]] std::optional<StepOrder> stepOrderOf(std::string_view name);

/// True if a step of rank `a` comes before one of rank `b`.
///
/// In each order long-running tasks come first, because they serve users now. Then come steps whose result still has a
/// value, short ones before best-effort ones; among each, those that can still meet their objective before others.
[[nodiscard]] bool comesBefore(const StepOrder &order, const StepRank &a, const StepRank &b, TimePoint now);

} // namespace Trefoilhoist::Jobs
