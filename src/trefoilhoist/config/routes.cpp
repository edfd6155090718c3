#include "trefoilhoist/config/routes.h"

#include <algorithm>
#include <cctype>

namespace Trefoilhoist {

namespace {

tl::expected<RoutePattern, RouteError> parseRoute(std::string_view text, std::size_t column)
{
    const auto colon = text.find(':');
    if (colon == std::string_view::npos) {
        return tl::unexpected(RouteError{column, "a route is METHOD:/path"});
    }
    const auto method = text.substr(0, colon);
    const bool upper = std::all_of(method.begin(), method.end(), [](unsigned char c) { return std::isupper(c) != 0; });
    if (method.empty() || !upper) {
        return tl::unexpected(RouteError{column, "the method is not in capital letters"});
    }
    const auto prefix = text.substr(colon + 1);
    if (prefix.empty() || prefix.front() != '/') {
        return tl::unexpected(RouteError{column + colon + 1, "the path does not begin with \"/\""});
    }
    const bool plain
        = std::all_of(prefix.begin(), prefix.end(), [](unsigned char c) { return std::isgraph(c) != 0 && c != '?'; });
    if (!plain) {
        return tl::unexpected(RouteError{column + colon + 1, "the path holds a blank or a \"?\""});
    }
    return RoutePattern{std::string(method), std::string(prefix)};
}

} // namespace

bool RoutePattern::matches(std::string_view requestMethod, std::string_view path) const
{
    if (requestMethod != method || path.substr(0, prefix.size()) != prefix) {
        return false;
    }
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

tl::expected<std::vector<RoutePattern>, RouteError> parseRoutes(std::string_view text)
{
    std::vector<RoutePattern> routes;
    std::size_t at = 0;
    while (true) {
        const auto comma = text.find(',', at);
        auto route = parseRoute(text.substr(at, comma == std::string_view::npos ? comma : comma - at), at + 1);
        if (!route) {
            return tl::unexpected(route.error());
        }
        routes.push_back(std::move(*route));
        if (comma == std::string_view::npos) {
            return routes;
        }
        at = comma + 1;
    }
}

} // namespace Trefoilhoist
