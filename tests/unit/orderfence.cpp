#include "trefoilhoist/jobs/orderfence.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

class OrderFenceTest : public testing::Test
{
protected:
    OrderFenceTest()
    {
        m_fence.adoptEpoch(3);
        m_fence.confirmListing(3);
        m_fence.observeMinionClock(5000, m_now);
    }

    void grant(std::int64_t term, std::int64_t leaseMs = 6000)
    {
        Wire::WorkerReportReply reply;
        reply.epoch = 3;
        reply.leaseTerm = term;
        reply.leaseMs = leaseMs;
        m_fence.applyReply(reply, m_now);
    }

    static Wire::WorkerOrders orders(std::int64_t epoch, std::int64_t term)
    {
        Wire::WorkerOrders result;
        result.epoch = epoch;
        result.leaseTerm = term;
        return result;
    }

    bool passes(std::int64_t epoch, std::int64_t term)
    {
        return m_fence.refusalReason(orders(epoch, term), m_now).empty();
    }

    OrderFence m_fence;
    TimePoint m_now{seconds(50)};
};

TEST_F(OrderFenceTest, ordersUnderTheLease_pass)
{
    grant(1);
    EXPECT_TRUE(passes(3, 1));
}

TEST_F(OrderFenceTest, startsGivenJustNow_pass)
{
    grant(1);
    m_fence.trackReport(7, m_now);
    m_now += milliseconds(900);
    auto given = orders(3, 1);
    given.afterReport = 7;
    given.sinceReportMs = 400;
    EXPECT_EQ(m_fence.startRefusalReason(given, m_now), "");
}

// A cut shorter than the lease, then the transport delivers what it had kept; the task may have ended elsewhere.
TEST_F(OrderFenceTest, startsHeldUpForSecondsUnderTheSameLease_areRefused)
{
    grant(1);
    m_fence.trackReport(7, m_now);
    auto given = orders(3, 1);
    given.afterReport = 7;
    given.sinceReportMs = 400;
    m_now += milliseconds(4400);
    EXPECT_NE(m_fence.startRefusalReason(given, m_now), "");
    EXPECT_EQ(m_fence.refusalReason(given, m_now), "") << "late stops pass";
}

TEST_F(OrderFenceTest, startsAfterAReportOfAnEarlierProcess_areRefused)
{
    grant(1);
    m_fence.trackReport(7, m_now);
    auto given = orders(3, 1);
    given.afterReport = 6;
    EXPECT_NE(m_fence.startRefusalReason(given, m_now), "");
}

TEST_F(OrderFenceTest, ordersBeforeAnyLease_areRefused)
{
    EXPECT_FALSE(passes(3, 0));
}

TEST_F(OrderFenceTest, ordersOfAnEarlierOwner_areRefused)
{
    grant(1);
    m_fence.adoptEpoch(4);
    EXPECT_FALSE(passes(3, 1));
    EXPECT_FALSE(passes(4, 1)) << "the new owner has not seen the minion's runs yet";
}

TEST_F(OrderFenceTest, orderHeldUpUntilAfterTheLease_isRefused)
{
    grant(1);
    m_now += milliseconds(6001);
    EXPECT_FALSE(passes(3, 1));
}

TEST_F(OrderFenceTest, orderHeldUpUntilTheNextTerm_isRefused)
{
    grant(1);
    m_now += milliseconds(7000);
    grant(2);
    EXPECT_FALSE(passes(3, 1));
    EXPECT_TRUE(passes(3, 2));
}

TEST_F(OrderFenceTest, goneMinion_orderOfTheSameTerm_isRefusedAfterItIsBackToo)
{
    grant(1);
    m_fence.markStopped();
    EXPECT_FALSE(passes(3, 1));
    m_fence.confirmListing(3);
    EXPECT_FALSE(passes(3, 1));
    grant(2);
    EXPECT_TRUE(passes(3, 2));
}

TEST_F(OrderFenceTest, slowMinionClock_holdEndsBeforeTheLease)
{
    grant(1);
    const auto until = m_fence.extendHold(m_now);
    ASSERT_TRUE(until);
    // The minion's clock needs 2 % longer for what it shows.
    const double realMs = static_cast<double>(*until - 5000) / 0.98;
    EXPECT_LE(realMs, 6000);
    EXPECT_EQ(m_fence.holdExpiry(), m_fence.leaseExpiry());
}

TEST_F(OrderFenceTest, staleGrant_countsFromItsSending)
{
    const auto sentAt = m_now;
    m_now += milliseconds(900);
    Wire::WorkerReportReply reply;
    reply.epoch = 3;
    reply.leaseTerm = 1;
    reply.leaseMs = 6000;
    m_fence.applyReply(reply, sentAt);
    EXPECT_EQ(m_fence.leaseExpiry(), sentAt + milliseconds(6000));
}

} // namespace Trefoilhoist::Jobs
