#include "harness/schedulerfixture.h"
#include "trefoilhoist/log/eventlog.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

namespace {

constexpr double multiplier = 3;
/// What a place on the rack saves for the steps of stepOf(), which run for 500 ms.
constexpr Duration gain = milliseconds(1000);

/// Jobs whose data is on rack r1, where one worker has room for four tasks, beside an empty rack r2.
class RackPlacementTest : public SchedulerFixture
{
protected:
    RackPlacementTest()
    {
        setMultiplier(multiplier);
        m_racks = {{"near", "r1"}, {"far", "r2"}};
        advance({});
    }
    ~RackPlacementTest() override
    {
        EventLog::instance().captureTo(nullptr);
    }

    void setMultiplier(double value)
    {
        m_settings.remoteRunMultiplier = value;
        m_scheduler = JobScheduler(m_settings, epoch);
    }
    static Wire::StepSpec stepNear(int count = 1)
    {
        auto step = stepOf(count, workerCpuMilli / 4);
        step.inputRack = "r1";
        return step;
    }
    static Wire::StepSpec gangOnOneRack(int count)
    {
        auto step = stepOf(count, workerCpuMilli / 4);
        step.gang = true;
        step.gangOnOneRack = true;
        return step;
    }
    void accept(const Wire::StepSpec &step)
    {
        SchedulerFixture::accept(jobOf("job" + std::to_string(++m_jobs), {step}));
    }
    /// Starts tasks that fill the worker.
    void fill(const std::string &worker, int tasks = 4, bool longRunning = false)
    {
        auto step = stepOf(tasks, workerCpuMilli / 4);
        step.requiredLabel = worker;
        step.longRunning = longRunning;
        accept(step);
        ASSERT_EQ(startedOn()[worker], tasks);
    }

    Wire::WorkerReport reportOn(const std::string &worker)
    {
        auto report = reportOf(worker);
        report.worker.labels = {worker, m_racks.at(worker)};
        for (const auto &it : m_runs[worker]) {
            report.running.push_back(running(it));
        }
        return report;
    }
    /// Lets the time pass, while all workers report.
    void advance(Duration time)
    {
        m_now += time;
        for (const auto &[worker, rack] : m_racks) {
            sendReport(reportOn(worker));
        }
    }
    void endRun(const std::string &worker, EndKind how = EndKind::Done)
    {
        const auto run = m_runs[worker].front();
        m_runs[worker].erase(m_runs[worker].begin());
        auto report = reportOn(worker);
        report.ended = {ended(++m_ends, run, how)};
        sendReport(report);
    }
    /// Plans, and returns the number of started tasks by worker.
    std::map<std::string, int> startedOn()
    {
        std::map<std::string, int> counts;
        for (const auto &[worker, it] : plan()) {
            answer(it, OrderResult::Done);
            m_runs[worker].insert(m_runs[worker].end(), it.starts.begin(), it.starts.end());
            counts[worker] = static_cast<int>(it.starts.size());
        }
        return counts;
    }
    /// Lets runs on `near` end, one after each interval, each followed by the start of another one.
    void measureRate(Duration interval, int ends)
    {
        fill("near");
        for (int i = 0; i < ends; ++i) {
            advance(interval);
            endRun("near");
            fill("near", 1);
        }
    }

    using Counts = std::map<std::string, int>;
    std::map<std::string, std::string> m_racks;
    std::map<std::string, std::vector<Wire::StartOrder>> m_runs;
    int m_jobs = 0;
    std::int64_t m_ends = 0;
};

} // namespace

TEST_F(RackPlacementTest, hotRackThatFreesOften_tasksWaitAndStartThere)
{
    measureRate(milliseconds(100), 8);
    for (int i = 0; i < 10; ++i) {
        accept(stepNear());
        EXPECT_EQ(startedOn(), Counts());
        advance(milliseconds(100));
        endRun("near");
        EXPECT_EQ(startedOn(), (Counts{{"near", 1}}));
    }
    EXPECT_EQ(m_scheduler.placementWaits(), 10U);
}

TEST_F(RackPlacementTest, hotRackThatFreesSeldom_waitsOnlyWhileItsRateIsUnknown)
{
    fill("near");
    accept(stepNear());
    EXPECT_EQ(startedOn(), Counts());
    advance(gain);
    EXPECT_EQ(startedOn(), (Counts{{"far", 1}}));
    advance(gain);
    endRun("near");
    fill("near", 1);
    accept(stepNear());
    EXPECT_EQ(startedOn(), (Counts{{"far", 1}}));
}

TEST_F(RackPlacementTest, longLineForARack_onlyThoseWithAShortWaitWait)
{
    measureRate(milliseconds(400), 8);
    accept(stepNear(4));
    EXPECT_EQ(startedOn(), (Counts{{"far", 2}})) << "expected waits are 0.4, 0.8, 1.2 and 1.6 s, the gain is 1 s";
}

TEST_F(RackPlacementTest, rackLosesItsWorkers_waitingTaskStartsElsewhereAtOnce)
{
    measureRate(milliseconds(100), 8);
    accept(stepNear());
    EXPECT_EQ(startedOn(), Counts());
    auto gone = reportOn("near");
    gone.gone = true;
    sendReport(gone);
    EXPECT_EQ(startedOn()["far"], 1);
}

TEST_F(RackPlacementTest, rackWhoseRunsNoLongerEnd_waitingTaskStartsElsewhereBeforeTheCap)
{
    measureRate(milliseconds(100), 8);
    accept(stepNear());
    advance(milliseconds(900));
    EXPECT_EQ(startedOn(), Counts());
    advance(milliseconds(100));
    EXPECT_EQ(startedOn(), (Counts{{"far", 1}}));
}

// Nothing that ends there makes room, so a wait would be in vain.
TEST_F(RackPlacementTest, rackFullOfLongRunningTasks_taskStartsElsewhereAtOnce)
{
    fill("near", 4, true);
    accept(stepNear());
    EXPECT_EQ(startedOn(), (Counts{{"far", 1}}));
    m_racks["other"] = "r1";
    advance({});
    fill("other");
    accept(stepNear());
    EXPECT_EQ(startedOn(), Counts()) << "short tasks on another worker of the rack";
}

// The job's objective is 1250 ms, so that it must start elsewhere within 250 ms. The next plan may be 150 ms away.
TEST_F(RackPlacementTest, deadlineThatALongerWaitWouldMiss_taskStartsElsewhereInTime)
{
    setMultiplier(2);
    advance({});
    fill("near");
    accept(stepNear());
    advance(milliseconds(90));
    EXPECT_EQ(startedOn(), Counts());
    advance(milliseconds(20));
    EXPECT_EQ(startedOn(), (Counts{{"far", 1}}));
}

TEST_F(RackPlacementTest, longRunningTask_fullRack_startsElsewhereAtOnce)
{
    fill("near");
    accept(stepNear());
    EXPECT_EQ(startedOn(), Counts());
    auto step = stepNear();
    step.longRunning = true;
    accept(step);
    EXPECT_EQ(startedOn(), (Counts{{"far", 1}}));
}

TEST_F(RackPlacementTest, rackWithLittleRoom_isPreferredToAnEmptyRack)
{
    fill("near", 3);
    accept(stepNear());
    EXPECT_EQ(startedOn(), (Counts{{"near", 1}}));
}

// A worker takes 24 starts in one plan. The rest of a large step started elsewhere beside a worker with room.
TEST_F(RackPlacementTest, workerOnTheRackTakesNoMoreStarts_restStartsThereWithTheNextPlan)
{
    auto step = stepNear(30);
    step.cpuMilli = 1;
    accept(step);
    EXPECT_EQ(startedOn(), (Counts{{"near", 24}}));
    EXPECT_EQ(startedOn(), (Counts{{"near", 6}}));
}

// The preference for the rack must not use up the attempts of a task on a worker where it fails.
TEST_F(RackPlacementTest, taskThatFailedOnTheRacksOnlyWorker_startsElsewhere)
{
    accept(stepNear());
    EXPECT_EQ(startedOn(), (Counts{{"near", 1}}));
    endRun("near", EndKind::Failed);
    EXPECT_EQ(startedOn(), (Counts{{"far", 1}}));
}

TEST_F(RackPlacementTest, multiplierOne_nothingWaitsAndAnotherRackIsACostAmongOthers)
{
    setMultiplier(1);
    advance({});
    fill("near", 3);
    accept(stepNear());
    EXPECT_EQ(startedOn(), (Counts{{"far", 1}})) << "the load counts more than the rack";
    fill("near", 1);
    accept(stepNear());
    EXPECT_EQ(startedOn(), (Counts{{"far", 1}}));
    m_racks["far2"] = "r2";
    advance({});
    accept(gangOnOneRack(4));
    EXPECT_EQ(startedOn(), (Counts{{"far", 1}, {"far2", 3}}));
    m_racks["near2"] = "r1";
    advance({});
    accept(gangOnOneRack(3));
    EXPECT_EQ(startedOn(), (Counts{{"far", 1}, {"near2", 2}})) << "gangs are spread over racks";
    EXPECT_EQ(m_scheduler.placementWaits(), 0U);
}

TEST_F(RackPlacementTest, gang_fitsOnSeveralRacks_startsOnTheOneWithTheLeastRoom)
{
    m_racks.insert({{"near2", "r1"}, {"b1", "r3"}, {"b2", "r3"}});
    advance({});
    fill("b1", 2);
    accept(gangOnOneRack(6));
    EXPECT_EQ(startedOn(), (Counts{{"b1", 2}, {"b2", 4}}));
}

TEST_F(RackPlacementTest, gang_rackFreesOften_waitsAndStartsThere)
{
    measureRate(milliseconds(100), 8);
    fill("far", 3);
    accept(gangOnOneRack(2));
    EXPECT_EQ(startedOn(), Counts());
    endRun("near");
    EXPECT_EQ(startedOn(), Counts()) << "one place on each rack";
    advance(milliseconds(100));
    endRun("near");
    EXPECT_EQ(startedOn(), (Counts{{"near", 2}}));
}

TEST_F(RackPlacementTest, gang_noRackFreesInTime_isSpread)
{
    fill("near", 3);
    fill("far", 3);
    accept(gangOnOneRack(2));
    EXPECT_EQ(startedOn(), Counts());
    advance(gain);
    EXPECT_EQ(startedOn(), (Counts{{"far", 1}, {"near", 1}}));
}

TEST_F(RackPlacementTest, gang_largerThanAnyRack_isSpreadAtOnce)
{
    accept(gangOnOneRack(6));
    const auto started = startedOn();
    EXPECT_EQ(started.at("near") + started.at("far"), 6);
}

TEST_F(RackPlacementTest, gangWithData_fullRack_waitsForThatRack)
{
    fill("near", 3);
    auto step = gangOnOneRack(2);
    step.inputRack = "r1";
    accept(step);
    EXPECT_EQ(startedOn(), Counts()) << "r2 has room";
    endRun("near");
    EXPECT_EQ(startedOn(), (Counts{{"near", 2}}));
    accept(step);
    advance(gain);
    EXPECT_EQ(startedOn(), Counts());
    advance(gain);
    EXPECT_EQ(startedOn(), (Counts{{"far", 2}})) << "another rack is better than two";
}

TEST_F(RackPlacementTest, manyPlans_waitIsLoggedOnceInASecond)
{
    std::vector<std::string> lines;
    EventLog::instance().captureTo([&](const std::string &line) {
        if (line.find("placement_waits") != std::string::npos) {
            lines.push_back(line);
        }
    });
    m_settings.remoteRunMultiplier = 10;
    m_scheduler = JobScheduler(m_settings, epoch);
    advance({});
    fill("near");
    accept(stepNear());
    for (int i = 0; i < 15; ++i) {
        startedOn();
        advance(milliseconds(100));
    }
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_NE(lines.back().find(R"("rack":"r1","waitedMs":1000,"gainMs":4500)"), std::string::npos) << lines.back();
}

} // namespace Trefoilhoist::Jobs
