#pragma once

#include <string>
#include <vector>

namespace Trefoilhoist::Tools {

/// Costs of the tables with a number of announced minions.
struct SlopePoint {
    int minions = 0;
    double membershipBytes = 0;
    double routerBytes = 0;
    /// Processor microseconds.
    double heartbeatUs = 0;
    double expireUs = 0;
    double digestUs = 0;
    double setMinionsUs = 0;
    double requestUs = 0;
};

/// Fills the tables with `minions` minions and measures them.
[[nodiscard]] SlopePoint measureSlope(int minions);

[[nodiscard]] std::string slopeTable(const std::vector<SlopePoint> &points);

} // namespace Trefoilhoist::Tools
