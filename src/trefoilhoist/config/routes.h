#pragma once

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Trefoilhoist {

/// Where and why a list of routes can't be read. Columns count from 1.
struct RouteError {
    std::size_t column = 1;
    std::string reason;
};

/// A method and a path prefix, for example `PUT:/lots`.
struct RoutePattern {
    std::string method;
    std::string prefix;

    /// True for the prefix itself and for paths below it.
    [[nodiscard]] bool matches(std::string_view requestMethod, std::string_view path) const;
};

/// Reads patterns separated by commas, for example `PUT:/lots,POST:/quotes`.
[[nodiscard]] tl::expected<std::vector<RoutePattern>, RouteError> parseRoutes(std::string_view text);

} // namespace Trefoilhoist
