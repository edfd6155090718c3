#include "trefoilhoist/metrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <mutex>
#include <sstream>
#include <string_view>

namespace Trefoilhoist {

namespace {

namespace Acc = boost::accumulators;

constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.99, 0.999};

using Accumulator
    = Acc::accumulator_set<double,
                           Acc::stats<Acc::tag::count, Acc::tag::mean, Acc::tag::max, Acc::tag::extended_p_square>>;

Accumulator freshAccumulator()
{
    return Accumulator(Acc::extended_p_square_probabilities = quantiles);
}

LatencySummary summaryOf(const Accumulator &samples)
{
    LatencySummary summary;
    summary.count = Acc::count(samples);
    if (summary.count == 0) {
        return summary;
    }
    summary.meanUs = Acc::mean(samples);
    summary.maxUs = Acc::max(samples);
    const auto found = Acc::extended_p_square(samples);
    summary.p50Us = found[0];
    summary.p90Us = found[1];
    summary.p99Us = found[2];
    summary.p999Us = found[3];
    return summary;
}

void writeLabels(std::ostringstream &out,
                 const Labels &labels,
                 std::string_view extraKey = {},
                 std::string_view extraValue = {})
{
    if (labels.empty() && extraKey.empty()) {
        return;
    }
    out << '{';
    const char *separator = "";
    for (const auto &[key, value] : labels) {
        out << separator << key << "=\"";
        for (const char c : value) {
            if (c == '"' || c == '\\') {
                out << '\\';
            }
            out << (c == '\n' ? ' ' : c);
        }
        out << '"';
        separator = ",";
    }
    if (!extraKey.empty()) {
        out << separator << extraKey << "=\"" << extraValue << '"';
    }
    out << '}';
}

} // namespace

void Counter::add(std::uint64_t by)
{
    m_value.fetch_add(by, std::memory_order_relaxed);
}

std::uint64_t Counter::value() const
{
    return m_value.load(std::memory_order_relaxed);
}

void Gauge::set(double value)
{
    m_value.store(value, std::memory_order_relaxed);
}

double Gauge::value() const
{
    return m_value.load(std::memory_order_relaxed);
}

struct LatencyWindow::State {
    Duration window;
    mutable std::mutex mutex;
    TimePoint started{};
    Accumulator current = freshAccumulator();
    LatencySummary previous;
    std::uint64_t count = 0;
    double sumUs = 0;

    void roll(TimePoint now)
    {
        if (now - started < window) {
            return;
        }
        const bool adjacent = now - started < 2 * window;
        previous = adjacent ? summaryOf(current) : LatencySummary{};
        current = freshAccumulator();
        started = now;
    }
};

LatencyWindow::LatencyWindow(Duration window) : m_state(std::make_unique<State>())
{
    m_state->window = window;
}

LatencyWindow::~LatencyWindow() = default;

void LatencyWindow::record(Duration latency, TimePoint now)
{
    std::lock_guard lock(m_state->mutex);
    m_state->roll(now);
    const auto us = static_cast<double>(latency.count());
    m_state->current(us);
    ++m_state->count;
    m_state->sumUs += us;
}

LatencySummary LatencyWindow::summary(TimePoint now) const
{
    std::lock_guard lock(m_state->mutex);
    m_state->roll(now);
    return m_state->previous.count > 0 ? m_state->previous : summaryOf(m_state->current);
}

std::uint64_t LatencyWindow::totalCount() const
{
    std::lock_guard lock(m_state->mutex);
    return m_state->count;
}

double LatencyWindow::totalSumUs() const
{
    std::lock_guard lock(m_state->mutex);
    return m_state->sumUs;
}

MetricsRegistry::MetricsRegistry(const Clock &clock, Duration window)
    : m_clock(clock), m_window(window), m_mutex(Detail::LockRank::Metrics)
{
}

Counter &MetricsRegistry::counter(const std::string &name, const Labels &labels)
{
    std::lock_guard lock(m_mutex);
    auto &found = m_counters[Key(name, labels)];
    if (!found) {
        found = std::make_unique<Counter>();
    }
    return *found;
}

Gauge &MetricsRegistry::gauge(const std::string &name, const Labels &labels)
{
    std::lock_guard lock(m_mutex);
    auto &found = m_gauges[Key(name, labels)];
    if (!found) {
        found = std::make_unique<Gauge>();
    }
    return *found;
}

LatencyWindow &MetricsRegistry::latency(const std::string &name, const Labels &labels)
{
    std::lock_guard lock(m_mutex);
    auto &found = m_latencies[Key(name, labels)];
    if (!found) {
        found = std::make_unique<LatencyWindow>(m_window);
    }
    return *found;
}

std::string MetricsRegistry::exposition() const
{
    std::lock_guard lock(m_mutex);
    std::ostringstream out;
    std::string last;
    const auto announce = [&](const std::string &name, std::string_view type) {
        if (name != last) {
            out << "# TYPE " << name << ' ' << type << '\n';
            last = name;
        }
    };
    for (const auto &[key, counter] : m_counters) {
        announce(key.first, "counter");
        out << key.first;
        writeLabels(out, key.second);
        out << ' ' << counter->value() << '\n';
    }
    for (const auto &[key, gauge] : m_gauges) {
        announce(key.first, "gauge");
        out << key.first;
        writeLabels(out, key.second);
        out << ' ' << gauge->value() << '\n';
    }
    for (const auto &[key, window] : m_latencies) {
        announce(key.first, "summary");
        const auto summary = window->summary(m_clock.now());
        const std::array<double, 4> values{summary.p50Us, summary.p90Us, summary.p99Us, summary.p999Us};
        const std::array<std::string_view, 4> names{"0.5", "0.9", "0.99", "0.999"};
        for (std::size_t i = 0; i < values.size(); ++i) {
            out << key.first;
            writeLabels(out, key.second, "quantile", names[i]);
            out << ' ' << values[i] << '\n';
        }
        out << key.first << "_sum";
        writeLabels(out, key.second);
        out << ' ' << window->totalSumUs() << '\n' << key.first << "_count";
        writeLabels(out, key.second);
        out << ' ' << window->totalCount() << '\n';
    }
    return out.str();
}

} // namespace Trefoilhoist
