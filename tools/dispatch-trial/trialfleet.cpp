#include "trialfleet.h"

#include "trefoilhoist/net/tool.h"
#include "trefoilhoist/wire/message.h"

#include <algorithm>

namespace Trefoilhoist::DispatchTrial {

namespace {

constexpr Duration step = milliseconds(5);
constexpr Duration reportInterval = milliseconds(500);
/// From the change of a job to the store's answer.
constexpr Duration recordDelay = milliseconds(10);
constexpr Duration warmUp = seconds(4);
constexpr std::int32_t workerCpuMilli = 64'000;
constexpr std::int32_t workerMemoryMb = 256'000;
constexpr int servingTasksPerJob = 24;
constexpr std::int32_t servingCpuMilli = 6'000;
constexpr std::int64_t tailTargetMs = 100;
constexpr int images = 6;
constexpr int bestEffortTasks = 13;
constexpr int batchTasks = 40;
constexpr int workersPerRack = 20;

/// Adds the processor time of its own lifetime to a sum.
class CostScope
{
public:
    explicit CostScope(double &sum) : m_sum(sum), m_startedAt(processorSeconds()) { }
    ~CostScope()
    {
        m_sum += processorSeconds() - m_startedAt;
    }
    CostScope(const CostScope &) = delete;
    CostScope &operator=(const CostScope &) = delete;

private:
    double &m_sum;
    double m_startedAt;
};

template <typename Message>
Message throughCodec(const Message &message, double &cost)
{
    const CostScope scope(cost);
    return *Wire::decode<Message>(Wire::encode(message));
}

Wire::StepSpec stepOf(int count, std::int32_t cpuMilli, std::int64_t estimatedMs)
{
    Wire::StepSpec step;
    step.count = count;
    step.cpuMilli = cpuMilli;
    step.memoryMb = 512;
    step.estimatedMs = estimatedMs;
    return step;
}

} // namespace

TrialFleet::TrialFleet(const TrialShape &shape) : m_shape(shape), m_random(shape.seed), m_scheduler({}, 1)
{
    for (int i = 0; i < shape.workers; ++i) {
        TrialWorker worker;
        worker.info.id = "worker-" + std::to_string(i);
        worker.info.born = 1;
        worker.info.serviceName = "counter";
        worker.info.cpuMilli = workerCpuMilli;
        worker.info.memoryMb = workerMemoryMb;
        worker.info.labels = {"a", "rack-" + std::to_string(i / workersPerRack)};
        worker.info.agentHost = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250);
        worker.info.agentPort = 7720;
        worker.nextReport = m_now + i * reportInterval / shape.workers;
        m_workers.emplace(worker.info.id, std::move(worker));
    }
}

Wire::JobSpec TrialFleet::servingJob(int number)
{
    Wire::JobSpec spec;
    auto serving = stepOf(servingTasksPerJob, servingCpuMilli, 400);
    serving.longRunning = true;
    serving.tailTargetMs = tailTargetMs;
    serving.image = "serving-" + std::to_string(number % images);
    spec.steps = {serving};
    return spec;
}

Wire::JobSpec TrialFleet::bestEffortJob()
{
    Wire::JobSpec spec;
    auto first = stepOf(bestEffortTasks, 2'800, 800);
    first.usesIdleCpu = true;
    first.image = "fill-" + std::to_string(m_random() % images);
    spec.steps = {first};
    return spec;
}

Wire::JobSpec TrialFleet::batchJob()
{
    Wire::JobSpec spec;
    auto first = stepOf(batchTasks, 7'000, 1'700);
    first.checkpoints = true;
    auto second = first;
    second.after = {0};
    spec.steps = {first, second};
    return spec;
}

void TrialFleet::submit(Wire::JobSpec spec)
{
    spec.id = "job-" + std::to_string(++m_lastJob);
    spec.queue.name = "queue";
    spec.queue.serviceName = "counter";
    spec.queue.maxAttempts = 3;
    spec.queue.stretch = 2;
    spec.queue.targetLatencyMs = 1000;
    spec.payload = std::string(100, 'x');
    m_submittedAt[spec.id] = m_now;
    const CostScope scope(m_result.cost.records);
    m_scheduler.submit(spec, m_now);
    m_scheduler.accept(spec.id);
}

void TrialFleet::submitJobs()
{
    m_owedStarts += m_shape.startsPerSecond * std::chrono::duration<double>(step).count();
    while (m_owedStarts > 0) {
        // As many starts of either kind in the mean.
        const bool bestEffort = m_random() % (bestEffortTasks + 2 * batchTasks) >= bestEffortTasks;
        submit(bestEffort ? bestEffortJob() : batchJob());
        m_owedStarts -= bestEffort ? bestEffortTasks : 2 * batchTasks;
    }
}

void TrialFleet::endRuns(TrialWorker &worker)
{
    for (auto it = worker.runs.begin(); it != worker.runs.end();) {
        if (it->second.serving || it->second.endsAt > m_now) {
            ++it;
            continue;
        }
        Wire::EndedTask end;
        end.number = ++worker.lastEnd;
        end.task = it->first.task;
        end.run = it->first.run;
        end.how = static_cast<int>(Jobs::EndKind::Done);
        worker.ended.push_back(end);
        worker.reportDue = true;
        it = worker.runs.erase(it);
    }
}

void TrialFleet::report(TrialWorker &worker)
{
    Wire::WorkerReport report;
    report.worker = worker.info;
    report.epoch = m_scheduler.epoch();
    report.listing = ++worker.listings;
    report.number = ++worker.reports;
    report.listed = true;
    report.reachable = true;
    report.ended = worker.ended;
    for (const auto &[key, run] : worker.runs) {
        Wire::RunningTask row;
        row.task = key.task;
        row.run = key.run;
        row.percent = 100;
        row.usage = run.serving ? static_cast<std::int64_t>(40 + m_random() % 40) : run.cpuMilli;
        report.running.push_back(row);
    }
    const auto received = throughCodec(report, m_result.cost.codec);
    Wire::WorkerReportReply reply;
    {
        const CostScope scope(m_result.cost.reports);
        reply = m_scheduler.handleReport(received, true, m_now);
    }
    reply = throughCodec(reply, m_result.cost.codec);
    std::erase_if(worker.ended, [&](const auto &it) { return it.number <= reply.recordedEnds; });
    worker.reportDue = false;
    worker.nextReport = m_now + reportInterval;
    ++m_result.reports;
}

void TrialFleet::execute(const std::string &worker, const Wire::WorkerOrders &orders)
{
    const auto received = throughCodec(orders, m_result.cost.codec);
    auto &target = m_workers.at(worker);
    Wire::WorkerOrdersReply reply;
    for (const auto &it : received.starts) {
        TrialRun run;
        run.serving = it.info.tailTargetMs > 0;
        run.cpuMilli = it.info.cpuMilli;
        const auto estimatedMs = it.info.usesIdleCpu ? 800 : 1'700;
        run.endsAt = m_now + milliseconds(estimatedMs / 2 + static_cast<std::int64_t>(m_random() % estimatedMs));
        target.runs[{it.task, it.run}] = run;
        reply.starts.push_back(static_cast<int>(Jobs::OrderResult::Done));
    }
    reply.stops.assign(received.stops.size(), static_cast<int>(Jobs::OrderResult::Done));
    reply.listing = target.listings;
    m_result.starts += static_cast<std::int64_t>(received.starts.size());
    ++m_result.orderSets;
    reply = throughCodec(reply, m_result.cost.codec);
    const CostScope scope(m_result.cost.results);
    m_scheduler.handleOrderResults(orders, reply, m_now);
}

void TrialFleet::plan()
{
    std::map<std::string, Wire::WorkerOrders> orders;
    double cost = 0;
    {
        const CostScope scope(cost);
        orders = m_scheduler.plan(m_now, m_now.time_since_epoch().count() / 1000, true);
    }
    m_result.cost.plans += cost;
    m_result.longestPlan = std::max(m_result.longestPlan, cost);
    ++m_result.plans;
    for (const auto &[worker, it] : orders) {
        execute(worker, it);
    }
}

void TrialFleet::record()
{
    const CostScope scope(m_result.cost.records);
    if (const auto roster = m_scheduler.takeChangedRoster()) {
        m_scheduler.markRosterRecorded(*roster);
    }
    for (const auto &id : m_scheduler.takeChangedJobs()) {
        m_durableAt.try_emplace(id, m_now + recordDelay);
    }
    for (auto it = m_durableAt.begin(); it != m_durableAt.end();) {
        if (it->second > m_now) {
            ++it;
            continue;
        }
        const auto *job = m_scheduler.job(it->first);
        m_scheduler.markProgressRecorded(it->first, job->version());
        if (!job->isActive()) {
            ++m_result.jobsFinished;
            m_jobMsSum += std::chrono::duration<double, std::milli>(m_now - m_submittedAt[it->first]).count();
        }
        it = m_durableAt.erase(it);
    }
}

void TrialFleet::advance()
{
    m_now += step;
    for (auto &[id, worker] : m_workers) {
        endRuns(worker);
        if (worker.reportDue || m_now >= worker.nextReport) {
            report(worker);
        }
    }
    record();
    if (m_now >= m_nextPlan) {
        m_nextPlan = m_now + m_shape.planInterval;
        plan();
    }
}

TrialResult TrialFleet::run()
{
    for (int i = 0; i * servingTasksPerJob < m_shape.workers * 2; ++i) {
        submit(servingJob(i));
    }
    for (const auto until = m_now + warmUp; m_now < until;) {
        advance();
    }
    m_result = {};
    m_jobMsSum = 0;
    for (const auto until = m_now + m_shape.length; m_now < until;) {
        submitJobs();
        advance();
    }
    m_result.meanJobMs = m_result.jobsFinished == 0 ? 0 : m_jobMsSum / static_cast<double>(m_result.jobsFinished);
    return m_result;
}

} // namespace Trefoilhoist::DispatchTrial
