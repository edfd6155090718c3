#pragma once

#include "trefoilhoist/jobs/queuetable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Trefoilhoist::Jobs {

using ConfigValue = std::variant<bool, std::int64_t, double, std::string>;

/// A field with its name in the document. One that is missing is false, 0 or empty.
struct ConfigField {
    std::string name;
    ConfigValue value;
};

/// The fields of one object of the document.
struct ConfigEntry {
    /// JSON pointer of the object.
    std::string path;
    std::vector<ConfigField> fields;
};

struct ConfiguredRoute {
    ConfigEntry entry;
    QueueRoute queue;
};

struct ConfiguredService {
    ConfigEntry entry;
    std::string name;
};

/// Limits for callers' connections; without a value where the document has none.
struct ConfiguredLimits {
    ConfigEntry entry;
    std::optional<std::int64_t> maxHeaderBytes;
    std::optional<std::int64_t> maxBodyBytes;
    std::optional<std::int64_t> requestHeaderMs;
    std::optional<std::int64_t> idleMs;
};

/// An object of the document that can't be decoded.
struct UnreadableEntry {
    /// JSON pointer of the object.
    std::string path;
    std::string reason;
};

/// A whole configuration as operators write it.
struct ConfigDocument {
    /// 0 if it is missing.
    std::int64_t version = 0;
    std::vector<ConfiguredRoute> routes;
    std::vector<ConfiguredService> services;
    ConfiguredLimits limits;
    std::vector<UnreadableEntry> unreadable;
};

} // namespace Trefoilhoist::Jobs
