#pragma once

#include "trefoilhoist/world/clock.h"

#include <vector>

namespace Trefoilhoist::Jobs {

/// A run that may have been executing on a worker when it crashed.
struct CrashSuspect {
    /// Time from the start of the run to the crash.
    Duration age{};
    /// Sum of the parts of the run's task in earlier crashes at a similar age.
    double blame = 0;
};

/// Estimates which of the runs caused the crash of a worker. Returns for each its part in the cause, from 0 to 1, in
/// the order of the suspects. The parts add up to less than 1, because the machine may have failed by itself.
///
/// A run that has just started is more likely to be the cause than one that has worked for long, and a task under
/// which workers have crashed before more likely than others. The part is 0 for a run that is far less likely to be the
/// cause than another one.
[[nodiscard]] std::vector<double> attributeCrash(const std::vector<CrashSuspect> &suspects);

} // namespace Trefoilhoist::Jobs
