#pragma once

#include "trefoilhoist/internal/rankedmutex.h"
#include "trefoilhoist/world/labels.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Trefoilhoist {

/// What operators label.
enum class ObjectKind { Service, BatchClass, Worker, Minion, Team, Caller };

[[nodiscard]] std::string_view objectKindName(ObjectKind kind);
[[nodiscard]] std::optional<ObjectKind> objectKindFromName(std::string_view name);

/// One labelled object. Selectors are texts under "where", "beside" and "yields".
struct ConfigObject {
    ObjectKind kind = ObjectKind::Service;
    std::string name;
    Labels labels;
    Labels selectors;

    bool operator==(const ConfigObject &) const = default;
};

/// Segments that objects hash to.
inline constexpr int configSegmentCount = 64;

[[nodiscard]] int configSegmentOf(ObjectKind kind, std::string_view name);

/// Mechanisms that a test switches off to see the promise break.
struct ConfigTableGuards {
    /// Ignores a version that is not above the one in force.
    bool refuseOlder = true;
};

/// The configuration in force in this process. A segment's version never goes back. Thread-safe; lock rank Config.
class ConfigTable
{
public:
    explicit ConfigTable(ConfigTableGuards guards = {});
    ~ConfigTable();
    ConfigTable(const ConfigTable &) = delete;
    ConfigTable &operator=(const ConfigTable &) = delete;

    /// Applies a segment's value as read from the store or a peer; false when it is not newer or not readable.
    bool apply(int segment, std::int64_t version, const std::string &value);

    [[nodiscard]] std::vector<std::int64_t> versions() const;
    /// The value of a segment as it was applied, for peers; nothing for a segment never applied.
    [[nodiscard]] std::optional<std::string> value(int segment) const;

    [[nodiscard]] std::optional<ConfigObject> find(ObjectKind kind, std::string_view name) const;
    [[nodiscard]] std::vector<ConfigObject> all(ObjectKind kind) const;
    /// A label's value, or `fallback`.
    [[nodiscard]] std::string
    label(ObjectKind kind, std::string_view name, std::string_view key, std::string_view fallback) const;

    /// Rises with each applied segment.
    [[nodiscard]] std::uint64_t generation() const;

private:
    struct State;

    [[nodiscard]] bool isNews(int segment, std::int64_t version, const std::string &value) const;

    ConfigTableGuards m_guards;
    mutable Detail::RankedMutex m_mutex;
    std::unique_ptr<State> m_state;
};

} // namespace Trefoilhoist
