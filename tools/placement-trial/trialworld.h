#pragma once

#include "latencyhistogram.h"

#include "tools/placement-trial/trialshape.h"
#include "trefoilhoist/placement/policies/policysettings.h"
#include "trefoilhoist/placement/policy.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Trefoilhoist::Trial {

/// What one run of one policy came to.
struct TrialResult {
    /// Of the first service, in milliseconds.
    double p99 = 0;
    double p999 = 0;
    /// Requests over the target, over all services, 0 to 1.
    double late = 0;
    /// Work of finished tasks, in core-hours, and as a part of what was submitted and could finish.
    double finishedCoreHours = 0;
    double finishedPart = 0;
    int finishedTasks = 0;
    int evictions = 0;
    /// Work done again or lost, in core-hours.
    double wastedCoreHours = 0;
    double urgentP50 = 0;
    /// The slowest start of urgent work, in seconds.
    double urgentWorst = 0;
    int urgentStarts = 0;
    /// Urgent starts after more than 3.3 s.
    int urgentLate = 0;
    int outOfMemory = 0;
    int failedRuns = 0;
    int throttles = 0;
    int jobsFailed = 0;
    int goodJobsFailed = 0;
    int quarantines = 0;
    int goodWorkersQuarantined = 0;
    int unplaceable = 0;
    double decideMicroseconds = 0;
};

/// Fakes at a policy's interfaces: workers, tasks, services and their samples over paused time. Keeps the true
/// sizes and the true interference, which the policy sees only through lagging, noisy samples.
class TrialWorld
{
public:
    TrialWorld(TrialShape shape, PolicyKind kind, std::uint64_t seed, const PolicySettings &settings = {});

    /// Runs to the end of the shape's length.
    [[nodiscard]] TrialResult run();
    /// One step of the trial's time.
    void step();
    [[nodiscard]] TrialResult result() const;
    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }
    [[nodiscard]] const std::map<WorkerId, WorkerView> &workers() const
    {
        return m_workers;
    }

private:
    struct TrueTask {
        TrialClass batchClass;
        Resources size;
        double workSeconds = 0;
        double doneSeconds = 0;
        double keptSeconds = 0;
        bool urgent = false;
        bool failsEverywhere = false;
        TimePoint submittedAt{};
        bool startedOnce = false;
        int failures = 0;
        std::vector<WorkerId> failedOn;
    };
    struct Run {
        TaskId task;
        JobId job;
        WorkerId worker;
        std::int64_t run = 0;
        TimePoint startedAt{};
        TimePoint failsAt = TimePoint::max();
        TimePoint stopsAt = TimePoint::max();
        TimePoint keptAt{};
        double share = 1.0;
        double speed = 1.0;
    };
    struct Arrival {
        TimePoint at{};
        Job job;
        std::map<TaskId, TrueTask> tasks;
        bool possible = true;
    };
    struct Delayed {
        TimePoint at{};
        PolicyEvent event;
    };
    struct ServiceWindow {
        std::deque<double> p99;
    };

    void makeWorkers();
    void makeTrace();
    void addJob(TimePoint at, const TrialClass &batchClass, bool urgent);
    void addBadJobs();
    [[nodiscard]] double uniform(std::mt19937_64 &random, double from, double to) const;
    [[nodiscard]] double serviceLoad(std::size_t service, TimePoint at) const;

    void arrive();
    void cancelWave();
    void forgetWork(const JobId &id);
    void act(const std::vector<PolicyAction> &actions);
    void start(const StartTask &start);
    void evict(const EvictTask &evict);
    void failJob(const JobId &job);
    void progressRuns();
    void progress(Run &run, double seconds);
    void endRun(const Run &run, RunEnd end);
    void queueTask(const Run &run);
    void measureServices();
    void measureService(std::size_t index, const WorkerId &worker);
    void measureUsage();
    void killForMemory();
    [[nodiscard]] double usedMilliCpu(const Run &run) const;
    [[nodiscard]] double usedMemoryMb(const Run &run) const;
    void updateViews();
    void deliver();
    void checkCapacity() const;

    TrialShape m_shape;
    std::uint64_t m_seed;
    /// Draws that make the trace; the same for each policy.
    std::mt19937_64 m_trace;
    /// Draws made as the run goes on.
    std::mt19937_64 m_noise;
    PlacementPolicy m_policy;
    PolicyConfig m_terms;
    TimePoint m_now{};
    std::int64_t m_steps = 0;
    std::int64_t m_nextRun = 1;
    std::map<WorkerId, WorkerView> m_workers;
    std::map<JobId, Job> m_jobs;
    std::vector<PendingTask> m_pending;
    std::map<TaskId, TrueTask> m_tasks;
    std::map<TaskId, Run> m_runs;
    std::set<JobId> m_possible;
    std::deque<Arrival> m_arrivals;
    std::vector<TimePoint> m_cancelAt;
    std::vector<std::pair<TimePoint, double>> m_shifts;
    WorkerId m_badWorker;
    TimePoint m_badFrom{};
    TimePoint m_badTo{};
    std::deque<Delayed> m_delayed;
    std::map<std::pair<std::size_t, WorkerId>, ServiceWindow> m_windows;
    std::vector<LatencyHistogram> m_latencies;
    std::vector<double> m_urgentWaits;
    double m_submittedCoreSeconds = 0;
    double m_decideSeconds = 0;
    TrialResult m_result;
};

} // namespace Trefoilhoist::Trial
