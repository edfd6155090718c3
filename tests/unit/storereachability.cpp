#include "trefoilhoist/jobs/storereachability.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

class StoreReachabilityTest : public testing::Test
{
protected:
    StoreReachability m_reachability;
    TimePoint m_now{seconds(10)};
};

TEST_F(StoreReachabilityTest, noCallYet_isReachable)
{
    EXPECT_FALSE(m_reachability.isUnreachable(m_now));
}

TEST_F(StoreReachabilityTest, callWithoutAnswerForLong_isUnreachableBeforeTheCallTimesOut)
{
    m_reachability.addCall(m_now);
    EXPECT_FALSE(m_reachability.isUnreachable(m_now + milliseconds(300)));
    EXPECT_TRUE(m_reachability.isUnreachable(m_now + milliseconds(700)));
}

TEST_F(StoreReachabilityTest, slowStoreThatAnswers_isReachable)
{
    m_reachability.addCall(m_now);
    EXPECT_FALSE(m_reachability.finishCall(m_now, true, m_now));
    EXPECT_FALSE(m_reachability.isUnreachable(m_now + seconds(5)));
}

TEST_F(StoreReachabilityTest, failedCall_laterSuccess_isReachableAgain)
{
    m_reachability.addCall(m_now);
    EXPECT_TRUE(m_reachability.finishCall(m_now, false, m_now));
    EXPECT_TRUE(m_reachability.isUnreachable(m_now));
    m_reachability.addCall(m_now);
    EXPECT_TRUE(m_reachability.finishCall(m_now, true, m_now));
    EXPECT_FALSE(m_reachability.isUnreachable(m_now));
}

TEST_F(StoreReachabilityTest, failedCall_aWhileLater_admitsAProbe)
{
    m_reachability.addCall(m_now);
    m_reachability.finishCall(m_now, false, m_now);
    EXPECT_TRUE(m_reachability.isUnreachable(m_now + milliseconds(300)));
    EXPECT_FALSE(m_reachability.isUnreachable(m_now + milliseconds(500)));
}

} // namespace Trefoilhoist::Jobs
