#pragma once

#include "trefoilhoist/jobs/jobscheduler.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Trefoilhoist::DispatchTrial {

/// Size and load of the simulated fleet.
struct TrialShape {
    int workers = 240;
    /// Mean number of task starts per second that the submitted jobs ask for.
    double startsPerSecond = 900;
    /// Simulated time that is measured.
    Duration length = seconds(10);
    /// The scheduler plans this often.
    Duration planInterval = milliseconds(10);
    std::uint64_t seed = 1;
};

/// Processor time that the scheduler took, by the kind of call, in seconds.
struct TrialCost {
    double reports = 0;
    double results = 0;
    double plans = 0;
    double records = 0;
    /// Encoding and decoding of the messages between the owner and the agents.
    double codec = 0;

    [[nodiscard]] double total() const
    {
        return reports + results + plans + records + codec;
    }
};

struct TrialResult {
    TrialCost cost;
    std::int64_t starts = 0;
    std::int64_t reports = 0;
    std::int64_t orderSets = 0;
    std::int64_t plans = 0;
    std::int64_t jobsFinished = 0;
    /// The longest single plan, in seconds of processor time.
    double longestPlan = 0;
    /// Mean time from the submission of a job to the end of its last task, in milliseconds.
    double meanJobMs = 0;
};

/// One scheduler with simulated workers and jobs in one process: no network and no store. Messages go through the
/// codec; records are durable after a fixed delay.
///
/// Half of the starts belong to best-effort steps of short tasks, half to wide steps of large tasks. Every worker also
/// runs long-running serving tasks.
class TrialFleet
{
public:
    explicit TrialFleet(const TrialShape &shape);

    /// Runs the fleet until the serving tasks are up, then measures for the length of the trial.
    TrialResult run();

private:
    struct TrialRun {
        TimePoint endsAt;
        bool serving = false;
        std::int64_t cpuMilli = 0;
    };
    struct TrialWorker {
        Wire::WorkerDescription info;
        std::map<Jobs::RunKey, TrialRun> runs;
        std::vector<Wire::EndedTask> ended;
        std::int64_t lastEnd = 0;
        std::int64_t listings = 0;
        std::int64_t reports = 0;
        TimePoint nextReport;
        bool reportDue = false;
    };

    void submitJobs();
    void submit(Wire::JobSpec spec);
    [[nodiscard]] Wire::JobSpec servingJob(int number);
    [[nodiscard]] Wire::JobSpec bestEffortJob();
    [[nodiscard]] Wire::JobSpec batchJob();
    void advance();
    void endRuns(TrialWorker &worker);
    void report(TrialWorker &worker);
    void plan();
    void execute(const std::string &worker, const Wire::WorkerOrders &orders);
    void record();

    TrialShape m_shape;
    std::mt19937_64 m_random;
    Jobs::JobScheduler m_scheduler;
    std::map<std::string, TrialWorker> m_workers;
    TimePoint m_now{seconds(1000)};
    TimePoint m_nextPlan;
    std::int64_t m_lastJob = 0;
    double m_owedStarts = 0;
    /// When the changes of each job become durable.
    std::map<std::string, TimePoint> m_durableAt;
    std::map<std::string, TimePoint> m_submittedAt;
    double m_jobMsSum = 0;
    TrialResult m_result;
};

} // namespace Trefoilhoist::DispatchTrial
