#pragma once

#include "trefoilhoist/jobs/interferencetable.h"
#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/jobs/workerhealth.h"
#include "trefoilhoist/world/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Trefoilhoist::Jobs {

/// What a run takes of its worker.
struct Demand {
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    /// Wanted of what others leave idle; never reserved.
    std::int64_t idleCpuMilli = 0;

    Demand &operator+=(const Demand &other);
    Demand &operator-=(const Demand &other);
};

[[nodiscard]] Demand demandOf(const Wire::StepSpec &step);

/// Where a run stands, as far as the owner knows.
enum class RunState {
    /// The start is to be sent, or its result is awaited.
    Ordered,
    /// The start got no answer: the run may be there, may come, or may never come.
    Unsettled,
    Running,
    /// A stop is wanted; over when the end is listed.
    Stopping,
};

/// One run that a worker may be carrying out; it takes room until it surely is not.
struct Run {
    RunState state = RunState::Ordered;
    bool longRunning = false;
    Demand demand;
    TimePoint orderedAt;
    /// The next time that an order about this run is sent, while one is needed.
    TimePoint nextOrder;
    /// An order about this run is on its way.
    bool inFlight = false;
    /// Only a later listing tells whether the run is there.
    std::int64_t settledByListing = INT64_MAX;
    /// A start got no answer at least once, so that only a stop or a listing settles it.
    bool mayAppear = false;
    /// Orders in a row that got no answer.
    int unanswered = 0;
    /// The minion has taken the stop: the run will not start any more.
    bool stopTaken = false;
    /// The task belongs to no job that is known.
    bool foreign = false;
    std::string checkpoint;
    int percent = -1;
    std::int64_t usage = 0;
    std::string image;
    /// 0: it serves nobody.
    std::int64_t tailTargetMs = 0;
};

/// A run of one of the step's tasks, as it stands when it is ordered.
[[nodiscard]] Run runOf(const Wire::StepSpec &step, TimePoint orderedAt);

/// An end that was taken in and waits for its job to be recorded.
struct PendingEnd {
    std::int64_t number = 0;
    std::string job;
    std::int64_t version = 0;
};

/// The last figures of a worker's tasks on lent processors and of its serving tasks.
struct WorkerFigures {
    TimePoint at;
    BestEffortShares shares;
    /// Of serving tasks; see latencySlack().
    std::map<RunKey, double> slacks;
};

/// One life of one minion, as the owner of the scheduling knows it.
struct Worker {
    Wire::WorkerDescription info;
    bool draining = false;
    bool reachable = false;
    /// Its minion has answered a listing of this owner's epoch.
    bool listed = false;
    /// The roster that names it is recorded.
    bool enrolled = false;
    /// The moment from which nothing that was ordered can still run, unless a report comes before.
    TimePoint leaseEnds;
    /// Rises whenever what was ordered is given up, so that an order held up on its way is refused.
    std::int64_t leaseTerm = 1;
    TimePoint heardAt;
    /// Number of the agent's last report.
    std::int64_t report = 0;
    std::int64_t listing = 0;
    std::int64_t lastEnd = 0;
    std::int64_t recordedEnds = 0;
    std::deque<PendingEnd> pendingEnds;
    std::map<RunKey, Run> runs;
    Demand used;
    /// The part of `used` that long-running tasks take.
    Demand usedForLong;
    /// Kept free for this plan's long-running tasks that fit nowhere yet.
    bool reserved = false;
    /// Runs whose demand is not known.
    int foreignRuns = 0;
    WorkerHealth health;
    WorkerFigures figures;
    /// Effects of image pairs that its agent was told.
    std::map<std::pair<std::string, std::string>, double> toldPairs;

    [[nodiscard]] bool hasLabel(const std::string &label) const;
    /// Reserved room suffices for `demand`; never while a run of unknown demand is there.
    [[nodiscard]] bool fits(const Demand &demand) const;
    /// By how much `demand` exceeds the room, as a share of the worker; 0 when it fits. Nothing when it would not
    /// fit beside the long-running tasks alone.
    [[nodiscard]] std::optional<double> shortage(const Demand &demand) const;
    /// Processors that neither reservations nor tasks on idle processors claim; may be negative.
    [[nodiscard]] std::int64_t idleCpuMilli() const;

    Run &addRun(const RunKey &key, Run run);
    void removeRun(const RunKey &key);
};

} // namespace Trefoilhoist::Jobs
