#pragma once

#include "trefoilhoist/world/resources.h"

#include <nlohmann/json.hpp>

namespace Trefoilhoist::Detail {

/// Returns an object with the keys `milliCpu`, `memoryMb` and `accelerators`. Zero values are omitted.
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

/// Reads the keys that resourcesToJson() writes. A missing key reads as zero.
[[nodiscard]] inline Resources resourcesFromJson(const nlohmann::json &json)
{
    return {json.value("milliCpu", std::int64_t{0}),
            json.value("memoryMb", std::int64_t{0}),
            json.value("accelerators", std::int64_t{0})};
}

} // namespace Trefoilhoist::Detail
