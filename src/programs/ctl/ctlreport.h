#pragma once

#include "ctloptions.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Trefoilhoist::Ctl {

// Exit codes besides those of all programs.
inline constexpr int exitRefused = 3;
inline constexpr int exitUnresolved = 4;

/// What a command prints: rows of the same fields, as a table or as JSON.
struct Report {
    int code = 0;
    /// An array of objects, or one object.
    nlohmann::ordered_json json;
    /// Printed on standard error.
    std::string problem;
};

/// A report of a failure, with nothing but its problem.
[[nodiscard]] Report problemReport(int code, std::string problem);

/// A report of success with rows to be added.
[[nodiscard]] Report rowsReport();

/// "service/counter".
[[nodiscard]] std::string objectText(ObjectKind kind, const std::string &name);
/// The labels and selectors of an edit; null for a removed one.
[[nodiscard]] nlohmann::ordered_json editsJson(const ConfigEdit &edit);
/// An accepted change as it is shown.
[[nodiscard]] nlohmann::ordered_json recordJson(const ConfigRecord &record);

/// Prints the report and returns its exit code.
int print(const Report &report, bool asJson);

} // namespace Trefoilhoist::Ctl
