#pragma once

#include "trefoilhoist/placement/policytypes.h"

#include <memory>
#include <string_view>
#include <vector>

namespace Trefoilhoist {

/// Which policy places batch work. RandomFit and BestFit are baselines.
enum class PolicyKind { RandomFit, BestFit, InterferenceAware };

[[nodiscard]] std::string_view policyKindName(PolicyKind kind);
[[nodiscard]] std::optional<PolicyKind> policyKindFromName(std::string_view name);

/// How a deployment weighs the measures; read from labels.
struct PolicyWeights {
    double tailLatency = 1.0;
    double throughput = 1.0;
    double evictions = 1.0;
};

/// Decides where tasks run, which are throttled and which yield. No input or output, no clock. Not thread-safe.
///
/// The policy only proposes: the cell owner checks every action against capacity and leases before it acts.
class PlacementPolicy
{
public:
    PlacementPolicy(PolicyKind kind, PolicyWeights weights, std::uint64_t seed);
    ~PlacementPolicy();
    PlacementPolicy(PlacementPolicy &&) noexcept;
    PlacementPolicy &operator=(PlacementPolicy &&) noexcept;

    [[nodiscard]] std::vector<PolicyAction> decide(const PolicyInput &input);
    void learn(const PolicyEvent &event);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Trefoilhoist
