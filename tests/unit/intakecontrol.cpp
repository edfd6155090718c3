#include "trefoilhoist/jobs/intakecontrol.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

namespace {

constexpr Duration tickInterval = milliseconds(50);

class IntakeControlTest : public testing::Test
{
protected:
    void tickAfter(Duration time)
    {
        m_now += time;
        m_intake.tick(m_now);
    }

    IntakeControl m_intake{tickInterval};
    TimePoint m_now{seconds(1000)};
};

} // namespace

TEST_F(IntakeControlTest, ticksInTime_submissionsAreTaken)
{
    EXPECT_FALSE(m_intake.retryAfter(m_now));
    for (int i = 0; i < 100; ++i) {
        tickAfter(tickInterval + milliseconds(20));
        EXPECT_FALSE(m_intake.retryAfter(m_now));
    }
}

// More reports and answers arrive than the owner's host can handle.
TEST_F(IntakeControlTest, ticksThatAreLate_submissionsAreRefused)
{
    tickAfter(tickInterval);
    tickAfter(tickInterval + milliseconds(800));
    const auto retryAfter = m_intake.retryAfter(m_now);
    ASSERT_TRUE(retryAfter);
    EXPECT_GE(*retryAfter, seconds(1));
}

TEST_F(IntakeControlTest, tickThatIsStillDue_countsAtOnce)
{
    tickAfter(tickInterval);
    m_now += seconds(3);
    ASSERT_TRUE(m_intake.retryAfter(m_now));
    EXPECT_GE(*m_intake.retryAfter(m_now), seconds(3));
}

TEST_F(IntakeControlTest, backlogGone_submissionsAreTakenAgainSoon)
{
    tickAfter(tickInterval);
    tickAfter(seconds(4));
    EXPECT_TRUE(m_intake.retryAfter(m_now));
    for (int i = 0; i < 5; ++i) {
        tickAfter(tickInterval);
    }
    EXPECT_FALSE(m_intake.retryAfter(m_now));
}

} // namespace Trefoilhoist::Jobs
