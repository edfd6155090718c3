#include "soak/siteshape.h"

#include <algorithm>

namespace Trefoilhoist::Soak {

const std::vector<SiteShape> &siteShapes()
{
    static const std::vector<SiteShape> shapes = {
        {"blachownia-ops",
         4,
         11,
         64'000,
         6000,
         {{4.2, 1, 2, 6, 960, 640, false},
          {0.7, 2, 2, 8, 7000, 2200, false, firstRack},
          {0.05, 1, 1, 6, 400, 0, true}}},
        {"steppe-orchid",
         4,
         11,
         16'000,
         10'000,
         {{2.7, 1, 2, 6, 240, 1000, false},
          {0.9, 2, 2, 8, 1800, 1700, false, firstRack},
          {0.05, 1, 1, 6, 320, 0, true}}},
        {"small",
         2,
         4,
         16'000,
         6000,
         {{2.0, 1, 2, 4, 500, 800, false},
          {0.3, 2, 2, 4, 1800, 1700, false, firstRack},
          {0.05, 1, 1, 2, 400, 0, true}}},
    };
    return shapes;
}

std::optional<SiteShape> findSiteShape(const std::string &name)
{
    const auto &all = siteShapes();
    const auto it = std::find_if(all.begin(), all.end(), [&](const auto &shape) { return shape.name == name; });
    return it == all.end() ? std::nullopt : std::optional(*it);
}

} // namespace Trefoilhoist::Soak
