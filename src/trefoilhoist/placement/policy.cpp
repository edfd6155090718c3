#include "trefoilhoist/placement/policy.h"

#include <array>

namespace Trefoilhoist {

namespace {

using KindRow = std::pair<PolicyKind, std::string_view>;
constexpr std::array<KindRow, 3> policyKindNames{{{PolicyKind::RandomFit, "random-fit"},
                                                  {PolicyKind::BestFit, "best-fit"},
                                                  {PolicyKind::InterferenceAware, "interference-aware"}}};

} // namespace

std::string_view policyKindName(PolicyKind kind)
{
    for (const auto &[it, name] : policyKindNames) {
        if (it == kind) {
            return name;
        }
    }
    return "unknown";
}

std::optional<PolicyKind> policyKindFromName(std::string_view name)
{
    for (const auto &[kind, it] : policyKindNames) {
        if (it == name) {
            return kind;
        }
    }
    return std::nullopt;
}

struct PlacementPolicy::State {
};

PlacementPolicy::PlacementPolicy(PolicyKind /*kind*/, PolicyWeights /*weights*/, std::uint64_t /*seed*/)
    : m_state(std::make_unique<State>())
{
}

PlacementPolicy::~PlacementPolicy() = default;
PlacementPolicy::PlacementPolicy(PlacementPolicy &&) noexcept = default;
PlacementPolicy &PlacementPolicy::operator=(PlacementPolicy &&) noexcept = default;

std::vector<PolicyAction> PlacementPolicy::decide(const PolicyInput &input)
{
    std::vector<PolicyAction> actions;
    std::map<WorkerId, Resources> room;
    for (const auto &[id, view] : input.workers) {
        auto left = view.worker.capacity - view.serviceReserved - view.uncertain;
        for (const auto &it : view.running) {
            left -= it.reserved;
        }
        if (view.reachable) {
            room[id] = left;
        }
    }
    for (const auto &pending : input.pending) {
        for (auto &[id, left] : room) {
            if (fits(pending.task.declared, left)) {
                left -= pending.task.declared;
                actions.emplace_back(StartTask{pending.task.id, id, pending.task.declared});
                break;
            }
        }
    }
    return actions;
}

void PlacementPolicy::learn(const PolicyEvent & /*event*/) { }

} // namespace Trefoilhoist
