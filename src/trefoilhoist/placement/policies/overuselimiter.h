#pragma once

#include "trefoilhoist/placement/policies/decisioncontext.h"

namespace Trefoilhoist::Detail {

/// Answers tasks that use more than their reservation: on a worker short of processors they are throttled to it,
/// on a worker short of memory the worst is evicted.
void limitOveruse(DecisionContext &context);

} // namespace Trefoilhoist::Detail
