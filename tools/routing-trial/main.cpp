#include "comparison.h"
#include "slopes.h"
#include "trefoilhoist/net/tool.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

namespace {

using namespace Trefoilhoist;
using namespace Trefoilhoist::Tools;

constexpr std::array<RoutingPolicy, 3> policies{
    RoutingPolicy::LeastInFlight, RoutingPolicy::PowerOfTwo, RoutingPolicy::FairShare};
constexpr std::array<int, 5> slopeSizes{11, 100, 1000, 3000, 10'000};
constexpr std::array<double, 4> loads{0.5, 0.8, 0.95, 1.2};
constexpr std::array<TrialFault, 4> faults{
    TrialFault::None, TrialFault::SlowMinion, TrialFault::EntryKilled, TrialFault::ZoneCut};

struct Options {
    std::uint64_t seed = 1;
    int seeds = 5;
    int threads = 4;
    int lengthSeconds = 6;
    bool hedging = false;
    bool slopes = false;
    std::string json;
};

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine command("Compares routing policies over fakes of minions", ' ', TREFOILHOIST_VERSION);
    TCLAP::ValueArg<std::uint64_t> seed("r", "seed", "First seed", false, 1, "number", command);
    TCLAP::ValueArg<int> seeds("n", "seeds", "Trials per row", false, 5, "number", command);
    TCLAP::ValueArg<int> threads("t", "threads", "Threads", false, 4, "number", command);
    TCLAP::ValueArg<int> length("l", "seconds", "Length of a trial in its own time", false, 6, "seconds", command);
    TCLAP::SwitchArg hedging("g", "hedging", "Compare with and without hedging instead", command);
    TCLAP::SwitchArg slopes("s", "slopes", "Measure memory and processor time by the number of minions", command);
    TCLAP::ValueArg<std::string> json("j", "json", "Write every result to this file", false, "", "file", command);
    parseCommandLine(command, argc, argv);
    return {seed.getValue(),
            seeds.getValue(),
            threads.getValue(),
            length.getValue(),
            hedging.getValue(),
            slopes.getValue(),
            json.getValue()};
}

std::vector<ComparisonRow> rowsOf(const Options &options)
{
    std::vector<ComparisonRow> rows;
    for (const auto fault : faults) {
        for (const auto load : loads) {
            ComparisonRow row;
            row.settings.fault = fault;
            row.settings.load = load;
            row.settings.length = seconds(options.lengthSeconds);
            if (options.hedging) {
                rows.push_back(row);
                row.settings.hedging = true;
                rows.push_back(row);
                continue;
            }
            for (const auto policy : policies) {
                row.settings.router.policy = policy;
                rows.push_back(row);
            }
        }
    }
    return rows;
}

void measureSlopes()
{
    std::vector<SlopePoint> points;
    points.reserve(slopeSizes.size());
    for (const int minions : slopeSizes) {
        points.push_back(measureSlope(minions));
    }
    std::cout << slopeTable(points);
}

void compare(const Options &options)
{
    auto rows = rowsOf(options);
    runRows(rows, options.seed, options.seeds, options.threads);
    std::cout << tableOf(rows);
    if (!options.json.empty()) {
        std::ofstream(options.json) << jsonOf(rows).dump(1) << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    return runTool("trefoilhoist-routing-trial", [&] {
        const auto options = parseOptions(argc, argv);
        if (options.slopes) {
            measureSlopes();
        } else {
            compare(options);
        }
        return exitOk;
    });
}
