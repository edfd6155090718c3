#include "trefoilhoist/jobs/storereach.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

class StoreReachTest : public testing::Test
{
protected:
    StoreReach m_reach;
    TimePoint m_now{seconds(10)};
};

TEST_F(StoreReachTest, noCallYet_isTakenToAnswer)
{
    EXPECT_FALSE(m_reach.outOfReach(m_now));
}

TEST_F(StoreReachTest, callWithoutAnswerForLong_isSuspectedBeforeTheCallTimesOut)
{
    m_reach.sent(m_now);
    EXPECT_FALSE(m_reach.outOfReach(m_now + milliseconds(300)));
    EXPECT_TRUE(m_reach.outOfReach(m_now + milliseconds(700)));
}

TEST_F(StoreReachTest, slowStoreThatAnswers_isInReach)
{
    m_reach.sent(m_now);
    EXPECT_FALSE(m_reach.answered(m_now, true, m_now));
    EXPECT_FALSE(m_reach.outOfReach(m_now + seconds(5)));
}

TEST_F(StoreReachTest, failedCall_laterSuccess_isRegained)
{
    m_reach.sent(m_now);
    EXPECT_TRUE(m_reach.answered(m_now, false, m_now));
    EXPECT_TRUE(m_reach.outOfReach(m_now));
    m_reach.sent(m_now);
    EXPECT_TRUE(m_reach.answered(m_now, true, m_now));
    EXPECT_FALSE(m_reach.outOfReach(m_now));
}

TEST_F(StoreReachTest, failedCall_aWhileLater_letsOneTryThrough)
{
    m_reach.sent(m_now);
    m_reach.answered(m_now, false, m_now);
    EXPECT_TRUE(m_reach.outOfReach(m_now + milliseconds(300)));
    EXPECT_FALSE(m_reach.outOfReach(m_now + milliseconds(500)));
}

} // namespace Trefoilhoist::Jobs
