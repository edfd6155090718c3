#pragma once

#include "trefoilhoist/routing/router.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Trefoilhoist::Tools {

/// What goes wrong in a trial, a third of the way in.
enum class TrialFault { None, SlowMinion, EntryKilled, ZoneCut };

[[nodiscard]] std::string_view trialFaultName(TrialFault fault);

/// One trial: entries with real routers, small fakes of minions, a paused clock.
struct TrialSettings {
    RouterSettings router;
    /// Offered requests as a share of the minions' capacity.
    double load = 0.8;
    TrialFault fault = TrialFault::None;
    std::uint64_t seed = 1;
    int entries = 4;
    int zones = 4;
    int minions = 11;
    int slots = 8;
    int callers = 10;
    /// The first caller sends this many times its share, on top of the load of the others.
    double bigCaller = 1;
    bool hedging = false;
    double idempotentShare = 0.8;
    double medianServiceMs = 8;
    /// Spread of the log-normal service time.
    double sigma = 1.0;
    Duration deadline = seconds(1);
    Duration gossip = milliseconds(50);
    Duration warmUp = seconds(1);
    Duration length = seconds(6);
};

/// What came out of one trial, over the requests that arrived after the warm-up.
struct TrialResult {
    std::int64_t requests = 0;
    std::int64_t answered = 0;
    /// Refused as not run.
    std::int64_t refused = 0;
    /// No answer; may have run.
    std::int64_t lost = 0;
    std::int64_t attempts = 0;
    /// Attempts that a minion refused because all its slots were taken.
    std::int64_t overshoot = 0;
    std::int64_t hedges = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    /// p99 of all callers but the first.
    double othersP99Ms = 0;
    std::int64_t othersRefused = 0;
    std::int64_t othersRequests = 0;
};

[[nodiscard]] TrialResult runTrial(const TrialSettings &settings);

} // namespace Trefoilhoist::Tools
