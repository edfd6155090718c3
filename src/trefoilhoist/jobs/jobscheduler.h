#pragma once

#include "trefoilhoist/jobs/durationestimates.h"
#include "trefoilhoist/jobs/job.h"
#include "trefoilhoist/jobs/jobmemory.h"
#include "trefoilhoist/jobs/queuetable.h"
#include "trefoilhoist/jobs/rackwaits.h"
#include "trefoilhoist/jobs/schedulersettings.h"
#include "trefoilhoist/jobs/servingbaselines.h"
#include "trefoilhoist/jobs/steporder.h"
#include "trefoilhoist/jobs/worker.h"
#include "trefoilhoist/jobs/workerselector.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// Holds the owner's view of all jobs and workers and plans the orders to the workers. Each term of ownership has one.
///
/// Uses no network, and callers pass the current time. A task is started only when none of its earlier runs can still
/// be executing; a run occupies capacity until it is known to be over. Not thread-safe.
class JobScheduler
{
public:
    JobScheduler(SchedulerSettings settings, std::int64_t epoch);

    // Takeover from an earlier owner; must precede all other calls.
    void restoreJob(Wire::JobSpec spec,
                    const std::optional<Wire::JobProgress> &progress,
                    TimePoint now,
                    std::int64_t wallMs);
    void restoreRoster(const Wire::WorkerRoster &roster, TimePoint now);
    /// The roster can't be read: inherited tasks wait until no agent can have a lease of an earlier owner.
    void restoreUnknownRoster(TimePoint now);

    [[nodiscard]] std::int64_t epoch() const
    {
        return m_epoch;
    }
    void setQueues(QueueTable queues)
    {
        m_queues = std::move(queues);
    }
    [[nodiscard]] const QueueTable &queues() const
    {
        return m_queues;
    }
    /// Availability zones that operators have drained: nothing starts on their workers.
    void setDrainedZones(std::set<std::string> zones);

    // Requests from callers.
    SubmissionState submit(const Wire::JobSpec &spec, TimePoint now);
    /// To be called once the submission is recorded: the job may run.
    void accept(const std::string &id);
    /// To be called when the submission is known not to be recorded. A job that was cancelled meanwhile stays.
    void withdraw(const std::string &id);
    /// True also for a job of which nothing is recorded yet.
    [[nodiscard]] bool knows(const std::string &id) const
    {
        return m_jobs.count(id) > 0;
    }
    /// Null if the job is unknown, or neither its submission nor its end is recorded.
    [[nodiscard]] const Job *job(const std::string &id) const;
    /// Like job(), but also finds a job that was cancelled before its submission was recorded or had arrived. Its end
    /// must be recorded before a caller learns of it.
    [[nodiscard]] const Job *jobToRecord(const std::string &id) const;
    /// Also cancels a job whose submission is still being recorded, and one that is not known: its submission may be on
    /// its way and must not be accepted later.
    void cancel(const std::string &id, TimePoint now);
    /// False if the job is unknown and the memory for cancels of such jobs is used up: cancel() must not be called.
    [[nodiscard]] bool mayCancel(const std::string &id) const;
    /// Number of active jobs of the queue of which no task has been started.
    [[nodiscard]] std::int64_t waitingJobs(const std::string &queue) const;
    /// Estimated bytes that all jobs take.
    [[nodiscard]] std::int64_t memoryBytes() const
    {
        return m_memory.usedBytes();
    }
    /// Number of accepted jobs that are not final.
    [[nodiscard]] std::size_t activeJobs() const
    {
        return m_active.size();
    }

    // Records in the store.
    /// Jobs whose progress changed since the last call.
    std::set<std::string> takeChangedJobs();
    /// True if a crash of a worker was added to a job since the last call. It must be recorded at once, because the
    /// job's tasks wait for that.
    bool takeUnrecordedCrash();
    /// To be called once this version of the job's progress is recorded.
    void markProgressRecorded(const std::string &id, std::int64_t version);
    [[nodiscard]] std::int64_t recordedVersion(const std::string &id) const;
    /// Final jobs that have been kept for long enough.
    [[nodiscard]] std::vector<std::string> expiredJobs(std::int64_t wallMs) const;
    void removeJob(const std::string &id);
    /// The roster, if it has changed since the last call.
    std::optional<Wire::WorkerRoster> takeChangedRoster();
    void markRosterRecorded(const Wire::WorkerRoster &roster);

    // Workers.
    /// `mayGrant`: this process may still own the scheduling and so may grant leases.
    Wire::WorkerReportReply handleReport(const Wire::WorkerReport &report, bool mayGrant, TimePoint now);
    /// `reply` is empty when the orders got no answer.
    void handleOrderResults(const Wire::WorkerOrders &orders,
                            const std::optional<Wire::WorkerOrdersReply> &reply,
                            TimePoint now);
    /// The orders to send now, by worker id. The sender fills in the address of the owner. `ownershipVerified`: the
    /// store has confirmed the ownership so lately that no other process can have taken over. Otherwise a task waits
    /// if one of its runs was given up without a report of its end, which another owner may have received.
    std::map<std::string, Wire::WorkerOrders> plan(TimePoint now, std::int64_t wallMs, bool ownershipVerified);

    /// Number of serving steps whose slack without interference is estimated.
    [[nodiscard]] std::size_t servingBaselines(TimePoint now) const
    {
        return m_baselines.count(now);
    }

    [[nodiscard]] const std::map<std::string, Worker> &workers() const
    {
        return m_workers;
    }
    /// Number of tasks and gangs that have waited for a place on a rack though they could have started elsewhere.
    [[nodiscard]] std::size_t placementWaits() const
    {
        return m_placementWaits;
    }

private:
    struct Entry {
        Job job;
        bool accepted = false;
        /// Accepted by an earlier owner: its tasks may be running on workers that have not reported yet.
        bool inherited = false;
        std::int64_t recordedVersion = 0;
        /// The version that contains the last crash of a worker under one of the job's runs.
        std::int64_t crashVersion = 0;
        /// The job's part of the memory for jobs.
        std::int64_t memoryBytes = 0;
    };
    /// A step with tasks to start.
    struct PendingStep {
        std::string job;
        int occurrence = 0;
        int step = 0;
        StepRank rank;
        /// When the step was first found to have tasks to start; max() before that.
        TimePoint pendingSince = TimePoint::max();
        /// By index, since when tasks have waited for their rack though they could start elsewhere; a gang is one task.
        std::map<std::size_t, TimePoint> rackAwaitedSince;
    };
    /// A demand that no worker could take in the current plan, and the constraints under which that was found.
    struct UnplacedDemand {
        const std::string *service = nullptr;
        const Wire::StepSpec *step = nullptr;
    };

    // jobscheduler.cpp
    /// False if the job has long-running tasks that don't fit beside those that run or wait, and beside the short
    /// tasks.
    [[nodiscard]] bool hasRoomFor(const Wire::JobSpec &spec) const;
    Entry *find(const std::string &id);
    void addNeverSubmitted(const std::string &id, TimePoint now);
    void markChanged(const std::string &id);
    /// The job of a run that an agent has reported; opens the run's occurrence if this owner has not done so.
    Entry *findForRun(const Wire::TaskRef &task);
    [[nodiscard]] bool learnsRunTimes() const
    {
        return std::holds_alternative<LeastWorkFirst>(m_settings.stepOrder);
    }
    [[nodiscard]] bool isDrained(const std::string &zone) const;
    void stopRuns(Entry &entry, TimePoint now);
    void releaseMemory(Entry &entry);
    /// Estimates anew what the job takes in memory.
    void updateMemory(Entry &entry);
    void setMemory(Entry &entry, std::int64_t bytes);
    void erase(const std::string &id);

    // jobpending.cpp
    void refreshDueJobs(std::int64_t wallMs);
    /// Replaces the run times that the job's caller has declared by those of earlier tasks.
    void updateExpectedRunTimes(Job &job);
    /// What the steps of an occurrence have in common of their ranks.
    [[nodiscard]] StepRank
    rankOf(const Job &job, int number, const OccurrenceState &occurrence, std::int64_t wallMs) const;
    void refreshPending(Entry &entry, std::int64_t wallMs);

    // workerincarnations.cpp
    /// True if only a heartbeat speaks for the incarnation that the report is about, and another one that may hold runs
    /// is known: the heartbeat may be an old one that was held up.
    [[nodiscard]] bool mayBeOfEarlierIncarnation(const Wire::WorkerReport &report, TimePoint now) const;
    Worker &workerForReport(const Wire::WorkerReport &report, TimePoint now);
    std::map<RunKey, Run> replaceIncarnations(const Wire::WorkerReport &report, TimePoint now);
    /// Lets the worker's incarnation resolve runs that were ordered from an earlier one.
    void carryOver(Worker &worker, const std::map<RunKey, Run> &runs, TimePoint now);
    void removeAgent(const std::string &name, LossCause cause, TimePoint now);
    void addToRoster(const Wire::WorkerDescription &worker);
    void rememberGivenUp(const Worker &worker);
    /// True if what the incarnation may hold under an earlier lease has been given up.
    [[nodiscard]] bool wasGivenUp(const Wire::WorkerDescription &worker);
    void endIncarnation(Worker &worker, LossCause cause, TimePoint now);
    void handleLostRun(Worker &worker, const RunKey &key, TimePoint now);
    /// Notes that a minion lists a run, or its end, which was given up. Until its hold has expired it must not go on.
    void handleGivenUpRun(Worker &worker, const RunKey &key, std::string_view state);
    void stopGangRun(const Wire::TaskRef &task, std::int64_t run, TimePoint now);
    void requestStop(Worker &worker, const RunKey &key, TimePoint now);

    // jobreports.cpp
    /// Returns the start times of the reported incarnations whose crashes are recorded.
    std::vector<std::int64_t> applyCrashes(const Wire::WorkerReport &report);
    [[nodiscard]] std::vector<Wire::RunInfo> describeRuns(const Worker &worker);
    bool isOvertaken(const Wire::WorkerReport &report);
    void applyListing(Worker &worker, const Wire::WorkerReport &report, TimePoint now);
    void applyEnd(Worker &worker, const Wire::EndedTask &end, TimePoint now);
    static void observeOutcome(Worker &worker, const Wire::EndedTask &end, TimePoint now);
    /// Notes how long a task that is done has run.
    void observeRunTime(Job &job, const Worker &worker, const Wire::EndedTask &end, TimePoint now);
    void applyEndToJob(Job &job, const Worker &worker, const Wire::EndedTask &end);
    void stopObsoleteRuns(Entry &entry, const Wire::EndedTask &end, TimePoint now);
    void addPendingEnd(Worker &worker, PendingEnd end);
    /// Acknowledges the ends that waited for the recording of this job.
    void acknowledgeEndsOf(const std::string &job);
    void acknowledgeRecordedEnds(Worker &worker);

    // joblistings.cpp
    void applyRunningTask(Worker &worker, const Wire::RunningTask &row, std::int64_t listing, TimePoint now);
    void adopt(Worker &worker, const Wire::RunningTask &row, TimePoint now);
    void removeMissingRuns(Worker &worker, const Wire::WorkerReport &report, TimePoint now);
    void updateCheckpoint(const Wire::RunningTask &row);
    void recordCheckpoints(TimePoint now);

    // jobinterference.cpp
    void observeInterference(Worker &worker, TimePoint now);
    /// Compares a serving run with the baseline of its step. False if the step has none, so that the run is to be
    /// compared with its own last measurement.
    bool observeReplica(const RunKey &key, Run &run, const BestEffortShares &shares, TimePoint now);

    // jobcrashes.cpp
    /// `certainty` scales the runs' parts in the cause.
    void applyCrash(const std::string &agent, const Wire::CrashReport &crash, double certainty);
    /// Attributes the crash of an incarnation that was replaced by another one and of which its agent knows nothing.
    void applyUnreportedCrash(const Worker &worker);
    void recordCrash(const std::string &agent, const Wire::CrashReport &crash, const Wire::LostRun &lost, double blame);
    /// True if all that is recorded of a crash is in the store.
    [[nodiscard]] bool isCrashRecorded(const Wire::CrashReport &crash) const;
    /// Notes that a task that was started alone has survived the time in which it was observed.
    void observeSurvival(Worker &worker, const RunKey &key, Run &run, TimePoint now);

    // joborders.cpp
    void handleStartResult(Worker &worker, const RunKey &key, OrderResult result, std::int64_t listing, TimePoint now);
    void handleRefusedStart(Worker &worker, const RunKey &key, OrderResult result, TimePoint now);
    void confirmStart(const RunKey &key);
    void delayRetry(const RunKey &key, TimePoint now);

    // jobplanning.cpp
    void expireWorkers(TimePoint now);
    /// Gives up the agents of the restored roster that have not reported in time and hold no lease of this owner.
    void giveUpAgents(TimePoint now);
    /// True if the agent's minion was not listed to this owner yet and may hold tasks under a lease that it has
    /// granted.
    [[nodiscard]] bool mayHoldUnlistedTasks(const std::string &agent, TimePoint now) const;
    /// The worker that this agent has reported; null if it has reported none.
    [[nodiscard]] const Worker *workerOf(const std::string &agent) const;
    void resendOrders(std::map<std::string, Wire::WorkerOrders> &orders, TimePoint now);
    [[nodiscard]] std::vector<const PendingStep *> pendingByRank(TimePoint now) const;
    /// True if the pending step still has tasks that may have to be started.
    [[nodiscard]] bool hasTasksToStart(const PendingStep &pending);
    Wire::WorkerOrders &ordersFor(std::map<std::string, Wire::WorkerOrders> &orders, const Worker &worker) const;
    [[nodiscard]] static Wire::RunInfo runInfo(const Entry &entry, const RunKey &key);
    [[nodiscard]] std::int64_t nextRun(const TaskState &task) const;
    [[nodiscard]] Wire::StartOrder startOrder(const Entry &entry, const RunKey &key, const Run &run) const;

    // jobplacement.cpp
    void placeStep(const PendingStep &pending, std::map<std::string, Wire::WorkerOrders> &orders, TimePoint now);
    void placeTasks(Entry &entry,
                    const PendingStep &pending,
                    std::map<std::string, Wire::WorkerOrders> &orders,
                    TimePoint now);
    /// Starts a task or lets it wait for its rack. False if no worker can take it.
    bool placeTask(Entry &entry,
                   const PendingStep &pending,
                   const Wire::TaskRef &ref,
                   WorkerSelector &selector,
                   std::map<std::string, Wire::WorkerOrders> &orders,
                   TimePoint now);
    /// Returns true if the gang was started. `rack`: only workers of this rack are used, unless it is empty.
    bool placeGang(Entry &entry,
                   const PendingStep &pending,
                   std::map<std::string, Wire::WorkerOrders> &orders,
                   TimePoint now,
                   const std::string &rack = {});
    [[nodiscard]] bool
    canStart(const Entry &entry, const Wire::StepSpec &step, const TaskState &task, TimePoint now) const;
    [[nodiscard]] const std::string &serviceOf(const Job &job) const;
    /// A selector that has considered all workers for the step's tasks, or those of one rack.
    [[nodiscard]] WorkerSelector
    selectorFor(const Entry &entry, const PendingStep &pending, TimePoint now, const std::string &rack = {});
    /// Notes in this plan that no worker can take a task of the step.
    void handleUnplaced(const Entry &entry, const PendingStep &pending, const WorkerSelector &selector, TimePoint now);
    /// True if an equal or smaller demand found no worker earlier in this plan.
    [[nodiscard]] bool isKnownUnplaceable(const Entry &entry, const PendingStep &pending, TimePoint now) const;
    [[nodiscard]] Run newRun(const Wire::StepSpec &step, TimePoint now);
    void startAlone(Entry &entry,
                    const Wire::TaskRef &ref,
                    WorkerSelector &selector,
                    std::map<std::string, Wire::WorkerOrders> &orders,
                    TimePoint now);
    /// Adds a run of the task to the worker, without an order.
    Run &addRun(Entry &entry, const RunKey &key, Worker &worker, TimePoint now);
    /// Starts a member of a gang, in one of the next plans if the worker takes no more starts in this one.
    void startMember(Entry &entry,
                     const RunKey &key,
                     Worker &worker,
                     std::map<std::string, Wire::WorkerOrders> &orders,
                     TimePoint now);
    /// False if the worker takes no more starts in this plan.
    bool start(Entry &entry,
               const Wire::TaskRef &ref,
               Worker &worker,
               std::map<std::string, Wire::WorkerOrders> &orders,
               std::int64_t run,
               TimePoint now);

    // jobracks.cpp
    /// Decides whether a task waits for places on a rack, and notes since when it does.
    bool awaitPlaces(const PendingStep &pending, std::size_t index, const AwaitedPlaces &places, TimePoint now);
    bool taskAwaitsRack(const PendingStep &pending, std::size_t index, const WorkerSelector &selector, TimePoint now);
    bool gangAwaitsRack(const PendingStep &pending, const std::map<std::string, RackRoom> &rooms, TimePoint now);
    /// Places a gang on one rack if it should be on one, or lets it wait for that, or spreads it.
    void placeGangByRack(Entry &entry,
                         const PendingStep &pending,
                         std::map<std::string, Wire::WorkerOrders> &orders,
                         TimePoint now);

    /// Maximum number of new starts per worker in one plan. It keeps order messages small, and an agent can execute
    /// them before the owner's call times out.
    static constexpr std::size_t maxStartsPerPlan = 24;
    /// Stands for agents that an unreadable roster may hold. Agents are named HOST:PORT, so that none reports under it.
    static constexpr const char *unknownAgents = "unknown";

    SchedulerSettings m_settings;
    std::int64_t m_epoch = 0;
    QueueTable m_queues;
    std::map<std::string, Entry> m_jobs;
    JobMemory m_memory;
    /// The part of it that cancels of unknown jobs take.
    JobMemory m_unknownCancels;
    std::set<std::string> m_active;
    std::set<std::string> m_changedJobs;
    /// Jobs whose pending steps must be recomputed.
    std::set<std::string> m_jobsToRefresh;
    /// Jobs with checkpoints that have not been handed over for recording.
    std::set<std::string> m_unrecordedCheckpoints;
    TimePoint m_checkpointsRecordedAt;
    std::map<StepKey, PendingStep> m_pending;
    /// Due times of the next occurrences of repeated jobs, in Unix milliseconds.
    std::set<std::pair<std::int64_t, std::string>> m_dueJobs;
    std::vector<UnplacedDemand> m_unplaced;
    /// Workers with ends that wait for the recording of a job, by job.
    std::map<std::string, std::set<std::string>> m_endsAwaiting;
    std::set<std::string> m_drainedZones;
    std::map<std::string, Worker> m_workers;
    /// Ids and start times of incarnations that are no longer known and whose runs were given up. One that returns must
    /// let its hold expire first.
    std::set<std::pair<std::string, std::int64_t>> m_givenUpIncarnations;
    /// Number of the last report of each agent, by its name.
    std::map<std::string, std::int64_t> m_lastReports;
    DurationEstimates m_durations;
    InterferenceTable m_interference;
    ServingBaselines m_baselines;
    /// The crashed incarnations of each agent's minion that were attributed, by the agent's name.
    std::map<std::string, std::set<std::int64_t>> m_attributedCrashes;
    /// A crash has changed a job since the last takeUnrecordedCrash().
    bool m_hasUnrecordedCrash = false;
    /// Agents of the restored roster that have not reported to this owner yet.
    std::set<std::string> m_unreported;
    TimePoint m_reportDeadline;
    /// Agents of the restored roster that have not reported in time.
    std::set<std::string> m_givenUpAgents;
    /// Agents that have reported a minion to this owner.
    std::set<std::string> m_reportedAgents;
    std::map<std::string, Wire::WorkerDescription> m_roster;
    std::set<std::string> m_recordedRoster;
    bool m_rosterChanged = false;
    TimePoint m_now;
    bool m_ownershipVerified = false;
    TimePoint m_waitLoggedAt;
    RackWaits m_rackWaits;
    std::size_t m_placementWaits = 0;
};

} // namespace Trefoilhoist::Jobs
