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

/// Switches that tests use to show that each mechanism matters. Programs leave all on.
struct OwnerSafeguards {
    /// Starts only while the store lease is surely held.
    bool checkStoreLease = true;
    /// Tasks on an unreachable worker wait until its lease must have lapsed.
    bool waitForLeaseExpiry = true;
    /// Stops renewing a bounded time after the store lease.
    bool limitOutageRenewal = true;
    /// A worker stands in the store's roster before its first start.
    bool useRoster = true;
    /// Fences the records against late writes of earlier owners.
    bool fenceRecords = true;
    /// Proposals that don't fit are dropped.
    bool checkCapacity = true;
    /// Each start has a new run number.
    bool uniqueRunNumbers = true;
    /// An ended run is told durable only after its record stands in the store.
    bool recordBeforeDurable = true;
    /// Ends the process on a broken P1 to P3 invariant.
    bool assertInvariants = true;
};

struct CellOwnerSettings {
    std::string owner;
    std::string cell;
    Duration lease = seconds(5);
    /// How much clocks and pauses between reading and acting may differ.
    Duration clockMargin = milliseconds(250);
    /// How long running tasks are renewed after the store lease can't be held any more.
    Duration outageGrace = seconds(300);
    Duration syncInterval = seconds(1);
    Duration retryInterval = milliseconds(250);
    /// Between two decisions of the policy while there is something new.
    Duration decideInterval = milliseconds(20);
    /// Between two decisions when nothing is new.
    Duration idleDecideInterval = seconds(1);
    /// A task that takes no checkpoint within this is stopped without.
    Duration checkpointTimeout = seconds(10);
    /// How long an ended job is kept, and repeated submissions of it recognised.
    Duration endedJobRetention = seconds(600);
    Duration editInterval = milliseconds(20);
    std::size_t window = 512;
    OwnerSafeguards safeguards;
};

// Events.

/// The store lease is taken; the contents were read afterwards.
struct OwnershipGained {
    std::int64_t epoch = 0;
    /// Until then the store lease surely holds.
    TimePoint heldUntil{};
    CellContents contents;
};
struct StoreLeaseExtended {
    TimePoint heldUntil{};
};
/// Another owner has or will have the cell, or this one gives it up.
struct OwnershipLost {
};
struct WorkerAnnounced {
    WorkerAnnouncement announcement;
};
/// A value under cells/<cell>/jobs/ as read at `modifyIndex`.
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
/// No answer within the time limit; the sync may have been carried out.
struct SyncFailed {
    WorkerId worker;
    std::uint64_t call = 0;
};
struct StoreReplied {
    StoreReply reply;
};
/// A time step; also finishes what the other events have begun.
struct OwnerTick {
};
/// Labels or selectors have changed.
struct LabelsChanged {
};
/// From here nothing is started.
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

struct SendSync {
    WorkerId worker;
    Endpoint endpoint;
    std::uint64_t call = 0;
    SyncRequest request;
};
struct ExecuteStoreCommand {
    StoreCommand command;
};
/// A newer owner was seen: give up the store lease and read nothing more for this epoch.
struct StepDown {
    std::int64_t epoch = 0;
    std::string reason;
};

using OwnerAction = std::variant<SendSync, ExecuteStoreCommand, StepDown>;

/// What the owner has done since the start of the process.
struct OwnerCounts {
    std::uint64_t starts = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t evictions = 0;
    std::uint64_t lost = 0;
    std::uint64_t refused = 0;
    /// Runs that a worker reported of tasks that are over or placed elsewhere.
    std::uint64_t orphanedRuns = 0;
    std::uint64_t syncs = 0;
    std::uint64_t decisions = 0;
};

/// What proposes placements; the owner checks each proposal against capacity, leases and run numbers.
struct PlacementDecider {
    std::function<std::vector<PolicyAction>(const PolicyInput &)> decide;
    std::function<void(const PolicyEvent &)> observe;
};

[[nodiscard]] PlacementDecider makePolicyDecider(PlacementPolicy policy);

/// The owner's side of a cell: it takes workers over, starts, throttles, evicts and resumes tasks as the policy
/// proposes, and holds P1 to P3 whatever is lost, late or repeated. No input or output, no clock. Not
/// thread-safe.
class CellOwner
{
public:
    /// Labels of a worker as the operators see it: announced ones with the configured ones over them.
    using LabelSource = std::function<Labels(const Worker &)>;

    /// A job with the labels and selectors that its class has by configuration.
    using JobSource = std::function<Job(const Job &)>;

    CellOwner(CellOwnerSettings settings, PlacementDecider policy, LabelSource labels = {}, JobSource jobs = {});

    std::vector<OwnerAction> handle(TimePoint now, const OwnerEvent &event);

    [[nodiscard]] bool owning() const;
    [[nodiscard]] std::int64_t epoch() const;
    /// True when no record waits for the store.
    [[nodiscard]] bool recordsFlushed() const;
    [[nodiscard]] const TaskTable &tasks() const;
    [[nodiscard]] const std::map<WorkerId, WorkerLink> &workers() const;
    [[nodiscard]] const std::map<WorkerId, WorkerView> &views() const;
    [[nodiscard]] const OwnerCounts &counts() const;
    /// The modify index at which the segment's jobs were last taken in.
    [[nodiscard]] std::uint64_t jobIndex(int segment) const;
    /// Workers of the roster that were not heard since the cell was taken over.
    [[nodiscard]] std::size_t unreportedWorkers() const;
    /// Why a worker is started nothing on, by the policy's word.
    [[nodiscard]] const std::map<WorkerId, std::string> &quarantined() const;

private:
    using Actions = std::vector<OwnerAction>;

    // One function per event.
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

    // Actions of the policy.
    void apply(TimePoint now, const StartTask &action);
    void apply(TimePoint now, const ThrottleTask &action);
    void apply(TimePoint now, const EvictTask &action);
    void apply(TimePoint now, const QuarantineWorker &action);
    void apply(TimePoint now, const ReportUnplaceable &action);
    void apply(TimePoint now, const FailJob &action);

    // Events of the store.
    void onStoreEvent(TimePoint now, const RecordWritten &event);
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
    /// Sends new orders at once, or right after the call in flight.
    void requestSync(TimePoint now, WorkerLink &link);
    void syncWorker(TimePoint now, WorkerLink &link);
    /// True when the worker was gone for long and is dropped.
    bool removeIfAbsent(TimePoint now, WorkerLink &link);
    void checkLeaseExpiry(TimePoint now, WorkerLink &link);
    void stopOverdueCheckpoints(TimePoint now, WorkerLink &link);
    void evictIfLeaving(TimePoint now, const WorkerLink &link);
    [[nodiscard]] Labels labelsOf(const Worker &worker) const;
    [[nodiscard]] bool isLeaving(const WorkerLink &link) const;
    SyncRequest buildRequest(TimePoint now, WorkerLink &link);
    void addOrders(TimePoint now, WorkerLink &link, SyncRequest &request);
    /// True while a task may have a place, or an end, that this owner has not heard of.
    [[nodiscard]] bool isTakingOver() const;
    void resolveUncertain(TimePoint now);
    void markRunsLost(TimePoint now, WorkerLink &link);
    void refreshView(TimePoint now, const WorkerLink &link);
    void orderStop(TimePoint now, TaskEntry &entry);

    // Answers.
    void applyAnswer(TimePoint now, WorkerLink &link, const SyncAnswer &answer);
    void applyReport(TimePoint now, WorkerLink &link, const RunReport &report);
    void applyOwnRunReport(TimePoint now, WorkerLink &link, TaskEntry &entry, const RunReport &report);
    void handleRunEnd(TimePoint now, WorkerLink &link, TaskEntry &entry, const RunReport &report);
    void adoptRun(TimePoint now, WorkerLink &link, TaskEntry &entry, const RunReport &report);
    void applyOrphanReport(TimePoint now, WorkerLink &link, const RunReport &report);
    void applyRefusal(TimePoint now, WorkerLink &link, const StartRefusal &refusal);
    void markMissingRunsLost(TimePoint now, WorkerLink &link, const SyncAnswer &answer);
    void observeServices(TimePoint now, const SyncAnswer &answer);

    // Tasks.
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
    TimePoint m_heldUntil{};
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
    bool m_uncertainResolved = false;
    bool m_dirty = false;
    TimePoint m_nextDecision{};
    TimePoint m_nextIdleDecision{};
    OwnerCounts m_counts;
};

} // namespace Trefoilhoist
