#pragma once

#include "trefoilhoist/placement/cellowner.h"
#include "trefoilhoist/placement/jobintake.h"
#include "trefoilhoist/placement/workeragent.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Trefoilhoist::Testing {

/// Parameters of a simulated run.
struct PlacementSimulationPlan {
    std::uint64_t seed = 1;
    int workers = 4;
    int owners = 2;
    int jobs = 12;
    Duration faultTime = seconds(40);
    /// After the faults end, all jobs must finish within this time.
    Duration recoveryTime = seconds(400);
    bool cancels = true;
    /// Limits the faults to killed owners and store failures. A run that has finished on a worker then always stays
    /// reachable, so no task may finish twice.
    bool reliableWorkers = false;
    /// Replaces the random faults by one long partition: the owner loses the store, and the next owner can't reach most
    /// workers.
    bool partitionOwners = false;
    OwnerSafeguards ownerSafeguards;
    WorkerSafeguards workerSafeguards;
};

/// Result of a simulated run.
struct PlacementSimulationResult {
    /// Violated invariants in order of time; empty if all held.
    std::vector<std::string> violations;
    std::uint64_t startedRuns = 0;
    std::uint64_t finished = 0;
    std::uint64_t evictions = 0;
    std::uint64_t resumed = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t lapses = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t lostWrites = 0;
};

/// Simulates owners, workers and the job intake of an entry with a store and a network between them, on simulated
/// clocks that drift. Messages are lost, repeated, delayed and reordered; processes are killed and frozen; the store
/// becomes unavailable and loses answers. Checks the invariants against the runs that actually exist.
class PlacementSimulation
{
public:
    explicit PlacementSimulation(PlacementSimulationPlan plan);
    ~PlacementSimulation();

    PlacementSimulationResult run();

private:
    struct Run {
        StartOrder order;
        Duration done{};
        Duration checkpointed{};
        TimePoint updatedAt{};
    };
    struct WorkerHost {
        WorkerId id;
        Resources capacity;
        double rate = 1.0;
        Duration offset{};
        std::int64_t incarnation = 1;
        std::unique_ptr<WorkerAgent> agent;
        std::map<RunRef, Run> runs;
        bool frozen = false;
        bool killed = false;
        std::deque<std::function<void()>> inbox;
    };
    struct OwnerNode {
        int index = 0;
        double rate = 1.0;
        Duration offset{};
        /// Increases with each start of the process.
        int generation = 0;
        std::unique_ptr<CellOwner> owner;
        bool frozen = false;
        bool killed = false;
        bool storeUnreachable = false;
        std::deque<std::function<void()>> inbox;
        std::set<int> unreachableWorkers;
        /// The store lease as the node knows it, on its own clock.
        std::int64_t epoch = 0;
        TimePoint heldUntil{};
        /// Epoch in which the node gave up ownership.
        std::int64_t lostEpoch = 0;
        bool reading = false;
        bool acquiringLease = false;
        std::string session;
        std::set<std::uint64_t> answeredCalls;
    };
    struct Value {
        std::string text;
        std::uint64_t index = 0;
    };

    // Time.
    /// Schedules `action` after `delay`.
    void at(Duration delay, std::function<void()> action);
    void advanceUntil(TimePoint end, const std::function<bool()> &done);
    [[nodiscard]] TimePoint localNow(const OwnerNode &node) const;
    [[nodiscard]] TimePoint localNow(const WorkerHost &host) const;
    double randomChance();
    bool randomChance(double share);
    Duration randomDuration(Duration low, Duration high);
    Duration messageDelay();

    // Processes.
    void startOwnerNode(OwnerNode &node);
    void startWorkerHost(WorkerHost &host);
    void deliver(OwnerNode &node, std::function<void()> action);
    void deliver(WorkerHost &host, std::function<void()> action);
    void tickOwnerNode(OwnerNode &node);
    void tickWorkerHost(WorkerHost &host);
    void wake(OwnerNode &node);
    void wake(WorkerHost &host);

    // Owners.
    void handle(OwnerNode &node, const OwnerEvent &event);
    void send(OwnerNode &node, const SendSync &action);
    void syncArrives(int nodeIndex, int generation, int hostIndex, const SendSync &action);
    void runCommand(OwnerNode &node, const ExecuteStoreCommand &action);
    void renewLease(OwnerNode &node);
    void takeOver(OwnerNode &node);
    void readJobs(OwnerNode &node);
    [[nodiscard]] PlacementDecider randomDecider(OwnerNode &node);

    // Workers.
    void applyActions(WorkerHost &host, const WorkerAgent::Actions &actions);
    void begin(WorkerHost &host, const StartOrder &order);
    void progress(WorkerHost &host);
    void checkCheckpoint(const StartOrder &order, RunNumber previous, Duration done);
    void checkPlaces(const TaskId &task);

    // The store and the entry.
    [[nodiscard]] StoreReply apply(const StoreCommand &command);
    void callStore(const StoreCommand &command, bool cut, const std::function<void(StoreReply)> &done);
    void submitJobs();
    void tickEntry();
    void takeIntakeResults();
    [[nodiscard]] const Value &value(const std::string &key);

    void scheduleFaults();
    void injectRandomFault();
    void partitionOwners();
    void endFaults();
    [[nodiscard]] bool isComplete();
    void checkEnd();
    void violation(const std::string &text);

    PlacementSimulationPlan m_plan;
    PlacementSimulationResult m_result;
    std::mt19937_64 m_random;
    TimePoint m_now{};
    std::uint64_t m_sequence = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_events;
    bool m_faultsEnabled = true;

    std::vector<WorkerHost> m_workerHosts;
    std::vector<OwnerNode> m_ownerNodes;

    bool m_storeUp = true;
    std::map<std::string, Value> m_values;
    std::uint64_t m_storeIndex = 0;
    std::string m_leaseHolder;
    std::int64_t m_leaseEpoch = 0;
    TimePoint m_leaseUntil{};

    IntakeQueue m_intake;
    std::map<IntakeTicket, JobId> m_pendingSubmissions;
    std::map<IntakeTicket, JobId> m_cancellations;
    std::map<JobId, Job> m_jobs;
    std::set<JobId> m_storedJobs;
    std::set<JobId> m_cancelledJobs;
    std::set<JobId> m_unresolvedCancellations;
    std::set<RunRef> m_startedRuns;
    std::map<TaskId, RunNumber> m_highestRuns;
    std::map<TaskId, int> m_completionCounts;
    std::map<TaskId, RunNumber> m_recordedCompletions;
};

} // namespace Trefoilhoist::Testing
