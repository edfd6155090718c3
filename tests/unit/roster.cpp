// The roster of agents that may hold something: a new owner waits for each of them.
#include "harness/schedulerfixture.h"
#include "trefoilhoist/jobs/orderfence.h"

#include <gtest/gtest.h>

#include <set>

namespace Trefoilhoist::Jobs {

class RosterTest : public SchedulerFixture
{
protected:
    static constexpr Duration reportInterval = milliseconds(500);
    /// Longer than any lease that a worker can have.
    static constexpr Duration longAfter = seconds(30);

    static Wire::JobSpec longRunningJob()
    {
        auto step = stepOf(1, 1000);
        step.longRunning = true;
        return jobOf("a", {step});
    }

    Wire::WorkerReport goneReportOf(const std::string &worker)
    {
        auto report = reportOf(worker);
        report.gone = true;
        report.listed = false;
        report.reachable = false;
        return report;
    }

    /// Only w2 reports for so long that nothing can be running on the others; records each change of the roster.
    void letTimePass(Duration time, const std::set<std::string> &gone = {})
    {
        for (Duration passed{}; passed < time; passed += reportInterval) {
            m_now += reportInterval;
            report(reportOf("w2"));
            for (const auto &it : gone) {
                report(goneReportOf(it));
            }
            plan();
            recordRoster();
        }
    }

    void report(const Wire::WorkerReport &report)
    {
        m_scheduler.handleReport(report, true, m_now);
        recordRoster();
    }

    void recordRoster()
    {
        if (const auto roster = m_scheduler.takeChangedRoster()) {
            m_roster = *roster;
            ++m_rosterRecords;
            m_scheduler.markRosterRecorded(*roster);
        }
    }

    [[nodiscard]] std::set<std::string> agents() const
    {
        std::set<std::string> names;
        for (const auto &it : m_roster.workers) {
            names.insert(it.agentHost);
        }
        return names;
    }

    /// An owner of the next term that has loaded one job and not the roster yet.
    JobScheduler nextOwner()
    {
        JobScheduler next(m_settings, epoch + 1);
        next.restoreJob(longRunningJob(), std::nullopt, m_now, wallMs);
        return next;
    }

    [[nodiscard]] Wire::WorkerRoster rosterOfBoth()
    {
        Wire::WorkerRoster roster;
        roster.workers = {reportOf("w1").worker, reportOf("w2").worker};
        return roster;
    }

    void reportListed(JobScheduler &next, const std::string &worker)
    {
        auto listed = reportOf(worker);
        listed.epoch = epoch + 1;
        next.handleReport(listed, true, m_now);
    }

    /// Returns the reply to an agent whose minion has not answered a listing.
    Wire::WorkerReportReply reportUnlisted(JobScheduler &next, const std::string &worker)
    {
        auto unlisted = reportOf(worker);
        unlisted.epoch = epoch + 1;
        unlisted.listed = false;
        unlisted.reachable = false;
        return next.handleReport(unlisted, true, m_now);
    }

    /// The number of starts that the next owner orders as soon as w2 has reported.
    std::size_t startsAfterTakeover()
    {
        auto next = nextOwner();
        next.restoreRoster(m_roster, m_now);
        reportListed(next, "w2");
        return starts(next.plan(m_now, wallMs, true));
    }

    Wire::WorkerRoster m_roster;
    int m_rosterRecords = 0;
};

// The agent stayed in the roster for good. Each later owner waited for it before it started what it had inherited.
TEST_F(RosterTest, minionLostThenItsAgentEnds_nextOwnerDoesNotWaitForIt)
{
    report(reportOf("w1"));
    report(reportOf("w2"));
    report(goneReportOf("w1"));
    letTimePass(longAfter);
    EXPECT_EQ(agents(), std::set<std::string>{"w2"});
    EXPECT_EQ(startsAfterTakeover(), 1U);
}

TEST_F(RosterTest, anyNumberOfMachinesLostLongBefore_nextOwnerResumesAtOnce)
{
    for (const int lost : {0, 1, 3, 10}) {
        m_scheduler = JobScheduler(m_settings, epoch);
        for (int i = 0; i < lost; ++i) {
            const auto worker = "lost" + std::to_string(i);
            report(reportOf(worker));
            report(goneReportOf(worker));
        }
        report(reportOf("w2"));
        letTimePass(longAfter);
        EXPECT_EQ(startsAfterTakeover(), 1U) << lost;
    }
}

// An agent whose minion had never answered was not removed either.
TEST_F(RosterTest, agentEndsBeforeItsMinionAnswered_nextOwnerDoesNotWaitForIt)
{
    auto unlisted = reportOf("w1");
    unlisted.listed = false;
    report(unlisted);
    report(reportOf("w2"));
    letTimePass(longAfter);
    EXPECT_EQ(agents(), std::set<std::string>{"w2"});
    EXPECT_EQ(startsAfterTakeover(), 1U);
}

TEST_F(RosterTest, agentAndMinionEndTogether_nextOwnerDoesNotWaitForThem)
{
    report(reportOf("w1"));
    report(reportOf("w2"));
    letTimePass(longAfter);
    EXPECT_EQ(agents(), std::set<std::string>{"w2"});
    EXPECT_EQ(startsAfterTakeover(), 1U);
}

// A machine whose minion was lost for good, and whose agent goes on, must not cause a record with each report.
TEST_F(RosterTest, minionLostAndItsAgentGoesOn_rosterChangesOnce)
{
    report(reportOf("w1"));
    report(reportOf("w2"));
    report(goneReportOf("w1"));
    const int before = m_rosterRecords;
    letTimePass(longAfter, {"w1"});
    EXPECT_EQ(m_rosterRecords, before + 1);
    EXPECT_EQ(agents(), std::set<std::string>{"w2"});
}

// Most minions are back within seconds.
TEST_F(RosterTest, minionCrashesAndReturnsSoon_rosterDoesNotChange)
{
    report(reportOf("w1"));
    report(reportOf("w2"));
    report(goneReportOf("w1"));
    const int before = m_rosterRecords;
    letTimePass(seconds(3), {"w1"});
    auto back = reportOf("w1");
    back.worker.born = 2;
    report(back);
    letTimePass(seconds(1));
    EXPECT_EQ(m_rosterRecords, before);
}

TEST_F(RosterTest, minionReturnsAfterItsAgentWasRemoved_nothingStartsThereBeforeTheRosterIsRecorded)
{
    report(reportOf("w1"));
    report(goneReportOf("w1"));
    letTimePass(longAfter, {"w1"});
    accept(jobOf("b", {stepOf(1, 3000)}));
    accept(jobOf("c", {stepOf(1, 3000)}));
    auto back = reportOf("w1");
    back.worker.born = 2;
    m_scheduler.handleReport(back, true, m_now);
    EXPECT_EQ(plan().count("w1"), 0U);
    recordRoster();
    EXPECT_EQ(agents(), (std::set<std::string>{"w1", "w2"}));
    EXPECT_EQ(plan().at("w1").starts.size(), 1U);
}

// A task ran on the minion that held it and on another one: the new owner had renewed the lease of an agent whose
// minion did not answer yet, and gave the agent up after the longest lease that an earlier owner could have granted.
TEST_F(RosterTest, agentReportsButItsMinionIsNotListed_tasksWaitUntilTheLeaseThatTheNewOwnerGrantedHasEnded)
{
    joinWorker("w1");
    joinWorker("w2");
    recordRoster();
    auto next = nextOwner();
    next.restoreRoster(rosterOfBoth(), m_now);

    const auto longestEarlierLease = m_settings.grantGrace + m_settings.workerLease + m_settings.leaseSlack;
    TimePoint leaseEnds;
    for (Duration passed{}; passed <= longestEarlierLease; passed += reportInterval) {
        m_now += reportInterval;
        reportListed(next, "w2");
        leaseEnds = m_now + milliseconds(reportUnlisted(next, "w1").leaseMs);
        EXPECT_EQ(starts(next.plan(m_now, wallMs, true)), 0U) << "after " << passed.count() << " us";
    }
    while (m_now + reportInterval < leaseEnds) {
        m_now += reportInterval;
        reportListed(next, "w2");
        EXPECT_EQ(starts(next.plan(m_now, wallMs, true)), 0U);
    }
    m_now = leaseEnds + m_settings.leaseSlack + milliseconds(1);
    reportListed(next, "w2");
    EXPECT_EQ(starts(next.plan(m_now, wallMs, true)), 1U);
}

// A task ran on the minion that held it and on another one: where the roster can't be read, the new owner waits for no
// agent by its name, so it did not count the lease that it had renewed for an agent whose minion did not answer yet.
TEST_F(RosterTest, rosterUnreadableAndAgentReportsUnlisted_tasksWaitWhileTheNewOwnerRenewsItsLease)
{
    auto next = nextOwner();
    next.restoreUnknownRoster(m_now);

    const auto longestEarlierLease = m_settings.grantGrace + m_settings.workerLease + m_settings.leaseSlack;
    for (Duration passed{}; passed <= longestEarlierLease + 2 * reportInterval; passed += reportInterval) {
        m_now += reportInterval;
        reportListed(next, "w2");
        ASSERT_GT(reportUnlisted(next, "w1").leaseMs, 0);
        auto orders = next.plan(m_now, wallMs, true);
        if (const auto roster = next.takeChangedRoster()) {
            next.markRosterRecorded(*roster);
            orders = next.plan(m_now, wallMs, true);
        }
        EXPECT_EQ(starts(orders), 0U) << "after " << duration_cast<milliseconds>(passed).count() << " ms";
    }
}

// A task ran on the minion that held it and on another one: the new owner gave up an agent one lease after its only
// report, though an earlier owner could still grant leases. An agent that has restarted knows no epoch, and so it takes
// the lease of an earlier owner that has not noticed yet that it was replaced.
TEST_F(RosterTest, agentReportsOnceThenRestartsUnderTheEarlierOwner_tasksWaitUntilThatOwnersLeaseHasEnded)
{
    joinWorker("w1");
    joinWorker("w2");
    recordRoster();
    auto next = nextOwner();
    next.restoreRoster(rosterOfBoth(), m_now);
    reportUnlisted(next, "w1");

    m_now += m_settings.grantGrace;
    OrderFence restarted;
    restarted.adoptEpoch(epoch);
    restarted.resetForNewIncarnation(1);
    restarted.observeMinionClock(1, m_now);
    restarted.applyReply(m_scheduler.handleReport(reportOf("w1"), true, m_now), m_now);
    ASSERT_TRUE(restarted.extendHold(m_now));

    while (m_now < restarted.holdExpiry()) {
        reportListed(next, "w2");
        ASSERT_EQ(starts(next.plan(m_now, wallMs, true)), 0U)
            << duration_cast<milliseconds>(restarted.holdExpiry() - m_now).count() << " ms before the hold expires";
        m_now += reportInterval;
    }
}

// The next owner did not wait for an agent whose minion held tasks: a record of the roster from before the agent's
// removal was confirmed after it, so that the agent counted as recorded while the record without it was written.
TEST_F(RosterTest, rosterRecordedAfterAnAgentWasRemoved_nothingStartsThereBeforeTheRosterIsRecordedAgain)
{
    report(reportOf("w1"));
    report(reportOf("w2"));
    m_now += m_settings.workerLease + m_settings.leaseSlack + milliseconds(1);
    m_scheduler.handleReport(reportOf("w2"), true, m_now);
    m_scheduler.handleReport(reportOf("w3"), true, m_now);
    const auto inFlight = m_scheduler.takeChangedRoster();
    ASSERT_TRUE(inFlight);
    plan();
    m_scheduler.markRosterRecorded(*inFlight);
    const auto withoutAgent = m_scheduler.takeChangedRoster();
    ASSERT_TRUE(withoutAgent);
    ASSERT_EQ(withoutAgent->workers.size(), 2U);

    accept(jobOf("b", {stepOf(3, 3000)}));
    m_scheduler.handleReport(reportOf("w1"), true, m_now);
    EXPECT_EQ(plan().count("w1"), 0U);
}

// A minion that started after the takeover holds nothing of the earlier owner. Each one on that host, for as long as
// the owner lasted, had to wait for the longest hold before it took a task.
TEST_F(RosterTest, agentGivenUpAtATakeover_laterIncarnationsNeedNotLapse)
{
    report(reportOf("w1"));
    report(reportOf("w2"));
    auto next = nextOwner();
    next.restoreRoster(m_roster, m_now);
    m_now += longAfter;
    reportListed(next, "w2");
    next.plan(m_now, wallMs, true);
    auto late = reportOf("w1");
    late.epoch = epoch + 1;
    auto reply = next.handleReport(late, true, m_now);
    ASSERT_GT(reply.leaseTerm, reply.lapsedTerm + 1);
    late = reportOf("w1");
    late.epoch = epoch + 1;
    late.lapsedTerm = reply.leaseTerm - 1;
    next.handleReport(late, true, m_now);
    auto restarted = reportOf("w1");
    restarted.epoch = epoch + 1;
    restarted.worker.born = late.worker.born + 1000;
    reply = next.handleReport(restarted, true, m_now);
    EXPECT_LE(reply.leaseTerm, reply.lapsedTerm + 1);
}

// The agent had told of its minion, but not what it runs. The next owner started the tasks elsewhere, and took the
// minion on without a word of it.
TEST_F(RosterTest, agentThatHasNotListedIsGivenUpAtATakeover_itsMinionMustLapse)
{
    report(reportOf("w1"));
    report(reportOf("w2"));
    auto next = nextOwner();
    next.restoreRoster(m_roster, m_now);
    reportUnlisted(next, "w1");
    m_now += longAfter;
    reportListed(next, "w2");
    next.plan(m_now, wallMs, true);
    auto late = reportOf("w1");
    late.epoch = epoch + 1;
    const auto reply = next.handleReport(late, true, m_now);
    EXPECT_GT(reply.leaseTerm, reply.lapsedTerm + 1);
}

} // namespace Trefoilhoist::Jobs
