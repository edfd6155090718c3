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

    bool isAdmitted(std::int64_t epoch, std::int64_t term)
    {
        return m_fence.refusalReason(orders(epoch, term), m_now).empty();
    }

    OrderFence m_fence;
    TimePoint m_now{seconds(50)};
};

TEST_F(OrderFenceTest, ordersUnderTheLease_areAdmitted)
{
    grant(1);
    EXPECT_TRUE(isAdmitted(3, 1));
}

TEST_F(OrderFenceTest, recentStarts_areAdmitted)
{
    grant(1);
    m_fence.trackReport(7, m_now);
    m_now += milliseconds(900);
    auto starts = orders(3, 1);
    starts.afterReport = 7;
    starts.sinceReportMs = 400;
    EXPECT_EQ(m_fence.startRefusalReason(starts, m_now), "");
}

// The network was down for less than the lease, then the transport delivers buffered orders. By then the task may have
// ended on another worker.
TEST_F(OrderFenceTest, startsDelayedBySecondsUnderTheSameLease_areRefused)
{
    grant(1);
    m_fence.trackReport(7, m_now);
    auto starts = orders(3, 1);
    starts.afterReport = 7;
    starts.sinceReportMs = 400;
    m_now += milliseconds(4400);
    EXPECT_NE(m_fence.startRefusalReason(starts, m_now), "");
    EXPECT_EQ(m_fence.refusalReason(starts, m_now), "") << "late stops are admitted";
}

TEST_F(OrderFenceTest, startsAfterAReportOfAnEarlierProcess_areRefused)
{
    grant(1);
    m_fence.trackReport(7, m_now);
    auto starts = orders(3, 1);
    starts.afterReport = 6;
    EXPECT_NE(m_fence.startRefusalReason(starts, m_now), "");
}

TEST_F(OrderFenceTest, ordersBeforeAnyLease_areRefused)
{
    EXPECT_FALSE(isAdmitted(3, 0));
}

TEST_F(OrderFenceTest, ordersOfAnEarlierOwner_areRefused)
{
    grant(1);
    m_fence.adoptEpoch(4);
    EXPECT_FALSE(isAdmitted(3, 1));
    EXPECT_FALSE(isAdmitted(4, 1)) << "the minion has not listed its runs to the new owner yet";
}

TEST_F(OrderFenceTest, orderDelayedPastTheLease_isRefused)
{
    grant(1);
    m_now += milliseconds(6001);
    EXPECT_FALSE(isAdmitted(3, 1));
}

TEST_F(OrderFenceTest, orderDelayedIntoTheNextTerm_isRefused)
{
    grant(1);
    m_now += milliseconds(7000);
    grant(2);
    EXPECT_FALSE(isAdmitted(3, 1));
    EXPECT_TRUE(isAdmitted(3, 2));
}

TEST_F(OrderFenceTest, stoppedMinion_orderOfTheSameTerm_isStillRefusedAfterANewListing)
{
    grant(1);
    m_fence.markStopped();
    EXPECT_FALSE(isAdmitted(3, 1));
    m_fence.confirmListing(3);
    EXPECT_FALSE(isAdmitted(3, 1));
    grant(2);
    EXPECT_TRUE(isAdmitted(3, 2));
}

TEST_F(OrderFenceTest, slowMinionClock_holdEndsBeforeTheLease)
{
    grant(1);
    // The minion's clock runs 2 % slow, so that it takes longer to reach the shown time.
    const auto realMs = [](std::int64_t until) {
        return static_cast<double>(until - 5000) / 0.98;
    };
    const auto until = m_fence.extendHold(m_now);
    ASSERT_TRUE(until);
    EXPECT_LE(realMs(*until), static_cast<double>(duration_cast<milliseconds>(HoldLimits().extension).count()));
    EXPECT_EQ(m_fence.holdExpiry(), m_now + HoldLimits().extension);
    const auto untilLeaseEnds = m_fence.extendHoldToLease(m_now);
    ASSERT_TRUE(untilLeaseEnds);
    EXPECT_LE(realMs(*untilLeaseEnds), 6000);
    EXPECT_EQ(m_fence.holdExpiry(), m_fence.leaseExpiry());
}

TEST_F(OrderFenceTest, lateGrant_countsFromWhenTheReportWasSent)
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

TEST_F(OrderFenceTest, fencingToken_laterEpochOrIncarnation_isHigher)
{
    m_fence.resetForNewIncarnation(1'800'000'000'000);
    const auto first = m_fence.fencingToken();
    m_fence.resetForNewIncarnation(1'800'000'000'500);
    const auto nextIncarnation = m_fence.fencingToken();
    m_fence.adoptEpoch(4);
    m_fence.resetForNewIncarnation(0);
    EXPECT_GT(nextIncarnation, first);
    EXPECT_GT(m_fence.fencingToken(), nextIncarnation);
}

// Bodies of calls are JSON, whose readers may keep numbers as doubles.
TEST_F(OrderFenceTest, fencingToken_highEpoch_isExactAsADouble)
{
    m_fence.adoptEpoch(500'000);
    m_fence.resetForNewIncarnation(4'000'000'000'001);
    const auto token = m_fence.fencingToken();
    EXPECT_EQ(static_cast<std::int64_t>(static_cast<double>(token)), token);
}

TEST_F(OrderFenceTest, anotherIncarnationAnswers_nothingIsAdmittedOrDroppedUntilItIsKnown)
{
    Wire::WorkerReportReply reply;
    reply.epoch = 3;
    reply.leaseTerm = 1;
    reply.leaseMs = 6000;
    reply.recordedEnds = 57;
    m_fence.applyReply(reply, m_now);
    ASSERT_EQ(m_fence.endsToDrop(), 57);
    m_fence.markReplaced();
    EXPECT_EQ(m_fence.endsToDrop(), 0);
    EXPECT_FALSE(m_fence.extendHold(m_now).has_value());
    EXPECT_FALSE(isAdmitted(3, 1));
    m_fence.resetForNewIncarnation(2000);
    m_fence.confirmListing(3);
    m_fence.observeMinionClock(10, m_now);
    grant(1);
    EXPECT_TRUE(isAdmitted(3, 1));
}

// A minion that had died counted as alive for as long as the lease of its owner lasts.
TEST_F(OrderFenceTest, holdIsExtended_endsBeforeTheLease)
{
    grant(1);
    const HoldLimits limits;
    EXPECT_LE(m_fence.extendHold(m_now).value(), 5000 + duration_cast<milliseconds>(limits.extension).count());
    EXPECT_EQ(m_fence.holdExpiry(), m_now + limits.extension);
    EXPECT_GT(m_fence.extendHoldToLease(m_now).value(), 5000 + duration_cast<milliseconds>(limits.extension).count());
    EXPECT_EQ(m_fence.holdExpiry(), m_fence.leaseExpiry());
}

// The owner may be starting the tasks elsewhere at this moment.
TEST_F(OrderFenceTest, minionIsReachedAgainAfterItsHold_holdIsNotExtendedBeforeTheOwnerHasAnswered)
{
    grant(1);
    ASSERT_TRUE(m_fence.extendHold(m_now).has_value());
    m_fence.markStopped();
    m_fence.trackReport(1, m_now);
    m_now += seconds(3);
    m_fence.observeMinionClock(8000, m_now);
    m_fence.confirmListing(3);
    EXPECT_FALSE(m_fence.extendHold(m_now).has_value());
    m_now += milliseconds(1);
    grant(1);
    EXPECT_TRUE(m_fence.extendHold(m_now).has_value());
}

TEST_F(OrderFenceTest, ownerGivesTheRunsUpInsideTheHold_nothingIsExtendedUntilTheMinionsClockHasPassedIt)
{
    grant(1);
    m_now += seconds(10);
    m_fence.observeMinionClock(15'000, m_now);
    grant(1);
    const auto until = m_fence.extendHold(m_now).value();
    grant(2);
    EXPECT_TRUE(m_fence.mustLapse(m_now));
    m_now += seconds(5);
    m_fence.observeMinionClock(until - 1, m_now);
    EXPECT_FALSE(m_fence.extendHold(m_now).has_value());
    EXPECT_EQ(m_fence.lapsedTerm(), 0);
    m_fence.observeMinionClock(until, m_now);
    EXPECT_FALSE(m_fence.mustLapse(m_now));
    EXPECT_EQ(m_fence.lapsedTerm(), 1);
    grant(2);
    EXPECT_TRUE(m_fence.extendHold(m_now).has_value());
}

// A new process of the agent doesn't know what the one before it has granted.
TEST_F(OrderFenceTest, ownerHasGivenUpUnderAnEarlierProcess_longestHoldMustPass)
{
    grant(2);
    EXPECT_TRUE(m_fence.mustLapse(m_now));
    m_now += seconds(7);
    m_fence.observeMinionClock(10'999, m_now);
    EXPECT_TRUE(m_fence.mustLapse(m_now));
    m_fence.observeMinionClock(11'000, m_now);
    EXPECT_FALSE(m_fence.mustLapse(m_now));
}

TEST_F(OrderFenceTest, ownerKnowsOfTheLapse_newProcessDoesNotWaitForItAgain)
{
    Wire::WorkerReportReply reply;
    reply.epoch = 3;
    reply.leaseTerm = 2;
    reply.lapsedTerm = 1;
    reply.leaseMs = 6000;
    m_fence.applyReply(reply, m_now);
    EXPECT_FALSE(m_fence.mustLapse(m_now));
}

// The next owner knows nothing of the tasks that the one before has started elsewhere.
TEST_F(OrderFenceTest, ownerIsReplacedAfterItHasGivenUp_holdMustExpireAllTheSame)
{
    grant(1);
    ASSERT_TRUE(m_fence.extendHold(m_now).has_value());
    grant(2);
    m_fence.adoptEpoch(4);
    EXPECT_TRUE(m_fence.mustLapse(m_now));
}

// The hold is shorter than the lease. A host that was suspended for longer than the hold, but not for the lease, had
// all its runs stopped, though no owner had given them up.
TEST_F(OrderFenceTest, hostWasSuspendedInsideTheLease_runsAreNotGivenUp)
{
    grant(1);
    ASSERT_TRUE(m_fence.extendHold(m_now).has_value());
    m_now += HoldLimits().extension + milliseconds(500);
    m_fence.observeMinionClock(5100, m_now);
    ASSERT_LT(m_now, m_fence.leaseExpiry());
    EXPECT_FALSE(m_fence.mustLapse(m_now));
}

// The host's clock was set back between the starts of two incarnations. The next one obeyed delayed calls that were
// meant for the earlier one, and after such a call refused its own.
TEST_F(OrderFenceTest, fencingToken_nextIncarnationHasAnEarlierStartTime_isHigherToo)
{
    m_fence.resetForNewIncarnation(1'800'000'003'000);
    const auto first = m_fence.fencingToken();
    m_fence.resetForNewIncarnation(1'800'000'000'000);
    EXPECT_GT(m_fence.fencingToken(), first);
}

} // namespace Trefoilhoist::Jobs
