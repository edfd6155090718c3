#pragma once

#include "trefoilhoist/claims/claim.h"
#include "trefoilhoist/membership/membershiptable.h"
#include "trefoilhoist/net/httpserver.h"
#include "trefoilhoist/routing/router.h"
#include "trefoilhoist/world/world.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist {

/// Another entry: its peer address, and its id where the settings name it.
struct PeerAddress {
    EntryId id;
    Endpoint endpoint;
};

/// Times of a caller's request.
struct RequestLimits {
    /// Where the caller names no deadline.
    Duration defaultDeadline = seconds(10);
    /// A longer deadline is cut to this.
    Duration maxDeadline = seconds(30);
    Duration connectTimeout = milliseconds(500);
    std::size_t maxAnswerBytes = std::size_t{4} << 20U;
    /// First attempt and retries together.
    int maxAttempts = 4;
    /// A second attempt of an idempotent request that waits unusually long, from the retry budget.
    bool hedging = true;
};

/// Times of the graceful stop.
struct StopTimes {
    /// Health says unready, and requests are still taken, for this long.
    Duration grace = seconds(2);
    /// Requests in flight get this long to finish.
    Duration drain = seconds(35);
};

/// The settings of an entry.
struct EntrySettings {
    EntryId id;
    ZoneId zone;
    Endpoint listen;
    Endpoint peerListen;
    std::vector<PeerAddress> peers;
    std::optional<Endpoint> store;
    std::string cell;
    std::vector<Endpoint> placers;
    HttpLimits http;
    RequestLimits requests;
    RouterSettings routing;
    MembershipTimes membership;
    StopTimes stop;
    ClaimSettings claims;
};

/// JSON schema of the settings file.
[[nodiscard]] const std::string &entrySettingsSchema();

/// Reads settings that match the schema. Throws std::invalid_argument that starts with the place.
[[nodiscard]] EntrySettings entrySettingsFrom(const nlohmann::json &settings);

} // namespace Trefoilhoist
