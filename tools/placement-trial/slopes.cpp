#include "slopes.h"

#include "trefoilhoist/placement/policy.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace Trefoilhoist::Trial {

namespace {

constexpr int runningPerWorker = 20;
constexpr int tasksPerJob = 20;
constexpr int repeats = 7;

/// Processor time of this thread, so that a busy machine tells little into the figures.
double processorMicroseconds()
{
    timespec at{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
    return static_cast<double>(at.tv_sec) * 1e6 + static_cast<double>(at.tv_nsec) / 1e3;
}

/// A full site: each worker runs a service and tasks, and further tasks wait.
struct Site {
    std::map<WorkerId, WorkerView> workers;
    std::map<JobId, Job> jobs;
    std::vector<PendingTask> pending;
    PolicyConfig terms;
    TimePoint now{seconds(1000)};
};

Job &addJob(Site &site, int index, const Resources &size)
{
    const JobId id("j" + std::to_string(1'000'000 + index));
    auto &job = site.jobs[id];
    job.id = id;
    job.team = TeamId("t" + std::to_string(index % 8));
    job.batchClass = "c" + std::to_string(index % 6);
    for (int n = 0; n < tasksPerJob; ++n) {
        job.tasks.push_back({TaskId(id.str() + "-" + std::to_string(n)), id, size, seconds(60)});
    }
    return job;
}

void addWorkers(Site &site, int count)
{
    const ServiceId service("s");
    site.terms.services[service].latencyTarget = milliseconds(20);
    for (int n = 0; n < count; ++n) {
        const WorkerId id("w" + std::to_string(10'000 + n));
        auto &view = site.workers[id];
        view.worker.id = id;
        view.worker.rack = RackId("r" + std::to_string(n / 3));
        view.worker.zone = ZoneId("z" + std::to_string(n / 3 % 4));
        view.worker.capacity = {64'000, 250'000, 0};
        view.services = {service};
        view.serviceReserved = {4'000, 10'000, 0};
        const auto &job = addJob(site, n, {3'000, 12'000, 0});
        for (int i = 0; i < runningPerWorker; ++i) {
            const Resources size{3'000, 12'000, 0};
            view.running.push_back(
                {job.tasks[static_cast<std::size_t>(i)].id, job.id, i + 1, size, size, site.now, 1.0});
        }
    }
}

void addPending(Site &site, int count, const Resources &size)
{
    for (int n = 0; static_cast<int>(site.pending.size()) < count; ++n) {
        for (const auto &task : addJob(site, 500'000 + n, size).tasks) {
            site.pending.push_back({task, site.now, 0, {}});
        }
    }
}

/// Processor microseconds of a decision, the middle of several; the site is as it was before each.
double decideMicroseconds(const Site &site, PolicyKind kind)
{
    PlacementPolicy policy(kind, PolicyWeights{}, 1);
    std::vector<double> times;
    auto now = site.now;
    for (int n = 0; n < repeats; ++n) {
        now += seconds(1);
        for (const auto &[id, view] : site.workers) {
            policy.observe(ServiceSample{now, ServiceId("s"), id, milliseconds(8), 100});
        }
        const auto before = processorMicroseconds();
        const auto actions = policy.decide({now, site.workers, site.jobs, site.pending, &site.terms});
        const auto after = processorMicroseconds();
        times.push_back(after - before);
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

/// Processor microseconds of taking in `cancelled` ends of running tasks, with the decision that follows.
double cancelMicroseconds(int workers, int cancelled)
{
    std::vector<double> times;
    for (int n = 0; n < repeats; ++n) {
        Site site;
        addWorkers(site, workers);
        PlacementPolicy policy(PolicyKind::InterferenceAware, PolicyWeights{}, 1);
        (void)policy.decide({site.now, site.workers, site.jobs, site.pending, &site.terms});
        std::vector<RunEnded> ends;
        for (auto &[id, view] : site.workers) {
            while (!view.running.empty() && static_cast<int>(ends.size()) < cancelled) {
                const auto &running = view.running.back();
                ends.push_back({site.now, running.task, running.job, id, RunEnd::Cancelled, seconds(1)});
                view.running.pop_back();
            }
        }
        const auto before = processorMicroseconds();
        for (const auto &ended : ends) {
            policy.observe(ended);
        }
        (void)policy.decide({site.now + seconds(1), site.workers, site.jobs, site.pending, &site.terms});
        const auto after = processorMicroseconds();
        times.push_back(after - before);
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

} // namespace

void printSlopes()
{
    std::printf("| policy | workers | running | pending | decide, nothing fits (us) | decide, most start (us) |\n");
    std::printf("| --- | --- | --- | --- | --- | --- |\n");
    for (const auto kind : {PolicyKind::RandomFit, PolicyKind::BestFit, PolicyKind::InterferenceAware}) {
        for (const int workers : {10, 37, 100, 300, 1000}) {
            for (const int pending : {0, 512, 4096}) {
                Site full;
                addWorkers(full, workers);
                Site open = full;
                for (auto &entry : open.workers) {
                    entry.second.serviceReserved = {};
                }
                addPending(full, pending, {3'000, 12'000, 0});
                addPending(open, pending, {100, 100, 0});
                std::printf("| %s | %d | %d | %d | %.0f | %.0f |\n",
                            std::string(policyKindName(kind)).c_str(),
                            workers,
                            workers * runningPerWorker,
                            pending,
                            decideMicroseconds(full, kind),
                            decideMicroseconds(open, kind));
            }
        }
    }
    std::printf("\n| workers | cancelled of running | events and next decision (us) |\n| --- | --- | --- |\n");
    for (const int workers : {100, 300}) {
        for (const int cancelled : {0, 200, 1000, 2000}) {
            std::printf("| %d | %d of %d | %.0f |\n",
                        workers,
                        cancelled,
                        workers * runningPerWorker,
                        cancelMicroseconds(workers, cancelled));
        }
    }
}

} // namespace Trefoilhoist::Trial
