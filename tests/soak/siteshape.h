// Sizes of sites that a soak plays, and the jobs that callers submit there.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Soak {

/// The minions of a site are on these two racks by turns.
inline constexpr const char *firstRack = "r1-1";
inline constexpr const char *secondRack = "r1-2";

/// Jobs that are alike.
struct JobClass {
    double perSecond = 1;
    int minSteps = 1;
    int maxSteps = 1;
    /// Tasks of a step.
    int tasks = 1;
    std::int64_t milliCpu = 1000;
    std::int64_t taskMs = 1000;
    /// Tasks run until their job is cancelled.
    bool lasts = false;
    /// The rack of the tasks' data, if any.
    std::string rack = {};
};

struct SiteShape {
    std::string name;
    int dispatchers = 4;
    int minions = 11;
    /// Processors of a minion, in thousandths of one.
    std::int64_t milliCpu = 16'000;
    std::int64_t maxHoldMs = 6000;
    std::vector<JobClass> classes;
};

/// All sites; the first one is played unless another one is named.
[[nodiscard]] const std::vector<SiteShape> &siteShapes();
/// The site with this name, if there is one.
[[nodiscard]] std::optional<SiteShape> findSiteShape(const std::string &name);

} // namespace Trefoilhoist::Soak
