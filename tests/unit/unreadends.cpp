// Ends of runs that could be acknowledged although the owner has not counted them.
#include "harness/schedulerfixture.h"
#include "trefoilhoist/jobs/orderfence.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

class UnreadEndTest : public SchedulerFixture
{
protected:
    /// Accepts a job with one task, plans, and returns its start order.
    Wire::StartOrder startJob(const std::string &id)
    {
        accept(jobOf(id, {stepOf(1, 500)}));
        const auto orders = plan();
        m_orders = orders.begin()->second;
        return m_orders.starts.front();
    }

    /// The report of the next incarnation of the minion, which has the id of the earlier one.
    Wire::WorkerReport reportOfNextIncarnation(const std::string &worker)
    {
        auto report = reportOf(worker);
        report.worker.born = 2;
        return report;
    }

    /// The crash of the earlier incarnation is recorded, and starts before it no longer hold up others.
    void settle()
    {
        recordChanges();
        m_now += seconds(1);
    }

    Wire::WorkerOrders m_orders;
};

// The order was meant for one incarnation, and the next one, which had the same id, executed and confirmed it. The
// owner gave the run up with the earlier incarnation and started the task again while the run went on.
TEST_F(UnreadEndTest, minionRestartsUnderItsId_runThatWasNeverListed_isNotStartedElsewhere)
{
    joinWorker("w0");
    joinWorker("w1");
    const auto order = startJob("a");
    const auto worker = m_orders.worker;
    answer(m_orders, OrderResult::Done);
    auto unlisted = reportOfNextIncarnation(worker);
    unlisted.listed = false;
    sendReport(unlisted);
    settle();
    EXPECT_TRUE(plan().empty());
    auto listed = reportOfNextIncarnation(worker);
    listed.ended.push_back(ended(1, order, EndKind::Done));
    sendReport(listed);
    EXPECT_EQ(starts(plan()), 0U);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Completed);
}

TEST_F(UnreadEndTest, minionRestartsUnderItsId_runThatItDoesNotHave_isStartedAgain)
{
    joinWorker("w0");
    startJob("a");
    answer(m_orders, OrderResult::Done);
    auto unlisted = reportOfNextIncarnation("w0");
    unlisted.listed = false;
    sendReport(unlisted);
    settle();
    EXPECT_TRUE(plan().empty());
    sendReport(reportOfNextIncarnation("w0"));
    EXPECT_TRUE(m_scheduler.workers().at("w0").runs.empty());
    settle();
    EXPECT_EQ(starts(plan()), 1U);
}

// A listed run ran on the earlier incarnation, so the task need not wait for the next one.
TEST_F(UnreadEndTest, minionRestartsUnderItsId_runThatWasListed_isStartedAgainAtOnce)
{
    joinWorker("w0");
    const auto order = startJob("a");
    answer(m_orders, OrderResult::Done);
    auto listing = reportOf("w0");
    listing.running.push_back(running(order));
    sendReport(listing);
    sendReport(reportOfNextIncarnation("w0"));
    settle();
    EXPECT_EQ(starts(plan()), 1U);
}

// A new owner acknowledged the end at once, because by its clock the occurrence was not due and so had no such task.
TEST_F(UnreadEndTest, endOfAnOccurrenceThatIsNotDueHere_isCounted)
{
    auto spec = jobOf("a", {stepOf(1, 500)});
    spec.occurrences = 2;
    spec.firstDueMs = wallMs + 100;
    spec.intervalMs = 10'000;
    m_scheduler.restoreJob(spec, std::nullopt, m_now, wallMs);
    auto report = reportOf("w0");
    Wire::StartOrder order;
    order.task = taskOf("a");
    order.run = 1;
    report.ended.push_back(ended(1, order, EndKind::Done));
    const auto reply = sendReport(report);
    EXPECT_EQ(reply.recordedEnds, 0);
    recordChanges();
    EXPECT_EQ(sendReport(reportOf("w0")).recordedEnds, 1);
    EXPECT_EQ(starts(m_scheduler.plan(m_now, spec.firstDueMs + 1000, true)), 0U);
}

TEST_F(UnreadEndTest, runOfAnOccurrenceThatIsNotDueHere_isAdoptedAndItsOtherTasksWait)
{
    auto spec = jobOf("a", {stepOf(2, 500)});
    spec.occurrences = 2;
    spec.firstDueMs = wallMs + 100;
    spec.intervalMs = 10'000;
    m_scheduler.restoreJob(spec, std::nullopt, m_now, wallMs);
    auto report = reportOf("w0");
    Wire::StartOrder order;
    order.task = taskOf("a");
    order.run = 1;
    report.running.push_back(running(order));
    sendReport(report);
    EXPECT_TRUE(plan().empty());
    EXPECT_EQ(starts(m_scheduler.plan(m_now, spec.firstDueMs + 1000, true)), 1U);
}

// The minion returns a limited number of ends at a time. A run that had ended behind them was in neither list, and was
// taken for lost.
TEST_F(UnreadEndTest, listingWithoutAllEnds_runThatItDoesNotShow_isKept)
{
    joinWorker("w0");
    const auto order = startJob("a");
    answer(m_orders, OrderResult::Done);
    auto partial = reportOf("w0");
    partial.lacksEnds = true;
    sendReport(partial);
    EXPECT_EQ(starts(plan()), 0U);
    auto whole = reportOf("w0");
    whole.ended.push_back(ended(1, order, EndKind::Done));
    sendReport(whole);
    EXPECT_EQ(starts(plan()), 0U);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Completed);
}

// A new owner waits for what every agent's minion has run, so that nothing is started again.
TEST_F(UnreadEndTest, listingWithoutAllEnds_newOwner_waitsForTheRest)
{
    const auto report = reportOf("w0");
    Wire::WorkerRoster roster;
    roster.workers.push_back(report.worker);
    m_scheduler.restoreJob(jobOf("a", {stepOf(1, 500)}), std::nullopt, m_now, wallMs);
    m_scheduler.restoreRoster(roster, m_now);
    const auto end = m_now + 3 * m_settings.workerLease;
    for (; m_now < end; m_now += milliseconds(500)) {
        auto partial = reportOf("w0");
        partial.lacksEnds = true;
        sendReport(partial);
        ASSERT_EQ(starts(plan()), 0U);
    }
    sendReport(reportOf("w0"));
    EXPECT_EQ(starts(plan()), 1U);
}

// The agent has given up on the earlier report, and has reached its minion since.
TEST_F(UnreadEndTest, delayedReportThatTheMinionIsGone_runsAreKept)
{
    joinWorker("w0");
    const auto order = startJob("a");
    answer(m_orders, OrderResult::Done);
    auto gone = reportOf("w0");
    gone.number = 1;
    gone.gone = true;
    gone.listed = false;
    auto listing = reportOf("w0");
    listing.number = 2;
    listing.running.push_back(running(order));
    sendReport(listing);
    sendReport(gone);
    EXPECT_EQ(starts(plan()), 0U);
    EXPECT_EQ(m_scheduler.workers().at("w0").runs.size(), 1U);
}

// The first order was executed without an answer, and the run ended before a listing. The minion told the repeated
// order that the run was over; another repetition was refused, and the task started again although its end was still
// unread.
TEST_F(UnreadEndTest, startIsSupersededAndItsRepetitionRefused_runIsKeptUntilItsEndIsListed)
{
    joinWorker("w0");
    joinWorker("w1");
    const auto order = startJob("a");
    const auto worker = m_orders.worker;
    answer(m_orders, OrderResult::Unknown);
    m_now += m_settings.orderRetryDelay;
    answer(plan().at(worker), OrderResult::Superseded);
    for (int i = 0; i < 8; ++i) {
        m_now += m_settings.orderRetryDelay;
        for (const auto &[id, orders] : plan()) {
            EXPECT_EQ(orders.starts.size(), 0U);
            answer(orders, OrderResult::Refused, OrderResult::Refused);
        }
    }
    auto listing = reportOf(worker);
    listing.ended.push_back(ended(1, order, EndKind::Done));
    sendReport(listing);
    EXPECT_EQ(starts(plan()), 0U);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Completed);
}

// Two repetitions were on their way.
TEST_F(UnreadEndTest, startIsSupersededThenRefused_runIsKeptUntilItsEndIsListed)
{
    joinWorker("w0");
    joinWorker("w1");
    const auto order = startJob("a");
    const auto worker = m_orders.worker;
    answer(m_orders, OrderResult::Unknown);
    m_now += m_settings.orderRetryDelay;
    const auto repetition = plan().at(worker);
    answer(repetition, OrderResult::Superseded);
    answer(repetition, OrderResult::Refused);
    m_now += m_settings.orderRetryDelay;
    EXPECT_EQ(starts(plan()), 0U);
    EXPECT_EQ(m_scheduler.workers().at(worker).runs.count({order.task, order.run}), 1U);
}

TEST_F(UnreadEndTest, startIsSupersededAndNoListingShowsTheRun_taskStartsAgain)
{
    joinWorker("w0");
    startJob("a");
    answer(m_orders, OrderResult::Unknown);
    m_now += m_settings.orderRetryDelay;
    answer(plan().at("w0"), OrderResult::Superseded);
    sendReport(reportOf("w0"));
    EXPECT_EQ(starts(plan()), 1U);
}

// Each repetition of an acknowledged stop put off the listing that could resolve the run, again and again.
TEST_F(UnreadEndTest, stopIsRepeatedBeforeEachListing_runIsResolvedByTheFirstListing)
{
    joinWorker("w0");
    startJob("a");
    answer(m_orders, OrderResult::Unknown);
    m_now += m_settings.orderRetryDelay;
    answer(plan().at("w0"), OrderResult::Superseded);
    const auto listing = reportOf("w0");
    m_now += seconds(1);
    const auto repetition = plan().at("w0");
    ASSERT_EQ(repetition.stops.size(), 1U);
    answer(repetition, OrderResult::Done);
    sendReport(listing);
    EXPECT_EQ(m_scheduler.workers().at("w0").runs.size(), 0U);
}

// The run was over before the crash, and was blamed for it.
TEST_F(UnreadEndTest, minionCrashesAfterItCalledARunOver_runIsNotBlamed)
{
    joinWorker("w0");
    startJob("a");
    answer(m_orders, OrderResult::Unknown);
    m_now += m_settings.orderRetryDelay;
    answer(plan().at("w0"), OrderResult::Superseded);
    sendReport(reportOfNextIncarnation("w0"));
    recordChanges();
    EXPECT_TRUE(m_records.at("a").occurrences.at(0).at(0).crashes.empty());
}

// One order was executed and listed, another one got no answer: the next incarnation may execute that.
TEST_F(UnreadEndTest, minionRestartsUnderItsId_listedRunWithAnUnansweredOrder_isNotStartedElsewhere)
{
    joinWorker("w0");
    joinWorker("w1");
    const auto order = startJob("a");
    const auto worker = m_orders.worker;
    answer(m_orders, OrderResult::Unknown);
    auto listing = reportOf(worker);
    listing.running.push_back(running(order));
    sendReport(listing);
    auto unlisted = reportOfNextIncarnation(worker);
    unlisted.listed = false;
    sendReport(unlisted);
    settle();
    EXPECT_EQ(starts(plan()), 0U);
    auto listed = reportOfNextIncarnation(worker);
    listed.ended.push_back(ended(1, order, EndKind::Done));
    sendReport(listed);
    EXPECT_EQ(starts(plan()), 0U);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Completed);
}

// Reports about an agent's earlier minion, which had another id, gave up the runs of its present one.
TEST_F(UnreadEndTest, delayedReportOnTheAgentsEarlierMinion_runsOfThePresentOneAreKept)
{
    auto earlier = reportOf("w0");
    earlier.number = 1;
    auto present = reportOf("w1");
    present.worker.agentHost = earlier.worker.agentHost;
    present.worker.born = 2;
    present.number = 3;
    sendReport(earlier);
    sendReport(present);
    const auto order = startJob("a");
    ASSERT_EQ(m_orders.worker, "w1");
    answer(m_orders, OrderResult::Done);
    earlier.number = 2;
    sendReport(earlier);
    EXPECT_EQ(m_scheduler.workers().at("w1").runs.count({order.task, order.run}), 1U);
}

TEST_F(UnreadEndTest, delayedReportThatTheEarlierMinionHasLeft_runsOfThePresentOneAreKept)
{
    auto present = reportOf("w0");
    present.number = 3;
    sendReport(present);
    const auto order = startJob("a");
    answer(m_orders, OrderResult::Done);
    Wire::WorkerReport left;
    left.epoch = epoch;
    left.worker.agentHost = present.worker.agentHost;
    left.worker.agentPort = present.worker.agentPort;
    left.gone = true;
    left.number = 2;
    sendReport(left);
    EXPECT_EQ(m_scheduler.workers().at("w0").runs.count({order.task, order.run}), 1U);
}

// The agent took its minion for gone, but reaches it again, and the owner has not heard of it. The worker refused all
// orders from then on.
TEST_F(UnreadEndTest, reportThatTheMinionIsGoneIsOvertaken_workerTakesOrdersAgain)
{
    OrderFence fence;
    fence.adoptEpoch(epoch);
    fence.resetForNewIncarnation(1);
    fence.confirmListing(epoch);
    const auto sendNumbered = [&](std::int64_t number) {
        m_now += milliseconds(100);
        auto report = reportOf("w0");
        report.number = number;
        fence.trackReport(number, m_now);
        fence.applyReply(sendReport(report), m_now);
    };
    sendNumbered(1);
    m_now += milliseconds(100);
    fence.trackReport(2, m_now);
    fence.markStopped();
    fence.confirmListing(epoch);
    sendNumbered(3);
    auto gone = reportOf("w0");
    gone.number = 2;
    gone.gone = true;
    sendReport(gone);
    startJob("a");
    EXPECT_EQ(fence.startRefusalReason(m_orders, m_now), "");
}

// Until the owner has answered a report after the minion was reached again, it may have given up the runs.
TEST_F(UnreadEndTest, minionIsReachedAgain_ordersBeforeTheOwnersAnswer_areRefused)
{
    OrderFence fence;
    fence.adoptEpoch(epoch);
    fence.resetForNewIncarnation(1);
    fence.confirmListing(epoch);
    auto report = reportOf("w0");
    report.number = 1;
    fence.trackReport(1, m_now);
    fence.applyReply(sendReport(report), m_now);
    startJob("a");
    ASSERT_EQ(fence.startRefusalReason(m_orders, m_now), "");
    fence.markStopped();
    fence.confirmListing(epoch);
    EXPECT_NE(fence.startRefusalReason(m_orders, m_now), "");
}

// The agent's process was restarted after its host's clock was set back, so that its numbers begin lower.
TEST_F(UnreadEndTest, reportsWithLowerNumbers_replyTellsWhereToGoOn)
{
    auto report = reportOf("w0");
    report.number = 1'000;
    report.listing = 2'000;
    sendReport(report);
    report.number = 900;
    report.listing = 1'900;
    const auto reply = sendReport(report);
    EXPECT_EQ(reply.lastReport, 1'000);
    report.number = reply.lastReport + 1;
    EXPECT_EQ(sendReport(report).lastListing, 2'000);
}

// The owner failed to handle the report, so that it waited for the agent in vain.
TEST_F(UnreadEndTest, runOfAJobThatEndedUnderAnEarlierOwner_listedAgainWithACheckpoint_isStopped)
{
    Wire::JobSpec spec;
    spec.id = "a";
    Wire::JobProgress progress;
    progress.phase = static_cast<int>(JobPhase::Cancelled);
    m_scheduler.restoreJob(spec, progress, m_now, wallMs);
    Wire::StartOrder order;
    order.task = taskOf("a");
    order.run = 1;
    auto row = running(order);
    row.checkpoint = "c";
    for (int i = 0; i < 2; ++i) {
        auto report = reportOf("w0");
        report.running.push_back(row);
        ASSERT_NO_THROW(sendReport(report));
    }
    EXPECT_EQ(plan().at("w0").stops.size(), 1U);
}

} // namespace Trefoilhoist::Jobs
