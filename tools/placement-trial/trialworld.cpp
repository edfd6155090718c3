#include "trialworld.h"

#include "trefoilhoist/internal/invariant.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Trefoilhoist::Trial {

namespace {

constexpr Duration stepLength = milliseconds(250);
constexpr double stepSeconds = 0.25;
/// Time from a decided start to running work, and from a decided eviction to its end.
constexpr double startSeconds = 2.0;
constexpr Duration evictionTime = milliseconds(1000);
constexpr Duration ownCheckpoint = seconds(60);
constexpr int stepsPerServiceSample = 4;
constexpr int stepsPerUsageSample = 12;
constexpr std::size_t windowSteps = 20;
constexpr double sampleNoise = 0.15;
constexpr double latencySpread = 0.6;
constexpr double z99 = 2.326;
constexpr int drawsPerStep = 8;
constexpr int teams = 4;
constexpr double urgentTargetSeconds = 3.3;

double secondsOf(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

Duration durationOf(double value)
{
    return microseconds(static_cast<std::int64_t>(value * 1e6));
}

} // namespace

TrialWorld::TrialWorld(TrialShape shape, PolicyKind kind, std::uint64_t seed, const PolicySettings &settings)
    : m_shape(std::move(shape))
    , m_seed(seed)
    , m_trace(seed)
    , m_noise(seed + 1)
    , m_policy(kind, m_shape.weights, seed, settings)
    , m_now(seconds(1000))
    , m_latencies(m_shape.services.size())
{
    makeWorkers();
    makeTrace();
}

double TrialWorld::uniform(std::mt19937_64 &random, double from, double to) const
{
    return std::uniform_real_distribution<double>(from, to)(random);
}

void TrialWorld::makeWorkers()
{
    m_terms.weights = m_shape.weights;
    for (const auto &service : m_shape.services) {
        m_terms.services[service.id].latencyTarget = service.target;
    }
    for (int n = 0; n < m_shape.workers; ++n) {
        WorkerView view;
        const int rack = n / m_shape.workersPerRack;
        view.worker.id = WorkerId("w" + std::to_string(100 + n));
        view.worker.rack = RackId("r" + std::to_string(rack));
        view.worker.zone = ZoneId("z" + std::to_string(rack % m_shape.zones));
        view.worker.labels["disk"] = n % 2 == 0 ? "fast" : "slow";
        view.worker.capacity = m_shape.capacity;
        for (const auto &service : m_shape.services) {
            if (n % service.everyNth == 0) {
                view.services.push_back(service.id);
                view.serviceReserved += service.reserved;
            }
        }
        m_workers.emplace(view.worker.id, view);
    }
}

void TrialWorld::addJob(TimePoint at, const TrialClass &batchClass, bool urgent)
{
    Arrival arrival;
    arrival.at = at;
    auto &job = arrival.job;
    job.id = JobId("j" + std::to_string(100'000 + m_arrivals.size()));
    job.team = TeamId("team" + std::to_string(m_trace() % teams));
    job.batchClass = batchClass.name;
    job.urgent = urgent;
    if (m_trace() % 5 == 0) {
        job.where = "disk=fast";
    }
    const int count = urgent ? 1 : 1 + static_cast<int>(m_trace() % static_cast<unsigned>(batchClass.mostTasks));
    const double reach = std::log(m_shape.declaredOff);
    const double cpuOff = std::exp(uniform(m_trace, -reach, reach));
    const double memoryOff = std::exp(uniform(m_trace, -reach, reach));
    const double timeOff = std::exp(uniform(m_trace, -reach, reach));
    for (int n = 0; n < count; ++n) {
        Task task;
        task.id = TaskId(job.id.str() + "-" + std::to_string(n));
        task.job = job.id;
        TrueTask real;
        real.batchClass = batchClass;
        const double cpu = static_cast<double>(batchClass.size.milliCpu) * std::exp(uniform(m_trace, -0.2, 0.2));
        const double memory = static_cast<double>(batchClass.size.memoryMb) * std::exp(uniform(m_trace, -0.2, 0.2));
        real.size = {static_cast<std::int64_t>(cpu), static_cast<std::int64_t>(memory), batchClass.size.accelerators};
        real.workSeconds = secondsOf(batchClass.runTime) * std::exp(uniform(m_trace, -0.5, 0.5));
        real.urgent = urgent;
        task.declared.milliCpu = static_cast<std::int64_t>(cpu * cpuOff);
        task.declared.memoryMb = static_cast<std::int64_t>(memory * memoryOff);
        task.declared.accelerators = batchClass.size.accelerators;
        task.declared.milliCpu = std::clamp<std::int64_t>(task.declared.milliCpu, 100, m_shape.capacity.milliCpu / 2);
        task.declared.memoryMb = std::clamp<std::int64_t>(task.declared.memoryMb, 100, m_shape.capacity.memoryMb / 2);
        task.declaredRunTime = durationOf(real.workSeconds * timeOff);
        job.tasks.push_back(task);
        arrival.tasks.emplace(task.id, std::move(real));
    }
    m_arrivals.push_back(std::move(arrival));
}

void TrialWorld::makeTrace()
{
    const auto end = m_now + m_shape.length;
    double room = 0;
    for (const auto &[id, view] : m_workers) {
        room += static_cast<double>(view.worker.capacity.milliCpu - view.serviceReserved.milliCpu);
    }
    for (const auto &batchClass : m_shape.classes) {
        const double work = static_cast<double>(batchClass.size.milliCpu) * secondsOf(batchClass.runTime)
            * (1 + batchClass.mostTasks) / 2.0;
        double rate = m_shape.demand * room * batchClass.part / work;
        // Waves last a fifth of the time.
        rate *= batchClass.inWaves ? 5 : 1;
        auto at = m_now;
        while (true) {
            at += durationOf(std::exponential_distribution<double>(rate)(m_trace));
            if (at >= end) {
                break;
            }
            const bool inWave = static_cast<int>(secondsOf(at - m_now)) % 300 >= 240;
            if (!batchClass.inWaves || inWave) {
                addJob(at, batchClass, false);
            }
        }
    }
    for (auto at = m_now + seconds(20); at < end; at += durationOf(uniform(m_trace, 10, 40))) {
        addJob(at, m_shape.classes[m_trace() % m_shape.classes.size()], true);
    }
    if (m_shape.badJobs) {
        addBadJobs();
    }
    std::stable_sort(
        m_arrivals.begin(), m_arrivals.end(), [](const auto &left, const auto &right) { return left.at < right.at; });
    for (auto at = m_now; at < end; at += durationOf(uniform(m_trace, 40, 120))) {
        m_shifts.emplace_back(at, m_shape.loadShifts ? uniform(m_trace, 0.3, 1.2) : 0.7);
    }
    if (m_shape.cancellations) {
        m_cancelAt = {m_now + m_shape.length / 3, m_now + 2 * m_shape.length / 3};
    }
    if (m_shape.badWorker) {
        m_badWorker = std::next(m_workers.begin(), static_cast<int>(m_trace() % m_workers.size()))->first;
        m_badFrom = m_now + m_shape.length / 4;
        m_badTo = m_now + m_shape.length / 2;
    }
}

void TrialWorld::addBadJobs()
{
    for (int n = 0; n < 12; ++n) {
        const auto at = m_now + durationOf(uniform(m_trace, 10, secondsOf(m_shape.length)));
        addJob(at, m_shape.classes[m_trace() % m_shape.classes.size()], false);
        auto &arrival = m_arrivals.back();
        arrival.possible = false;
        if (n % 3 == 0) {
            arrival.job.where = "disk=tape";
        } else if (n % 3 == 1) {
            for (auto &task : arrival.job.tasks) {
                task.declared.milliCpu = 3 * m_shape.capacity.milliCpu;
                arrival.tasks.at(task.id).size.milliCpu = task.declared.milliCpu;
            }
            arrival.job.batchClass += "-wide";
        } else {
            for (auto &entry : arrival.tasks) {
                entry.second.failsEverywhere = true;
            }
        }
    }
}

double TrialWorld::serviceLoad(std::size_t service, TimePoint at) const
{
    double level = 0.7;
    double before = 0.7;
    TimePoint since = m_now;
    for (const auto &[from, shifted] : m_shifts) {
        if (from > at) {
            break;
        }
        before = level;
        level = shifted;
        since = from;
    }
    // A shift takes 15 s to come through; services shift by different parts.
    const double part = std::clamp(secondsOf(at - since) / 15.0, 0.0, 1.0);
    const double mixed = before + (level - before) * part;
    const double wave = 0.1 * std::sin(2 * std::numbers::pi * secondsOf(at.time_since_epoch()) / 97.0);
    return std::max(0.1, mixed * (service % 2 == 0 ? 1.0 : 0.9) + wave);
}

TrialResult TrialWorld::run()
{
    const auto end = m_now + m_shape.length;
    while (m_now < end) {
        step();
    }
    return result();
}

void TrialWorld::step()
{
    m_now += stepLength;
    ++m_steps;
    arrive();
    if (!m_cancelAt.empty() && m_now >= m_cancelAt.front()) {
        m_cancelAt.erase(m_cancelAt.begin());
        cancelWave();
    }
    progressRuns();
    killForMemory();
    measureServices();
    measureUsage();
    deliver();
    updateViews();
    const auto before = std::chrono::steady_clock::now();
    const auto actions = m_policy.decide({m_now, m_workers, m_jobs, m_pending, &m_terms});
    m_decideSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
    act(actions);
    checkCapacity();
}

void TrialWorld::arrive()
{
    while (!m_arrivals.empty() && m_arrivals.front().at <= m_now) {
        auto arrival = std::move(m_arrivals.front());
        m_arrivals.pop_front();
        const auto id = arrival.job.id;
        for (auto &task : arrival.job.tasks) {
            task.job = id;
            auto &real = arrival.tasks.at(task.id);
            real.submittedAt = m_now;
            m_pending.push_back({task, m_now, 0, {}});
            if (arrival.possible) {
                m_submittedCoreSeconds += real.workSeconds * static_cast<double>(real.size.milliCpu) / 1000;
            }
        }
        if (arrival.possible) {
            m_possible.insert(id);
        }
        m_tasks.merge(arrival.tasks);
        m_jobs.emplace(id, std::move(arrival.job));
    }
}

void TrialWorld::cancelWave()
{
    std::set<JobId> cancelled;
    std::mt19937_64 draw(m_seed + static_cast<std::uint64_t>(m_steps));
    for (const auto &entry : m_jobs) {
        if (draw() % 10 < 3) {
            cancelled.insert(entry.first);
        }
    }
    std::erase_if(m_pending, [&](const auto &pending) { return cancelled.contains(pending.task.job); });
    std::vector<Run> ended;
    for (const auto &[id, run] : m_runs) {
        if (cancelled.contains(run.job)) {
            ended.push_back(run);
        }
    }
    for (const auto &run : ended) {
        endRun(run, RunEnd::Cancelled);
    }
    for (const auto &id : cancelled) {
        forgetWork(id);
    }
}

void TrialWorld::forgetWork(const JobId &id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end()) {
        return;
    }
    for (const auto &task : it->second.tasks) {
        const auto &real = m_tasks.at(task.id);
        if (m_possible.contains(id)) {
            m_submittedCoreSeconds -= real.workSeconds * static_cast<double>(real.size.milliCpu) / 1000;
        }
    }
    m_jobs.erase(it);
}

void TrialWorld::act(const std::vector<PolicyAction> &actions)
{
    for (const auto &action : actions) {
        if (const auto *started = std::get_if<StartTask>(&action)) {
            start(*started);
        } else if (const auto *throttled = std::get_if<ThrottleTask>(&action)) {
            const auto it = m_runs.find(throttled->task);
            m_result.throttles += throttled->share < 1.0 ? 1 : 0;
            if (it != m_runs.end()) {
                it->second.share = throttled->share;
            }
        } else if (const auto *evicted = std::get_if<EvictTask>(&action)) {
            evict(*evicted);
        } else if (const auto *quarantined = std::get_if<QuarantineWorker>(&action)) {
            ++m_result.quarantines;
            const bool bad = quarantined->worker == m_badWorker && m_now >= m_badFrom && m_now <= m_badTo + seconds(10);
            m_result.goodWorkersQuarantined += bad ? 0 : 1;
        } else if (std::holds_alternative<ReportUnplaceable>(action)) {
            ++m_result.unplaceable;
        } else if (const auto *failed = std::get_if<FailJob>(&action)) {
            failJob(failed->job);
        }
    }
}

void TrialWorld::start(const StartTask &start)
{
    const auto pending = std::find_if(
        m_pending.begin(), m_pending.end(), [&](const auto &entry) { return entry.task.id == start.task; });
    TREFOILHOIST_INVARIANT(pending != m_pending.end(), "P2 never in two places");
    auto &view = m_workers.at(start.worker);
    auto &real = m_tasks.at(start.task);
    Run run{start.task, pending->task.job, start.worker, m_nextRun++, m_now, TimePoint::max(), TimePoint::max(), m_now};
    if (real.urgent && !real.startedOnce) {
        m_urgentWaits.push_back(secondsOf(m_now - real.submittedAt));
    }
    real.startedOnce = true;
    const bool badWorker = start.worker == m_badWorker && m_now >= m_badFrom && m_now < m_badTo;
    if (badWorker || real.failsEverywhere) {
        run.failsAt = m_now + durationOf(uniform(m_noise, 0.5, 3));
    }
    RunningTask running;
    running.task = start.task;
    running.job = run.job;
    running.run = run.run;
    running.reserved = start.reserve;
    running.startedAt = m_now;
    view.running.push_back(running);
    m_runs.emplace(start.task, run);
    m_pending.erase(pending);
}

void TrialWorld::evict(const EvictTask &evict)
{
    const auto it = m_runs.find(evict.task);
    if (it != m_runs.end() && it->second.stopsAt == TimePoint::max()) {
        it->second.stopsAt = m_now + evictionTime;
        ++m_result.evictions;
    }
}

void TrialWorld::failJob(const JobId &job)
{
    ++m_result.jobsFailed;
    m_result.goodJobsFailed += m_possible.contains(job) ? 1 : 0;
    std::erase_if(m_pending, [&](const auto &pending) { return pending.task.job == job; });
    std::vector<Run> ended;
    for (const auto &[id, run] : m_runs) {
        if (run.job == job) {
            ended.push_back(run);
        }
    }
    for (const auto &run : ended) {
        endRun(run, RunEnd::Cancelled);
    }
    m_jobs.erase(job);
}

double TrialWorld::usedMilliCpu(const Run &run) const
{
    return static_cast<double>(m_tasks.at(run.task).size.milliCpu) * run.share * run.speed;
}

double TrialWorld::usedMemoryMb(const Run &run) const
{
    const double grown = std::min(1.0, 0.2 + secondsOf(m_now - run.startedAt) / 10);
    return static_cast<double>(m_tasks.at(run.task).size.memoryMb) * grown;
}

void TrialWorld::progressRuns()
{
    std::map<WorkerId, double> wanted;
    for (const auto &[id, run] : m_runs) {
        wanted[run.worker] += static_cast<double>(m_tasks.at(id).size.milliCpu) * run.share;
    }
    const double load = serviceLoad(0, m_now);
    std::vector<std::pair<Run, RunEnd>> ended;
    for (auto &[id, run] : m_runs) {
        const auto &view = m_workers.at(run.worker);
        const auto services = static_cast<double>(view.serviceReserved.milliCpu) * std::min(1.0, 0.2 + 0.6 * load);
        const double free = static_cast<double>(view.worker.capacity.milliCpu) - services;
        run.speed = std::min(1.0, free / std::max(wanted[run.worker], 1.0));
        if (m_now >= run.failsAt) {
            ended.emplace_back(run, RunEnd::Failed);
            continue;
        }
        if (m_now >= run.stopsAt) {
            ended.emplace_back(run, RunEnd::Evicted);
            continue;
        }
        progress(run, stepSeconds);
        if (m_tasks.at(id).doneSeconds >= m_tasks.at(id).workSeconds) {
            ended.emplace_back(run, RunEnd::Finished);
        }
    }
    for (const auto &[run, end] : ended) {
        endRun(run, end);
    }
}

void TrialWorld::progress(Run &run, double seconds)
{
    auto &task = m_tasks.at(run.task);
    const double cores = static_cast<double>(task.size.milliCpu) / 1000;
    if (secondsOf(m_now - run.startedAt) <= startSeconds) {
        m_result.wastedCoreHours += run.run > 0 && task.keptSeconds > 0 ? cores * seconds / 3600 : 0;
        return;
    }
    task.doneSeconds += run.share * run.speed * seconds;
    if (m_now - run.keptAt >= ownCheckpoint) {
        run.keptAt = m_now;
        task.keptSeconds = task.doneSeconds;
    }
}

void TrialWorld::endRun(const Run &ended, RunEnd end)
{
    const Run run = ended;
    auto &task = m_tasks.at(run.task);
    const double cores = static_cast<double>(task.size.milliCpu) / 1000;
    if (end == RunEnd::Evicted) {
        task.keptSeconds = task.doneSeconds;
    }
    if (end == RunEnd::Failed || end == RunEnd::Lost) {
        m_result.wastedCoreHours += cores * (task.doneSeconds - task.keptSeconds) / 3600;
        task.doneSeconds = task.keptSeconds;
        ++m_result.failedRuns;
    }
    if (end == RunEnd::Failed) {
        ++task.failures;
        task.failedOn.push_back(run.worker);
    }
    if (end == RunEnd::Finished) {
        ++m_result.finishedTasks;
        m_result.finishedCoreHours += cores * task.workSeconds / 3600;
    }
    auto &running = m_workers.at(run.worker).running;
    std::erase_if(running, [&](const auto &entry) { return entry.task == run.task; });
    m_runs.erase(run.task);
    m_policy.observe(RunEnded{m_now, run.task, run.job, run.worker, end, m_now - run.startedAt});
    if (end == RunEnd::Cancelled) {
        return;
    }
    if (end == RunEnd::Finished) {
        auto it = m_jobs.find(run.job);
        if (it != m_jobs.end()) {
            std::erase_if(it->second.tasks, [&](const auto &entry) { return entry.id == run.task; });
            if (it->second.tasks.empty()) {
                m_jobs.erase(it);
            }
        }
        return;
    }
    queueTask(run);
}

void TrialWorld::queueTask(const Run &run)
{
    const auto &job = m_jobs.at(run.job);
    const auto &real = m_tasks.at(run.task);
    for (const auto &task : job.tasks) {
        if (task.id == run.task) {
            m_pending.push_back({task, m_now, real.failures, real.failedOn});
        }
    }
}

void TrialWorld::killForMemory()
{
    std::vector<Run> killed;
    for (const auto &[id, view] : m_workers) {
        auto used = static_cast<double>(view.serviceReserved.memoryMb);
        const Run *largest = nullptr;
        for (const auto &running : view.running) {
            const auto &run = m_runs.at(running.task);
            used += usedMemoryMb(run);
            const bool larger = largest == nullptr || usedMemoryMb(run) > usedMemoryMb(*largest);
            largest = larger ? &run : largest;
        }
        if (used > static_cast<double>(view.worker.capacity.memoryMb) && largest != nullptr) {
            killed.push_back(*largest);
        }
    }
    for (const auto &run : killed) {
        ++m_result.outOfMemory;
        endRun(run, RunEnd::Lost);
    }
}

void TrialWorld::measureServices()
{
    for (std::size_t index = 0; index < m_shape.services.size(); ++index) {
        for (const auto &[id, view] : m_workers) {
            if (std::find(view.services.begin(), view.services.end(), m_shape.services[index].id)
                != view.services.end()) {
                measureService(index, id);
            }
        }
    }
}

void TrialWorld::measureService(std::size_t index, const WorkerId &worker)
{
    const auto &service = m_shape.services[index];
    const auto &view = m_workers.at(worker);
    const double load = serviceLoad(index, m_now);
    const auto capacity = static_cast<double>(view.worker.capacity.milliCpu);
    double slowing = 0;
    double wanted = static_cast<double>(view.serviceReserved.milliCpu) * std::min(1.0, 0.2 + 0.6 * load);
    for (const auto &running : view.running) {
        const auto &run = m_runs.at(running.task);
        const auto it = service.slowedBy.find(m_tasks.at(run.task).batchClass.name);
        wanted += static_cast<double>(m_tasks.at(run.task).size.milliCpu) * run.share;
        slowing += it == service.slowedBy.end() ? 0 : it->second * usedMilliCpu(run) / capacity;
    }
    const double crowded = std::max(0.0, wanted / capacity - 1);
    const double p99
        = service.baseMs * (1 + 0.5 * load * load * load) * (1 + slowing * (0.2 + 0.8 * load)) * (1 + 2 * crowded);
    for (int n = 0; n < drawsPerStep; ++n) {
        const double z = std::normal_distribution<double>()(m_noise);
        m_latencies[index].add(p99 * std::exp(latencySpread * (z - z99)), service.requestsPerSecond * load);
    }
    auto &window = m_windows[{index, worker}].p99;
    window.push_back(p99);
    if (window.size() > windowSteps) {
        window.pop_front();
    }
    if (m_steps % stepsPerServiceSample != 0) {
        return;
    }
    double mean = 0;
    for (const double value : window) {
        mean += value / static_cast<double>(window.size());
    }
    const double seen = mean * std::exp(sampleNoise * std::normal_distribution<double>()(m_noise));
    const double rate = service.requestsPerSecond * load * uniform(m_noise, 0.95, 1.05);
    m_delayed.push_back({m_now + durationOf(uniform(m_noise, 3, 6)),
                         ServiceSample{m_now, service.id, worker, durationOf(seen / 1000), rate}});
}

void TrialWorld::measureUsage()
{
    if (m_steps % stepsPerUsageSample != 0) {
        return;
    }
    for (const auto &[id, run] : m_runs) {
        const double noise = uniform(m_noise, 0.95, 1.05);
        const Resources used{
            static_cast<std::int64_t>(usedMilliCpu(run) * noise), static_cast<std::int64_t>(usedMemoryMb(run)), 0};
        m_delayed.push_back({m_now + seconds(4), UsageSample{m_now, id, run.job, run.worker, used}});
    }
}

void TrialWorld::deliver()
{
    std::erase_if(m_delayed, [&](const auto &delayed) {
        if (delayed.at > m_now) {
            return false;
        }
        if (const auto *usage = std::get_if<UsageSample>(&delayed.event)) {
            for (auto &running : m_workers.at(usage->worker).running) {
                if (running.task == usage->task && running.startedAt <= usage->measuredAt) {
                    running.used = usage->used;
                }
            }
        }
        m_policy.observe(delayed.event);
        return true;
    });
}

void TrialWorld::updateViews()
{
    for (auto &[id, view] : m_workers) {
        for (auto &running : view.running) {
            running.throttle = m_runs.at(running.task).share;
        }
    }
}

void TrialWorld::checkCapacity() const
{
    for (const auto &[id, view] : m_workers) {
        auto reserved = view.serviceReserved + view.unconfirmedReserved;
        for (const auto &running : view.running) {
            reserved += running.reserved;
        }
        TREFOILHOIST_INVARIANT(fits(reserved, view.worker.capacity), "P1 capacity");
    }
}

TrialResult TrialWorld::result() const
{
    auto result = m_result;
    result.p99 = m_latencies.front().quantile(0.99);
    result.p999 = m_latencies.front().quantile(0.999);
    for (std::size_t index = 0; index < m_latencies.size(); ++index) {
        const double target = std::chrono::duration<double, std::milli>(m_shape.services[index].target).count();
        result.late += m_latencies[index].shareAbove(target) / static_cast<double>(m_latencies.size());
    }
    result.finishedPart = m_submittedCoreSeconds > 0 ? result.finishedCoreHours * 3600 / m_submittedCoreSeconds : 0;
    auto waits = m_urgentWaits;
    std::sort(waits.begin(), waits.end());
    result.urgentStarts = static_cast<int>(waits.size());
    result.urgentLate = static_cast<int>(
        std::count_if(waits.begin(), waits.end(), [](double wait) { return wait > urgentTargetSeconds; }));
    if (!waits.empty()) {
        result.urgentP50 = waits[waits.size() / 2];
        result.urgentWorst = waits.back();
    }
    result.decideMicroseconds = m_steps > 0 ? m_decideSeconds * 1e6 / static_cast<double>(m_steps) : 0;
    return result;
}

} // namespace Trefoilhoist::Trial
