#pragma once

#include "trefoilhoist/membership/membershiptable.h"

#include <tl/expected.hpp>

#include <string>

namespace Trefoilhoist {

/// Reads the JSON body of a minion's announcement; the error names the field and what is wrong with it.
[[nodiscard]] tl::expected<Announcement, std::string> announcementFromJson(const std::string &body);

/// The minions that an entry knows, as a JSON array.
[[nodiscard]] std::string minionsToJson(const std::vector<Wire::MinionRecord> &records);

} // namespace Trefoilhoist
