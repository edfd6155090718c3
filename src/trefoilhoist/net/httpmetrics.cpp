#include "trefoilhoist/net/httpmetrics.h"

namespace Trefoilhoist {

void showRefusals(MetricsRegistry &metrics, const std::string &port, const HttpServer &server)
{
    const auto counts = server.refusals();
    const Labels labels{{"port", port}};
    metrics.gauge("trefoilhoist_http_connections_closed", labels).set(static_cast<double>(counts.connectionsClosed));
    metrics.gauge("trefoilhoist_http_connections_refused", labels).set(static_cast<double>(counts.connectionsRefused));
    metrics.gauge("trefoilhoist_http_requests_refused", labels).set(static_cast<double>(counts.requestsRefused));
}

} // namespace Trefoilhoist
