#pragma once

#include "trefoilhoist/placement/policytypes.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace Trefoilhoist::Detail {

/// Mean and variance of a quantity that drifts slowly; old observations lose weight.
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
    /// Standard deviation, widened by a prior while there are few observations.
    [[nodiscard]] double deviation() const;

private:
    double m_count = 0;
    double m_mean = 0;
    double m_variance = 0;
};

/// Expected resource needs and run time of a task.
struct SizeEstimate {
    Resources reserve;
    /// Expected processor use, in thousandths of a processor.
    double meanMilliCpu = 0;
    Duration runTime{};
    /// Number of observations behind the estimate; zero means that it is the declaration.
    double observations = 0;
};

/// Corrects declared sizes and run times with measured usage, per batch class and per job. Not thread-safe.
///
/// Sizes are modelled as log-normal, either relative to the declaration or in absolute terms, whichever has the smaller
/// deviation. Observations of the job's own tasks take precedence over those of its class.
class SizeEstimator
{
public:
    /// Tests and trials may change these; programs use the defaults.
    struct Settings {
        /// Number of standard deviations above the mean to reserve.
        double cpuDeviations = 0.7;
        double memoryDeviations = 2.0;
        /// If false, estimates are the declarations.
        bool enabled = true;
    };

    SizeEstimator() = default;
    explicit SizeEstimator(const Settings &settings);

    /// Starts to track a run of the task. If the task was tracked before, the duration of the run is not observed.
    void track(const Job &job, const Task &task);
    /// Updates the task's reservation and the share of its reserved processors that the throttle leaves to the task.
    void setShare(const TaskId &task, double share, const Resources &reserved);
    void observe(const UsageSample &sample);
    void observe(const RunEnded &ended);

    [[nodiscard]] SizeEstimate estimate(const Job &job, const Task &task) const;
    /// Processor use of the running task if it were not throttled, in thousandths of a processor.
    [[nodiscard]] double unthrottledMilliCpu(const RunningTask &running) const;
    [[nodiscard]] bool isTracked(const TaskId &task) const;
    /// Expected time until the run ends.
    [[nodiscard]] Duration remaining(const Job &job, const RunningTask &running, TimePoint now) const;

    /// Erases the state of removed jobs once more than twice the current entries plus maxStaleEntries are kept.
    void removeStale(const PolicyInput &input, std::size_t runningCount);

private:
    /// Observations of one quantity for one class or job.
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
        /// Whether the run was throttled or is not the task's first, so its duration must not be used as an
        /// observation.
        bool runTimeUnusable = false;
    };

    /// Adds the task's use to its class and job if it has grown since it was last added.
    void updateEstimates(Tracked &tracked);
    /// The job's own observations, or else the class's; null if neither has enough.
    [[nodiscard]] const Quantity *bestSource(const Job &job, Quantity Sizes::*member) const;

    Settings m_settings;
    std::unordered_map<std::string, Sizes> m_classes;
    std::unordered_map<JobId, Sizes> m_jobs;
    std::unordered_map<TaskId, Tracked> m_tracked;
};

} // namespace Trefoilhoist::Detail
