#pragma once

namespace Trefoilhoist::Trial {

/// Prints what a decision costs by number of workers, running and pending tasks, for each policy.
void printSlopes();

} // namespace Trefoilhoist::Trial
