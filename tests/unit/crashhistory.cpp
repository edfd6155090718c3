#include "trefoilhoist/jobs/crashhistory.h"

#include "trefoilhoist/jobs/crashattribution.h"

#include <gtest/gtest.h>

#include <numeric>

namespace Trefoilhoist::Jobs {

class CrashAttributionTest : public testing::Test
{
protected:
    static constexpr CrashSuspect justStarted{milliseconds(10), 0};
    static constexpr CrashSuspect longRunning{seconds(20), 0};
    static constexpr CrashSuspect startedAgain{milliseconds(10), 0.3};
};

TEST_F(CrashAttributionTest, runsOfEqualAge_haveEqualParts)
{
    const auto parts = attributeCrash({justStarted, justStarted, justStarted});
    EXPECT_DOUBLE_EQ(parts[0], parts[1]);
    EXPECT_DOUBLE_EQ(parts[1], parts[2]);
    EXPECT_LT(std::accumulate(parts.begin(), parts.end(), 0.0), 1);
}

TEST_F(CrashAttributionTest, runThatHasJustStarted_besideLongRunningOnes_isTheOnlySuspect)
{
    const auto parts = attributeCrash({longRunning, justStarted, longRunning});
    EXPECT_EQ(parts[0], 0);
    EXPECT_GT(parts[1], 0.5);
    EXPECT_EQ(parts[2], 0);
}

TEST_F(CrashAttributionTest, taskWithEarlierCrashes_besideANewOne_hasTheLargerPart)
{
    const auto parts = attributeCrash({justStarted, startedAgain});
    EXPECT_GT(parts[1], 3 * parts[0]);
}

TEST_F(CrashAttributionTest, workerWithoutRuns_hasNoSuspects)
{
    EXPECT_TRUE(attributeCrash({}).empty());
}

class CrashHistoryTest : public testing::Test
{
protected:
    void add(std::int64_t run, const std::string &agent, double blame, std::int64_t ageMs = 10)
    {
        Wire::RunCrash crash;
        crash.run = run;
        crash.agent = agent;
        crash.blame = blame;
        crash.ageMs = ageMs;
        m_history.add(crash);
    }

    CrashHistory m_history;
};

TEST_F(CrashHistoryTest, oneCrash_howeverClear_isNotTheTasksFault)
{
    add(1, "a", 0.95);
    EXPECT_FALSE(m_history.isCause());
    EXPECT_TRUE(m_history.startsAlone());
}

TEST_F(CrashHistoryTest, twoClearCrashesOnTwoMachines_areTheTasksFault)
{
    add(1, "a", 0.3);
    add(2, "b", 0.8);
    EXPECT_TRUE(m_history.isCause());
}

// A machine that crashes again and again must not be blamed on the tasks that start there.
TEST_F(CrashHistoryTest, twoClearCrashesOfOneMachine_areNotTheTasksFault)
{
    add(1, "a", 0.6);
    add(2, "a", 0.9);
    EXPECT_FALSE(m_history.isCause());
}

TEST_F(CrashHistoryTest, threeClearCrashesOfTheOnlyMachine_areTheTasksFault)
{
    add(1, "a", 0.6);
    add(2, "a", 0.9);
    add(3, "a", 0.9);
    EXPECT_TRUE(m_history.isCause());
}

TEST_F(CrashHistoryTest, smallPartsInManyCrashes_areNotTheTasksFault)
{
    for (int i = 0; i < 12; ++i) {
        add(i, "agent " + std::to_string(i), 0.03);
    }
    EXPECT_FALSE(m_history.isCause());
}

TEST_F(CrashHistoryTest, secondCrashUnderOneRun_countsOnce)
{
    add(1, "a", 0.9);
    add(1, "b", 0.9);
    EXPECT_EQ(m_history.count(), 1U);
    EXPECT_FALSE(m_history.isCause());
}

TEST_F(CrashHistoryTest, observedRunThatSurvived_halvesTheBlame)
{
    add(1, "a", 0.4);
    m_history.observeSurvival();
    EXPECT_DOUBLE_EQ(m_history.blame(), 0.2);
}

TEST_F(CrashHistoryTest, crashAtAnotherAge_earlierBlameDoesNotCount)
{
    add(1, "a", 0.4, 10);
    EXPECT_DOUBLE_EQ(m_history.blameAtAge(milliseconds(20)), 0.4);
    EXPECT_DOUBLE_EQ(m_history.blameAtAge(seconds(5)), 0);
}

} // namespace Trefoilhoist::Jobs
