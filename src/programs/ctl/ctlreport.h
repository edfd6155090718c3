#pragma once

#include "ctloptions.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Trefoilhoist::Ctl {

// Exit codes of this program, besides those that all programs share.
// exitUnresolved: the outcome of a write is not known, or a wait timed out.
inline constexpr int exitRefused = 3;
inline constexpr int exitUnresolved = 4;

/// The result of a command, printed as text or as JSON.
struct Report {
    /// The exit code.
    int code = 0;
    /// An array of objects with the same fields (a table as text), or one object.
    nlohmann::ordered_json json;
    /// An error message for standard error; empty if there is none.
    std::string problem;
};

/// A report of a failure with an error message and no rows.
[[nodiscard]] Report problemReport(int code, std::string problem);

/// A report of success with an empty array of rows.
[[nodiscard]] Report rowsReport();

/// The object as it is written on the command line, for example "service/counter".
[[nodiscard]] std::string objectText(ObjectKind kind, const std::string &name);
/// The labels and selectors that an edit sets; null for those that it removes.
[[nodiscard]] nlohmann::ordered_json editsJson(const ConfigEdit &edit);
/// An accepted change as the commands print it.
[[nodiscard]] nlohmann::ordered_json recordJson(const ConfigRecord &record);

/// Prints the report and returns its exit code.
int print(const Report &report, bool asJson);

} // namespace Trefoilhoist::Ctl
