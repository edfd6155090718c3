#include "trefoilhoist/jobs/planpacer.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

namespace {

class PlanPacerTest : public testing::Test
{
protected:
    void planFor(Duration took)
    {
        const auto startedAt = m_now;
        m_now += took;
        m_pacer.finishPlan(startedAt, m_now);
    }

    PlanPacer m_pacer;
    TimePoint m_now{seconds(1000)};
};

} // namespace

TEST_F(PlanPacerTest, firstPlan_noPlanBefore_startsAtOnce)
{
    EXPECT_EQ(m_pacer.delay(m_now), Duration{});
}

TEST_F(PlanPacerTest, requests_inQuickSuccession_shareAPlan)
{
    planFor(microseconds(100));
    EXPECT_GT(m_pacer.delay(m_now), milliseconds(1));
}

TEST_F(PlanPacerTest, plans_thatTakeLong_leaveMostOfTheTimeToOtherWork)
{
    Duration planning{};
    const auto begin = m_now;
    while (m_now - begin < seconds(10)) {
        m_now += m_pacer.delay(m_now);
        planFor(milliseconds(10));
        planning += milliseconds(10);
    }
    EXPECT_LE(planning, milliseconds(10'000) / 4);
}

TEST_F(PlanPacerTest, plan_ofAVerySlowHost_isFollowedByAnotherSoon)
{
    planFor(seconds(2));
    EXPECT_LE(m_pacer.delay(m_now), milliseconds(100));
}

TEST_F(PlanPacerTest, request_longAfterTheLastPlan_startsAtOnce)
{
    planFor(milliseconds(10));
    m_now += seconds(1);
    EXPECT_EQ(m_pacer.delay(m_now), Duration{});
}

} // namespace Trefoilhoist::Jobs
