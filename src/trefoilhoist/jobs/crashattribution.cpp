#include "trefoilhoist/jobs/crashattribution.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// Likelihood that a task without earlier crashes is the cause, relative to `machineFailure`.
constexpr double unknownTask = 0.05;
/// Likelihood that the machine failed by itself.
constexpr double machineFailure = 0.03;
/// Age at which a run is half as likely to be the cause as one that has just started.
constexpr Duration startupTime = milliseconds(50);
/// A run of any age can be the cause.
constexpr double minRecency = 0.05;
/// Runs that are less likely than the likeliest one by this factor have no part.
constexpr double minRelativeLikelihood = 0.2;

double likelihoodOf(const CrashSuspect &suspect)
{
    const auto age = std::max(suspect.age, Duration{});
    const double recency = static_cast<double>(startupTime.count()) / static_cast<double>((startupTime + age).count());
    return (unknownTask + suspect.blame) * std::max(recency, minRecency);
}

} // namespace

std::vector<double> attributeCrash(const std::vector<CrashSuspect> &suspects)
{
    std::vector<double> parts;
    parts.reserve(suspects.size());
    double sum = machineFailure;
    double highest = 0;
    for (const auto &it : suspects) {
        parts.push_back(likelihoodOf(it));
        sum += parts.back();
        highest = std::max(highest, parts.back());
    }
    for (auto &it : parts) {
        it = it < minRelativeLikelihood * highest ? 0 : it / sum;
    }
    return parts;
}

} // namespace Trefoilhoist::Jobs
