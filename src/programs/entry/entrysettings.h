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

/// Peer address of another entry, and its id if the settings give one.
struct PeerAddress {
    EntryId id;
    Endpoint endpoint;
};

/// Limits on a caller's request.
struct RequestLimits {
    /// Used if the caller sends no deadline.
    Duration defaultDeadline = seconds(10);
    /// Longer deadlines are reduced to this.
    Duration maxDeadline = seconds(30);
    Duration connectTimeout = milliseconds(500);
    std::size_t maxAnswerBytes = std::size_t{4} << 20U;
    /// Includes the first attempt.
    int maxAttempts = 4;
    /// Allows a second, concurrent attempt for a slow idempotent request. It counts against the retry budget.
    bool hedging = true;
};

/// Durations of the graceful stop.
struct StopTimes {
    /// How long new requests are still accepted after the health check reports unready.
    Duration grace = seconds(2);
    /// How long requests in flight may take to finish after the grace period.
    Duration drain = seconds(35);
};

/// Settings of the entry program.
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

/// Reads settings that match the schema. Throws std::invalid_argument; its text starts with the path of the setting.
[[nodiscard]] EntrySettings entrySettingsFrom(const nlohmann::json &settings);

} // namespace Trefoilhoist
