#include "trefoilhoist/routing/internal/policy.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Trefoilhoist {

namespace {

constexpr std::array<std::pair<RoutingPolicy, std::string_view>, 3> policyNames{{
    {RoutingPolicy::LeastInFlight, "least-in-flight"},
    {RoutingPolicy::PowerOfTwo, "power-of-two"},
    {RoutingPolicy::FairShare, "fair-share"},
}};

} // namespace

std::string_view routingPolicyName(RoutingPolicy policy)
{
    const auto *const it
        = std::find_if(policyNames.begin(), policyNames.end(), [&](const auto &row) { return row.first == policy; });
    return it == policyNames.end() ? "unknown" : it->second;
}

std::optional<RoutingPolicy> routingPolicyFromName(std::string_view name)
{
    const auto *const it
        = std::find_if(policyNames.begin(), policyNames.end(), [&](const auto &row) { return row.second == name; });
    return it == policyNames.end() ? std::nullopt : std::optional(it->first);
}

namespace Detail {

namespace {

/// Each consecutive error counts like a request in flight, up to this many: a failing minion holds few requests and
/// would otherwise attract more.
constexpr int maxPenalty = 8;

int penalty(const MinionLoad &load)
{
    return std::min(load.health.consecutiveErrors(), maxPenalty);
}

template <typename Policy>
MinionLoad *pickOfTwo(const MinionList &list, std::mt19937_64 &random)
{
    auto *const first = list[random() % list.size()];
    auto *const second = list[random() % list.size()];
    return Policy::score(*second) < Policy::score(*first) ? second : first;
}

} // namespace

bool LeastInFlight::hasCapacity(const MinionLoad &load)
{
    return load.ownInFlight < load.minion.slots;
}

int LeastInFlight::score(const MinionLoad &load)
{
    return load.ownInFlight + penalty(load);
}

MinionLoad *LeastInFlight::pick(const MinionList &list, std::mt19937_64 &random)
{
    // A random start distributes ties.
    const auto start = random() % list.size();
    auto *best = list[start];
    for (std::size_t n = 1; n < list.size(); ++n) {
        auto *const load = list[(start + n) % list.size()];
        if (score(*load) < score(*best)) {
            best = load;
        }
    }
    return best;
}

bool PowerOfTwo::hasCapacity(const MinionLoad &load)
{
    return load.totalInFlight() < load.minion.slots;
}

int PowerOfTwo::score(const MinionLoad &load)
{
    return load.totalInFlight() + penalty(load);
}

MinionLoad *PowerOfTwo::pick(const MinionList &list, std::mt19937_64 &random)
{
    return pickOfTwo<PowerOfTwo>(list, random);
}

bool FairShare::hasCapacity(const MinionLoad &load)
{
    return load.ownInFlight < load.minion.slots && load.ownInFlight < static_cast<int>(load.limit);
}

int FairShare::score(const MinionLoad &load)
{
    // A minion on which this entry has used up its share ranks after all others.
    const int borrowPenalty = load.ownInFlight >= load.share ? load.minion.slots : 0;
    return load.totalInFlight() + borrowPenalty + penalty(load);
}

MinionLoad *FairShare::pick(const MinionList &list, std::mt19937_64 &random)
{
    return pickOfTwo<FairShare>(list, random);
}

Policy makePolicy(RoutingPolicy policy)
{
    switch (policy) {
    case RoutingPolicy::LeastInFlight:
        return LeastInFlight{};
    case RoutingPolicy::PowerOfTwo:
        return PowerOfTwo{};
    case RoutingPolicy::FairShare:
        return FairShare{};
    }
    return PowerOfTwo{};
}

} // namespace Detail

} // namespace Trefoilhoist
