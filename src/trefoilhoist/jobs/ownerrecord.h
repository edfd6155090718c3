#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/store/recordstore.h"
#include "trefoilhoist/world/world.h"

#include <optional>
#include <string>

namespace Trefoilhoist::Jobs {

/// The highest epoch that fencing tokens have room for.
inline constexpr std::int64_t maxEpoch = std::int64_t{1} << 28U;

/// True if the epoch is one that an owner can have.
[[nodiscard]] bool isValid(const Wire::OwnerRecord &owner);
/// Reads the record of an owner, an epoch or a dispatcher. One that can't be read is logged.
[[nodiscard]] std::optional<Wire::OwnerRecord> readOwnerRecord(const StoredRecord &record);

/// The address of a process in a record; nothing if the port is out of range.
[[nodiscard]] std::optional<Endpoint> endpointOf(const std::string &host, std::int32_t port);

} // namespace Trefoilhoist::Jobs
