#include "trialworld.h"

#include <tclap/CmdLine.h>

#include <cmath>
#include <cstdio>
#include <functional>
#include <future>
#include <iostream>

using namespace Trefoilhoist;
using namespace Trefoilhoist::Trial;

namespace {

/// One measure of a run, for the table.
struct Measure {
    const char *name;
    std::function<double(const TrialResult &)> value;
};

const std::vector<Measure> measures{
    {"service p99 (ms)",
     [](const auto &result) {
         return result.p99;
     }},
    {"service p99.9 (ms)",
     [](const auto &result) {
         return result.p999;
     }},
    {"late requests (%)",
     [](const auto &result) {
         return 100 * result.late;
     }},
    {"batch finished (core-h)",
     [](const auto &result) {
         return result.finishedCoreHours;
     }},
    {"batch finished (%)",
     [](const auto &result) {
         return 100 * result.finishedPart;
     }},
    {"evictions",
     [](const auto &result) {
         return result.evictions;
     }},
    {"wasted (core-h)",
     [](const auto &result) {
         return result.wastedCoreHours;
     }},
    {"urgent start p50 (s)",
     [](const auto &result) {
         return result.urgentP50;
     }},
    {"urgent start worst (s)",
     [](const auto &result) {
         return result.urgentWorst;
     }},
    {"out of memory",
     [](const auto &result) {
         return result.outOfMemory;
     }},
    {"failed or lost runs",
     [](const auto &result) {
         return result.failedRuns;
     }},
    {"throttle orders",
     [](const auto &result) {
         return result.throttles;
     }},
    {"jobs failed",
     [](const auto &result) {
         return result.jobsFailed;
     }},
    {"good jobs failed",
     [](const auto &result) {
         return result.goodJobsFailed;
     }},
    {"workers quarantined",
     [](const auto &result) {
         return result.quarantines;
     }},
    {"good ones quarantined",
     [](const auto &result) {
         return result.goodWorkersQuarantined;
     }},
    {"decide (us)",
     [](const auto &result) {
         return result.decideMicroseconds;
     }},
};

/// The deployment's own weighing, the lower the better: p99 as a part of the target, work not finished as a part
/// of all, evictions per finished task.
double weighed(const TrialShape &shape, const TrialResult &result)
{
    const auto &weights = shape.weights;
    const double target = std::chrono::duration<double, std::milli>(shape.services.front().target).count();
    const double perTask = static_cast<double>(result.evictions) / std::max(result.finishedTasks, 1);
    return (weights.tailLatency * result.p99 / target + weights.throughput * (1 - result.finishedPart)
            + weights.evictions * perTask)
        / (weights.tailLatency + weights.throughput + weights.evictions);
}

struct Spread {
    double mean = 0;
    double deviation = 0;
    double least = 0;
    double most = 0;
};

Spread spreadOf(const std::vector<double> &values)
{
    Spread spread;
    spread.least = values.front();
    spread.most = values.front();
    for (const double value : values) {
        spread.mean += value / static_cast<double>(values.size());
        spread.least = std::min(spread.least, value);
        spread.most = std::max(spread.most, value);
    }
    for (const double value : values) {
        spread.deviation += (value - spread.mean) * (value - spread.mean) / static_cast<double>(values.size());
    }
    spread.deviation = std::sqrt(spread.deviation);
    return spread;
}

std::vector<TrialResult> runSeeds(const TrialShape &shape, PolicyKind kind, std::uint64_t first, int count, int threads)
{
    std::vector<TrialResult> results(static_cast<std::size_t>(count));
    std::vector<std::future<void>> running;
    running.reserve(static_cast<std::size_t>(threads));
    for (int thread = 0; thread < threads; ++thread) {
        running.push_back(std::async(std::launch::async, [&, thread] {
            for (int n = thread; n < count; n += threads) {
                TrialWorld world(shape, kind, first + static_cast<std::uint64_t>(n));
                results[static_cast<std::size_t>(n)] = world.run();
            }
        }));
    }
    for (auto &each : running) {
        each.get();
    }
    return results;
}

void printRow(const std::string &name,
              const std::vector<std::vector<TrialResult>> &results,
              const std::function<double(const TrialResult &)> &value)
{
    std::printf("| %-24s", name.c_str());
    for (const auto &runs : results) {
        std::vector<double> values;
        values.reserve(runs.size());
        for (const auto &run : runs) {
            values.push_back(value(run));
        }
        const auto spread = spreadOf(values);
        std::printf(" | %8.3f ± %-7.3f (%.3f to %.3f)", spread.mean, spread.deviation, spread.least, spread.most);
    }
    std::printf(" |\n");
}

void compare(const TrialShape &shape, std::uint64_t first, int count, int threads)
{
    const std::vector<PolicyKind> kinds{PolicyKind::RandomFit, PolicyKind::BestFit, PolicyKind::InterferenceAware};
    std::vector<std::vector<TrialResult>> results;
    std::printf("\n%s, %d seeds from %llu, mean ± deviation (least to most)\n\n| %-24s",
                shape.name.c_str(),
                count,
                static_cast<unsigned long long>(first),
                "measure");
    for (const auto kind : kinds) {
        results.push_back(runSeeds(shape, kind, first, count, threads));
        std::printf(" | %s", std::string(policyKindName(kind)).c_str());
    }
    std::printf(" |\n| --- | --- | --- | --- |\n");
    printRow("weighed cost", results, [&](const auto &result) { return weighed(shape, result); });
    for (const auto &measure : measures) {
        printRow(measure.name, results, measure.value);
    }
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command(
            "Compares placement policies on seeded traces of both deployments", ' ', TREFOILHOIST_VERSION);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "First seed", false, 1, "number", command);
        TCLAP::ValueArg<int> seeds("", "seeds", "Number of seeds", false, 20, "number", command);
        TCLAP::ValueArg<int> threads("", "threads", "Threads", false, 4, "number", command);
        TCLAP::ValueArg<double> demand(
            "", "demand", "Batch demand as a part of the room", false, 0.75, "part", command);
        TCLAP::ValueArg<int> length("", "seconds", "Length of a trace", false, 1200, "seconds", command);
        command.parse(argc, argv);
        for (auto shape : {formownia(), steppeOrchid()}) {
            shape.demand = demand.getValue();
            shape.length = seconds(length.getValue());
            compare(shape, seed.getValue(), std::max(seeds.getValue(), 1), std::max(threads.getValue(), 1));
        }
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "error: " << error.error() << " for " << error.argId() << '\n';
        return 1;
    }
    return 0;
}
