// Measures what one start costs the owner of the scheduling, in one process with simulated workers.
#include "trefoilhoist/net/tool.h"
#include "trialfleet.h"

#include <tclap/CmdLine.h>

#include <cstdio>

namespace {

using namespace Trefoilhoist;
using namespace Trefoilhoist::DispatchTrial;

constexpr double usPerSecond = 1e6;

void print(const TrialShape &shape, const TrialResult &result)
{
    const auto perStart = [&](double spentSeconds) {
        return result.starts == 0 ? 0.0 : spentSeconds * usPerSecond / static_cast<double>(result.starts);
    };
    std::printf("workers %d, starts %lld, reports %lld, order sets %lld, plans %lld, jobs finished %lld\n",
                shape.workers,
                static_cast<long long>(result.starts),
                static_cast<long long>(result.reports),
                static_cast<long long>(result.orderSets),
                static_cast<long long>(result.plans),
                static_cast<long long>(result.jobsFinished));
    std::printf("us a start: total %.1f, plans %.1f, reports %.1f, results %.1f, records %.1f, codec %.1f\n",
                perStart(result.cost.total()),
                perStart(result.cost.plans),
                perStart(result.cost.reports),
                perStart(result.cost.results),
                perStart(result.cost.records),
                perStart(result.cost.codec));
    std::printf("longest plan %.2f ms, mean job %.0f ms\n", result.longestPlan * 1e3, result.meanJobMs);
}

} // namespace

int main(int argc, char **argv)
{
    return runTool("trefoilhoist-dispatch-trial", [&] {
        TCLAP::CmdLine command(
            "Measures the processor time that a start costs the owner of the scheduling", ' ', TREFOILHOIST_VERSION);
        TCLAP::ValueArg<int> workers("", "workers", "number of workers", false, 240, "count", command);
        TCLAP::ValueArg<double> starts("", "starts", "starts per second", false, 900, "rate", command);
        TCLAP::ValueArg<int> length("", "seconds", "simulated seconds that are measured", false, 10, "s", command);
        TCLAP::ValueArg<int> interval("", "plan-interval", "time between two plans", false, 10, "ms", command);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the random load", false, 1, "seed", command);
        parseCommandLine(command, argc, argv);
        TrialShape shape;
        shape.workers = workers.getValue();
        shape.startsPerSecond = starts.getValue();
        shape.length = seconds(length.getValue());
        shape.planInterval = milliseconds(interval.getValue());
        shape.seed = seed.getValue();
        if (shape.workers < 1 || shape.startsPerSecond <= 0 || shape.length <= Duration{}
            || shape.planInterval <= Duration{}) {
            throw std::invalid_argument("workers, starts, seconds and plan-interval must be above 0");
        }
        TrialFleet fleet(shape);
        print(shape, fleet.run());
        return 0;
    });
}
