#pragma once

#include "trefoilhoist/config/configtable.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Trefoilhoist {

/// What a known label's value must be.
enum class LabelType {
    /// A whole number from 0.
    Integer,
    /// A number from 0, for example "0.5".
    Number,
    /// A number from 0 to 1.
    Share,
    /// "true" or "false".
    Boolean,
    /// Routes separated by commas, for example "PUT:/lots,POST:/quotes".
    Routes,
};

[[nodiscard]] std::string_view labelTypeName(LabelType type);

/// A label that the programs read.
struct LabelKey {
    ObjectKind kind = ObjectKind::Service;
    std::string_view key;
    LabelType type = LabelType::Number;
    std::string_view meaning;
};

/// A selector that the programs read.
struct SelectorKey {
    ObjectKind kind = ObjectKind::Service;
    std::string_view key;
    std::string_view meaning;
};

[[nodiscard]] const std::vector<LabelKey> &labelKeys();
[[nodiscard]] const std::vector<SelectorKey> &selectorKeys();

/// What is wrong with a text. Columns count from 1.
struct LabelProblem {
    std::size_t column = 1;
    std::string reason;
};

/// Checks an object's name: letters, digits and "-_./".
[[nodiscard]] std::optional<LabelProblem> checkName(std::string_view name);

/// Checks a label before it is written. Keys that the programs don't read are the operators' own, but one that
/// differs from a known key by a letter or two is refused.
[[nodiscard]] std::optional<LabelProblem> checkLabel(ObjectKind kind, std::string_view key, std::string_view value);

/// Checks a selector before it is written: its key, its grammar, and whether anything can match it.
[[nodiscard]] std::optional<LabelProblem> checkSelector(ObjectKind kind, std::string_view key, const std::string &text);

} // namespace Trefoilhoist
