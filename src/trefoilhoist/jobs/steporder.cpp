#include "trefoilhoist/jobs/steporder.h"

#include <tuple>

namespace Trefoilhoist::Jobs {

namespace {

/// Compares two ranks by one order.
struct RankComparison {
    const StepRank &a;
    const StepRank &b;
    TimePoint now;

    bool operator()(const EarliestDeadlineFirst & /*order*/) const
    {
        const auto key = [&](const StepRank &it) {
            return std::tuple(
                !it.longRunning, it.worthlessAfter < now, it.usesIdleCpu, it.latestStart < now, it.latestStart);
        };
        return key(a) < key(b);
    }

    bool operator()(const LeastWorkFirst & /*order*/) const
    {
        const auto key = [&](const StepRank &it) {
            const bool neverRun = it.longRunning && !it.hasRun;
            const double work = it.longRunning ? 0 : it.remainingWork;
            return std::tuple(!it.longRunning,
                              neverRun,
                              it.worthlessAfter < now,
                              it.usesIdleCpu,
                              it.latestStart < now,
                              work,
                              it.latestStart);
        };
        return key(a) < key(b);
    }
};

} // namespace

std::optional<StepOrder> stepOrderOf(std::string_view name)
{
    if (name == stepOrderNames[0]) {
        return EarliestDeadlineFirst{};
    }
    if (name == stepOrderNames[1]) {
        return LeastWorkFirst{};
    }
    return std::nullopt;
}

bool comesBefore(const StepOrder &order, const StepRank &a, const StepRank &b, TimePoint now)
{
    return std::visit(RankComparison{a, b, now}, order);
}

} // namespace Trefoilhoist::Jobs
