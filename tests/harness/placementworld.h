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

/// What a run of the world brings about.
struct WorldPlan {
    std::uint64_t seed = 1;
    int workers = 4;
    int owners = 2;
    int jobs = 12;
    Duration faultTime = seconds(40);
    /// After the faults everything must finish within this.
    Duration healTime = seconds(400);
    bool cancels = true;
    /// Only owners are killed, messages lost and the store fails: no worker's lease lapses, so no work is lost.
    bool steadyWorkers = false;
    /// Cuts between an owner and a worker, and an owner and the store, last long.
    bool longCuts = false;
    OwnerSafety ownerSafety;
    WorkerSafety workerSafety;
};

/// What a run of the world came to.
struct WorldOutcome {
    /// Broken promises, in order; empty when all held.
    std::vector<std::string> violations;
    std::uint64_t begun = 0;
    std::uint64_t finished = 0;
    std::uint64_t evictions = 0;
    std::uint64_t resumed = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t lapses = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t lostWrites = 0;
};

/// Owners, workers and an entry's intake with a store and a network between them, on paused clocks that drift.
/// Messages are lost, repeated, late and out of order; processes are killed and frozen; the store goes out and
/// loses answers. Watches what really runs.
class PlacementWorld
{
public:
    explicit PlacementWorld(WorldPlan plan);
    ~PlacementWorld();

    WorldOutcome run();

private:
    struct Run {
        StartOrder order;
        Duration done{};
        Duration checkpointed{};
        TimePoint updatedAt{};
    };
    struct Host {
        WorkerId id;
        Resources capacity;
        double rate = 1.0;
        Duration offset{};
        std::int64_t incarnation = 1;
        std::unique_ptr<WorkerAgent> agent;
        std::map<RunRef, Run> runs;
        bool frozen = false;
        bool dead = false;
        std::deque<std::function<void()>> inbox;
    };
    struct Node {
        int index = 0;
        double rate = 1.0;
        Duration offset{};
        /// Rises with each start of the process.
        int generation = 0;
        std::unique_ptr<CellOwner> owner;
        bool frozen = false;
        bool dead = false;
        bool storeCut = false;
        std::deque<std::function<void()>> inbox;
        std::set<int> cutWorkers;
        /// The lease as the node knows it, on its own clock.
        std::int64_t epoch = 0;
        TimePoint heldUntil{};
        std::int64_t endedEpoch = 0;
        bool reading = false;
        bool acquiring = false;
        std::string session;
        std::set<std::uint64_t> answered;
    };
    struct Value {
        std::string text;
        std::uint64_t index = 0;
    };

    // Time.
    void at(Duration delay, std::function<void()> action);
    void advanceUntil(TimePoint end, const std::function<bool()> &done);
    [[nodiscard]] TimePoint localNow(const Node &node) const;
    [[nodiscard]] TimePoint localNow(const Host &host) const;
    double chance();
    bool chance(double share);
    Duration between(Duration low, Duration high);
    Duration messageDelay();

    // Processes.
    void startNode(Node &node);
    void startHost(Host &host);
    void deliver(Node &node, std::function<void()> action);
    void deliver(Host &host, std::function<void()> action);
    void tickNode(Node &node);
    void tickHost(Host &host);
    void wake(Node &node);
    void wake(Host &host);

    // Owners.
    void handle(Node &node, const OwnerEvent &event);
    void send(Node &node, const SendSync &action);
    void syncArrives(int nodeIndex, int generation, int hostIndex, const SendSync &action);
    void runCommand(Node &node, const RunCommand &action);
    void keepLease(Node &node);
    void takeOver(Node &node);
    void readJobs(Node &node);
    [[nodiscard]] PlacementDecider randomDecider(Node &node);

    // Workers.
    void carryOut(Host &host, const WorkerAgent::Actions &actions);
    void begin(Host &host, const StartOrder &order);
    void progress(Host &host);
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
    void randomFault();
    void heal();
    [[nodiscard]] bool allDone();
    void checkEnd();
    void violation(const std::string &text);

    WorldPlan m_plan;
    WorldOutcome m_outcome;
    std::mt19937_64 m_random;
    TimePoint m_now{};
    std::uint64_t m_sequence = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_queue;
    bool m_faulty = true;

    std::vector<Host> m_hosts;
    std::vector<Node> m_nodes;

    bool m_storeUp = true;
    std::map<std::string, Value> m_values;
    std::uint64_t m_storeIndex = 0;
    std::string m_leaseHolder;
    std::int64_t m_leaseEpoch = 0;
    TimePoint m_leaseUntil{};

    IntakeQueue m_intake;
    std::map<IntakeTicket, JobId> m_submissions;
    std::map<IntakeTicket, JobId> m_cancellations;
    std::map<JobId, Job> m_jobs;
    std::set<JobId> m_kept;
    std::set<JobId> m_cancelled;
    std::set<JobId> m_cancelKept;
    std::set<RunRef> m_begun;
    std::map<TaskId, RunNumber> m_highest;
    std::map<TaskId, int> m_finishes;
    std::map<TaskId, RunNumber> m_recorded;
};

} // namespace Trefoilhoist::Testing
