#include "tools/placement-trial/trialworld.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <string>

using namespace Trefoilhoist;
using namespace Trefoilhoist::Trial;

namespace {

std::uint64_t numberFromEnvironment(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::stoull(text);
}

/// Runs short seeded traces with all kinds of faults. TREFOILHOIST_SEED sets the first seed and TREFOILHOIST_SEEDS the
/// number of seeds, for longer runs.
class PolicyTrace : public testing::TestWithParam<PolicyKind>
{
protected:
    static TrialShape makeShape(std::uint64_t seed)
    {
        auto shape = seed % 2 == 0 ? formownia() : steppeOrchid();
        shape.length = seconds(300);
        shape.demand = 0.4 + 0.2 * static_cast<double>(seed % 5);
        return shape;
    }

    template <typename Check>
    void forEachSeed(const Check &check) const
    {
        const auto first = numberFromEnvironment("TREFOILHOIST_SEED", 1);
        const auto count = numberFromEnvironment("TREFOILHOIST_SEEDS", 4);
        for (auto seed = first; seed < first + count; ++seed) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            check(seed);
            if (HasFailure()) {
                std::cerr << "failed with TREFOILHOIST_SEED=" << seed << " TREFOILHOIST_SEEDS=1\n";
                return;
            }
        }
    }
};

INSTANTIATE_TEST_SUITE_P(Kinds,
                         PolicyTrace,
                         testing::Values(PolicyKind::RandomFit, PolicyKind::BestFit, PolicyKind::InterferenceAware));

} // namespace

// The simulation ends the process if a start exceeds a worker's capacity (P1) or starts a task that is already running
// (P2).
TEST_P(PolicyTrace, traceWithFaults_keepsCapacityAndFinishesHealthyJobs)
{
    forEachSeed([&](std::uint64_t seed) {
        TrialWorld simulation(makeShape(seed), GetParam(), seed);
        const auto result = simulation.run();
        EXPECT_EQ(result.goodJobsFailed, 0);
        EXPECT_LE(result.goodWorkersQuarantined, 1);
        EXPECT_GT(result.finishedPart, 0.2);
        if (GetParam() != PolicyKind::RandomFit) {
            EXPECT_LE(result.urgentP50, 3.3);
        }
    });
}

TEST_P(PolicyTrace, sameSeed_givesSameRun)
{
    const auto seed = numberFromEnvironment("TREFOILHOIST_SEED", 1);
    TrialWorld first(makeShape(seed), GetParam(), seed);
    TrialWorld second(makeShape(seed), GetParam(), seed);
    const auto firstResult = first.run();
    const auto secondResult = second.run();
    EXPECT_EQ(firstResult.p99, secondResult.p99);
    EXPECT_EQ(firstResult.finishedTasks, secondResult.finishedTasks);
    EXPECT_EQ(firstResult.evictions, secondResult.evictions);
}
