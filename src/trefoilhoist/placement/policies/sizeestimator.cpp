#include "trefoilhoist/placement/policies/sizeestimator.h"

#include <algorithm>
#include <cmath>

namespace Trefoilhoist::Detail {

namespace {

/// Number of observations above which older ones lose weight.
constexpr double maxCount = 60;
/// Prior standard deviation of the logarithm of an observed size, and the number of observations that the prior counts
/// for.
constexpr double priorDeviation = 0.3;
constexpr double priorCount = 2;
/// An absolute estimate is clamped to within this factor of the declaration.
constexpr double maxCorrection = 20;
/// A job's own observations are used once there are at least this many; a class's only when there are more.
constexpr double minObservations = 2;
/// A task that uses at least this fraction of its reservation is assumed to need more, because the reservation may have
/// capped its use.
constexpr double censoredAbove = 0.95;
constexpr double censoredFactor = 1.3;
/// A task's use is added as a new observation when it has grown by this factor.
constexpr double relearnFactor = 1.1;
constexpr int minSamplesPerRun = 2;
constexpr std::size_t maxStaleEntries = 256;

std::int64_t roundedUp(double value)
{
    return static_cast<std::int64_t>(std::ceil(value));
}

} // namespace

void Moments::add(double value)
{
    m_count = std::min(m_count + 1, maxCount);
    const double gain = 1 / m_count;
    const double difference = value - m_mean;
    m_mean += gain * difference;
    m_variance = (1 - gain) * (m_variance + gain * difference * difference);
}

double Moments::deviation() const
{
    const double sum = priorCount * priorDeviation * priorDeviation + m_count * m_variance;
    const double variance = sum / (priorCount + m_count);
    return std::sqrt(variance * (1 + 1 / std::max(m_count, 1.0)));
}

void SizeEstimator::Quantity::add(double declared, double observed)
{
    if (declared > 0 && observed > 0) {
        ratio.add(std::log(observed / declared));
    }
    if (observed > 0) {
        absolute.add(std::log(observed));
    }
}

double SizeEstimator::Quantity::value(double declared, double deviations) const
{
    const bool useRatio = declared > 0 && ratio.count() > 0 && ratio.deviation() <= absolute.deviation();
    if (useRatio) {
        return declared * std::exp(ratio.mean() + deviations * ratio.deviation());
    }
    const double value = std::exp(absolute.mean() + deviations * absolute.deviation());
    return declared > 0 ? std::clamp(value, declared / maxCorrection, declared * maxCorrection) : value;
}

SizeEstimator::SizeEstimator(const Settings &settings) : m_settings(settings) { }

void SizeEstimator::track(const Job &job, const Task &task)
{
    auto &tracked = m_tracked[task.id];
    const bool restarted = !tracked.job.empty();
    tracked = {};
    tracked.job = job.id;
    tracked.batchClass = job.batchClass;
    tracked.declared = task.declared;
    tracked.declaredRunTime = task.declaredRunTime;
    tracked.runTimeUnusable = restarted;
}

void SizeEstimator::setShare(const TaskId &task, double share, const Resources &reserved)
{
    const auto it = m_tracked.find(task);
    if (it == m_tracked.end()) {
        return;
    }
    it->second.share = share;
    it->second.reserved = reserved;
    it->second.runTimeUnusable |= share < 1.0;
}

void SizeEstimator::observe(const UsageSample &sample)
{
    const auto it = m_tracked.find(sample.task);
    if (it == m_tracked.end()) {
        return;
    }
    auto &tracked = it->second;
    const double share = std::max(tracked.share, 0.05);
    double cpu = static_cast<double>(sample.used.milliCpu) / share;
    const auto reserved = static_cast<double>(tracked.reserved.milliCpu);
    if (reserved > 0 && cpu >= censoredAbove * reserved && cpu <= reserved) {
        cpu *= censoredFactor;
    }
    ++tracked.samples;
    // Processor use is averaged; memory needs its peak.
    tracked.cpu = tracked.samples == 1 ? cpu : 0.7 * tracked.cpu + 0.3 * cpu;
    tracked.memory = std::max(tracked.memory, static_cast<double>(sample.used.memoryMb));
    if (tracked.samples >= minSamplesPerRun) {
        updateEstimates(tracked);
    }
}

void SizeEstimator::updateEstimates(Tracked &tracked)
{
    auto &classSizes = m_classes[tracked.batchClass];
    auto &jobSizes = m_jobs[tracked.job];
    if (tracked.cpu > relearnFactor * tracked.lastAddedCpu) {
        const auto declared = static_cast<double>(tracked.declared.milliCpu);
        classSizes.cpu.add(declared, tracked.cpu);
        jobSizes.cpu.add(declared, tracked.cpu);
        tracked.lastAddedCpu = tracked.cpu;
    }
    if (tracked.memory > relearnFactor * tracked.lastAddedMemory) {
        const auto declared = static_cast<double>(tracked.declared.memoryMb);
        classSizes.memory.add(declared, tracked.memory);
        jobSizes.memory.add(declared, tracked.memory);
        tracked.lastAddedMemory = tracked.memory;
    }
}

void SizeEstimator::observe(const RunEnded &ended)
{
    const auto it = m_tracked.find(ended.task);
    if (it == m_tracked.end()) {
        return;
    }
    auto &tracked = it->second;
    if (ended.end != RunEnd::Finished) {
        // A later run continues from a checkpoint, so its duration isn't the task's whole run time.
        tracked.runTimeUnusable = true;
        return;
    }
    if (!tracked.runTimeUnusable) {
        const double declared = std::chrono::duration<double>(tracked.declaredRunTime).count();
        const double observed = std::chrono::duration<double>(ended.ranFor).count();
        m_classes[tracked.batchClass].runTime.add(declared, observed);
        m_jobs[tracked.job].runTime.add(declared, observed);
    }
    m_tracked.erase(it);
}

const SizeEstimator::Quantity *SizeEstimator::bestSource(const Job &job, Quantity Sizes::*member) const
{
    const auto own = m_jobs.find(job.id);
    if (own != m_jobs.end() && (own->second.*member).absolute.count() >= minObservations) {
        return &(own->second.*member);
    }
    const auto shared = m_classes.find(job.batchClass);
    if (shared != m_classes.end() && (shared->second.*member).absolute.count() > minObservations) {
        return &(shared->second.*member);
    }
    return nullptr;
}

SizeEstimate SizeEstimator::estimate(const Job &job, const Task &task) const
{
    SizeEstimate estimate{task.declared, static_cast<double>(task.declared.milliCpu), task.declaredRunTime, 0};
    if (!m_settings.enabled) {
        return estimate;
    }
    if (const auto *cpu = bestSource(job, &Sizes::cpu)) {
        const auto declared = static_cast<double>(task.declared.milliCpu);
        estimate.reserve.milliCpu = roundedUp(cpu->value(declared, m_settings.cpuDeviations));
        estimate.meanMilliCpu = cpu->value(declared, 0);
        estimate.observations = cpu->absolute.count();
    }
    if (const auto *mem = bestSource(job, &Sizes::memory)) {
        const auto declared = static_cast<double>(task.declared.memoryMb);
        estimate.reserve.memoryMb = roundedUp(mem->value(declared, m_settings.memoryDeviations));
    }
    if (const auto *time = bestSource(job, &Sizes::runTime)) {
        const double declared = std::chrono::duration<double>(task.declaredRunTime).count();
        estimate.runTime = microseconds(roundedUp(time->value(declared, 0) * 1e6));
    }
    return estimate;
}

double SizeEstimator::unthrottledMilliCpu(const RunningTask &running) const
{
    const auto it = m_tracked.find(running.task);
    if (it != m_tracked.end() && it->second.samples > 0) {
        return it->second.cpu;
    }
    if (running.used.milliCpu > 0) {
        return static_cast<double>(running.used.milliCpu) / std::max(running.throttle, 0.05);
    }
    return static_cast<double>(running.reserved.milliCpu);
}

bool SizeEstimator::isTracked(const TaskId &task) const
{
    return m_tracked.contains(task);
}

Duration SizeEstimator::remaining(const Job &job, const RunningTask &running, TimePoint now) const
{
    const auto it = m_tracked.find(running.task);
    Task task;
    task.id = running.task;
    task.declaredRunTime = it == m_tracked.end() ? Duration{} : it->second.declaredRunTime;
    const auto expected = estimate(job, task).runTime;
    return std::max<Duration>(expected - (now - running.startedAt), Duration{});
}

void SizeEstimator::removeStale(const PolicyInput &input, std::size_t runningCount)
{
    if (m_jobs.size() > 2 * input.jobs.size() + maxStaleEntries) {
        std::erase_if(m_jobs, [&](const auto &entry) { return !input.jobs.contains(entry.first); });
    }
    if (m_tracked.size() > 2 * (runningCount + input.pending.size()) + maxStaleEntries) {
        std::erase_if(m_tracked, [&](const auto &entry) { return !input.jobs.contains(entry.second.job); });
    }
}

} // namespace Trefoilhoist::Detail
