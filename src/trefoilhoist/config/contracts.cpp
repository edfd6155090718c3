#include "trefoilhoist/config/contracts.h"

#include <charconv>
#include <optional>

namespace Trefoilhoist {

namespace {

constexpr double defaultLatencyTargetMs = 500;
constexpr double usPerMs = 1000;

std::optional<double> numberLabel(const ConfigObject &object, const char *key)
{
    const auto it = object.labels.find(key);
    if (it == object.labels.end()) {
        return std::nullopt;
    }
    const auto &text = it->second;
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

double shareLabel(const ConfigObject &object, const char *key, double fallback)
{
    const auto value = numberLabel(object, key);
    return value && *value > 0 && *value < 1 ? *value : fallback;
}

} // namespace

Contract contractFromLabels(const ConfigObject &service)
{
    Contract contract;
    contract.service = ServiceId(service.name);
    const double targetMs = numberLabel(service, "latency-target-ms").value_or(defaultLatencyTargetMs);
    contract.latencyTarget
        = Duration(static_cast<std::int64_t>((targetMs > 0 ? targetMs : defaultLatencyTargetMs) * usPerMs));
    contract.latencyObjective = shareLabel(service, "latency-objective", contract.latencyObjective);
    contract.answerObjective = shareLabel(service, "answer-objective", contract.answerObjective);
    return contract;
}

} // namespace Trefoilhoist
