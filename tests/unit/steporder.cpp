// A burst of one kind of job: which steps come first when not all can be in time.
#include "harness/schedulerfixture.h"

#include "trefoilhoist/jobs/durationestimates.h"
#include "trefoilhoist/jobs/steporder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <vector>

namespace Trefoilhoist::Jobs {

namespace {

class StepOrderTest : public testing::Test
{
protected:
    static StepRank rank(Duration latestStart, double work)
    {
        StepRank it;
        it.latestStart = now + latestStart;
        it.worthlessAfter = now + latestStart + seconds(60);
        it.remainingWork = work;
        return it;
    }

    [[nodiscard]] static bool bothOrders(const StepRank &first, const StepRank &second)
    {
        return comesBefore(EarliestDeadlineFirst{}, first, second, now)
            && comesBefore(LeastWorkFirst{}, first, second, now);
    }

    /// Runs jobs that all arrive now, one after the other, and returns how many meet their objective.
    static int jobsInTime(const StepOrder &order, std::vector<StepRank> jobs)
    {
        int inTime = 0;
        TimePoint time = now;
        while (!jobs.empty()) {
            const auto next = std::min_element(
                jobs.begin(), jobs.end(), [&](const auto &a, const auto &b) { return comesBefore(order, a, b, time); });
            inTime += next->latestStart >= time ? 1 : 0;
            time += duration_cast<Duration>(std::chrono::duration<double>(next->remainingWork));
            jobs.erase(next);
        }
        return inTime;
    }

    static constexpr TimePoint now{seconds(100)};
};

} // namespace

TEST_F(StepOrderTest, longRunningStep_comesFirst)
{
    auto serving = rank(seconds(9), 900);
    serving.longRunning = true;
    EXPECT_TRUE(bothOrders(serving, rank(seconds(1), 1)));
}

TEST_F(StepOrderTest, stepThatCanNoLongerBeInTime_comesAfterThoseThatCan)
{
    EXPECT_TRUE(bothOrders(rank(seconds(5), 50), rank(seconds(-1), 1)));
}

TEST_F(StepOrderTest, shortStep_comesBeforeBestEffortStep)
{
    auto bestEffort = rank(seconds(1), 1);
    bestEffort.usesIdleCpu = true;
    EXPECT_TRUE(bothOrders(rank(seconds(5), 50), bestEffort));
}

TEST_F(StepOrderTest, shortStepWithoutValue_comesAfterBestEffortStep)
{
    auto bestEffort = rank(seconds(1), 1);
    bestEffort.usesIdleCpu = true;
    EXPECT_TRUE(bothOrders(bestEffort, rank(seconds(-90), 1)));
}

// Earliest deadline first starts the jobs that are about to be late, and finishes all of them late.
TEST_F(StepOrderTest, burstAboveTheCapacity_leastWorkKeepsMoreJobsInTime)
{
    constexpr int jobs = 20;
    std::vector<StepRank> burst;
    burst.reserve(jobs);
    for (int i = 0; i < jobs; ++i) {
        // Large jobs came first and have the earlier deadline.
        burst.push_back(rank(milliseconds(4000 + 100 * i), i < 10 ? 3 : 0.5));
    }
    const int deadline = jobsInTime(EarliestDeadlineFirst{}, burst);
    const int leastWork = jobsInTime(LeastWorkFirst{}, burst);
    EXPECT_GE(leastWork, 10);
    EXPECT_GT(leastWork, 3 * deadline);
}

TEST_F(StepOrderTest, allCanBeInTime_largeJobsAreNotLate)
{
    EXPECT_EQ(jobsInTime(LeastWorkFirst{}, {rank(seconds(8), 3), rank(seconds(9), 1), rank(seconds(9), 1)}), 3);
}

// A serving task that failed lost its room to a job that had never run, and was away for 25 s.
TEST_F(StepOrderTest, servingStepThatHasRun_comesBeforeANewOneWithLeastWork)
{
    auto restart = rank(seconds(9), 1);
    restart.longRunning = true;
    restart.hasRun = true;
    auto fresh = rank(seconds(1), 1);
    fresh.longRunning = true;
    EXPECT_TRUE(comesBefore(LeastWorkFirst{}, restart, fresh, now));
    EXPECT_FALSE(comesBefore(LeastWorkFirst{}, fresh, restart, now));
}

TEST_F(StepOrderTest, namesInSettings_areKnown)
{
    EXPECT_TRUE(std::holds_alternative<EarliestDeadlineFirst>(*stepOrderOf("deadline")));
    EXPECT_TRUE(std::holds_alternative<LeastWorkFirst>(*stepOrderOf("least-work")));
    EXPECT_FALSE(stepOrderOf("largest"));
}

class DurationEstimatesTest : public testing::Test
{
protected:
    DurationEstimates m_estimates;
};

TEST_F(DurationEstimatesTest, fewTasks_declaredTimeHolds)
{
    m_estimates.observe("quotes", seconds(1), seconds(8));
    EXPECT_EQ(m_estimates.expected("quotes", seconds(1)), seconds(1));
    EXPECT_EQ(m_estimates.expected("unknown", seconds(3)), seconds(3));
}

// Declared times that tell nothing put the jobs of a queue in a random order.
TEST_F(DurationEstimatesTest, declaredTimesTellNothing_meanIsExpected)
{
    for (int i = 0; i < 60; ++i) {
        m_estimates.observe("quotes", milliseconds(i % 2 == 0 ? 200 : 8000), milliseconds(2000));
    }
    EXPECT_NEAR(duration_cast<milliseconds>(m_estimates.expected("quotes", milliseconds(200))).count(), 2000, 100);
    EXPECT_NEAR(duration_cast<milliseconds>(m_estimates.expected("quotes", seconds(8))).count(), 2000, 100);
}

TEST_F(DurationEstimatesTest, declaredTimesAreRight_theyHold)
{
    for (int i = 0; i < 60; ++i) {
        const auto time = milliseconds(200 + 100 * i);
        m_estimates.observe("quotes", time, time);
    }
    EXPECT_NEAR(duration_cast<milliseconds>(m_estimates.expected("quotes", seconds(4))).count(), 4000, 400);
}

class LeastWorkSchedulingTest : public SchedulerFixture
{
protected:
    LeastWorkSchedulingTest()
    {
        SchedulerSettings settings;
        settings.stepOrder = LeastWorkFirst{};
        m_scheduler = JobScheduler(settings, epoch);
    }

    /// Submits a job of one task that takes a whole worker.
    void submitWholeWorker(const std::string &id, std::int64_t estimatedMs)
    {
        auto step = stepOf(1, workerCpuMilli);
        step.estimatedMs = estimatedMs;
        auto job = jobOf(id, {step});
        job.queue.targetLatencyMs = 20'000;
        accept(job);
    }

    std::string startedOn(const std::string &worker)
    {
        const auto orders = plan();
        const auto it = orders.find(worker);
        if (it == orders.end()) {
            return "";
        }
        answer(it->second, OrderResult::Done);
        return it->second.starts.front().task.job;
    }
};

TEST_F(LeastWorkSchedulingTest, severalJobsWait_smallestStartsFirst)
{
    joinWorker("w1");
    submitWholeWorker("large", 4000);
    submitWholeWorker("small", 400);
    EXPECT_EQ(startedOn("w1"), "small");
}

TEST_F(LeastWorkSchedulingTest, tasksOfTheStepHaveFinished_theirRunTimeReplacesTheDeclaredOne)
{
    joinWorker("w1");
    auto step = stepOf(2, workerCpuMilli);
    step.estimatedMs = 100;
    auto job = jobOf("declaredShort", {step});
    job.queue.targetLatencyMs = 60'000;
    accept(job);
    const auto orders = plan().at("w1");
    answer(orders, OrderResult::Done);
    submitWholeWorker("other", 2000);
    m_now += seconds(5);
    auto report = reportOf("w1");
    report.ended = {ended(1, orders.starts.front(), EndKind::Done)};
    sendReport(report);
    recordChanges();
    EXPECT_EQ(startedOn("w1"), "other");
}

// The run of an earlier owner is adopted in the middle, so that its time until the end is too short.
TEST_F(LeastWorkSchedulingTest, adoptedRunEnds_itsTimeIsNotTakenForTheRunTime)
{
    auto step = stepOf(2, workerCpuMilli);
    step.estimatedMs = 8000;
    auto job = jobOf("adopted", {step});
    job.queue.targetLatencyMs = 60'000;
    accept(job);
    Wire::StartOrder order;
    order.task = taskOf("adopted");
    order.run = 1;
    auto report = reportOf("w1");
    report.running = {running(order)};
    sendReport(report);
    submitWholeWorker("other", 2000);
    m_now += milliseconds(100);
    report = reportOf("w1");
    report.ended = {ended(1, order, EndKind::Done)};
    sendReport(report);
    recordChanges();
    EXPECT_EQ(startedOn("w1"), "other");
}

} // namespace Trefoilhoist::Jobs
