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

TEST_F(StartedRunsTest, newIncarnationOfTheSameId_keepsOnlyStartsWithoutAnAnswer)
{
    m_runs.addStart(key(1), m_now);
    m_runs.applyStartResult(key(1), OrderResult::Done);
    m_runs.addStart(key(2), m_now);
    m_runs.resetForNewIncarnation(true);
    const auto runs = m_runs.runsAt(m_now);
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs[0].run, 2);
    m_runs.resetForNewIncarnation(false);
    EXPECT_TRUE(m_runs.runsAt(m_now).empty());
}

} // namespace Trefoilhoist::Jobs
