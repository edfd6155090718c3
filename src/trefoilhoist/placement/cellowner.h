#pragma once

#include "trefoilhoist/placement/cellstore.h"
#include "trefoilhoist/placement/policy.h"
#include "trefoilhoist/placement/tasktable.h"
#include "trefoilhoist/placement/workerlink.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// Safety mechanisms of the owner. Tests switch single ones off to show that each is needed; programs leave all on.
struct OwnerSafeguards {
    /// Starts tasks only while the store lease is known to be held.
    bool checkStoreLease = true;
    /// Requeues the tasks of an unreachable worker only once its lease must have expired.
    bool waitForLeaseExpiry = true;
    /// Stops renewing worker leases a bounded time after the store lease has expired.
    bool limitOutageRenewal = true;
    /// Adds a worker to the roster in the store before its first start.
    bool useRoster = true;
    /// Fences the records against late writes of earlier owners.
    bool fenceRecords = true;
    /// Ignores proposed starts that exceed the capacity of the worker.
    bool checkCapacity = true;
    /// Gives each start a new run number.
    bool uniqueRunNumbers = true;
    /// Reports an ended run to its worker as durable only after its record is in the store.
    bool recordBeforeDurable = true;
    /// Ends the process when one of the invariants P1 to P3 is violated.
    bool assertInvariants = true;
};

struct CellOwnerSettings {
    std::string owner;
    std::string cell;
    /// Lease of the workers.
    Duration lease = seconds(5);
    /// Allowance for clock drift and for pauses between reading the clock and acting.
    Duration clockMargin = milliseconds(250);
    /// How long running tasks are still renewed after the store lease has expired.
    Duration outageGrace = seconds(300);
    Duration syncInterval = seconds(1);
    /// Between two syncs while orders are unconfirmed or the last sync failed.
    Duration retryInterval = milliseconds(250);
    /// Between two decisions of the policy while its input changes.
    Duration decideInterval = milliseconds(20);
    /// Between two decisions while its input stays the same.
    Duration idleDecideInterval = seconds(1);
    /// A task that takes no checkpoint within this time is stopped without one.
    Duration checkpointTimeout = seconds(10);
    /// How long an ended job is kept. Repeated submissions of it are recognized during this time.
    Duration endedJobRetention = seconds(600);
    /// Between two edits of the cell's keys in the store.
    Duration editInterval = milliseconds(20);
    /// Maximum number of pending tasks in one decision of the policy.
    std::size_t window = 512;
    OwnerSafeguards safeguards;
};

// Events.

/// The store lease was acquired. The contents were read after that.
struct OwnershipGained {
    std::int64_t epoch = 0;
    /// Until this time the store lease is known to be held.
    TimePoint heldUntil{};
    CellContents contents;
};
struct StoreLeaseExtended {
    TimePoint heldUntil{};
};
/// Another owner has the cell or may acquire it, or this owner releases it.
struct OwnershipLost {
};
struct WorkerAnnounced {
    WorkerAnnouncement announcement;
};
/// A value under cells/<cell>/jobs/, read at `modifyIndex`.
struct JobSegmentRead {
    int segment = 0;
    std::uint64_t modifyIndex = 0;
    JobSegment jobs;
};
struct SyncAnswered {
    WorkerId worker;
    std::uint64_t call = 0;
    SyncAnswer answer;
};
/// No answer arrived within the time limit. The worker may still have applied the sync.
struct SyncFailed {
    WorkerId worker;
    std::uint64_t call = 0;
};
struct StoreReplied {
    StoreReply reply;
};
/// Advances the owner's timers: due syncs, decisions, store edits and timeouts.
struct OwnerTick {
};
/// Configured labels or selectors have changed.
struct LabelsChanged {
};
/// The process is stopping; no further task is started.
struct StopRequested {
};

using OwnerEvent = std::variant<OwnershipGained,
                                StoreLeaseExtended,
                                OwnershipLost,
                                WorkerAnnounced,
                                JobSegmentRead,
                                SyncAnswered,
                                SyncFailed,
                                StoreReplied,
                                OwnerTick,
                                LabelsChanged,
                                StopRequested>;

// Actions.

/// Send the sync to the worker; its result comes back as SyncAnswered or SyncFailed with the same `call`.
struct SendSync {
    WorkerId worker;
    Endpoint endpoint;
    std::uint64_t call = 0;
    SyncRequest request;
};
/// Execute the command and return its reply as StoreReplied.
struct ExecuteStoreCommand {
    StoreCommand command;
};
/// A newer owner exists: release the store lease and stop reading for this epoch.
struct StepDown {
    std::int64_t epoch = 0;
    std::string reason;
};

using OwnerAction = std::variant<SendSync, ExecuteStoreCommand, StepDown>;

/// Counters of the owner since the start of the process.
struct OwnerCounts {
    std::uint64_t starts = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t evictions = 0;
    std::uint64_t lost = 0;
    std::uint64_t refused = 0;
    /// Runs that a worker reported for tasks that are done or placed elsewhere.
    std::uint64_t orphanedRuns = 0;
    std::uint64_t syncs = 0;
    std::uint64_t decisions = 0;
};

/// Proposes placements. The owner checks each proposal against capacity, leases and run numbers.
struct PlacementDecider {
    std::function<std::vector<PolicyAction>(const PolicyInput &)> decide;
    std::function<void(const PolicyEvent &)> observe;
};

/// Wraps a policy as a decider.
[[nodiscard]] PlacementDecider makePolicyDecider(PlacementPolicy policy);

/// Owner side of a cell: takes workers over, and starts, throttles, evicts and resumes tasks as the policy proposes.
/// Upholds P1 to P3 even when messages are lost, delayed or repeated. Does no I/O and reads no clock. Not thread-safe.
class CellOwner
{
public:
    /// Returns the effective labels of a worker: the announced ones, overridden by the configured ones.
    using LabelSource = std::function<Labels(const Worker &)>;

    /// Returns a job with the labels and selectors that the configuration gives to its class.
    using JobSource = std::function<Job(const Job &)>;

    CellOwner(CellOwnerSettings settings, PlacementDecider policy, LabelSource labels = {}, JobSource jobs = {});

    /// Applies an event and returns the actions that the caller must carry out.
    std::vector<OwnerAction> handle(TimePoint now, const OwnerEvent &event);

    [[nodiscard]] bool owning() const;
    [[nodiscard]] std::int64_t epoch() const;
    /// True if no record waits to be written to the store.
    [[nodiscard]] bool recordsFlushed() const;
    [[nodiscard]] const TaskTable &tasks() const;
    [[nodiscard]] const std::map<WorkerId, WorkerLink> &workers() const;
    [[nodiscard]] const std::map<WorkerId, WorkerView> &views() const;
    [[nodiscard]] const OwnerCounts &counts() const;
    /// Modify index at which the jobs of the segment were last applied.
    [[nodiscard]] std::uint64_t jobIndex(int segment) const;
    /// Number of workers in the roster that have not reported since the cell was taken over and whose lease may still
    /// be valid.
    [[nodiscard]] std::size_t unreportedWorkers() const;
    /// Workers that the policy has quarantined, with its reasons.
    [[nodiscard]] const std::map<WorkerId, std::string> &quarantined() const;

private:
    using Actions = std::vector<OwnerAction>;

    // Handlers of the owner events.
    void on(TimePoint now, const OwnershipGained &event);
    void on(TimePoint now, const StoreLeaseExtended &event);
    void on(TimePoint now, const OwnershipLost &event);
    void on(TimePoint now, const WorkerAnnounced &event);
    void on(TimePoint now, const JobSegmentRead &event);
    void on(TimePoint now, const SyncAnswered &event);
    void on(TimePoint now, const SyncFailed &event);
    void on(TimePoint now, const StoreReplied &event);
    static void on(TimePoint now, const OwnerTick &event);
    void on(TimePoint now, const LabelsChanged &event);
    void on(TimePoint now, const StopRequested &event);

    // Apply the actions of the policy.
    void apply(TimePoint now, const StartTask &action);
    void apply(TimePoint now, const ThrottleTask &action);
    void apply(TimePoint now, const EvictTask &action);
    void apply(TimePoint now, const QuarantineWorker &action);
    void apply(TimePoint now, const ReportUnplaceable &action);
    void apply(TimePoint now, const FailJob &action);

    // Handlers of the cell store's events.
    void onStoreEvent(TimePoint now, const RunEndRecorded &event);
    void onStoreEvent(TimePoint now, const LateCompletionFound &event);
    void onStoreEvent(TimePoint now, const LateCheckpointFound &event);
    void onStoreEvent(TimePoint now, const JobRemoved &event);
    void onStoreEvent(TimePoint now, const NewerOwnerDetected &event);

    // Jobs.
    void addJob(TimePoint now, const StoredJob &stored, bool uncertain);
    void abandonJob(TimePoint now, const JobId &job);
    void abandonTask(TimePoint now, TaskEntry &entry);
    void finishTask(TimePoint now, const TaskId &task);
    void endJob(TimePoint now, const JobId &job);
    void removeEndedJobs(TimePoint now);
    [[nodiscard]] bool isAbandoned(const TaskEntry &entry) const;

    // Workers.
    [[nodiscard]] bool canStart(TimePoint now) const;
    [[nodiscard]] bool canRenew(TimePoint now) const;
    [[nodiscard]] bool isUsable(TimePoint now, const WorkerLink &link) const;
    void advance(TimePoint now);
    void scheduleSync(WorkerLink &link, TimePoint nextSyncAt);
    /// Schedules a sync with new orders at once, or right after the call in flight.
    void requestSync(TimePoint now, WorkerLink &link);
    void syncWorker(TimePoint now, WorkerLink &link);
    /// Removes a worker that has not announced itself for long and holds no tasks. Returns true if it did.
    bool removeIfNotAnnounced(TimePoint now, WorkerLink &link);
    void checkLeaseExpiry(TimePoint now, WorkerLink &link);
    void stopTasksWithOverdueCheckpoints(TimePoint now, WorkerLink &link);
    void evictIfLeaving(TimePoint now, const WorkerLink &link);
    [[nodiscard]] Labels labelsOf(const Worker &worker) const;
    [[nodiscard]] bool isLeaving(const WorkerLink &link) const;
    SyncRequest buildRequest(TimePoint now, WorkerLink &link);
    void addOrders(TimePoint now, WorkerLink &link, SyncRequest &request);
    /// True while a task may have a run, or a recorded end, that this owner doesn't know of yet.
    [[nodiscard]] bool isTakingOver() const;
    void resolveUncertainTasks(TimePoint now);
    void markRunsLost(TimePoint now, WorkerLink &link);
    void refreshView(TimePoint now, const WorkerLink &link);
    void orderStop(TimePoint now, TaskEntry &entry);

    // Answers of workers.
    void applyAnswer(TimePoint now, WorkerLink &link, const SyncAnswer &answer);
    void applyReport(TimePoint now, WorkerLink &link, const RunReport &report);
    void applyOwnRunReport(TimePoint now, WorkerLink &link, TaskEntry &entry, const RunReport &report);
    void handleRunEnd(TimePoint now, WorkerLink &link, TaskEntry &entry, const RunReport &report);
    void adoptRun(TimePoint now, WorkerLink &link, TaskEntry &entry, const RunReport &report);
    void applyOrphanReport(TimePoint now, WorkerLink &link, const RunReport &report);
    void applyRefusal(TimePoint now, WorkerLink &link, const StartRefusal &refusal);
    void markMissingRunsLost(TimePoint now, WorkerLink &link, const SyncAnswer &answer);
    void observeServices(TimePoint now, const SyncAnswer &answer);

    // Tasks and placements.
    void place(TimePoint now, WorkerLink &link, TaskEntry &entry, const Resources &reserve, RunNumber run);
    void removePlacement(WorkerLink &link, const TaskId &task);
    void markRunLost(TimePoint now, WorkerLink &link, TaskEntry &entry, RunEnd end);
    void requeue(TimePoint now, TaskEntry &entry);
    void observeRunEnd(TimePoint now, const TaskEntry &entry, RunEnd end);
    void decide(TimePoint now);
    void pollStore(TimePoint now);
    void handleStoreEvents(TimePoint now);
    void reset();
    void stepDown(const std::string &reason);
    RunNumber nextRunNumber(const TaskEntry &entry);
    WorkerLink *findLink(const WorkerId &worker);

    CellOwnerSettings m_settings;
    PlacementDecider m_policy;
    LabelSource m_labels;
    JobSource m_jobs;
    Actions m_actions;

    std::int64_t m_epoch = 0;
    TimePoint m_storeLeaseEnd{};
    bool m_stopping = false;
    bool m_steppedDown = false;
    std::int64_t m_runCount = 0;
    std::uint64_t m_callCount = 0;
    std::optional<CellStore> m_store;
    TaskTable m_tasks;
    std::map<int, std::uint64_t> m_jobIndexes;
    std::map<int, std::set<JobId>> m_segmentJobs;
    std::deque<JobId> m_endedJobs;

    std::map<WorkerId, WorkerLink> m_links;
    std::map<WorkerId, WorkerView> m_views;
    std::set<std::pair<TimePoint, WorkerId>> m_syncSchedule;
    std::set<WorkerId> m_unreportedWorkers;
    std::map<WorkerId, std::string> m_quarantined;
    bool m_uncertainTasksResolved = false;
    bool m_dirty = false;
    TimePoint m_nextDecision{};
    TimePoint m_nextIdleDecision{};
    OwnerCounts m_counts;
};

} // namespace Trefoilhoist
