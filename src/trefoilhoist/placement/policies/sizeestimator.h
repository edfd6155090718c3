#pragma once

#include "trefoilhoist/placement/policytypes.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace Trefoilhoist::Detail {

/// Mean and variance of a quantity that drifts slowly; old observations fade.
class Moments
{
public:
    void add(double value);
    [[nodiscard]] double count() const
    {
        return m_count;
    }
    [[nodiscard]] double mean() const
    {
        return m_mean;
    }
    /// Standard deviation, widened while there are few observations.
    [[nodiscard]] double deviation() const;

private:
    double m_count = 0;
    double m_mean = 0;
    double m_variance = 0;
};

/// What a task is expected to need.
struct SizeEstimate {
    Resources reserve;
    /// Expected processors in use, in thousandths.
    double meanMilliCpu = 0;
    Duration runTime{};
    /// Tasks that the estimate rests on; zero means that it is only the declaration.
    double observations = 0;
};

/// Corrects declared sizes and run times from lagging usage, per batch class and per job. Not thread-safe.
///
/// Sizes are log-normal around either a multiple of the declaration or a size of the class's own, whichever
/// spreads less; a job's own tasks go before its class.
class SizeEstimator
{
public:
    /// Settings; the defaults hold in programs.
    struct Settings {
        /// Deviations above the mean that are set aside.
        double cpuDeviations = 0.7;
        double memoryDeviations = 2.0;
        /// Off: the declaration is taken as it stands.
        bool enabled = true;
    };

    SizeEstimator() = default;
    explicit SizeEstimator(const Settings &settings);

    /// Follows a task from its start; `startedAt` is the start of the run.
    void track(const Job &job, const Task &task);
    void setShare(const TaskId &task, double share, const Resources &reserved);
    void observe(const UsageSample &sample);
    void observe(const RunEnded &ended);

    [[nodiscard]] SizeEstimate estimate(const Job &job, const Task &task) const;
    /// Processors that the running task would use unthrottled, in thousandths.
    [[nodiscard]] double unthrottledMilliCpu(const RunningTask &running) const;
    [[nodiscard]] bool isTracked(const TaskId &task) const;
    /// Expected time until the run ends.
    [[nodiscard]] Duration remaining(const Job &job, const RunningTask &running, TimePoint now) const;

    void removeStale(const PolicyInput &input, std::size_t runningCount);

private:
    /// One quantity of one class or job.
    struct Quantity {
        Moments ratio;
        Moments absolute;
        void add(double declared, double observed);
        [[nodiscard]] double value(double declared, double deviations) const;
    };
    struct Sizes {
        Quantity cpu;
        Quantity memory;
        Quantity runTime;
    };
    struct Tracked {
        JobId job;
        std::string batchClass;
        Resources declared;
        Duration declaredRunTime{};
        Resources reserved;
        double share = 1.0;
        double cpu = 0;
        double memory = 0;
        double lastAddedCpu = 0;
        double lastAddedMemory = 0;
        int samples = 0;
        bool runTimeUnusable = false;
    };

    void updateEstimates(Tracked &tracked);
    [[nodiscard]] const Quantity *bestSource(const Job &job, Quantity Sizes::*member) const;

    Settings m_settings;
    std::unordered_map<std::string, Sizes> m_classes;
    std::unordered_map<JobId, Sizes> m_jobs;
    std::unordered_map<TaskId, Tracked> m_tracked;
};

} // namespace Trefoilhoist::Detail
