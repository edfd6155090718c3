#include "comparison.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <iomanip>
#include <sstream>
#include <thread>

namespace Trefoilhoist::Tools {

namespace {

using Reading = std::function<double(const TrialResult &)>;

std::vector<double> sorted(const ComparisonRow &row, const Reading &reading)
{
    std::vector<double> values;
    for (const auto &result : row.results) {
        values.push_back(reading(result));
    }
    std::sort(values.begin(), values.end());
    return values;
}

double medianOf(const ComparisonRow &row, const Reading &reading)
{
    const auto values = sorted(row, reading);
    return values.empty() ? 0 : values[values.size() / 2];
}

Reading percentOf(std::int64_t TrialResult::*part)
{
    return [part](const TrialResult &result) {
        return 100.0 * static_cast<double>(result.*part)
            / static_cast<double>(std::max<std::int64_t>(1, result.requests));
    };
}

double attemptsPerRequest(const TrialResult &result)
{
    return static_cast<double>(result.attempts) / static_cast<double>(std::max<std::int64_t>(1, result.requests));
}

} // namespace

void runRows(std::vector<ComparisonRow> &rows, std::uint64_t firstSeed, int seeds, int threads)
{
    for (auto &row : rows) {
        row.results.resize(static_cast<std::size_t>(seeds));
    }
    const auto total = rows.size() * static_cast<std::size_t>(seeds);
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> pool;
    pool.reserve(static_cast<std::size_t>(threads));
    for (int n = 0; n < threads; ++n) {
        pool.emplace_back([&] {
            for (auto at = next++; at < total; at = next++) {
                auto &row = rows[at / static_cast<std::size_t>(seeds)];
                const auto seed = at % static_cast<std::size_t>(seeds);
                auto settings = row.settings;
                settings.seed = firstSeed + seed;
                row.results[seed] = runTrial(settings);
            }
        });
    }
    for (auto &thread : pool) {
        thread.join();
    }
}

std::string tableOf(const std::vector<ComparisonRow> &rows)
{
    std::ostringstream out;
    out << std::fixed
        << "| fault | load % | policy | p50 ms | p99 ms (least to most) | p99.9 ms | refused % | lost % | overshoot % "
           "| "
           "attempts |\n|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto &row : rows) {
        const auto p99 = sorted(row, [](const auto &r) { return r.p99Ms; });
        out << "| " << trialFaultName(row.settings.fault) << " | " << std::setprecision(0) << row.settings.load * 100
            << " | " << routingPolicyName(row.settings.router.policy) << (row.settings.hedging ? " + hedges" : "")
            << std::setprecision(1) << " | " << medianOf(row, [](const auto &r) { return r.p50Ms; }) << " | "
            << p99[p99.size() / 2] << " (" << p99.front() << " to " << p99.back() << ") | "
            << medianOf(row, [](const auto &r) { return r.p999Ms; }) << " | " << std::setprecision(2)
            << medianOf(row, percentOf(&TrialResult::refused)) << " | " << medianOf(row, percentOf(&TrialResult::lost))
            << " | " << medianOf(row, percentOf(&TrialResult::overshoot)) << " | " << std::setprecision(3)
            << medianOf(row, attemptsPerRequest) << " |\n";
    }
    return out.str();
}

nlohmann::json jsonOf(const std::vector<ComparisonRow> &rows)
{
    auto all = nlohmann::json::array();
    for (const auto &row : rows) {
        for (const auto &result : row.results) {
            all.push_back({{"fault", trialFaultName(row.settings.fault)},
                           {"load", row.settings.load},
                           {"policy", routingPolicyName(row.settings.router.policy)},
                           {"hedging", row.settings.hedging},
                           {"requests", result.requests},
                           {"answered", result.answered},
                           {"refused", result.refused},
                           {"lost", result.lost},
                           {"attempts", result.attempts},
                           {"overshoot", result.overshoot},
                           {"hedges", result.hedges},
                           {"p50Ms", result.p50Ms},
                           {"p99Ms", result.p99Ms},
                           {"p999Ms", result.p999Ms}});
        }
    }
    return all;
}

} // namespace Trefoilhoist::Tools
