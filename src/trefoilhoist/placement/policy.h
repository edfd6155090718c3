#pragma once

#include "trefoilhoist/placement/policytypes.h"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Trefoilhoist {

/// Which policy places batch work. RandomFit and BestFit are baselines.
enum class PolicyKind { RandomFit, BestFit, InterferenceAware };

[[nodiscard]] std::string_view policyKindName(PolicyKind kind);
[[nodiscard]] std::optional<PolicyKind> policyKindFromName(std::string_view name);

struct PolicySettings;

/// Decides where tasks run, which are throttled and which yield. No input or output, no clock. Not thread-safe.
///
/// The policy only proposes: the cell owner checks every action against capacity and leases before it acts.
class PlacementPolicy
{
public:
    PlacementPolicy(PolicyKind kind, PolicyWeights weights, std::uint64_t seed);
    /// For tests and trials that switch parts off.
    PlacementPolicy(PolicyKind kind, PolicyWeights weights, std::uint64_t seed, const PolicySettings &settings);
    ~PlacementPolicy();
    PlacementPolicy(PlacementPolicy &&) noexcept;
    PlacementPolicy &operator=(PlacementPolicy &&) noexcept;

    /// Each report, quarantine, failed job, eviction and share is told once, and again only when it changes or
    /// shows no effect; starts are decided afresh each time, so a start that was not made is proposed again.
    [[nodiscard]] std::vector<PolicyAction> decide(const PolicyInput &input);
    /// Takes effect in the next decision.
    void observe(const PolicyEvent &event);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Trefoilhoist
