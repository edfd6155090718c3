#pragma once

#include "idl/gen/messages_types.h"

#include <optional>
#include <string>

namespace Trefoilhoist::Wire {

/// Writes a generated struct in Thrift's compact protocol.
template <typename Message>
[[nodiscard]] std::string encode(const Message &message);

/// Reads a generated struct; nothing when the bytes are not one.
template <typename Message>
[[nodiscard]] std::optional<Message> decode(const std::string &bytes);

} // namespace Trefoilhoist::Wire
