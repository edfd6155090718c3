#include "trefoilhoist/jobs/startedruns.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

class StartedRunsTest : public testing::Test
{
protected:
    static RunKey key(std::int64_t run)
    {
        return {taskRef("job", 0, 0, 0), run};
    }

    void list(const std::vector<RunKey> &running, const std::vector<RunKey> &ended = {})
    {
        MinionListing listing;
        for (const auto &it : running) {
            Wire::RunningTask row;
            row.task = it.task;
            row.run = it.run;
            listing.running.push_back(row);
        }
        for (const auto &it : ended) {
            Wire::EndedTask row;
            row.task = it.task;
            row.run = it.run;
            listing.ended.push_back(row);
        }
        m_runs.applyListing(listing, m_now);
    }

    StartedRuns m_runs;
    TimePoint m_now{seconds(100)};
};

TEST_F(StartedRunsTest, startedRun_atACrash_hasItsAge)
{
    m_runs.addStart(key(1), m_now);
    m_runs.applyStartResult(key(1), OrderResult::Done);
    const auto runs = m_runs.runsAt(m_now + milliseconds(12));
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs[0].run, 1);
    EXPECT_EQ(runs[0].ageMs, 12);
}

TEST_F(StartedRunsTest, startWithoutAnAnswer_mayHaveBeenThereAtTheCrash)
{
    m_runs.addStart(key(1), m_now);
    m_runs.applyStartResult(key(1), OrderResult::Unknown);
    EXPECT_EQ(m_runs.runsAt(m_now + milliseconds(12)).size(), 1U);
}

TEST_F(StartedRunsTest, refusedStart_wasNotThereAtTheCrash)
{
    m_runs.addStart(key(1), m_now);
    m_runs.applyStartResult(key(1), OrderResult::Refused);
    EXPECT_TRUE(m_runs.runsAt(m_now).empty());
}

TEST_F(StartedRunsTest, startSentAfterTheCrash_wasNotThereBefore)
{
    m_runs.addStart(key(1), m_now + milliseconds(1));
    EXPECT_TRUE(m_runs.runsAt(m_now).empty());
}

TEST_F(StartedRunsTest, endedRun_wasNotThereAtTheCrash)
{
    m_runs.addStart(key(1), m_now);
    m_runs.applyStartResult(key(1), OrderResult::Done);
    list({key(2)}, {key(1)});
    const auto runs = m_runs.runsAt(m_now);
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs[0].run, 2);
}

TEST_F(StartedRunsTest, repeatedOrderOfAConfirmedRun_keepsItsAge)
{
    m_runs.addStart(key(1), m_now);
    m_runs.applyStartResult(key(1), OrderResult::Done);
    m_runs.addStart(key(1), m_now + seconds(1));
    EXPECT_EQ(m_runs.runsAt(m_now + seconds(2))[0].ageMs, 2000);
}

TEST_F(StartedRunsTest, newIncarnationOfTheSameId_keepsOnlyStartsThatItMayExecute)
{
    m_runs.addStart(key(1), m_now);
    m_runs.applyStartResult(key(1), OrderResult::Done);
    list({key(1)});
    m_runs.addStart(key(2), m_now);
    m_runs.resetForNewIncarnation(true);
    const auto runs = m_runs.runsAt(m_now);
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs[0].run, 2);
    m_runs.resetForNewIncarnation(false);
    EXPECT_TRUE(m_runs.runsAt(m_now).empty());
}

// The next incarnation may be the one that has executed the order and answered it.
TEST_F(StartedRunsTest, newIncarnationOfTheSameId_keepsRunsThatWereNeverListedUntilAListing)
{
    m_runs.addStart(key(1), m_now);
    m_runs.applyStartResult(key(1), OrderResult::Done);
    m_runs.addStart(key(2), m_now);
    m_runs.applyStartResult(key(2), OrderResult::Done);
    m_runs.resetForNewIncarnation(true);
    EXPECT_EQ(m_runs.runsAt(m_now).size(), 2U);
    list({key(2)});
    const auto runs = m_runs.runsAt(m_now);
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs[0].run, 2);
}

// A repeated order that was delayed must not reach the minion, which may have restarted meanwhile.
TEST_F(StartedRunsTest, repeatedOrder_resultIsKnownWithoutTheMinion)
{
    m_runs.addStart(key(1), m_now);
    EXPECT_FALSE(m_runs.knownResult(key(1)).has_value());
    m_runs.applyStartResult(key(1), OrderResult::Done);
    EXPECT_EQ(m_runs.knownResult(key(1)), OrderResult::Done);
    list({}, {key(1)});
    EXPECT_EQ(m_runs.knownResult(key(1)), OrderResult::Superseded);
    m_now += seconds(6);
    list({});
    EXPECT_FALSE(m_runs.knownResult(key(1)).has_value());
}

// A start that was delayed until after the stop must not reach the minion's next incarnation, which knows of no stop.
TEST_F(StartedRunsTest, startAfterAStop_isSupersededWithoutTheMinion)
{
    m_runs.addStop(key(1), m_now);
    EXPECT_EQ(m_runs.knownResult(key(1)), OrderResult::Superseded);
}

} // namespace Trefoilhoist::Jobs
