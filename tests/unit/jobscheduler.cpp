#include "harness/schedulerfixture.h"

#include <gtest/gtest.h>

#include <set>

namespace Trefoilhoist::Jobs {

class JobSchedulerTest : public SchedulerFixture
{
};

TEST_F(JobSchedulerTest, acceptedJob_workerWithFreeCapacity_isStarted)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(2, 1000)}));
    EXPECT_EQ(starts(plan()), 2U);
}

TEST_F(JobSchedulerTest, submittedJob_notRecorded_isNotStarted)
{
    joinWorker("w1");
    m_scheduler.submit(jobOf("a", {stepOf(1, 1000)}), m_now);
    EXPECT_EQ(starts(plan()), 0U);
}

// The submission went on after its cancel had been answered, and the job was run when it was recorded.
TEST_F(JobSchedulerTest, submittedJob_cancelledBeforeItIsRecorded_isNotStarted)
{
    joinWorker("w1");
    m_scheduler.submit(jobOf("a", {stepOf(1, 1000)}), m_now);
    m_scheduler.cancel("a", m_now);
    EXPECT_EQ(m_scheduler.job("a"), nullptr) << "nothing is recorded yet";
    m_scheduler.accept("a");
    EXPECT_EQ(starts(plan()), 0U);
    EXPECT_EQ(m_scheduler.waitingJobs("quotes"), 0);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Cancelled);
}

TEST_F(JobSchedulerTest, submittedJob_cancelledThenWithdrawn_laterSubmissionIsNotStarted)
{
    joinWorker("w1");
    m_scheduler.submit(jobOf("a", {stepOf(1, 1000)}), m_now);
    m_scheduler.cancel("a", m_now);
    m_scheduler.withdraw("a");
    EXPECT_EQ(m_scheduler.submit(jobOf("a", {stepOf(1, 1000)}), m_now), SubmissionState::Pending);
    recordChanges();
    EXPECT_EQ(m_scheduler.submit(jobOf("a", {stepOf(1, 1000)}), m_now), SubmissionState::Known);
    EXPECT_EQ(starts(plan()), 0U);
    EXPECT_EQ(m_records.at("a").phase, static_cast<int>(JobPhase::Cancelled));
}

// A submission that arrived after the cancel of its job was accepted, and the job was run.
TEST_F(JobSchedulerTest, unknownJob_cancelled_laterSubmissionIsRefused)
{
    joinWorker("w1");
    m_scheduler.cancel("a", m_now);
    EXPECT_EQ(m_scheduler.job("a"), nullptr) << "nothing is recorded yet";
    EXPECT_EQ(m_scheduler.submit(jobOf("a", {stepOf(1, 1000)}), m_now), SubmissionState::CancelledBefore);
    recordChanges();
    EXPECT_EQ(m_scheduler.submit(jobOf("a", {stepOf(1, 1000)}), m_now), SubmissionState::CancelledBefore);
    EXPECT_TRUE(m_scheduler.job("a")->isNeverSubmitted());
    EXPECT_EQ(starts(plan()), 0U);
}

TEST_F(JobSchedulerTest, unknownJob_cancelledUnderAnEarlierOwner_submissionIsRefusedUntilItExpires)
{
    m_scheduler.cancel("a", m_now);
    recordChanges();
    JobScheduler next(m_settings, epoch + 1);
    Wire::JobSpec spec;
    spec.id = "a";
    next.restoreJob(spec, m_records.at("a"), m_now, wallMilliseconds());
    EXPECT_EQ(next.submit(jobOf("a", {stepOf(1, 1000)}), m_now), SubmissionState::CancelledBefore);
    const auto expiry = wallMilliseconds() + m_settings.keepEndedMs;
    EXPECT_TRUE(next.expiredJobs(expiry - 1000).empty());
    EXPECT_EQ(next.expiredJobs(expiry + 1000), std::vector<std::string>{"a"});
}

TEST_F(JobSchedulerTest, worker_notInTheRecordedRoster_getsNothing)
{
    m_scheduler.handleReport(reportOf("w1"), true, m_now);
    accept(jobOf("a", {stepOf(1, 1000)}));
    EXPECT_EQ(starts(plan()), 0U);
}

// A queue was said to have no waiting jobs while minions refused all their starts.
TEST_F(JobSchedulerTest, startIsRefused_jobStillWaits)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    const auto orders = plan().at("w1");
    EXPECT_EQ(m_scheduler.waitingJobs("quotes"), 1) << "the order is in flight";
    answer(orders, OrderResult::Refused);
    EXPECT_EQ(m_scheduler.waitingJobs("quotes"), 1);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Queued);
}

TEST_F(JobSchedulerTest, startIsConfirmed_jobNoLongerWaits)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    answer(plan().at("w1"), OrderResult::Done);
    EXPECT_EQ(m_scheduler.waitingJobs("quotes"), 0);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Running);
}

TEST_F(JobSchedulerTest, startWithoutAnswer_jobWaitsUntilTheRunIsListed)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    const auto orders = plan().at("w1");
    m_scheduler.handleOrderResults(orders, std::nullopt, m_now);
    EXPECT_EQ(m_scheduler.waitingJobs("quotes"), 1);
    auto report = reportOf("w1");
    report.running = {running(orders.starts.front())};
    sendReport(report);
    EXPECT_EQ(m_scheduler.waitingJobs("quotes"), 0);
}

TEST_F(JobSchedulerTest, startWithoutAnswer_runFailsBeforeItIsListed_jobNoLongerWaits)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    const auto orders = plan().at("w1");
    m_scheduler.handleOrderResults(orders, std::nullopt, m_now);
    auto report = reportOf("w1");
    report.ended = {ended(1, orders.starts.front(), EndKind::Failed)};
    sendReport(report);
    EXPECT_EQ(m_scheduler.waitingJobs("quotes"), 0);
}

TEST_F(JobSchedulerTest, tasks_exceedTheCapacity_onlyThoseThatFitStart)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(9, 1000)}));
    EXPECT_EQ(starts(plan()), 4U);
}

TEST_F(JobSchedulerTest, unansweredStart_stillUnresolved_occupiesCapacityAndIsSentAgain)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 3000)}));
    const auto first = plan().at("w1");
    m_scheduler.handleOrderResults(first, std::nullopt, m_now);
    accept(jobOf("b", {stepOf(1, 3000)}));
    m_now += seconds(1);
    sendReport(reportOf("w1"));
    const auto again = plan().at("w1");
    ASSERT_EQ(again.starts.size(), 1U);
    EXPECT_EQ(again.starts.front().task.job, "a");
    EXPECT_EQ(again.starts.front().run, first.starts.front().run);
}

TEST_F(JobSchedulerTest, orders_afterAReport_containTheAgeOfTheReport)
{
    auto report = reportOf("w1");
    report.number = 9;
    sendReport(report);
    accept(jobOf("a", {stepOf(1, 1000)}));
    m_now += milliseconds(300);
    const auto orders = plan().at("w1");
    EXPECT_EQ(orders.afterReport, 9);
    EXPECT_EQ(orders.sinceReportMs, 300);
}

TEST_F(JobSchedulerTest, runningTask_missingInALaterListing_startsAgainWithAHigherRun)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    const auto orders = plan().at("w1");
    answer(orders, OrderResult::Done);
    sendReport(reportOf("w1"));
    const auto again = plan().at("w1");
    ASSERT_EQ(again.starts.size(), 1U);
    EXPECT_GT(again.starts.front().run, orders.starts.front().run);
}

TEST_F(JobSchedulerTest, runningTask_listingFromBeforeTheStart_isKept)
{
    joinWorker("w1");
    const auto stale = reportOf("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    answer(plan().at("w1"), OrderResult::Done);
    sendReport(stale);
    EXPECT_EQ(starts(plan()), 0U);
}

TEST_F(JobSchedulerTest, laterStep_earlierStepUnfinished_waits)
{
    joinWorker("w1");
    auto second = stepOf(1, 1000);
    second.after = {0};
    accept(jobOf("a", {stepOf(1, 1000), second}));
    const auto orders = plan().at("w1");
    ASSERT_EQ(orders.starts.size(), 1U);
    answer(orders, OrderResult::Done);
    auto report = reportOf("w1");
    report.ended = {ended(1, orders.starts.front(), EndKind::Done)};
    sendReport(report);
    const auto next = plan().at("w1");
    ASSERT_EQ(next.starts.size(), 1U);
    EXPECT_EQ(next.starts.front().task.step, 1);
}

TEST_F(JobSchedulerTest, end_jobNotRecordedYet_isNotAcknowledged)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    const auto orders = plan().at("w1");
    answer(orders, OrderResult::Done);
    auto report = reportOf("w1");
    report.ended = {ended(1, orders.starts.front(), EndKind::Done)};
    EXPECT_EQ(sendReport(report).recordedEnds, 0);
    m_scheduler.markProgressRecorded("a", m_scheduler.job("a")->version());
    EXPECT_EQ(sendReport(reportOf("w1")).recordedEnds, 1);
}

TEST_F(JobSchedulerTest, failedEnd_listedAgainByALaterOwner_countsOnce)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    const auto orders = plan().at("w1");
    answer(orders, OrderResult::Done);
    auto report = reportOf("w1");
    report.ended = {ended(1, orders.starts.front(), EndKind::Failed)};
    sendReport(report);
    const auto progress = m_scheduler.job("a")->progress();

    JobScheduler later(m_settings, epoch + 1);
    later.restoreJob(m_scheduler.job("a")->spec(), progress, m_now, wallMs);
    report.epoch = epoch + 1;
    report.listing = ++m_listingNumber;
    later.handleReport(report, true, m_now);
    EXPECT_FALSE(isFinal(later.job("a")->phase()));
}

// After a total power loss no agent and no minion has the checkpoint, only the store.
TEST_F(JobSchedulerTest, checkpointOfARunningTask_laterOwnerWithOnlyTheRecords_startsFromIt)
{
    joinWorker("w1");
    auto step = stepOf(1, 1000);
    step.checkpoints = true;
    accept(jobOf("a", {step}));
    const auto orders = plan().at("w1");
    answer(orders, OrderResult::Done);
    m_scheduler.takeChangedJobs();
    auto report = reportOf("w1");
    report.running = {running(orders.starts.front())};
    report.running.front().checkpoint = "half";
    sendReport(report);
    m_now += m_settings.checkpointRecordingInterval;
    plan();
    EXPECT_EQ(m_scheduler.takeChangedJobs(), std::set<std::string>{"a"});

    JobScheduler later(m_settings, epoch + 1);
    later.restoreJob(m_scheduler.job("a")->spec(), m_scheduler.job("a")->progress(), m_now, wallMs);
    report = reportOf("w2");
    report.epoch = epoch + 1;
    later.handleReport(report, true, m_now);
    later.markRosterRecorded(later.takeChangedRoster().value());
    const auto again = later.plan(m_now, wallMs, true);
    ASSERT_EQ(again.count("w2"), 1U);
    EXPECT_EQ(again.at("w2").starts.front().checkpoint, "half");
}

// The later owner's run numbers began below those that minions know, and each of its starts was superseded.
TEST_F(JobSchedulerTest, longRunningTaskFailedOften_laterOwnerWithOnlyTheRecords_usesAHigherRun)
{
    auto step = stepOf(1, 1000);
    step.longRunning = true;
    accept(jobOf("a", {step}));
    std::int64_t lastRun = 0;
    for (int i = 1; i <= 1100; ++i) {
        // Late enough that the worker isn't quarantined for its failures.
        m_now += seconds(60);
        joinWorker("w1");
        const auto orders = plan().at("w1");
        answer(orders, OrderResult::Done);
        auto report = reportOf("w1");
        report.ended = {ended(i, orders.starts.front(), EndKind::Failed)};
        lastRun = report.ended.front().run;
        sendReport(report);
    }

    JobScheduler later(m_settings, epoch + 1);
    later.restoreJob(m_scheduler.job("a")->spec(), m_scheduler.job("a")->progress(), m_now, wallMs);
    auto report = reportOf("w1");
    report.epoch = epoch + 1;
    later.handleReport(report, true, m_now);
    later.markRosterRecorded(later.takeChangedRoster().value());
    EXPECT_GT(later.plan(m_now, wallMs, true).at("w1").starts.front().run, lastRun);
}

TEST_F(JobSchedulerTest, manyNewCheckpoints_withinOneRecordingInterval_areRecordedOnce)
{
    joinWorker("w1");
    auto step = stepOf(1, 1000);
    step.checkpoints = true;
    accept(jobOf("a", {step}));
    const auto orders = plan().at("w1");
    answer(orders, OrderResult::Done);
    m_scheduler.takeChangedJobs();
    std::size_t recordings = 0;
    for (int i = 0; i < 20; ++i) {
        m_now += m_settings.checkpointRecordingInterval / 10;
        auto report = reportOf("w1");
        report.running = {running(orders.starts.front())};
        report.running.front().checkpoint = std::to_string(i);
        sendReport(report);
        plan();
        recordings += m_scheduler.takeChangedJobs().size();
    }
    EXPECT_LE(recordings, 3U);
    EXPECT_GE(recordings, 2U);
}

TEST_F(JobSchedulerTest, inheritedTask_someAgentHasNotReported_isNotStarted)
{
    Wire::WorkerRoster roster;
    roster.workers = {reportOf("w1").worker, reportOf("w2").worker};
    m_scheduler.restoreJob(jobOf("a", {stepOf(1, 1000)}), std::nullopt, m_now, wallMs);
    m_scheduler.restoreRoster(roster, m_now);
    joinWorker("w1");
    EXPECT_EQ(starts(plan()), 0U);
    joinWorker("w2");
    EXPECT_EQ(starts(plan()), 1U);
}

// No owner could load, for ever. Agents that are not known may run an inherited task until their leases have ended.
TEST_F(JobSchedulerTest, unknownRoster_inheritedTask_waitsForTheLeasesButNotForever)
{
    m_scheduler.restoreJob(jobOf("a", {stepOf(1, 1000)}), std::nullopt, m_now, wallMs);
    m_scheduler.restoreUnknownRoster(m_now);
    const auto loadedAt = m_now;
    const auto leases = m_settings.grantGrace + m_settings.workerLease + m_settings.leaseSlack;
    std::size_t started = 0;
    while (started == 0 && m_now < loadedAt + 2 * leases) {
        m_scheduler.handleReport(reportOf("w1"), true, m_now);
        const auto roster = m_scheduler.takeChangedRoster();
        EXPECT_TRUE(!roster || m_now > loadedAt + leases);
        if (roster) {
            m_scheduler.markRosterRecorded(*roster);
        }
        started = starts(plan());
        ASSERT_TRUE(started == 0 || m_now > loadedAt + leases);
        m_now += milliseconds(500);
    }
    EXPECT_EQ(started, 1U);
}

TEST_F(JobSchedulerTest, inheritedTask_reportedAsRunning_isAdoptedAndNotStarted)
{
    Wire::WorkerRoster roster;
    roster.workers = {reportOf("w1").worker};
    m_scheduler.restoreJob(jobOf("a", {stepOf(1, 1000)}), std::nullopt, m_now, wallMs);
    m_scheduler.restoreRoster(roster, m_now);
    auto report = reportOf("w1");
    Wire::RunningTask row;
    row.task = taskOf("a");
    row.run = 1;
    report.running = {row};
    sendReport(report);
    EXPECT_EQ(starts(plan()), 0U);
    EXPECT_EQ(m_scheduler.workers().at("w1").used.cpuMilli, 1000);
}

TEST_F(JobSchedulerTest, runOfAnUnknownJob_beingStopped_occupiesItsWorker)
{
    auto report = reportOf("w1");
    Wire::RunningTask row;
    row.task = taskOf("gone");
    row.run = 1;
    report.running = {row};
    sendReport(report);
    accept(jobOf("a", {stepOf(1, 1000)}));
    const auto orders = plan().at("w1");
    EXPECT_EQ(orders.starts.size(), 0U);
    ASSERT_EQ(orders.stops.size(), 1U);
    answer(orders, OrderResult::Done);
    sendReport(reportOf("w1"));
    EXPECT_EQ(starts(plan()), 1U);
}

// A worker takes 24 starts in one plan. A gang of which one member got none was started in part, and its members waited
// for each other until they ended.
TEST_F(JobSchedulerTest, gang_oneWorkerTakesNoMoreStarts_startsWholeOrNotAtAll)
{
    constexpr int startsPerPlan = 24;
    auto large = reportOf("w1");
    large.worker.cpuMilli = 100'000;
    large.worker.memoryMb = 100'000;
    large.worker.labels = {"large"};
    sendReport(large);
    joinWorker("w2");
    auto first = stepOf(startsPerPlan, 100);
    first.requiredLabel = "large";
    first.longRunning = true;
    accept(jobOf("a", {first}));
    auto gang = stepOf(2, 1000);
    gang.gang = true;
    gang.maxPerWorker = 1;
    accept(jobOf("b", {gang}));
    const auto orders = plan();
    ASSERT_EQ(orders.at("w1").starts.size(), static_cast<std::size_t>(startsPerPlan));
    EXPECT_EQ(orders.count("w2"), 0U) << "one member alone";
    for (const auto &[worker, it] : orders) {
        answer(it, OrderResult::Done);
    }
    EXPECT_EQ(starts(plan()), 2U);
}

TEST_F(JobSchedulerTest, agentThatLeft_longRunningTask_movesAtOnceAndAgentLeavesTheRoster)
{
    joinWorker("w1");
    auto step = stepOf(1, 1000);
    step.longRunning = true;
    accept(jobOf("a", {step}));
    answer(plan().at("w1"), OrderResult::Done);
    joinWorker("w2");
    Wire::WorkerReport left;
    left.epoch = epoch;
    left.gone = true;
    left.worker.agentHost = "w1";
    left.worker.agentPort = 1;
    m_scheduler.handleReport(left, true, m_now);
    const auto roster = m_scheduler.takeChangedRoster();
    ASSERT_TRUE(roster);
    EXPECT_EQ(roster->workers.size(), 1U);
    const auto orders = plan();
    ASSERT_EQ(orders.count("w2"), 1U);
    EXPECT_EQ(orders.at("w2").starts.size(), 1U);
}

TEST_F(JobSchedulerTest, silentWorker_leaseEnded_tasksStartElsewhere)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    answer(plan().at("w1"), OrderResult::Done);
    m_now += m_settings.workerLease - milliseconds(10);
    joinWorker("w2");
    EXPECT_EQ(starts(plan()), 0U);
    m_now += milliseconds(10) + 2 * m_settings.leaseSlack;
    EXPECT_EQ(plan().at("w2").starts.size(), 1U);
}

TEST_F(JobSchedulerTest, workerOfAnEarlierOwner_firstReportWithoutGrant_keepsItsRuns)
{
    m_scheduler.restoreJob(jobOf("a", {stepOf(1, 1000)}), std::nullopt, m_now, wallMs);
    auto report = reportOf("w1");
    Wire::RunningTask row;
    row.task = taskOf("a");
    row.run = 1;
    report.running = {row};
    m_scheduler.handleReport(report, false, m_now);
    m_now += milliseconds(100);
    plan();
    EXPECT_EQ(m_scheduler.workers().at("w1").runs.size(), 1U);
}

TEST_F(JobSchedulerTest, unansweredStart_minionRestarted_isStoppedBeforeTheTaskStartsAgain)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    m_scheduler.handleOrderResults(plan().at("w1"), std::nullopt, m_now);
    auto restarted = reportOf("w1");
    restarted.worker.born = 2;
    sendReport(restarted);
    const auto orders = plan().at("w1");
    EXPECT_EQ(orders.starts.size(), 0U);
    ASSERT_EQ(orders.stops.size(), 1U);
    answer(orders, OrderResult::Done);
    auto later = reportOf("w1");
    later.worker.born = 2;
    sendReport(later);
    EXPECT_EQ(starts(plan()), 1U);
}

TEST_F(JobSchedulerTest, cancelledJob_runningTasks_areStopped)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(2, 1000)}));
    answer(plan().at("w1"), OrderResult::Done);
    m_scheduler.cancel("a", m_now);
    EXPECT_EQ(plan().at("w1").stops.size(), 2U);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Cancelled);
}

TEST_F(JobSchedulerTest, drainingWorker_newTask_startsElsewhere)
{
    joinWorker("w1");
    auto draining = reportOf("w1");
    draining.draining = true;
    sendReport(draining);
    joinWorker("w2");
    accept(jobOf("a", {stepOf(1, 1000)}));
    EXPECT_EQ(plan().count("w1"), 0U);
}

TEST_F(JobSchedulerTest, gang_capacityForSomeMembersOnly_startsNone)
{
    joinWorker("w1");
    auto step = stepOf(5, 1000);
    step.gang = true;
    accept(jobOf("a", {step}));
    EXPECT_EQ(starts(plan()), 0U);
    joinWorker("w2");
    EXPECT_EQ(starts(plan()), 5U);
}

/// A worker with capacity for a gang of more members than one plan starts.
class LargeGangTest : public JobSchedulerTest
{
protected:
    Wire::WorkerReport largeReport()
    {
        auto report = reportOf("w1");
        report.worker.cpuMilli = 100'000;
        return report;
    }

    /// Accepts a gang of 50 members, of which one plan starts 24.
    void acceptGang()
    {
        auto step = stepOf(50, 100);
        step.gang = true;
        accept(jobOf("a", {step}));
    }
};

// The gang never started, because all of its members had to be placed with the starts of one plan.
TEST_F(LargeGangTest, moreMembersThanOnePlanStarts_theOthersFollowInTheNextPlans)
{
    sendReport(largeReport());
    acceptGang();
    std::set<RunKey> started;
    std::set<std::int64_t> runs;
    for (const std::size_t expected : {24, 24, 2, 0}) {
        const auto orders = plan();
        EXPECT_EQ(starts(orders), expected);
        for (const auto &[worker, it] : orders) {
            for (const auto &start : it.starts) {
                started.insert({start.task, start.run});
                runs.insert(start.run);
            }
        }
    }
    EXPECT_EQ(started.size(), 50U);
    EXPECT_EQ(runs.size(), 1U);
}

// The members that were ordered would wait for the others until they time out.
TEST_F(LargeGangTest, workerDrainsBeforeAllMembersAreOrdered_allAreStopped)
{
    sendReport(largeReport());
    acceptGang();
    const auto first = plan().at("w1");
    answer(first, OrderResult::Done);
    auto report = largeReport();
    report.draining = true;
    for (const auto &it : first.starts) {
        report.running.push_back(running(it));
    }
    sendReport(report);
    const auto second = plan().at("w1");
    EXPECT_TRUE(second.starts.empty());
    EXPECT_EQ(second.stops.size(), 26U);
    answer(second, OrderResult::Done);
    report.listing = ++m_listingNumber;
    sendReport(report);
    EXPECT_EQ(plan().at("w1").stops.size(), 24U);
}

TEST_F(JobSchedulerTest, stepWithALimitPerWorker_manyTasks_limitIsKept)
{
    joinWorker("w1");
    joinWorker("w2");
    auto step = stepOf(4, 100);
    step.maxPerWorker = 1;
    accept(jobOf("a", {step}));
    EXPECT_EQ(starts(plan()), 2U);
}

TEST_F(JobSchedulerTest, task_usedUpItsAttempts_failsItsJob)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    for (int attempt = 1; attempt <= 2; ++attempt) {
        const auto orders = plan().at("w1");
        answer(orders, OrderResult::Done);
        auto report = reportOf("w1");
        report.ended = {ended(attempt, orders.starts.front(), EndKind::Failed)};
        sendReport(report);
    }
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Failed);
    EXPECT_EQ(starts(plan()), 0U);
}

TEST_F(JobSchedulerTest, steadySmallTasks_largeLongRunningTask_getsItsCapacity)
{
    joinWorker("w1");
    accept(jobOf("small", {stepOf(12, 1000)}));
    auto orders = plan().at("w1");
    ASSERT_EQ(orders.starts.size(), 4U);
    answer(orders, OrderResult::Done);
    auto step = stepOf(1, 3500);
    step.longRunning = true;
    accept(jobOf("long", {step}));
    // Small tasks end one by one, while other small tasks wait for the same capacity.
    std::vector<Wire::StartOrder> left(orders.starts.begin(), orders.starts.end());
    bool started = false;
    for (std::int64_t number = 1; !left.empty(); ++number) {
        auto report = reportOf("w1");
        report.ended = {ended(number, left.back(), EndKind::Done)};
        left.pop_back();
        for (const auto &it : left) {
            report.running.push_back(running(it));
        }
        sendReport(report);
        for (const auto &[worker, planned] : plan()) {
            for (const auto &it : planned.starts) {
                started = started || it.task.job == "long";
                EXPECT_EQ(it.task.job, "long");
            }
        }
    }
    EXPECT_TRUE(started);
}

/// Best-effort steps, which use idle CPU, on workers with and without a serving task.
class BestEffortLoadTest : public JobSchedulerTest
{
protected:
    static Wire::StepSpec bestEffortStep(const std::string &image, int count = 1)
    {
        auto step = stepOf(count, 400);
        step.image = image;
        step.usesIdleCpu = true;
        return step;
    }

    /// Starts a serving task on `worker` and reports its tail latency, so that the scheduler knows its slack.
    void startServingTask(const std::string &worker, std::int64_t tailMs)
    {
        joinWorker(worker);
        auto step = stepOf(1, 1000);
        step.longRunning = true;
        step.image = "site";
        step.tailTargetMs = 50;
        accept(jobOf("serving-" + worker, {step}));
        const auto orders = plan().at(worker);
        answer(orders, OrderResult::Done);
        m_serving = running(orders.starts.front());
        m_serving.percent = 100;
        m_serving.usage = tailMs;
        m_now += milliseconds(600);
        auto report = reportOf(worker);
        report.running = {m_serving};
        sendReport(report);
    }

    Wire::RunningTask m_serving;
};

TEST_F(BestEffortLoadTest, servingTaskWithLittleSlack_unknownBestEffortTask_waits)
{
    startServingTask("w1", 45);
    accept(jobOf("fill", {bestEffortStep("image")}));
    EXPECT_EQ(starts(plan()), 0U);
}

TEST_F(BestEffortLoadTest, servingTaskWithLittleSlack_bestEffortTaskWaitedTooLong_startsDespiteInterference)
{
    startServingTask("w1", 45);
    accept(jobOf("fill", {bestEffortStep("image")}));
    plan();
    m_now += milliseconds(2100);
    auto report = reportOf("w1");
    report.running = {m_serving};
    sendReport(report);
    EXPECT_EQ(starts(plan()), 1U);
}

// A measured slack tells nothing of the next second, so that it must be larger than one that is expected from replicas.
TEST_F(BestEffortLoadTest, servingStepOfOneTask_replicaBaselines_slackRequiredOfMeasurementsHolds)
{
    m_settings.replicaBaselines = true;
    m_scheduler = JobScheduler(m_settings, epoch);
    startServingTask("w1", 36);
    m_now += seconds(2);
    auto report = reportOf("w1");
    report.running = {m_serving};
    sendReport(report);
    accept(jobOf("fill", {bestEffortStep("image")}));
    EXPECT_EQ(starts(plan()), 0U);
    m_now += milliseconds(600);
    m_serving.usage = 20;
    report = reportOf("w1");
    report.running = {m_serving};
    sendReport(report);
    EXPECT_EQ(starts(plan()), 1U);
}

// After a takeover the new owner has no measurements of its own and uses those that the agents report.
TEST_F(BestEffortLoadTest, servingTaskWithSomeSlack_bestEffortTaskReportedAsInterfering_waits)
{
    startServingTask("w1", 30);
    Wire::ImagePair pair;
    pair.servingImage = "site";
    pair.fillingImage = "heavy";
    pair.effect = 9;
    auto report = reportOf("w1");
    report.running = {m_serving};
    report.pairs = {pair};
    sendReport(report);
    accept(jobOf("heavy", {bestEffortStep("heavy")}));
    EXPECT_EQ(starts(plan()), 0U);
    accept(jobOf("unknown", {bestEffortStep("image")}));
    EXPECT_EQ(starts(plan()), 1U);
}

// The same use is a larger share of a smaller capacity: that is no change of what the tasks do.
TEST_F(BestEffortLoadTest, capacityShrinks_sameUse_estimateOfTheEffectStays)
{
    startServingTask("w1", 20);
    accept(jobOf("fill", {bestEffortStep("heavy")}));
    const auto orders = plan().at("w1");
    answer(orders, OrderResult::Done);
    auto filling = running(orders.starts.front());
    filling.percent = 100;
    std::map<std::string, double> effects;
    const auto measure = [&](std::int64_t usage, std::int64_t tailMs, std::int32_t cpuMilli) {
        m_now += milliseconds(500);
        filling.usage = usage;
        m_serving.usage = tailMs;
        auto report = reportOf("w1");
        report.worker.cpuMilli = cpuMilli;
        report.running = {m_serving, filling};
        for (const auto &it : sendReport(report).pairs) {
            effects[it.fillingImage] = it.effect;
        }
    };
    for (int i = 0; i < 12; ++i) {
        measure(1500, 25, workerCpuMilli);
        measure(100, 20, workerCpuMilli);
    }
    const double learned = effects.at("heavy");
    ASSERT_GT(learned, 1);
    for (int i = 0; i < 6; ++i) {
        measure(1500, 25, workerCpuMilli);
        measure(1500, 25, workerCpuMilli / 2);
    }
    EXPECT_NEAR(effects.at("heavy"), learned, 0.1 * learned);
}

// The worker was reserved for the waiting task in each plan, although short tasks neither take nor return idle CPU.
TEST_F(BestEffortLoadTest, longRunningTaskLacksOnlyIdleCpu_shortTask_starts)
{
    joinWorker("w1");
    auto step = bestEffortStep("image", 3);
    step.cpuMilli = 2000;
    step.longRunning = true;
    accept(jobOf("fill", {step}));
    ASSERT_EQ(starts(plan()), 2U);
    accept(jobOf("short", {stepOf(1, 1000)}));
    EXPECT_EQ(starts(plan()), 1U);
}

// Only the first member was allowed to start without idle CPU, so that the gang never started.
TEST_F(BestEffortLoadTest, gangExceedsTheIdleCpu_waitedTooLong_startsWhole)
{
    auto step = bestEffortStep("image", 3);
    step.cpuMilli = 3000;
    step.gang = true;
    joinWorker("w1");
    joinWorker("w2");
    accept(jobOf("fill", {step}));
    EXPECT_EQ(starts(plan()), 0U);
    m_now += milliseconds(2100);
    joinWorker("w1");
    joinWorker("w2");
    const auto orders = plan();
    EXPECT_EQ(starts(orders), 3U);
    EXPECT_EQ(orders.size(), 2U) << "a worker with idle CPU was left out";
}

TEST_F(BestEffortLoadTest, workerWithoutServingTasks_bestEffortTask_startsThere)
{
    startServingTask("w1", 45);
    joinWorker("w2");
    accept(jobOf("fill", {bestEffortStep("image", 3)}));
    const auto orders = plan();
    EXPECT_EQ(orders.count("w1"), 0U);
    EXPECT_EQ(starts(orders), 3U);
}

TEST_F(BestEffortLoadTest, servingTasksOfTwoImages_freeWorkers_areSeparatedByImage)
{
    joinWorker("w1");
    joinWorker("w2");
    auto step = stepOf(2, 500);
    step.longRunning = true;
    step.tailTargetMs = 50;
    step.image = "quotes";
    step.maxPerWorker = 1;
    accept(jobOf("a", {step}));
    EXPECT_EQ(starts(plan()), 2U);
    auto unlimitedStep = step;
    unlimitedStep.maxPerWorker = 0;
    unlimitedStep.image = "lots";
    accept(jobOf("b", {unlimitedStep}));
    const auto orders = plan();
    EXPECT_EQ(orders.size(), 1U) << "tasks of one image should share a worker without tasks of another image";
}

TEST_F(JobSchedulerTest, drainedZone_getsNoStartsUntilTheDrainEnds)
{
    auto report = reportOf("w1");
    report.worker.zone = "north";
    sendReport(report);
    m_scheduler.setDrainedZones({"north"});
    accept(jobOf("a", {stepOf(1, 1000)}));
    EXPECT_EQ(starts(plan()), 0U);
    m_scheduler.setDrainedZones({});
    EXPECT_EQ(starts(plan()), 1U);
}

TEST_F(JobSchedulerTest, workerThatJoins_inADrainedZone_getsNoStarts)
{
    m_scheduler.setDrainedZones({"north"});
    auto report = reportOf("w1");
    report.worker.zone = "north";
    sendReport(report);
    accept(jobOf("a", {stepOf(1, 1000)}));
    EXPECT_EQ(starts(plan()), 0U);
}

// A start that got no answer is not sent again once its worker must take no more: it is stopped instead.
TEST_F(JobSchedulerTest, unansweredStart_zoneDrainedMeanwhile_isStopped)
{
    auto report = reportOf("w1");
    report.worker.zone = "north";
    sendReport(report);
    accept(jobOf("a", {stepOf(1, 1000)}));
    m_scheduler.handleOrderResults(plan().at("w1"), std::nullopt, m_now);
    m_scheduler.setDrainedZones({"north"});
    m_now += seconds(1);
    const auto orders = plan().at("w1");
    EXPECT_TRUE(orders.starts.empty());
    EXPECT_EQ(orders.stops.size(), 1U);
}

TEST_F(JobSchedulerTest, unansweredStart_workerDrainsMeanwhile_isStopped)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    m_scheduler.handleOrderResults(plan().at("w1"), std::nullopt, m_now);
    auto report = reportOf("w1");
    report.draining = true;
    sendReport(report);
    m_now += seconds(1);
    const auto orders = plan().at("w1");
    EXPECT_TRUE(orders.starts.empty());
    EXPECT_EQ(orders.stops.size(), 1U);
}

// A slow owner: the first start got its answer too late and was sent again; a report showed the run before the agent's
// refusal of the repeated start was handled.
// The repeated order would bring the worker over its capacity, which was enough when the first one was sent.
TEST_F(JobSchedulerTest, unansweredStart_capacityShrinksMeanwhile_isStopped)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(2, 2000)}));
    m_scheduler.handleOrderResults(plan().at("w1"), std::nullopt, m_now);
    m_now += seconds(1);
    auto report = reportOf("w1");
    report.worker.cpuMilli = workerCpuMilli / 2;
    sendReport(report);
    const auto orders = plan().at("w1");
    EXPECT_EQ(orders.starts.size(), 0U);
    EXPECT_EQ(orders.stops.size(), 2U);
}

TEST_F(JobSchedulerTest, capacityShrinksAndGrowsAgain_newTasksFollow)
{
    joinWorker("w1");
    auto report = reportOf("w1");
    report.worker.cpuMilli = workerCpuMilli / 4;
    sendReport(report);
    accept(jobOf("a", {stepOf(4, 1000)}));
    EXPECT_EQ(starts(plan()), 1U);
    joinWorker("w1");
    EXPECT_EQ(starts(plan()), 3U);
}

TEST_F(JobSchedulerTest, repeatedStart_refusedAfterTheRunWasListed_runIsKept)
{
    joinWorker("w1");
    joinWorker("w2");
    accept(jobOf("a", {stepOf(1, 1000)}));
    const auto first = plan();
    const auto worker = first.begin()->first;
    m_scheduler.handleOrderResults(first.at(worker), std::nullopt, m_now);
    m_now += seconds(1);
    const auto again = plan().at(worker);
    auto report = reportOf(worker);
    report.running = {running(first.at(worker).starts.front())};
    sendReport(report);
    answer(again, OrderResult::Refused);
    EXPECT_EQ(starts(plan()), 0U);
    EXPECT_EQ(m_scheduler.workers().at(worker).runs.size(), 1U);
    // The run may end later as usual.
    report = reportOf(worker);
    report.ended = {ended(1, first.at(worker).starts.front(), EndKind::Done)};
    sendReport(report);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Completed);
}

// Another process may have taken over and heard of the task's end from the worker that this owner gave up.
TEST_F(JobSchedulerTest, taskLostWithItsWorker_ownershipNotVerified_waits)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    answer(plan().at("w1"), OrderResult::Done);
    m_now += m_settings.workerLease + seconds(1);
    joinWorker("w2");
    m_ownershipVerified = false;
    EXPECT_EQ(starts(plan()), 0U);
    accept(jobOf("b", {stepOf(1, 1000)}));
    EXPECT_EQ(starts(plan()), 1U);
    m_ownershipVerified = true;
    EXPECT_EQ(starts(plan()), 1U);
}

// The names of such numbers were looked up for the log, which ended the handling of the report.
TEST_F(JobSchedulerTest, resultsAndEndsOfNoKnownKind_areHandled)
{
    std::int64_t number = 0;
    for (const int odd : {-1, 77, 2'147'483'647}) {
        const std::string id = "a" + std::to_string(odd);
        joinWorker("w0");
        accept(jobOf(id, {stepOf(1, 500)}));
        const auto orders = plan().at("w0");
        ASSERT_EQ(orders.starts.size(), 1U);
        EXPECT_NO_THROW(answer(orders, static_cast<OrderResult>(odd)));
        m_now += seconds(2);
        sendReport(reportOf("w0"));
        EXPECT_EQ(plan().at("w0").starts.size(), 1U) << "an unknown result is no evidence, so the order is repeated";
        auto report = reportOf("w0");
        report.ended.push_back(ended(++number, orders.starts.front(), EndKind::Done));
        report.ended.back().how = odd;
        EXPECT_NO_THROW(sendReport(report));
        m_scheduler.cancel(id, m_now);
    }
}

// The second report with such a run ended the handling of all reports of its agent.
TEST_F(JobSchedulerTest, listedRunOfATaskThatTheJobDoesNotHave_isStopped)
{
    joinWorker("w0");
    accept(jobOf("a", {stepOf(1, 500)}));
    std::vector<Wire::TaskRef> odd = {taskOf("a", 0, 99), taskOf("a", 99, 0), taskOf("a", 0, 2'147'483'647)};
    odd.push_back(taskOf("a"));
    odd.back().occurrence = 99;
    for (const auto &task : odd) {
        Wire::RunningTask row;
        row.task = task;
        row.run = 1;
        row.checkpoint = "c";
        Wire::EndedTask end;
        end.number = 1;
        end.task = task;
        end.run = 2;
        auto report = reportOf("w0");
        report.running = {row};
        report.ended = {end};
        EXPECT_NO_THROW(sendReport(report));
        report.listing = ++m_listingNumber;
        report.wantsRunInfo = true;
        EXPECT_NO_THROW(sendReport(report));
        EXPECT_FALSE(plan()["w0"].stops.empty());
        EXPECT_NO_THROW(sendReport(reportOf("w0")));
    }
}

TEST_F(JobSchedulerTest, gang_thatFindsNoRoom_sendsNothing)
{
    joinWorker("w1");
    auto step = stepOf(5, 1000);
    step.gang = true;
    accept(jobOf("a", {step}));
    EXPECT_TRUE(plan().empty());
}

// The start order is still on its way when its minion crashes. The next incarnation, which has the same id, may execute
// it, but the task started elsewhere as soon as the minion was reported gone.
TEST_F(JobSchedulerTest, unansweredStart_minionIsGone_taskWaitsForTheNextIncarnation)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    const auto orders = plan().at("w1");
    m_scheduler.handleOrderResults(orders, std::nullopt, m_now);
    joinWorker("w2");
    auto gone = reportOf("w1");
    gone.gone = true;
    gone.listed = false;
    sendReport(gone);
    EXPECT_EQ(starts(plan()), 0U);
    auto restarted = reportOf("w1");
    restarted.worker.born = 2;
    restarted.running = {running(orders.starts.front())};
    sendReport(restarted);
    EXPECT_EQ(starts(plan()), 0U);
}

// A run that was carried over to the next incarnation was given up before that one had answered. As the lease term
// stayed, its agent learned nothing of it: orders of before were admitted, and ends acknowledged at once.
TEST_F(JobSchedulerTest, minionIsGoneBeforeItWasListed_itsRunIsGivenUp_nextLeaseTermBegins)
{
    joinWorker("w1");
    accept(jobOf("a", {stepOf(1, 1000)}));
    m_scheduler.handleOrderResults(plan().at("w1"), std::nullopt, m_now);
    auto report = reportOf("w1");
    report.worker.born = 2;
    report.listed = false;
    const auto before = sendReport(report).leaseTerm;
    ASSERT_EQ(m_scheduler.workers().at("w1").runs.size(), 1U);
    report.gone = true;
    sendReport(report);
    report.gone = false;
    report.listed = true;
    report.listing = ++m_listingNumber;
    const auto after = sendReport(report).leaseTerm;
    EXPECT_TRUE(after > before || !m_scheduler.workers().at("w1").runs.empty());
}

// A member's run that was given up and is listed again went on beside the member's next run, as only the runs of other
// steps were stopped.
TEST_F(JobSchedulerTest, gang_givenUpRunIsListedAgain_isStopped)
{
    constexpr int moreThanHalfOfAWorker = 3000;
    joinWorker("w1");
    joinWorker("w2");
    auto step = stepOf(2, moreThanHalfOfAWorker);
    step.gang = true;
    accept(jobOf("a", {step}));
    const auto first = plan();
    ASSERT_EQ(starts(first), 2U);
    for (const auto &[worker, it] : first) {
        answer(it, OrderResult::Done);
    }
    m_now += m_settings.workerLease + seconds(1);
    auto report = reportOf("w2");
    report.ended = {ended(1, first.at("w2").starts.front(), EndKind::Broken)};
    sendReport(report);
    joinWorker("w3");
    const auto second = plan();
    ASSERT_EQ(starts(second), 2U);
    report = reportOf("w1");
    report.running = {running(first.at("w1").starts.front())};
    sendReport(report);
    EXPECT_EQ(plan()["w1"].stops.size(), 1U);
}

// The agent was restarted, with an earlier time of its host, and went on above the last report that the owner had
// taken. The next report of its earlier process, which was held up, had the same number and was taken for its own.
TEST_F(JobSchedulerTest, agentRestarts_lateReportOfItsEarlierProcessThatTheMinionLeft_isIgnored)
{
    constexpr std::int64_t lastOfEarlierProcess = 10;
    auto report = reportOf("w1");
    report.number = lastOfEarlierProcess;
    sendReport(report);
    Wire::WorkerReport left;
    left.epoch = epoch;
    left.gone = true;
    left.worker.agentHost = report.worker.agentHost;
    left.worker.agentPort = report.worker.agentPort;
    left.number = lastOfEarlierProcess + 1;
    report = reportOf("w2");
    report.worker.agentHost = "w1";
    report.number = 1;
    const auto reply = sendReport(report);
    ASSERT_EQ(reply.lastReport, lastOfEarlierProcess);
    report.number = reply.lastReport + 1;
    sendReport(report);
    accept(jobOf("a", {stepOf(1, 1000)}));
    answer(plan().at("w2"), OrderResult::Done);
    joinWorker("w3");
    sendReport(left);
    EXPECT_EQ(starts(plan()), 0U);
}

} // namespace Trefoilhoist::Jobs
