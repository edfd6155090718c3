#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Trefoilhoist {

/// RFC 4648 base64 with padding.
[[nodiscard]] std::string base64Encode(std::string_view bytes);
/// Nothing when `text` is not padded base64.
[[nodiscard]] std::optional<std::string> base64Decode(std::string_view text);

} // namespace Trefoilhoist
