#include "trefoilhoist/config/contracts.h"

#include <charconv>
#include <optional>

namespace Trefoilhoist {

namespace {

constexpr double microsecondsPerMillisecond = 1000;

std::optional<double> numberOf(const Labels &labels, const std::string &key)
{
    const auto it = labels.find(key);
    if (it == labels.end()) {
        return std::nullopt;
    }
    double number = 0;
    const char *last = it->second.data() + it->second.size();
    const auto [end, ec] = std::from_chars(it->second.data(), last, number);
    return ec == std::errc() && end == last && number >= 0 ? std::optional(number) : std::nullopt;
}

} // namespace

std::vector<Contract> contractsFrom(const ConfigTable &config)
{
    std::vector<Contract> contracts;
    for (const auto &object : config.all(ObjectKind::Service)) {
        Contract contract;
        contract.service = ServiceId(object.name);
        const auto target = numberOf(object.labels, "latency-target-ms").value_or(0);
        contract.latencyTarget = Duration(static_cast<std::int64_t>(target * microsecondsPerMillisecond));
        contract.latencyObjective = numberOf(object.labels, "latency-objective").value_or(contract.latencyObjective);
        contract.answerObjective = numberOf(object.labels, "answer-objective").value_or(contract.answerObjective);
        contracts.push_back(std::move(contract));
    }
    return contracts;
}

} // namespace Trefoilhoist
