#pragma once

#include "trefoilhoist/jobs/idlecpuestimate.h"
#include "trefoilhoist/jobs/interferencetable.h"
#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/jobs/workerhealth.h"
#include "trefoilhoist/world/clock.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// Resources that a run needs on its worker.
struct Demand {
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    /// CPU that a best-effort task uses while other tasks leave it idle; never reserved.
    std::int64_t idleCpuMilli = 0;

    Demand &operator+=(const Demand &other);
    Demand &operator-=(const Demand &other);
};

/// Name of an agent in the roster: HOST:PORT.
[[nodiscard]] std::string agentName(const Wire::WorkerDescription &worker);

[[nodiscard]] Demand demandOf(const Wire::StepSpec &step);

/// A task that crashes its worker at its start does so within this time, as far as the owner can observe it.
inline constexpr Duration startObservationTime = milliseconds(300);

/// State of a run, as far as the owner knows.
enum class RunState {
    /// The start order has not been sent yet or its result is pending.
    Ordered,
    /// The start order got no answer: the run may exist, may still start, or may never start.
    Unresolved,
    Running,
    /// A stop was requested; the run is over when its end is listed.
    Stopping,
};

/// A run that may be executing on a worker. It occupies capacity until it is known to be over.
struct Run {
    RunState state = RunState::Ordered;
    bool longRunning = false;
    Demand demand;
    TimePoint orderedAt;
    /// When the next order about this run is sent, if one is needed.
    TimePoint nextOrderAt;
    /// An order about this run is in flight.
    bool inFlight = false;
    /// The start order has not been sent yet, because the worker took no more starts in the plan that added the run.
    bool startDeferred = false;
    /// Only a listing with a higher number shows whether the run exists.
    std::int64_t lastListingBeforeResolution = INT64_MAX;
    /// A start order got no answer at least once, so only a stop or a listing resolves whether the run exists.
    bool mayStillStart = false;
    /// Consecutive start orders that left the run unresolved.
    int unansweredOrders = 0;
    /// The minion has acknowledged the stop: the run can no longer start.
    bool stopAcknowledged = false;
    /// The task belongs to no known job.
    bool orphaned = false;
    /// An earlier owner has started the run, so that it is not known how long it has run.
    bool adopted = false;
    std::string checkpoint;
    int percent = -1;
    /// Tail latency in milliseconds for a serving task, otherwise the used CPU in thousandths of a core.
    std::int64_t usage = 0;
    std::string image;
    /// The image's number in the owner's interference table.
    ImageNumber imageNumber = 0;
    /// 0: not a serving task.
    std::int64_t tailTargetMs = 0;
    /// Slack of a serving task in the worker's last measurements: its target over its tail latency.
    std::optional<double> measuredSlack;
    /// The slack on which placement relies: the measured one, or the lowest one expected in the next second.
    std::optional<double> slack;
    /// `slack` is expected from the baseline of the run's step.
    bool slackIsExpected = false;
    /// Number of the last listing that showed the run.
    std::int64_t listedIn = 0;
    /// The task started alone, because workers have crashed under it.
    bool startedAlone = false;

    /// True if the minion has confirmed that the run started, and not that it is over.
    [[nodiscard]] bool isConfirmed() const
    {
        const bool isOver = stopAcknowledged && listedIn == 0;
        return state == RunState::Running || (state == RunState::Stopping && !mayStillStart && !isOver);
    }
    /// True if another order about the run is needed: a stop, or the start, again or for the first time.
    [[nodiscard]] bool needsOrder() const
    {
        return state == RunState::Stopping || state == RunState::Unresolved || startDeferred;
    }
};

/// Creates a run of one of the step's tasks in the state in which it is ordered.
[[nodiscard]] Run runOf(const Wire::StepSpec &step, TimePoint orderedAt);

/// An end of a run that was applied but is not yet part of the recorded progress of its job.
struct PendingEnd {
    std::int64_t number = 0;
    std::string job;
    std::int64_t version = 0;
};

/// The last measurements of a worker's best-effort tasks. Those of its serving tasks are kept with their runs.
struct WorkerMeasurements {
    TimePoint at;
    /// The worker's capacity then.
    std::int32_t cpuMilli = 0;
    /// By image, the share of the worker's CPU that its best-effort tasks use.
    BestEffortShares shares;
};

/// While it lasts, a worker starts nothing but tasks of one step. So a task under which workers have crashed starts
/// alone, and a crash soon after shows its cause.
struct StartReservation {
    TimePoint until;
    /// Nothing: no task at all starts here.
    std::optional<StepKey> step;
};

/// One incarnation of a minion, as the owner of the scheduling knows it.
struct Worker {
    Worker() = default;
    Worker(Worker &&) = default;
    Worker &operator=(Worker &&) = default;
    // The lists of serving and best-effort runs refer to entries of `runs`.
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;
    ~Worker() = default;

    Wire::WorkerDescription info;
    /// Operators have drained the worker's availability zone: nothing is started here.
    bool zoneDrained = false;
    bool draining = false;
    bool reachable = false;
    /// The minion has answered a listing under this owner's epoch.
    bool listed = false;
    /// The recorded roster contains the worker's agent.
    bool inRecordedRoster = false;
    /// After this time no ordered run can still be executing, unless a report extends the lease first.
    TimePoint leaseEnds;
    /// Increases whenever all ordered runs are given up, so that delayed orders of an earlier term are refused.
    std::int64_t leaseTerm = 1;
    /// The agent has reported that the hold of terms up to this one has expired by the minion's clock.
    std::int64_t lapsedTerm = 0;
    /// When the term was last raised.
    TimePoint termRaisedAt;
    /// The runs that were given up without a report of their end, and why, until the hold that they had has lapsed.
    std::map<RunKey, LossCause> givenUpRuns;
    TimePoint lastContact;
    /// Number of the agent's last report.
    std::int64_t lastReport = 0;
    std::int64_t lastListing = 0;
    /// Number of the last end that was applied.
    std::int64_t lastEnd = 0;
    /// Ends up to this number are part of the recorded progress of their jobs.
    std::int64_t recordedEnds = 0;
    std::deque<PendingEnd> pendingEnds;
    std::map<RunKey, Run> runs;
    /// The runs that were given up because the agent was silent. If the minion's next report is that of another
    /// incarnation, they may have made it crash.
    std::vector<Wire::LostRun> runsOfExpiredLease;
    /// The runs that serve users, and those of best-effort tasks.
    std::vector<const Run *> servingRuns;
    std::vector<const Run *> bestEffortRuns;
    /// Some run may need another order.
    bool mayNeedOrders = false;
    Demand used;
    /// The part of `used` that belongs to long-running tasks.
    Demand usedByLongRunning;
    /// When a run was last added.
    TimePoint lastStartAt;
    StartReservation reservation;
    /// In the current plan only long-running tasks may start here, because one of them fits on no worker yet.
    bool reservedForLongRunning = false;
    /// Number of orphaned runs; their demand is not known.
    int orphanedRuns = 0;
    WorkerHealth health;
    WorkerMeasurements measurements;
    IdleCpuEstimate idleCpu;
    /// Revision of the effects of image pairs that were last sent to the worker's agent.
    std::int64_t sentPairsRevision = 0;

    [[nodiscard]] bool hasLabel(const std::string &label) const;
    /// True if `demand` fits beside all runs. Always false beside an orphaned run, whose demand is not known.
    [[nodiscard]] bool fits(const Demand &demand) const;
    /// True if the runs here need more than the capacity, which has shrunk since they were ordered.
    [[nodiscard]] bool isOvercommitted() const;
    /// By how much `demand` exceeds the free capacity, as a share of the worker's capacity; 0 if it fits. Nothing if it
    /// would not fit even beside the long-running tasks alone.
    [[nodiscard]] std::optional<double> shortage(const Demand &demand) const;
    /// True if nothing has been started here for so long that a crash would be noticed by now, and no order is open.
    [[nodiscard]] bool isSettled(TimePoint now) const;
    /// The CPU in thousandths of a core, by which shares of the worker are computed; at least 1.
    [[nodiscard]] double cpuCapacity() const
    {
        return std::max(1, info.cpuMilli);
    }
    /// CPU expected to be idle, without what best-effort tasks already use; may be negative.
    [[nodiscard]] std::int64_t idleCpuMilli() const;

    Run &addRun(const RunKey &key, Run run);
    void removeRun(const RunKey &key);
    void rememberGivenUp(const RunKey &key, LossCause cause);
    /// Notes what the agent has reported of expired holds.
    void applyLapse(std::int64_t reportedTerm);
    /// Notes that what was ordered here is given up.
    void raiseTerm(TimePoint now);
    /// True if the agent is being told to let the minion's hold expire.
    [[nodiscard]] bool awaitsLapse() const
    {
        return leaseTerm > lapsedTerm + 1;
    }
};

/// Describes a run that may have been executing when the worker was last heard of.
[[nodiscard]] Wire::LostRun lostRun(const Worker &worker, const RunKey &key, const Run &run);

} // namespace Trefoilhoist::Jobs
