#pragma once

#include "trefoilhoist/placement/policytypes.h"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Trefoilhoist {

/// Available policies for placing batch work. RandomFit and BestFit are baselines.
enum class PolicyKind { RandomFit, BestFit, InterferenceAware };

[[nodiscard]] std::string_view policyKindName(PolicyKind kind);
[[nodiscard]] std::optional<PolicyKind> policyKindFromName(std::string_view name);

struct PolicySettings;

/// Decides where batch tasks run and which of them are throttled or evicted. Performs no I/O and reads no clock.
/// Not thread-safe.
///
/// The policy only proposes actions: the cell owner checks each one against capacity and leases before it acts.
class PlacementPolicy
{
public:
    PlacementPolicy(PolicyKind kind, PolicyWeights weights, std::uint64_t seed);
    /// For tests and trials that disable parts of the policy.
    PlacementPolicy(PolicyKind kind, PolicyWeights weights, std::uint64_t seed, const PolicySettings &settings);
    ~PlacementPolicy();
    PlacementPolicy(PlacementPolicy &&) noexcept;
    PlacementPolicy &operator=(PlacementPolicy &&) noexcept;

    /// Returns the actions to take now. Reports, quarantines, failed jobs, evictions and throttles are returned once,
    /// and repeated only when they change or have had no effect. Starts are decided again in each call, so a start that
    /// was not carried out is proposed again.
    [[nodiscard]] std::vector<PolicyAction> decide(const PolicyInput &input);
    /// Queues an event; it is applied at the start of the next decision.
    void observe(const PolicyEvent &event);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Trefoilhoist
