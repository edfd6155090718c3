#include "trefoilhoist/metrics/burntable.h"

#include <nlohmann/json.hpp>

#include <mutex>

namespace Trefoilhoist {

namespace {

constexpr std::int64_t fineSliceSeconds = 10;
constexpr std::int64_t coarseSliceSeconds = 300;
constexpr std::size_t fineSlices = 3600 / fineSliceSeconds;
constexpr std::size_t coarseSlices = 86400 / coarseSliceSeconds;
// Callers and minions counted one by one; the rest share one row.
constexpr std::size_t maxRows = 500;

const std::string otherRow = "(other)";

std::int64_t sliceIndex(TimePoint now, std::int64_t width)
{
    return duration_cast<seconds>(now.time_since_epoch()).count() / width;
}

template <typename Key, typename Row>
Row &rowOf(std::map<Key, Row> &rows, const Key &key)
{
    const auto it = rows.find(key);
    if (it != rows.end()) {
        return it->second;
    }
    return rows.size() < maxRows ? rows[key] : rows[Key(otherRow)];
}

template <typename Rows>
nlohmann::json rowsJson(const Rows &rows, const char *name, TimePoint now)
{
    auto list = nlohmann::json::array();
    for (const auto &[key, slices] : rows) {
        auto windows = nlohmann::json::array();
        for (const int window : burnWindowSeconds) {
            const auto counts = slices.sum(window, now);
            windows.push_back(
                {{"seconds", window}, {"total", counts.total}, {"failed", counts.failed}, {"slow", counts.slow}});
        }
        list.push_back({{name, key.str()}, {"windows", windows}});
    }
    return list;
}

} // namespace

BurnCounts &BurnCounts::operator+=(const BurnCounts &other)
{
    total += other.total;
    failed += other.failed;
    slow += other.slow;
    return *this;
}

void BurnTable::Slices::add(const BurnCounts &counts, TimePoint now)
{
    const auto addTo = [&](std::deque<Slice> &slices, std::int64_t width, std::size_t most) {
        const auto index = sliceIndex(now, width);
        if (slices.empty() || slices.back().index != index) {
            slices.push_back({index, {}});
        }
        slices.back().counts += counts;
        if (slices.size() > most) {
            slices.pop_front();
        }
    };
    addTo(m_fine, fineSliceSeconds, fineSlices);
    addTo(m_coarse, coarseSliceSeconds, coarseSlices);
}

BurnCounts BurnTable::Slices::sum(int windowSeconds, TimePoint now) const
{
    const bool fine = static_cast<std::size_t>(windowSeconds) <= fineSlices * fineSliceSeconds;
    const auto width = fine ? fineSliceSeconds : coarseSliceSeconds;
    const auto oldest = sliceIndex(now, width) - windowSeconds / width;
    BurnCounts counts;
    for (const auto &slice : fine ? m_fine : m_coarse) {
        if (slice.index > oldest) {
            counts += slice.counts;
        }
    }
    return counts;
}

BurnTable::BurnTable() : m_mutex(Detail::LockRank::Metrics) { }

BurnTable::ServiceCounts &BurnTable::serviceOf(const ServiceId &service)
{
    auto [it, inserted] = m_services.try_emplace(service);
    if (inserted) {
        it->second.contract.service = service;
    }
    return it->second;
}

void BurnTable::setContract(const Contract &contract)
{
    std::lock_guard lock(m_mutex);
    serviceOf(contract.service).contract = contract;
}

void BurnTable::record(const BurnSample &sample, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto &service = serviceOf(sample.service);
    BurnCounts counts;
    counts.total = 1;
    counts.failed = sample.answered ? 0 : 1;
    counts.slow = sample.answered && sample.latency > service.contract.latencyTarget ? 1 : 0;
    rowOf(service.callers, sample.caller).add(counts, now);
    if (!sample.minion.empty()) {
        rowOf(service.minions, sample.minion).add(counts, now);
    }
}

std::string BurnTable::json(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto services = nlohmann::json::array();
    for (const auto &[id, service] : m_services) {
        const auto &contract = service.contract;
        services.push_back({{"service", id.str()},
                            {"latencyTargetMs", duration_cast<milliseconds>(contract.latencyTarget).count()},
                            {"latencyObjective", contract.latencyObjective},
                            {"answerObjective", contract.answerObjective},
                            {"callers", rowsJson(service.callers, "caller", now)},
                            {"minions", rowsJson(service.minions, "minion", now)}});
    }
    return nlohmann::json{{"services", services}}.dump();
}

} // namespace Trefoilhoist
