#include "trefoilhoist/jobs/placementwait.h"

#include "trefoilhoist/jobs/rackvacancies.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

namespace {

constexpr double multiplier = 3;
constexpr Duration runTime = milliseconds(500);
constexpr Duration gain = milliseconds(1000);

class PlacementWaitTest : public testing::Test
{
protected:
    PlacementWaitTest()
    {
        m_choice.runTime = runTime;
        m_choice.untilLatestStart = seconds(60);
    }

    [[nodiscard]] bool waits() const
    {
        return PlacementWait(multiplier).decide(m_choice) == PlacementVerdict::Wait;
    }

    PlacementChoice m_choice;
};

class RackVacanciesTest : public testing::Test
{
protected:
    /// Runs end on rack r1, one after each interval.
    void endRuns(int count, Duration interval)
    {
        for (int i = 0; i < count; ++i) {
            m_now += interval;
            m_vacancies.observeEnd("r1", m_now);
        }
    }
    [[nodiscard]] std::int64_t expectedMs(std::size_t ahead = 0) const
    {
        return duration_cast<milliseconds>(m_vacancies.expectedWait("r1", ahead, m_now).value()).count();
    }

    RackVacancies m_vacancies;
    TimePoint m_now{seconds(1000)};
};

} // namespace

TEST_F(PlacementWaitTest, expectedWait_shorterThanTheGain_waits)
{
    m_choice.expectedWait = gain - milliseconds(1);
    EXPECT_TRUE(waits());
    m_choice.expectedWait = gain;
    EXPECT_FALSE(waits());
}

TEST_F(PlacementWaitTest, unknownRate_waitsAtMostAsLongAsTheGain)
{
    m_choice.waited = gain - milliseconds(1);
    EXPECT_TRUE(waits());
    m_choice.waited = gain;
    EXPECT_FALSE(waits());
}

// A ready task may not stand still for 3 s while there is capacity.
TEST_F(PlacementWaitTest, longRunTime_waitsAtMostTwoSeconds)
{
    m_choice.runTime = seconds(60);
    m_choice.expectedWait = milliseconds(1);
    m_choice.waited = milliseconds(1999);
    EXPECT_TRUE(waits());
    m_choice.waited = seconds(2);
    EXPECT_FALSE(waits());
}

TEST_F(PlacementWaitTest, objective_metOnlyByAStartElsewhereNow_startsElsewhere)
{
    m_choice.expectedWait = milliseconds(900);
    m_choice.untilLatestStart = gain + milliseconds(50);
    EXPECT_FALSE(waits());
    m_choice.untilLatestStart = gain + milliseconds(500);
    EXPECT_TRUE(waits()) << "there is still time to start elsewhere later";
    m_choice.untilLatestStart = gain - milliseconds(1);
    EXPECT_TRUE(waits()) << "a start elsewhere would miss it as well";
}

TEST_F(PlacementWaitTest, longRunningTask_startsElsewhere)
{
    m_choice.longRunning = true;
    EXPECT_FALSE(waits());
}

TEST_F(RackVacanciesTest, unknownRack_hasNoExpectedWait)
{
    endRuns(5, milliseconds(100));
    EXPECT_FALSE(m_vacancies.expectedWait("r2", 0, m_now));
}

TEST_F(RackVacanciesTest, regularEnds_expectedWaitIsAnIntervalForEachTask)
{
    m_vacancies.observeStart("r1", m_now);
    endRuns(50, milliseconds(100));
    EXPECT_NEAR(static_cast<double>(expectedMs()), 100, 10);
    EXPECT_NEAR(static_cast<double>(expectedMs(3)), 400, 40);
}

// Agents report several ends at once, which would look like a rate without limit.
TEST_F(RackVacanciesTest, endsReportedTogether_countForTheTimeBefore)
{
    endRuns(3, Duration{});
    EXPECT_FALSE(m_vacancies.expectedWait("r1", 0, m_now)) << "nothing is known of the time before";
    endRuns(1, milliseconds(400));
    endRuns(3, Duration{});
    EXPECT_NEAR(static_cast<double>(expectedMs()), 100, 10);
}

TEST_F(RackVacanciesTest, rateChanges_recentEndsCountMost)
{
    endRuns(50, milliseconds(100));
    endRuns(10, milliseconds(1000));
    EXPECT_GT(expectedMs(), 600);
}

TEST_F(RackVacanciesTest, endsStopComing_expectedWaitGrows)
{
    endRuns(50, milliseconds(100));
    m_now += seconds(2);
    EXPECT_GE(expectedMs(), 1900);
}

// An idle rack looked like one whose runs never end, so that the tasks of the next burst started elsewhere.
TEST_F(RackVacanciesTest, idleRack_startsAgain_itsIdleTimeDoesNotCount)
{
    endRuns(50, milliseconds(100));
    m_now += seconds(30);
    m_vacancies.observeStart("r1", m_now);
    EXPECT_LE(expectedMs(), 150);
}

} // namespace Trefoilhoist::Jobs
