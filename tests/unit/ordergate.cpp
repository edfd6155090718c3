#include "trefoilhoist/jobs/ordergate.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

class OrderGateTest : public testing::Test
{
protected:
    OrderGateTest()
    {
        m_gate.adopt(3);
        m_gate.listed(3);
        m_gate.noteMinionClock(5000, m_now);
    }

    void grant(std::int64_t term, std::int64_t leaseMs = 6000)
    {
        Wire::WorkerReportReply reply;
        reply.epoch = 3;
        reply.leaseTerm = term;
        reply.leaseMs = leaseMs;
        m_gate.granted(reply, m_now);
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
        return m_gate.refusal(orders(epoch, term), m_now).empty();
    }

    OrderGate m_gate;
    TimePoint m_now{seconds(50)};
};

TEST_F(OrderGateTest, ordersUnderTheLease_pass)
{
    grant(1);
    EXPECT_TRUE(passes(3, 1));
}

TEST_F(OrderGateTest, startsGivenJustNow_pass)
{
    grant(1);
    m_gate.noteReport(7, m_now);
    m_now += milliseconds(900);
    auto given = orders(3, 1);
    given.afterReport = 7;
    given.sinceReportMs = 400;
    EXPECT_EQ(m_gate.startRefusal(given, m_now), "");
}

// A cut shorter than the lease, then the transport delivers what it had kept; the task may have ended elsewhere.
TEST_F(OrderGateTest, startsHeldUpForSecondsUnderTheSameLease_areRefused)
{
    grant(1);
    m_gate.noteReport(7, m_now);
    auto given = orders(3, 1);
    given.afterReport = 7;
    given.sinceReportMs = 400;
    m_now += milliseconds(4400);
    EXPECT_NE(m_gate.startRefusal(given, m_now), "");
    EXPECT_EQ(m_gate.refusal(given, m_now), "") << "late stops pass";
}

TEST_F(OrderGateTest, startsAfterAReportOfAnEarlierProcess_areRefused)
{
    grant(1);
    m_gate.noteReport(7, m_now);
    auto given = orders(3, 1);
    given.afterReport = 6;
    EXPECT_NE(m_gate.startRefusal(given, m_now), "");
}

TEST_F(OrderGateTest, ordersBeforeAnyLease_areRefused)
{
    EXPECT_FALSE(passes(3, 0));
}

TEST_F(OrderGateTest, ordersOfAnEarlierOwner_areRefused)
{
    grant(1);
    m_gate.adopt(4);
    EXPECT_FALSE(passes(3, 1));
    EXPECT_FALSE(passes(4, 1)) << "the new owner has not seen the minion's runs yet";
}

TEST_F(OrderGateTest, orderHeldUpUntilAfterTheLease_isRefused)
{
    grant(1);
    m_now += milliseconds(6001);
    EXPECT_FALSE(passes(3, 1));
}

TEST_F(OrderGateTest, orderHeldUpUntilTheNextTerm_isRefused)
{
    grant(1);
    m_now += milliseconds(7000);
    grant(2);
    EXPECT_FALSE(passes(3, 1));
    EXPECT_TRUE(passes(3, 2));
}

TEST_F(OrderGateTest, goneMinion_orderOfTheSameTerm_isRefusedAfterItIsBackToo)
{
    grant(1);
    m_gate.gone();
    EXPECT_FALSE(passes(3, 1));
    m_gate.listed(3);
    EXPECT_FALSE(passes(3, 1));
    grant(2);
    EXPECT_TRUE(passes(3, 2));
}

TEST_F(OrderGateTest, slowMinionClock_holdEndsBeforeTheLease)
{
    grant(1);
    const auto until = m_gate.holdUntil(m_now);
    ASSERT_TRUE(until);
    // The minion's clock needs 2 % longer for what it shows.
    const double realMs = static_cast<double>(*until - 5000) / 0.98;
    EXPECT_LE(realMs, 6000);
    EXPECT_EQ(m_gate.mayRunUntil(), m_gate.leaseEnds());
}

TEST_F(OrderGateTest, staleGrant_countsFromItsSending)
{
    const auto sentAt = m_now;
    m_now += milliseconds(900);
    Wire::WorkerReportReply reply;
    reply.epoch = 3;
    reply.leaseTerm = 1;
    reply.leaseMs = 6000;
    m_gate.granted(reply, sentAt);
    EXPECT_EQ(m_gate.leaseEnds(), sentAt + milliseconds(6000));
}

} // namespace Trefoilhoist::Jobs
