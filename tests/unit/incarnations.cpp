// Incarnations of one agent's minion, and reports about one that is not the present one.
#include "harness/schedulerfixture.h"

#include <gtest/gtest.h>

#include <string>

namespace Trefoilhoist::Jobs {

class IncarnationTest : public SchedulerFixture
{
protected:
    IncarnationTest()
    {
        sendReport(reportOfIncarnation("present", presentBorn));
        sendReport(reportOf("other"));
        auto step = stepOf(1, 1000);
        step.maxPerWorker = 1;
        step.count = 2;
        accept(jobOf("a", {step}));
        const auto orders = plan();
        for (const auto &[worker, it] : orders) {
            answer(it, OrderResult::Done);
        }
        m_running = running(orders.at("present").starts.front());
        sendPresent();
    }

    /// All incarnations are of the same agent.
    Wire::WorkerReport reportOfIncarnation(const std::string &id, std::int64_t born)
    {
        auto report = reportOf(id);
        report.worker.born = born;
        report.worker.agentHost = "agent";
        return report;
    }

    /// A heartbeat of this incarnation has reached the agent, which has not called the minion yet.
    Wire::WorkerReport unlistedReportOf(const std::string &id, std::int64_t born)
    {
        auto report = reportOfIncarnation(id, born);
        report.listed = false;
        report.reachable = false;
        return report;
    }

    void sendPresent()
    {
        auto report = reportOfIncarnation("present", presentBorn);
        report.running = {m_running};
        sendReport(report);
    }

    [[nodiscard]] Wire::EndedTask endOfPresentRun() const
    {
        Wire::EndedTask end;
        end.number = 1;
        end.task = m_running.task;
        end.run = m_running.run;
        end.how = static_cast<int>(EndKind::Done);
        return end;
    }

    [[nodiscard]] bool presentKeepsItsRun() const
    {
        const auto it = m_scheduler.workers().find("present");
        return it != m_scheduler.workers().end() && it->second.runs.count({m_running.task, m_running.run}) > 0;
    }

    static constexpr std::int64_t earlierBorn = 1000;
    static constexpr std::int64_t presentBorn = 2000;
    static constexpr std::int64_t laterBorn = 3000;
    Wire::RunningTask m_running;
};

// A heartbeat that was held up reached an agent that had been restarted. The owner took the present minion for replaced
// and started its tasks elsewhere while it worked on them.
TEST_F(IncarnationTest, lateHeartbeatOfAnEarlierIncarnation_presentOneKeepsItsRuns)
{
    const auto reply = sendReport(unlistedReportOf("earlier", earlierBorn));
    EXPECT_EQ(reply.leaseMs, 0) << "nothing may be held there";
    EXPECT_TRUE(presentKeepsItsRun());
    EXPECT_EQ(m_scheduler.workers().count("earlier"), 0U);
    EXPECT_EQ(starts(plan()), 0U);
    sendPresent();
    EXPECT_TRUE(presentKeepsItsRun());
}

TEST_F(IncarnationTest, lateHeartbeatOfAnEarlierIncarnation_noCrashIsBlamed)
{
    sendReport(unlistedReportOf("earlier", earlierBorn));
    sendPresent();
    recordChanges();
    EXPECT_EQ(m_records.count("a"), 0U);
}

TEST_F(IncarnationTest, lateHeartbeatUnderTheSameId_presentOneKeepsItsRuns)
{
    sendReport(unlistedReportOf("present", earlierBorn));
    EXPECT_TRUE(presentKeepsItsRun());
    EXPECT_EQ(starts(plan()), 0U);
}

TEST_F(IncarnationTest, earlierIncarnationIsReportedGone_presentOneKeepsItsRuns)
{
    auto gone = unlistedReportOf("earlier", earlierBorn);
    gone.gone = true;
    sendReport(gone);
    EXPECT_TRUE(presentKeepsItsRun());
    EXPECT_EQ(starts(plan()), 0U);
}

// A held-up heartbeat of an incarnation that had started before the host's clock was set back looked like a later one.
// The owner took the living minion for replaced and started its tasks elsewhere.
TEST_F(IncarnationTest, laterIncarnationIsOnlyHeardOf_presentOneKeepsItsRunsUntilItsLeaseEnds)
{
    const auto reply = sendReport(unlistedReportOf("later", laterBorn));
    EXPECT_EQ(reply.leaseMs, 0) << "nothing may be held there";
    EXPECT_TRUE(presentKeepsItsRun());
    EXPECT_EQ(starts(plan()), 0U);
    m_now += m_settings.workerLease + m_settings.leaseSlack + milliseconds(1);
    sendReport(unlistedReportOf("later", laterBorn));
    EXPECT_FALSE(presentKeepsItsRun());
    EXPECT_EQ(m_scheduler.workers().count("present"), 0U);
    EXPECT_EQ(m_scheduler.workers().count("later"), 1U);
}

TEST_F(IncarnationTest, laterIncarnationAnswers_presentOneIsReplaced)
{
    sendReport(reportOfIncarnation("later", laterBorn));
    EXPECT_FALSE(presentKeepsItsRun());
    EXPECT_EQ(m_scheduler.workers().count("present"), 0U);
}

// The run of a minion that is given up is listed by the same incarnation: its hold must expire before it goes on, and
// no term is taken for lapsed that the agent has not reported.
TEST_F(IncarnationTest, presentOneIsGivenUpAndListedAgain_agentIsToldUntilItReportsTheLapse)
{
    auto gone = reportOfIncarnation("present", presentBorn);
    gone.gone = true;
    gone.listed = false;
    EXPECT_EQ(sendReport(gone).leaseTerm, 2);
    auto report = reportOfIncarnation("present", presentBorn);
    report.running = {m_running};
    auto reply = sendReport(report);
    EXPECT_EQ(reply.leaseTerm, 2);
    EXPECT_EQ(reply.lapsedTerm, 0);
    report = reportOfIncarnation("present", presentBorn);
    report.lapsedTerm = 1;
    EXPECT_EQ(sendReport(report).lapsedTerm, 1);
    // A new process of the agent knows of no lapse.
    EXPECT_EQ(sendReport(reportOfIncarnation("present", presentBorn)).lapsedTerm, 1);
}

// The owner forgot that it had given the runs of an incarnation up when a late heartbeat of another one came between.
TEST_F(IncarnationTest, givenUpOneReturnsAfterAnotherWasHeardOf_agentIsToldToLetTheHoldExpire)
{
    auto gone = reportOfIncarnation("present", presentBorn);
    gone.gone = true;
    gone.listed = false;
    sendReport(gone);
    sendReport(unlistedReportOf("earlier", earlierBorn));
    const auto reply = sendReport(reportOfIncarnation("present", presentBorn));
    EXPECT_GT(reply.leaseTerm, reply.lapsedTerm + 1);
}

// The minion looked empty, so that it was ordered the starts that its agent withheld until the hold had expired.
TEST_F(IncarnationTest, givenUpOneReturns_getsNoStartsBeforeItsHoldHasLapsed)
{
    auto gone = reportOfIncarnation("present", presentBorn);
    gone.gone = true;
    gone.listed = false;
    sendReport(gone);
    const auto reply = sendReport(reportOfIncarnation("present", presentBorn));
    ASSERT_GT(reply.leaseTerm, reply.lapsedTerm + 1);
    ASSERT_EQ(starts(plan()), 0U);
    auto lapsed = reportOfIncarnation("present", presentBorn);
    lapsed.lapsedTerm = reply.leaseTerm - 1;
    sendReport(lapsed);
    EXPECT_EQ(starts(plan()), 1U);
}

// A run that a listing had not shown was given up and started elsewhere. Its end was acknowledged when a later listing
// showed it.
TEST_F(IncarnationTest, runIsNotListedAndThenEnds_holdMustExpireBeforeTheEndIsAcknowledged)
{
    sendReport(reportOfIncarnation("present", presentBorn));
    ASSERT_FALSE(presentKeepsItsRun());
    auto report = reportOfIncarnation("present", presentBorn);
    report.ended = {endOfPresentRun()};
    const auto reply = sendReport(report);
    EXPECT_GT(reply.leaseTerm, reply.lapsedTerm + 1);
}

// The host's clock was set back: only the minion's own answer shows that the incarnation with the earlier start time is
// the present one.
TEST_F(IncarnationTest, incarnationWithAnEarlierStartTimeAnswers_replacesTheOther)
{
    sendReport(reportOfIncarnation("earlier", earlierBorn));
    EXPECT_FALSE(presentKeepsItsRun());
    EXPECT_EQ(m_scheduler.workers().count("earlier"), 1U);
}

// Otherwise a machine whose clock was set back would not be used before its minion has answered a call.
TEST_F(IncarnationTest, presentOneIsGone_incarnationWithAnEarlierStartTimeIsAccepted)
{
    auto gone = reportOfIncarnation("present", presentBorn);
    gone.gone = true;
    gone.listed = false;
    sendReport(gone);
    sendReport(unlistedReportOf("earlier", earlierBorn));
    EXPECT_EQ(m_scheduler.workers().count("earlier"), 1U);
}

// A heartbeat that was held up is of an earlier incarnation, whose start time is later, as the host's clock was set
// back since. The present minion's tasks started elsewhere while it worked on them, and its ends were acknowledged all
// the same.
TEST_F(IncarnationTest, incarnationWithALaterStartTimeHasNotAnswered_presentOneKeepsItsRuns)
{
    joinWorker("third");
    sendReport(unlistedReportOf("earlier", laterBorn));
    EXPECT_TRUE(presentKeepsItsRun());
    recordChanges();
    const auto startedElsewhere = starts(plan());
    EXPECT_EQ(startedElsewhere, 0U);
    auto report = reportOfIncarnation("present", presentBorn);
    report.ended = {endOfPresentRun()};
    sendReport(report);
    recordChanges();
    const auto reply = sendReport(reportOfIncarnation("present", presentBorn));
    const bool acknowledgedInTheFirstTerm = reply.recordedEnds > 0 && reply.leaseTerm == 1;
    EXPECT_FALSE(startedElsewhere > 0 && acknowledgedInTheFirstTerm);
}

// Two agents named the same minion. One that had never reached it took it for gone, and its tasks started elsewhere
// though the other agent listed them.
TEST_F(IncarnationTest, agentThatNeverReachedTheMinionReportsItGone_otherAgentsListingHolds)
{
    joinWorker("third");
    auto report = unlistedReportOf("present", presentBorn);
    report.worker.agentHost = "another";
    sendReport(report);
    EXPECT_TRUE(presentKeepsItsRun());
    report.gone = true;
    sendReport(report);
    EXPECT_TRUE(presentKeepsItsRun());
    EXPECT_EQ(starts(plan()), 0U);
}

// Like above, with an agent that ends its part because the minion has left it.
TEST_F(IncarnationTest, minionLeavesAnAgentThatNeverReachedIt_otherAgentsListingHolds)
{
    joinWorker("third");
    auto report = unlistedReportOf("present", presentBorn);
    report.worker.agentHost = "another";
    sendReport(report);
    Wire::WorkerReport left;
    left.epoch = epoch;
    left.gone = true;
    left.worker.agentHost = report.worker.agentHost;
    left.worker.agentPort = report.worker.agentPort;
    sendReport(left);
    EXPECT_TRUE(presentKeepsItsRun());
    EXPECT_EQ(starts(plan()), 0U);
}

// The owner forgot that it had given up runs of the incarnation that came back, so that its agent could not tell:
// orders of before were admitted, and its ends acknowledged at once.
TEST_F(IncarnationTest, presentOneComesBackAfterAnEarlierOneWasHeardOf_itsLeaseTermIsHigher)
{
    auto gone = reportOfIncarnation("present", presentBorn);
    gone.gone = true;
    gone.listed = false;
    sendReport(gone);
    sendReport(unlistedReportOf("earlier", earlierBorn));
    EXPECT_GT(sendReport(reportOfIncarnation("present", presentBorn)).leaseTerm, 1);
}

} // namespace Trefoilhoist::Jobs
