#pragma once

#include "trefoilhoist/config/configtable.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist {

/// What one label or selector becomes; nothing removes it.
using LabelEdits = std::map<std::string, std::optional<std::string>>;

/// One operator's edit of one object.
struct ConfigEdit {
    ObjectKind kind = ObjectKind::Service;
    std::string name;
    LabelEdits labels;
    LabelEdits selectors;

    bool operator==(const ConfigEdit &) const = default;
};

/// An accepted edit as a segment remembers it.
struct ConfigRecord {
    /// Unique for the edit, the same on each try of its write.
    std::string writeId;
    /// The segment's version that this edit made.
    std::int64_t version = 0;
    std::string author;
    /// Milliseconds since the Unix epoch, by the author's clock; only shown.
    std::int64_t atMs = 0;
    ConfigEdit edit;
};

/// The last records that a segment keeps.
inline constexpr std::size_t configHistoryLength = 64;

/// One store value: the objects that hash to a segment, its version, and its last changes.
struct ConfigSegment {
    std::int64_t version = 0;
    std::vector<ConfigObject> objects;
    /// Oldest first; the versions are consecutive and end with `version`.
    std::vector<ConfigRecord> history;

    [[nodiscard]] const ConfigObject *find(ObjectKind kind, const std::string &name) const;
    /// Makes the edit as the next version.
    void apply(const ConfigRecord &record);

    [[nodiscard]] std::string text() const;
    /// Why the text is not a segment, for example a missing member.
    [[nodiscard]] static tl::expected<ConfigSegment, std::string> parse(const std::string &text);
};

} // namespace Trefoilhoist
