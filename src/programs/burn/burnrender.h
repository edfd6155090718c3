#pragma once

#include "burnreport.h"

#include <string>

namespace Trefoilhoist {

/// The report as a table for people.
[[nodiscard]] std::string burnText(const BurnReport &report);

/// The report as JSON.
[[nodiscard]] std::string burnJson(const BurnReport &report);

/// The report as an SVG picture: a bar per row and window on a logarithmic scale of burn rate, with the lines of
/// allowed, slow and fast burn.
[[nodiscard]] std::string burnSvg(const BurnReport &report);

} // namespace Trefoilhoist
