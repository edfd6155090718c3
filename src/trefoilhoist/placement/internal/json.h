#pragma once

#include "trefoilhoist/world/resources.h"

#include <nlohmann/json.hpp>

namespace Trefoilhoist::Detail {

/// Writes `milliCpu`, `memoryMb` and `accelerators`; a zero is left out.
[[nodiscard]] inline nlohmann::json resourcesToJson(const Resources &resources)
{
    nlohmann::json json = nlohmann::json::object();
    const auto put = [&json](const char *key, std::int64_t value) {
        if (value != 0) {
            json[key] = value;
        }
    };
    put("milliCpu", resources.milliCpu);
    put("memoryMb", resources.memoryMb);
    put("accelerators", resources.accelerators);
    return json;
}

[[nodiscard]] inline Resources resourcesFromJson(const nlohmann::json &json)
{
    return {json.value("milliCpu", std::int64_t{0}),
            json.value("memoryMb", std::int64_t{0}),
            json.value("accelerators", std::int64_t{0})};
}

} // namespace Trefoilhoist::Detail
