#pragma once

#include "trefoilhoist/placement/policies/decisioncontext.h"

namespace Trefoilhoist::Detail {

/// Limits tasks that use more than their reservation. If a worker is short of processors, they are throttled to their
/// reservation; if it is short of memory, those with the largest excess are evicted.
void limitOveruse(DecisionContext &context);

} // namespace Trefoilhoist::Detail
