#pragma once

#include "trefoilhoist/membership/membershiptable.h"

#include <tl/expected.hpp>

#include <string>

namespace Trefoilhoist {

/// Parses the JSON body of a minion's announcement. An error names the invalid field and the reason.
[[nodiscard]] tl::expected<Announcement, std::string> announcementFromJson(const std::string &body);

/// Returns the records of the known minions as a JSON array.
[[nodiscard]] std::string minionsToJson(const std::vector<Wire::MinionRecord> &records);

} // namespace Trefoilhoist
