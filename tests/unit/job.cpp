#include "trefoilhoist/jobs/job.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Trefoilhoist::Jobs {

class JobTest : public testing::Test
{
protected:
    /// A repeated job whose occurrences are all due at once.
    static Job repeatedJob(int tasks, int occurrences)
    {
        Wire::JobSpec spec;
        spec.id = "a";
        spec.occurrences = occurrences;
        spec.queue.maxAttempts = 1;
        Wire::StepSpec step;
        step.count = tasks;
        spec.steps.push_back(step);
        return Job(spec, TimePoint{});
    }

    static std::int64_t openTasks(const Job &job)
    {
        std::int64_t n = 0;
        for (const auto &[number, occurrence] : job.occurrences()) {
            for (const auto &step : occurrence.steps) {
                n += std::ssize(step.tasks);
            }
        }
        return n;
    }

    static void finish(Job &job, int occurrence)
    {
        const int tasks = job.step(0).count;
        for (int i = 0; i < tasks; ++i) {
            Wire::TaskRef ref;
            ref.job = "a";
            ref.occurrence = occurrence;
            ref.index = i;
            job.finishTask(ref);
        }
    }
};

// One request for 100,000 occurrences of 100,000 tasks, all due in the past, took the memory of the whole process.
TEST_F(JobTest, manyLargeOccurrencesAreDue_tasksInMemoryStayWithinTheLimit)
{
    auto job = repeatedJob(40'000, 1000);
    job.openDueOccurrences(1000);
    EXPECT_LE(openTasks(job), maxTasksOfJob);
    EXPECT_EQ(job.occurrences().size(), 2U);
}

TEST_F(JobTest, occurrenceFinishes_nextDueOneIsOpened)
{
    auto job = repeatedJob(40'000, 4);
    job.openDueOccurrences(1000);
    finish(job, 0);
    job.openDueOccurrences(1000);
    EXPECT_EQ(job.occurrences().count(2), 1U);
    EXPECT_EQ(job.occurrences().count(3), 0U);
    for (const int occurrence : {1, 2}) {
        finish(job, occurrence);
    }
    job.openDueOccurrences(1000);
    finish(job, 3);
    EXPECT_EQ(job.phase(), JobPhase::Completed);
}

TEST_F(JobTest, smallOccurrences_allThatAreDueAreOpened)
{
    auto job = repeatedJob(4, 1000);
    job.openDueOccurrences(1000);
    EXPECT_EQ(job.occurrences().size(), 1000U);
}

} // namespace Trefoilhoist::Jobs
