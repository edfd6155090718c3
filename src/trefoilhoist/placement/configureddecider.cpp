#include "trefoilhoist/placement/configureddecider.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace Trefoilhoist {

namespace {

std::optional<double> numberOf(const Labels &labels, const std::string &key)
{
    const auto it = labels.find(key);
    if (it == labels.end()) {
        return std::nullopt;
    }
    const auto &text = it->second;
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = ec == std::errc() && end == text.data() + text.size();
    return whole && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

std::string textOf(const Labels &selectors, const std::string &key)
{
    const auto it = selectors.find(key);
    return it == selectors.end() ? std::string() : it->second;
}

/// Raises `weight` to the label's value; the first label replaces the fallback.
void raiseWeight(const Labels &labels, const std::string &key, double &weight, bool &found)
{
    const auto value = numberOf(labels, key);
    if (value) {
        weight = found ? std::max(weight, *value) : *value;
        found = true;
    }
}

void readServices(const ConfigTable &config, PolicyTerms &terms)
{
    bool weighed = false;
    for (const auto &object : config.all(ObjectKind::Service)) {
        auto &service = terms.services[ServiceId(object.name)];
        service.labels = object.labels;
        const double target = numberOf(object.labels, "latency-target-ms").value_or(0);
        service.latencyTarget = microseconds(static_cast<std::int64_t>(target * 1000));
        service.beside = textOf(object.selectors, "beside");
        service.yields = textOf(object.selectors, "yields");
        raiseWeight(object.labels, "tail-latency-weight", terms.weights.tailLatency, weighed);
    }
}

void readClasses(const ConfigTable &config, PolicyTerms &terms)
{
    bool throughput = false;
    bool evictions = false;
    for (const auto &object : config.all(ObjectKind::BatchClass)) {
        const double rank = numberOf(object.labels, "yield-rank").value_or(0);
        terms.classes[object.name].yieldRank = static_cast<int>(rank);
        raiseWeight(object.labels, "throughput-weight", terms.weights.throughput, throughput);
        raiseWeight(object.labels, "evictions-weight", terms.weights.evictions, evictions);
    }
}

} // namespace

PolicyTerms policyTermsFrom(const ConfigTable &config, const PolicyWeights &weights)
{
    PolicyTerms terms;
    terms.weights = weights;
    readServices(config, terms);
    readClasses(config, terms);
    for (const auto &object : config.all(ObjectKind::Team)) {
        auto &team = terms.teams[TeamId(object.name)];
        team.weight = numberOf(object.labels, "share").value_or(1.0);
        team.limit = std::min(numberOf(object.labels, "limit").value_or(1.0), 1.0);
    }
    return terms;
}

PlacementDecider configuredDecider(PlacementPolicy policy, const ConfigTable &config, const PolicyWeights &weights)
{
    struct Shared {
        PlacementPolicy policy;
        PolicyTerms terms;
        std::optional<std::uint64_t> generation;
    };
    auto shared = std::make_shared<Shared>(Shared{std::move(policy), {}, std::nullopt});
    const auto decide = [shared, &config, weights](const PolicyInput &input) {
        const auto generation = config.generation();
        if (shared->generation != generation) {
            shared->terms = policyTermsFrom(config, weights);
            shared->generation = generation;
        }
        return shared->policy.decide({input.now, input.workers, input.jobs, input.pending, &shared->terms});
    };
    return {decide, [shared](const PolicyEvent &event) {
                shared->policy.learn(event);
            }};
}

} // namespace Trefoilhoist
