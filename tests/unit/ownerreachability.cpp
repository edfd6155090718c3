#include "trefoilhoist/jobs/ownerreachability.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

namespace {

constexpr std::int64_t epoch = 3;

class OwnerReachabilityTest : public testing::Test
{
protected:
    OwnerReachability m_owner;
    TimePoint m_now{seconds(1000)};
};

} // namespace

TEST_F(OwnerReachabilityTest, noCallYet_isNotSilent)
{
    EXPECT_FALSE(m_owner.isSilent(epoch, m_now));
}

// The owner's host is saturated or frozen: what is sent to it would be left without an answer.
TEST_F(OwnerReachabilityTest, callWithoutAnswerForLong_isSilentBeforeTheCallTimesOut)
{
    m_owner.addCall(epoch, m_now);
    EXPECT_FALSE(m_owner.isSilent(epoch, m_now + milliseconds(400)));
    EXPECT_TRUE(m_owner.isSilent(epoch, m_now + milliseconds(800)));
}

// One submission waits for the store, while the owner answers others.
TEST_F(OwnerReachabilityTest, laterCallAnswered_isNotSilent)
{
    m_owner.addCall(epoch, m_now);
    const auto later = m_now + milliseconds(300);
    m_owner.addCall(epoch, later);
    m_owner.finishCall(epoch, later, true, later + milliseconds(10));
    EXPECT_FALSE(m_owner.isSilent(epoch, m_now + milliseconds(800)));
}

TEST_F(OwnerReachabilityTest, failedCall_isSilentUntilAProbeIsDue)
{
    m_owner.addCall(epoch, m_now);
    const auto failedAt = m_now + milliseconds(1200);
    m_owner.finishCall(epoch, m_now, false, failedAt);
    EXPECT_TRUE(m_owner.isSilent(epoch, failedAt + milliseconds(300)));
    EXPECT_FALSE(m_owner.isSilent(epoch, failedAt + milliseconds(500)));
}

TEST_F(OwnerReachabilityTest, newOwner_isNotSilentForTheEarlierOnesCalls)
{
    m_owner.addCall(epoch, m_now);
    EXPECT_FALSE(m_owner.isSilent(epoch + 1, m_now + seconds(2)));
    m_owner.addCall(epoch + 1, m_now + seconds(2));
    m_owner.finishCall(epoch, m_now, false, m_now + seconds(2));
    EXPECT_FALSE(m_owner.isSilent(epoch + 1, m_now + seconds(2)));
}

} // namespace Trefoilhoist::Jobs
