#include "trefoilhoist/placement/configureddecider.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace Trefoilhoist {

namespace {

std::optional<double> parseNumber(const Labels &labels, const std::string &key)
{
    const auto it = labels.find(key);
    if (it == labels.end()) {
        return std::nullopt;
    }
    const auto &text = it->second;
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = ec == std::errc() && end == text.data() + text.size();
    return isNumber && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

std::string selectorText(const Labels &selectors, const std::string &key)
{
    const auto it = selectors.find(key);
    return it == selectors.end() ? std::string() : it->second;
}

/// Raises `weight` to the label's value. The first value found replaces the default.
void raiseWeight(const Labels &labels, const std::string &key, double &weight, bool &found)
{
    const auto value = parseNumber(labels, key);
    if (value) {
        weight = found ? std::max(weight, *value) : *value;
        found = true;
    }
}

void readServices(const ConfigTable &config, PolicyConfig &policyConfig)
{
    bool hasTailWeight = false;
    for (const auto &object : config.all(ObjectKind::Service)) {
        auto &service = policyConfig.services[ServiceId(object.name)];
        service.labels = object.labels;
        const double target = parseNumber(object.labels, "latency-target-ms").value_or(0);
        service.latencyTarget = microseconds(static_cast<std::int64_t>(target * 1000));
        service.beside = selectorText(object.selectors, "beside");
        service.yields = selectorText(object.selectors, "yields");
        raiseWeight(object.labels, "tail-latency-weight", policyConfig.weights.tailLatency, hasTailWeight);
    }
}

void readClasses(const ConfigTable &config, PolicyConfig &policyConfig)
{
    bool hasThroughputWeight = false;
    bool hasEvictionsWeight = false;
    for (const auto &object : config.all(ObjectKind::BatchClass)) {
        const double rank = parseNumber(object.labels, "yield-rank").value_or(0);
        policyConfig.classes[object.name].yieldRank = static_cast<int>(rank);
        raiseWeight(object.labels, "throughput-weight", policyConfig.weights.throughput, hasThroughputWeight);
        raiseWeight(object.labels, "evictions-weight", policyConfig.weights.evictions, hasEvictionsWeight);
    }
}

} // namespace

PolicyConfig readPolicyConfig(const ConfigTable &config, const PolicyWeights &weights)
{
    PolicyConfig policyConfig;
    policyConfig.weights = weights;
    readServices(config, policyConfig);
    readClasses(config, policyConfig);
    for (const auto &object : config.all(ObjectKind::Team)) {
        auto &team = policyConfig.teams[TeamId(object.name)];
        team.weight = parseNumber(object.labels, "share").value_or(1.0);
        team.limit = std::min(parseNumber(object.labels, "limit").value_or(1.0), 1.0);
    }
    return policyConfig;
}

PlacementDecider configuredDecider(PlacementPolicy policy, const ConfigTable &config, const PolicyWeights &weights)
{
    struct Shared {
        PlacementPolicy policy;
        PolicyConfig policyConfig;
        std::optional<std::uint64_t> generation;
    };
    auto shared = std::make_shared<Shared>(Shared{std::move(policy), {}, std::nullopt});
    const auto decide = [shared, &config, weights](const PolicyInput &input) {
        const auto generation = config.generation();
        if (shared->generation != generation) {
            shared->policyConfig = readPolicyConfig(config, weights);
            shared->generation = generation;
        }
        return shared->policy.decide({input.now, input.workers, input.jobs, input.pending, &shared->policyConfig});
    };
    return {decide, [shared](const PolicyEvent &event) {
                shared->policy.observe(event);
            }};
}

} // namespace Trefoilhoist
