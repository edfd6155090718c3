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

/// What a minion reports about itself in regular intervals.
struct MinionHeartbeat {
    Wire::WorkerDescription worker;
    /// Where the minion accepts orders.
    Endpoint endpoint;
    bool draining = false;
    /// Increases with each heartbeat of one incarnation.
    std::int64_t sequence = 0;
};

/// A row of a listing that can't be read.
struct UnreadableRow {
    /// The fields that name the run, for the log and to recognise the row in the next listing.
    std::string text;
    /// True if the row is one of the ended tasks.
    bool ended = false;
    /// The row names a task, but not as this product names its own.
    bool foreign = false;
};

/// All runs and ended tasks of a minion at one time.
struct MinionListing {
    /// Unix milliseconds of the start of the minion's process; 0 if it did not report it.
    std::int64_t startedAtMs = 0;
    /// The minion's own clock.
    std::int64_t clockMs = 0;
    std::vector<Wire::RunningTask> running;
    std::vector<Wire::EndedTask> ended;
    /// The minion may have more ended tasks than it returned.
    bool lacksEnds = false;
    std::vector<UnreadableRow> unreadableRows;
    /// The number of rows in `ended` before the first that can't be read, if there is one that isn't foreign.
    std::optional<std::size_t> endsBeforeUnreadable;
};

/// The minion to which orders are addressed.
struct MinionTarget {
    Endpoint endpoint;
    std::string id;
    /// The minion ignores orders with an older fencing token.
    std::int64_t fencingToken = 0;
};

struct MinionError {
    std::string reason;
    /// Nothing listens at the minion's address.
    bool notRunning = false;
    /// The minion has seen a higher fencing token.
    bool fenced = false;
};

/// The result of an order, and the minion's clock in milliseconds (0 if not reported).
struct OrderAnswer {
    OrderResult result = OrderResult::Unknown;
    std::int64_t clockMs = 0;
    std::string reason;
};

/// Sends orders to the minion on the same host as this process. Times are on the minion's clock.
class MinionInterface
{
public:
    virtual ~MinionInterface() = default;

    /// Lists all runs; waits up to `wait` for a task to end. The minion drops ended tasks with numbers up to
    /// `acknowledgedEnds`. If `holdUntilMs` is above 0, the minion's runs may continue until then.
    virtual awaitable<tl::expected<MinionListing, MinionError>>
    list(MinionTarget target, std::int64_t acknowledgedEnds, std::int64_t holdUntilMs, Duration wait) = 0;
    /// Starts a run unless it already exists. The minion refuses the order if it arrives after `holdUntilMs`.
    virtual awaitable<OrderAnswer> start(MinionTarget target, Wire::StartOrder order, std::int64_t holdUntilMs) = 0;
    virtual awaitable<OrderAnswer> stop(MinionTarget target, Wire::StopOrder order) = 0;
    /// Throttles a run to `percent` of its full speed; true if the minion confirmed it.
    virtual awaitable<bool> throttle(MinionTarget target, Wire::TaskRef task, std::int64_t run, int percent) = 0;
};

} // namespace Trefoilhoist::Jobs
