#pragma once

#include "trefoilhoist/internal/rankedmutex.h"
#include "trefoilhoist/world/clock.h"
#include "trefoilhoist/world/labels.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace Trefoilhoist {

/// A count that only rises. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t by = 1);
    [[nodiscard]] std::uint64_t value() const;

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/// A value that goes up and down. Thread-safe.
class Gauge
{
public:
    void set(double value);
    [[nodiscard]] double value() const;

private:
    std::atomic<double> m_value = 0;
};

/// Quantiles of one window, in microseconds.
struct LatencySummary {
    std::uint64_t count = 0;
    double meanUs = 0;
    double p50Us = 0;
    double p90Us = 0;
    double p99Us = 0;
    double p999Us = 0;
    double maxUs = 0;
};

/// Latencies of the current and the previous window; older ones are forgotten. Thread-safe.
class LatencyWindow
{
public:
    explicit LatencyWindow(Duration window);
    ~LatencyWindow();

    void record(Duration latency, TimePoint now);
    /// The previous whole window, or the current one when there is no previous.
    [[nodiscard]] LatencySummary summary(TimePoint now) const;
    /// Count and sum since the start.
    [[nodiscard]] std::uint64_t totalCount() const;
    [[nodiscard]] double totalSumUs() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// All metrics of a process, by name and labels. References stay valid for the registry's life. Thread-safe.
class MetricsRegistry
{
public:
    explicit MetricsRegistry(const Clock &clock, Duration window = seconds(30));

    Counter &counter(const std::string &name, const Labels &labels = {});
    Gauge &gauge(const std::string &name, const Labels &labels = {});
    LatencyWindow &latency(const std::string &name, const Labels &labels = {});

    /// The Prometheus text exposition format.
    [[nodiscard]] std::string exposition() const;

private:
    using Key = std::pair<std::string, Labels>;

    const Clock &m_clock;
    Duration m_window;
    mutable Detail::RankedMutex m_mutex;
    std::map<Key, std::unique_ptr<Counter>> m_counters;
    std::map<Key, std::unique_ptr<Gauge>> m_gauges;
    std::map<Key, std::unique_ptr<LatencyWindow>> m_latencies;
};

} // namespace Trefoilhoist
