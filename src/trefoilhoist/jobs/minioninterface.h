#pragma once

#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/world/clock.h"
#include "trefoilhoist/world/world.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// What a minion says of itself from time to time.
struct MinionHeartbeat {
    Wire::WorkerDescription worker;
    /// Where the minion takes orders.
    Endpoint endpoint;
    bool draining = false;
    /// Rises with each heartbeat of one life.
    std::int64_t sequence = 0;
};

/// All that runs on a minion and has ended there, at one moment.
struct MinionListing {
    /// Unix milliseconds of the start of the minion's process; 0 when it did not say.
    std::int64_t startedAtMs = 0;
    /// The minion's own clock.
    std::int64_t clockMs = 0;
    std::vector<Wire::RunningTask> running;
    std::vector<Wire::EndedTask> ended;
};

/// The minion that orders are meant for.
struct MinionTarget {
    Endpoint endpoint;
    std::string id;
    /// Orders of an older fencing token are ignored by the minion.
    std::int64_t fencingToken = 0;
};

struct MinionError {
    std::string reason;
    /// Nothing listens at its address.
    bool notRunning = false;
};

/// An order's result, and the minion's clock when it said so (0 when unknown).
struct OrderAnswer {
    OrderResult result = OrderResult::Unknown;
    std::int64_t clockMs = 0;
    std::string reason;
};

/// Orders to the minion beside this process. Times are on the minion's clock.
class MinionInterface
{
public:
    virtual ~MinionInterface() = default;

    /// Lists all runs; waits up to `wait` for an end. Ends up to `acknowledgedEnds` are forgotten by the minion. When
    /// `holdUntilMs` is above 0, what runs may go on until then.
    virtual awaitable<tl::expected<MinionListing, MinionError>>
    list(MinionTarget target, std::int64_t acknowledgedEnds, std::int64_t holdUntilMs, Duration wait) = 0;
    /// Starts a run unless it is there already; it is refused when it arrives after `holdUntilMs`.
    virtual awaitable<OrderAnswer> start(MinionTarget target, Wire::StartOrder order, std::int64_t holdUntilMs) = 0;
    virtual awaitable<OrderAnswer> stop(MinionTarget target, Wire::StopOrder order) = 0;
    /// Lets a run work at `percent` of its speed; true when the minion said so.
    virtual awaitable<bool> throttle(MinionTarget target, Wire::TaskRef task, std::int64_t run, int percent) = 0;
};

} // namespace Trefoilhoist::Jobs
