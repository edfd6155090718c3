// Tasks that crash the workers on which they start.
#include "harness/schedulerfixture.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

/// Workers whose minion restarts after a crash.
class DeadlyTaskTest : public SchedulerFixture
{
protected:
    /// The bound on starts: three crashes, and two more starts after the third.
    static constexpr int maxStarts = 5;
    static constexpr int rounds = 12;
    static constexpr Duration roundTime = seconds(1);

    void joinWorkers(int count)
    {
        for (int i = 0; i < count; ++i) {
            m_born["w" + std::to_string(i)] = 1;
        }
        reportAll();
    }

    Wire::WorkerReport currentReport(const std::string &worker)
    {
        auto report = reportOf(worker);
        report.worker.born = m_born.at(worker);
        return report;
    }

    void reportAll()
    {
        for (const auto &[worker, born] : m_born) {
            sendReport(currentReport(worker));
        }
    }

    /// The minion restarts, and its agent, which was restarted as well, knows only the new incarnation.
    void replace(const std::string &worker)
    {
        ++m_born.at(worker);
        sendReport(currentReport(worker));
    }

    /// The minion crashes; its agent reports what it ran, and the new incarnation.
    Wire::WorkerReportReply crash(const std::string &worker, const std::vector<Wire::LostRun> &runs)
    {
        Wire::CrashReport account;
        account.worker = worker;
        account.born = m_born.at(worker);
        account.runs = runs;
        ++m_born.at(worker);
        auto report = currentReport(worker);
        report.crashes.push_back(account);
        return sendReport(report);
    }

    static Wire::LostRun lost(const Wire::TaskRef &task, std::int64_t run, std::int64_t ageMs)
    {
        Wire::LostRun it;
        it.task = task;
        it.run = run;
        it.ageMs = ageMs;
        return it;
    }

    /// The runs on the worker; those of the tasks that have just been started are `crashAgeMs` old.
    std::vector<Wire::LostRun> runsOn(const std::string &worker)
    {
        std::vector<Wire::LostRun> runs;
        for (const auto &[key, run] : m_scheduler.workers().at(worker).runs) {
            const auto age = duration_cast<milliseconds>(m_now - run.orderedAt).count();
            runs.push_back(lost(key.task, key.run, age + crashAgeMs));
        }
        return runs;
    }

    /// Answers all planned starts; returns the worker on which the task was started, or nothing.
    std::string startedOn(const Wire::TaskRef &task)
    {
        std::string found;
        for (const auto &[worker, orders] : plan()) {
            answer(orders, OrderResult::Done);
            for (const auto &it : orders.starts) {
                found = it.task == task ? worker : found;
            }
        }
        return found;
    }

    /// Lets every worker crash that gets a start of the task; returns the number of its starts.
    int crashOnEachStart(const Wire::TaskRef &task, bool agentsRestart)
    {
        int started = 0;
        for (int i = 0; i < rounds; ++i) {
            m_now += roundTime;
            reportAll();
            if (const auto worker = startedOn(task); !worker.empty()) {
                ++started;
                if (agentsRestart) {
                    replace(worker);
                } else {
                    crash(worker, runsOn(worker));
                }
            }
            recordChanges();
        }
        return started;
    }

    /// Lets another owner take over with what is recorded.
    void takeOver(const Wire::JobSpec &spec)
    {
        Wire::WorkerRoster roster;
        for (const auto &[worker, it] : m_scheduler.workers()) {
            roster.workers.push_back(it.info);
        }
        const auto record = m_records.find(spec.id);
        m_scheduler = JobScheduler(m_settings, m_scheduler.epoch() + 1);
        m_scheduler.restoreJob(
            spec, record == m_records.end() ? std::nullopt : std::optional(record->second), m_now, wallMs);
        m_scheduler.restoreRoster(roster, m_now);
    }

    static Wire::JobSpec longRunningJob(const std::string &id)
    {
        auto step = stepOf(1, 100);
        step.longRunning = true;
        return jobOf(id, {step});
    }

    static constexpr std::int64_t crashAgeMs = 10;
    std::map<std::string, std::int64_t> m_born;
};

// A crash leaves no end that could count as an attempt, so that the task crashed one worker after the other.
TEST_F(DeadlyTaskTest, taskThatCrashesEachWorker_startedAgainAfterEachCrash_isGivenUp)
{
    joinWorkers(4);
    accept(jobOf("a", {stepOf(1, 1000)}));
    EXPECT_LE(crashOnEachStart(taskOf("a"), true), maxStarts);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Failed);
}

TEST_F(DeadlyTaskTest, crashesThatAgentsReport_taskIsGivenUpAfterTwo)
{
    joinWorkers(4);
    accept(jobOf("a", {stepOf(1, 1000)}));
    EXPECT_EQ(crashOnEachStart(taskOf("a"), false), 2);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Failed);
}

// Ends of long-running tasks are never attempts, but their crashes must count.
TEST_F(DeadlyTaskTest, longRunningTaskThatCrashesEachWorker_isGivenUp)
{
    joinWorkers(4);
    accept(longRunningJob("a"));
    EXPECT_LE(crashOnEachStart(taskOf("a"), false), maxStarts);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Failed);
}

// The job is over, so what else it runs has no use.
TEST_F(DeadlyTaskTest, jobThatIsGivenUp_itsOtherTasks_areStopped)
{
    joinWorkers(4);
    auto step = stepOf(2, 100);
    step.longRunning = true;
    step.maxPerWorker = 1;
    accept(jobOf("a", {step}));
    const auto first = plan();
    std::string sibling;
    Wire::RunningTask siblingRow;
    for (const auto &[worker, orders] : first) {
        answer(orders, OrderResult::Done);
        if (orders.starts.front().task == taskOf("a")) {
            crash(worker, runsOn(worker));
        } else {
            sibling = worker;
            siblingRow = running(orders.starts.front());
        }
    }
    recordChanges();
    m_now += roundTime;
    for (const auto &[worker, born] : m_born) {
        auto report = currentReport(worker);
        if (worker == sibling) {
            report.running = {siblingRow};
        }
        sendReport(report);
    }
    const auto second = startedOn(taskOf("a"));
    ASSERT_NE(second, "");
    crash(second, runsOn(second));
    ASSERT_EQ(m_scheduler.job("a")->phase(), JobPhase::Failed);
    EXPECT_EQ(plan().at(sibling).stops.size(), 1U);
}

TEST_F(DeadlyTaskTest, bestEffortTaskThatCrashesEachWorker_isGivenUp)
{
    joinWorkers(4);
    auto step = stepOf(1, 1000);
    step.usesIdleCpu = true;
    step.image = "fill";
    accept(jobOf("a", {step}));
    EXPECT_LE(crashOnEachStart(taskOf("a"), false), maxStarts);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Failed);
}

TEST_F(DeadlyTaskTest, gangWithAMemberThatCrashesItsWorker_isGivenUp)
{
    joinWorkers(4);
    auto step = stepOf(3, 1000);
    step.gang = true;
    step.maxPerWorker = 1;
    accept(jobOf("a", {step}));
    int started = 0;
    for (int i = 0; i < rounds; ++i) {
        m_now += roundTime;
        reportAll();
        if (const auto worker = startedOn(taskOf("a", 1)); !worker.empty()) {
            ++started;
            crash(worker, runsOn(worker));
        }
        // The other members are stopped.
        for (const auto &[worker, orders] : plan()) {
            answer(orders, OrderResult::Done);
        }
        reportAll();
        recordChanges();
    }
    EXPECT_LE(started, maxStarts);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Failed);
}

// A long-running task restarts with each crash of its worker, so that it sees many of them.
TEST_F(DeadlyTaskTest, longRunningTask_besideDeadlyOnes_isNotGivenUp)
{
    joinWorkers(1);
    accept(longRunningJob("sound"));
    for (int i = 0; i < rounds; ++i) {
        m_now += seconds(5);
        reportAll();
        startedOn(taskOf("sound"));
        m_now += seconds(5);
        reportAll();
        const std::string deadly = "deadly" + std::to_string(i);
        accept(jobOf(deadly, {stepOf(1, 1000)}));
        for (int starts = 0; starts < maxStarts; ++starts) {
            if (startedOn(taskOf(deadly)).empty()) {
                break;
            }
            crash("w0", runsOn("w0"));
            recordChanges();
            m_now += seconds(2);
            reportAll();
            startedOn(taskOf("sound"));
            m_now += seconds(2);
            reportAll();
        }
        m_scheduler.cancel(deadly, m_now);
        recordChanges();
    }
    EXPECT_EQ(m_scheduler.job("sound")->phase(), JobPhase::Running);
}

TEST_F(DeadlyTaskTest, workerThatCrashed_isUsedAgainAtOnce)
{
    joinWorkers(1);
    accept(jobOf("a", {stepOf(1, 1000)}));
    startedOn(taskOf("a"));
    crash("w0", runsOn("w0"));
    recordChanges();
    m_now += roundTime;
    reportAll();
    accept(jobOf("b", {stepOf(1, 1000)}));
    EXPECT_EQ(startedOn(taskOf("b")), "w0");
}

// A task that is only suspected starts where a further crash has no other explanation.
TEST_F(DeadlyTaskTest, taskWithACrash_startsWhereNothingElseHasJustStarted)
{
    joinWorkers(2);
    accept(jobOf("a", {stepOf(1, 100)}));
    const auto first = startedOn(taskOf("a"));
    crash(first, runsOn(first));
    recordChanges();
    m_now += roundTime;
    reportAll();
    accept(jobOf("b", {stepOf(1, 100)}));
    m_now += milliseconds(1);
    std::map<std::string, int> startsByWorker;
    for (const auto &[worker, orders] : plan()) {
        startsByWorker[worker] = static_cast<int>(orders.starts.size());
    }
    EXPECT_EQ(startsByWorker.size(), 2U);
}

TEST_F(DeadlyTaskTest, workerWithATaskStartedAlone_takesNoOtherStartsUntilItIsConfirmed)
{
    joinWorkers(1);
    accept(jobOf("a", {stepOf(1, 100)}));
    startedOn(taskOf("a"));
    crash("w0", runsOn("w0"));
    recordChanges();
    m_now += roundTime;
    reportAll();
    const auto alone = plan();
    ASSERT_EQ(starts(alone), 1U);
    accept(jobOf("b", {stepOf(1, 100)}));
    m_now += roundTime;
    reportAll();
    EXPECT_EQ(starts(plan()), 0U);
    answer(alone.at("w0"), OrderResult::Done);
    m_now += startObservationTime;
    EXPECT_EQ(starts(plan()), 1U);
}

// The listing shows the run, so that the answer to its order is not needed any more.
TEST_F(DeadlyTaskTest, workerWithATaskStartedAlone_answerLostButRunListed_takesStartsAgain)
{
    joinWorkers(1);
    accept(jobOf("a", {stepOf(1, 100)}));
    startedOn(taskOf("a"));
    crash("w0", runsOn("w0"));
    recordChanges();
    m_now += roundTime;
    reportAll();
    const auto alone = plan().at("w0");
    m_now += roundTime;
    auto report = currentReport("w0");
    report.running = {running(alone.starts.front())};
    sendReport(report);
    m_scheduler.handleOrderResults(alone, std::nullopt, m_now);
    accept(jobOf("b", {stepOf(1, 100)}));
    EXPECT_EQ(startedOn(taskOf("b")), "w0");
}

// Only a busy worker is left: it is kept free of other starts until it has settled.
TEST_F(DeadlyTaskTest, taskWithACrash_allWorkersBusyWithStarts_getsAReservedWorker)
{
    joinWorkers(1);
    accept(jobOf("a", {stepOf(1, 100)}));
    startedOn(taskOf("a"));
    crash("w0", runsOn("w0"));
    accept(jobOf("before", {stepOf(1, 100)}));
    startedOn(taskOf("before"));
    recordChanges();
    startedOn(taskOf("a"));
    accept(jobOf("after", {stepOf(1, 100)}));
    EXPECT_EQ(startedOn(taskOf("after")), "");
    m_now += startObservationTime;
    EXPECT_EQ(startedOn(taskOf("a")), "w0");
}

// An owner that ends between a crash and its record must not be the only one that knew of it.
TEST_F(DeadlyTaskTest, crashThatIsNotRecorded_taskWaits)
{
    joinWorkers(2);
    accept(jobOf("a", {stepOf(1, 1000)}));
    const auto worker = startedOn(taskOf("a"));
    const auto reply = crash(worker, runsOn(worker));
    EXPECT_TRUE(reply.recordedCrashes.empty());
    m_now += roundTime;
    reportAll();
    EXPECT_EQ(startedOn(taskOf("a")), "");
    EXPECT_TRUE(m_scheduler.takeUnrecordedCrash());
    recordChanges();
    EXPECT_NE(startedOn(taskOf("a")), "");
}

TEST_F(DeadlyTaskTest, reportedCrash_isAcknowledgedOnceItIsRecorded)
{
    joinWorkers(2);
    accept(jobOf("a", {stepOf(1, 1000)}));
    const auto worker = startedOn(taskOf("a"));
    const auto runs = runsOn(worker);
    const auto born = m_born.at(worker);
    crash(worker, runs);
    recordChanges();
    auto again = currentReport(worker);
    Wire::CrashReport account;
    account.worker = worker;
    account.born = born;
    account.runs = runs;
    again.crashes.push_back(account);
    EXPECT_EQ(sendReport(again).recordedCrashes, std::vector<std::int64_t>{born});
    EXPECT_EQ(m_records.at("a").occurrences.at(0).at(0).crashes.at(0).size(), 1U);
}

TEST_F(DeadlyTaskTest, recordedCrash_ownerReplaced_countsForTheNextOwner)
{
    joinWorkers(4);
    const auto spec = jobOf("a", {stepOf(1, 1000)});
    accept(spec);
    const auto worker = startedOn(taskOf("a"));
    crash(worker, runsOn(worker));
    recordChanges();
    takeOver(spec);
    EXPECT_EQ(crashOnEachStart(taskOf("a"), false), 1);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Failed);
}

TEST_F(DeadlyTaskTest, crashReportedAgainToTheNextOwner_countsOnce)
{
    joinWorkers(4);
    const auto spec = jobOf("a", {stepOf(1, 1000)});
    accept(spec);
    const auto worker = startedOn(taskOf("a"));
    const auto runs = runsOn(worker);
    crash(worker, runs);
    recordChanges();
    takeOver(spec);
    --m_born.at(worker);
    crash(worker, runs);
    recordChanges();
    EXPECT_EQ(m_records.at("a").occurrences.at(0).at(0).crashes.at(0).size(), 1U);
}

TEST_F(DeadlyTaskTest, minionThatDrainedAndLeft_isNoCrash)
{
    joinWorkers(2);
    accept(jobOf("a", {stepOf(1, 1000)}));
    const auto worker = startedOn(taskOf("a"));
    auto draining = currentReport(worker);
    draining.draining = true;
    sendReport(draining);
    replace(worker);
    recordChanges();
    EXPECT_EQ(m_records.count("a"), 0U);
}

// A machine with its agent is dark for longer than the lease, and comes back with another incarnation.
TEST_F(DeadlyTaskTest, runsOfAnExpiredLease_minionRestarted_countAsACrash)
{
    joinWorkers(1);
    accept(jobOf("a", {stepOf(1, 1000)}));
    startedOn(taskOf("a"));
    m_now += seconds(30);
    plan();
    replace("w0");
    recordChanges();
    EXPECT_EQ(m_records.at("a").occurrences.at(0).at(0).crashes.at(0).size(), 1U);
}

TEST_F(DeadlyTaskTest, runsOfAnExpiredLease_minionStillThere_areNoCrash)
{
    joinWorkers(1);
    accept(jobOf("a", {stepOf(1, 1000)}));
    startedOn(taskOf("a"));
    m_now += seconds(30);
    plan();
    reportAll();
    replace("w0");
    recordChanges();
    EXPECT_EQ(m_records.count("a"), 0U);
}

} // namespace Trefoilhoist::Jobs
