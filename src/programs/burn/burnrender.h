#pragma once

#include "burnreport.h"

#include <string>

namespace Trefoilhoist {

/// The report as a plain-text table.
[[nodiscard]] std::string burnText(const BurnReport &report);

/// The report as JSON.
[[nodiscard]] std::string burnJson(const BurnReport &report);

/// The report as an SVG bar chart: one bar for each row and window on a logarithmic scale of burn rate, with lines at
/// the allowed, slow and fast rate.
[[nodiscard]] std::string burnSvg(const BurnReport &report);

} // namespace Trefoilhoist
