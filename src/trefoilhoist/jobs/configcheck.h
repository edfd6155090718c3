#pragma once

#include "trefoilhoist/jobs/configdocument.h"
#include "trefoilhoist/jobs/jobtypes.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace Trefoilhoist::Jobs {

/// The most severe comes first.
enum class FindingSeverity { Error, Warning, Note };

inline constexpr std::array<std::string_view, 3> findingSeverityNames = {"error", "warning", "note"};

[[nodiscard]] constexpr std::string_view severityName(FindingSeverity severity)
{
    return nameAt(findingSeverityNames, static_cast<std::size_t>(severity));
}

struct ConfigFinding {
    FindingSeverity severity = FindingSeverity::Note;
    /// JSON pointer of the entry; "/" for the whole document. A removed entry is that of the version in force.
    std::string path;
    std::string text;
};

/// Errors, routes that never match and contradictory limits of a configuration, and its differences from `inForce`
/// unless that is null; sorted by severity. Services and differences are checked only if all entries are readable.
[[nodiscard]] std::vector<ConfigFinding> checkConfiguration(const ConfigDocument &document,
                                                            const ConfigDocument *inForce);

} // namespace Trefoilhoist::Jobs
