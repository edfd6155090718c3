#pragma once

#include "trefoilhoist/net/program.h"

#include <cstddef>
#include <string>

namespace Trefoilhoist {

/// The endpoint that the setting at `place`, a JSON pointer, spells; ends the start with a clear error when it can't be
/// read.
[[nodiscard]] Endpoint endpointFromSetting(const Runtime &runtime, const std::string &place, const std::string &text);
/// The endpoint of a required setting.
[[nodiscard]] Endpoint endpointAt(const Runtime &runtime, const std::string &key);
/// Port 0 when the setting is missing or empty.
[[nodiscard]] Endpoint optionalEndpointAt(const Runtime &runtime, const std::string &key);
[[nodiscard]] Duration millisAt(const Runtime &runtime, const std::string &key, Duration fallback);
/// A setting in megabytes, in bytes.
[[nodiscard]] std::size_t megabytesAt(const Runtime &runtime, const std::string &key, std::size_t fallbackBytes);

/// Sends the process's events to standard output.
void openEventLog(Runtime &runtime);

} // namespace Trefoilhoist
