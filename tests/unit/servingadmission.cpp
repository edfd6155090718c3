// Long-running jobs that arrive while the workers are full.
#include "harness/schedulerfixture.h"

#include "trefoilhoist/jobs/servingadmission.h"

#include <gtest/gtest.h>

#include <set>

namespace Trefoilhoist::Jobs {

namespace {

class ServingAdmissionTest : public SchedulerFixture
{
protected:
    ServingAdmissionTest()
    {
        setAdmission(true);
    }

    void setAdmission(bool on)
    {
        SchedulerSettings settings;
        settings.servingAdmission = on;
        m_scheduler = JobScheduler(settings, epoch);
    }

    static Wire::JobSpec service(const std::string &id, int count, int cpuMilli)
    {
        auto step = stepOf(count, cpuMilli);
        step.longRunning = true;
        return jobOf(id, {step});
    }

    /// Starts the job's tasks on the workers that have joined.
    void start(const Wire::JobSpec &spec)
    {
        accept(spec);
        for (const auto &[worker, orders] : plan()) {
            answer(orders, OrderResult::Done);
        }
    }

    SubmissionState submit(const Wire::JobSpec &spec)
    {
        return m_scheduler.submit(spec, m_now);
    }
};

} // namespace

TEST_F(ServingAdmissionTest, roomForAllTasks_isAccepted)
{
    joinWorker("w1");
    joinWorker("w2");
    EXPECT_EQ(submit(service("feed", 4, 2000)), SubmissionState::New);
}

// An accepted job whose tasks are never placed is worse for its caller than a refusal.
TEST_F(ServingAdmissionTest, workersFullOfServices_isRefused)
{
    joinWorker("w1");
    start(service("first", 2, 1500));
    EXPECT_EQ(submit(service("second", 1, 1500)), SubmissionState::NoRoom);
    EXPECT_FALSE(m_scheduler.knows("second"));
}

// A long-running job took the room of short tasks, which then waited for seconds.
TEST_F(ServingAdmissionTest, shortTasksUseTheRoom_isRefused)
{
    joinWorker("w1");
    start(jobOf("short", {stepOf(3, 1000)}));
    EXPECT_EQ(submit(service("feed", 1, 1500)), SubmissionState::NoRoom);
}

// Jobs that arrive together are not placed yet when the next one is judged.
TEST_F(ServingAdmissionTest, acceptedJobIsNotPlacedYet_itsRoomIsTaken)
{
    joinWorker("w1");
    EXPECT_EQ(submit(service("first", 1, 3000)), SubmissionState::New);
    EXPECT_EQ(submit(service("second", 1, 3000)), SubmissionState::NoRoom);
}

TEST_F(ServingAdmissionTest, roomIsSplitOverWorkers_taskThatFitsOnNoneIsRefused)
{
    joinWorker("w1");
    joinWorker("w2");
    start(service("first", 2, 2500));
    EXPECT_EQ(submit(service("second", 1, 2000)), SubmissionState::NoRoom);
    EXPECT_EQ(submit(service("third", 1, 1500)), SubmissionState::New);
}

TEST_F(ServingAdmissionTest, limitPerWorker_needsAsManyWorkers)
{
    joinWorker("w1");
    auto spec = service("feed", 2, 500);
    spec.steps.front().maxPerWorker = 1;
    EXPECT_EQ(submit(spec), SubmissionState::NoRoom);
    joinWorker("w2");
    EXPECT_EQ(submit(spec), SubmissionState::New);
}

TEST_F(ServingAdmissionTest, shortJob_isAlwaysAccepted)
{
    joinWorker("w1");
    start(service("first", 1, 4000));
    EXPECT_EQ(submit(jobOf("short", {stepOf(8, 1000)})), SubmissionState::New);
}

// A new owner that has not heard of all workers would refuse jobs for which there is room.
TEST_F(ServingAdmissionTest, agentsHaveNotReportedToTheNewOwner_isAccepted)
{
    Wire::WorkerRoster roster;
    roster.workers.push_back(reportOf("w1").worker);
    m_scheduler.restoreRoster(roster, m_now);
    EXPECT_EQ(submit(service("feed", 1, 1000)), SubmissionState::New);
}

// Otherwise a site that starts refuses its services.
TEST_F(ServingAdmissionTest, noWorkerHasJoinedYet_isAccepted)
{
    EXPECT_EQ(submit(service("feed", 1, 1000)), SubmissionState::New);
}

TEST_F(ServingAdmissionTest, switchedOff_isAccepted)
{
    setAdmission(false);
    joinWorker("w1");
    start(service("first", 1, 4000));
    EXPECT_EQ(submit(service("second", 1, 4000)), SubmissionState::New);
}

TEST_F(ServingAdmissionTest, refusedCallers_areToldDifferentTimes)
{
    std::set<Duration> times;
    for (int i = 0; i < 20; ++i) {
        times.insert(ServingAdmission::retryAfter("job" + std::to_string(i)));
    }
    EXPECT_GE(times.size(), 4U);
    EXPECT_GE(*times.begin(), seconds(2));
    EXPECT_LE(*times.rbegin(), seconds(9));
}

} // namespace Trefoilhoist::Jobs
