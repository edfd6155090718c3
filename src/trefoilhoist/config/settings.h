#pragma once

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <string>

namespace Trefoilhoist {

/// A settings file that can't be used: the file, the place in it (a JSON pointer) and the reason.
struct SettingsError {
    std::string file;
    std::string place;
    std::string reason;

    [[nodiscard]] std::string str() const;
};

/// Reads a JSON file with comments and checks it against a JSON schema text; unknown keys are errors.
[[nodiscard]] tl::expected<nlohmann::json, SettingsError> loadSettings(const std::string &file,
                                                                       const std::string &schema);

/// Checks a settings text; `file` is only for messages.
[[nodiscard]] tl::expected<nlohmann::json, SettingsError>
checkSettings(const std::string &text, const std::string &schema, const std::string &file);

} // namespace Trefoilhoist
