#pragma once

#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/net/httpserver.h"

#include <string>

namespace Trefoilhoist {

/// Shows what the server of that port has refused; call before an exposition.
void showRefusals(MetricsRegistry &metrics, const std::string &port, const HttpServer &server);

} // namespace Trefoilhoist
