// What callers can make the owner of the scheduling keep in memory.
#include "harness/schedulerfixture.h"

#include "trefoilhoist/jobs/jobrecords.h"
#include "trefoilhoist/wire/message.h"

#include <malloc.h>

#include <cstdlib>
#include <iomanip>
#include <new>
#include <sstream>

namespace {

/// Bytes of all blocks that were allocated and not freed, as the allocator rounds them.
std::int64_t allocatedBytes = 0;

void *allocate(std::size_t size)
{
    void *block = std::malloc(size);
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    allocatedBytes += static_cast<std::int64_t>(malloc_usable_size(block) + sizeof(std::size_t));
    return block;
}

void release(void *block)
{
    if (block != nullptr) {
        allocatedBytes -= static_cast<std::int64_t>(malloc_usable_size(block) + sizeof(std::size_t));
        std::free(block);
    }
}

} // namespace

void *operator new(std::size_t size)
{
    return allocate(size);
}

void operator delete(void *block) noexcept
{
    release(block);
}

void operator delete(void *block, std::size_t) noexcept
{
    release(block);
}

namespace Trefoilhoist::Jobs {

namespace {

constexpr std::int64_t limitBytes = 8'000'000;
/// Enough to take several times the limit.
constexpr int crowd = 20'000;
constexpr std::size_t specificationBytes = 4000;
constexpr int tasksOfWideJob = 100;
constexpr int wideCrowd = 400;
constexpr int workers = 50;

std::string idOf(int number)
{
    std::ostringstream id;
    id << std::hex << std::setw(16) << std::setfill('0') << number;
    return id.str();
}

Wire::JobSpec smallJob(int number)
{
    auto spec = jobOf(idOf(number), {stepOf(1, 1)});
    spec.payload.assign(specificationBytes, 'x');
    return spec;
}

Wire::JobSpec wideJob(int number)
{
    auto step = stepOf(tasksOfWideJob, 0);
    step.memoryMb = 0;
    return jobOf(idOf(number), {step});
}

/// An owner with its records, whose store confirms everything at once when asked to.
struct Owner {
    explicit Owner(SchedulerSettings settings) : scheduler(settings, epoch) { }

    SubmissionState submit(const Wire::JobSpec &spec, TimePoint now)
    {
        const auto state = scheduler.submit(spec, now);
        if (state == SubmissionState::New) {
            records.submit(spec);
        }
        return state;
    }

    void cancel(const std::string &id, TimePoint now)
    {
        scheduler.cancel(id, now);
        for (const auto &it : scheduler.takeChangedJobs()) {
            records.putProgress(*scheduler.jobToRecord(it));
        }
    }

    void confirmRecords()
    {
        CommitOutcome outcome;
        outcome.committed = true;
        outcome.revision = 1;
        while (const auto batch = records.take()) {
            const auto committed = records.applyOutcome(*batch, outcome);
            for (const auto &it : committed.accepted) {
                scheduler.accept(it);
            }
            for (const auto &[id, version] : committed.progress) {
                scheduler.markProgressRecorded(id, version);
            }
        }
    }

    JobScheduler scheduler;
    JobRecords records{1};
};

} // namespace

class JobMemoryTest : public testing::Test
{
protected:
    JobMemoryTest()
    {
        m_settings.jobMemoryBytes = limitBytes;
    }

    /// Bytes that were allocated since the start of the test.
    [[nodiscard]] std::int64_t grownBytes() const
    {
        return allocatedBytes - m_before;
    }

    /// Submits and accepts jobs until one is refused, or the whole crowd is in. Returns how many were accepted.
    int fill(Owner &owner, Wire::JobSpec (*jobNumber)(int), int size = crowd)
    {
        for (int i = 0; i < size; ++i) {
            if (owner.submit(jobNumber(i), m_now) != SubmissionState::New) {
                return i;
            }
            owner.confirmRecords();
        }
        return size;
    }

    void joinWorkers(Owner &owner, int count)
    {
        for (int i = 0; i < count; ++i) {
            Wire::WorkerReport report;
            report.worker.id = "i-" + std::to_string(i);
            report.worker.born = 1;
            report.worker.serviceName = "desk";
            report.worker.cpuMilli = workerCpuMilli;
            report.worker.memoryMb = workerMemoryMb;
            report.worker.agentHost = report.worker.id;
            report.worker.agentPort = 1;
            report.epoch = epoch;
            report.listed = true;
            report.reachable = true;
            report.listing = 1;
            owner.scheduler.handleReport(report, true, m_now);
            if (const auto roster = owner.scheduler.takeChangedRoster()) {
                owner.scheduler.markRosterRecorded(*roster);
            }
        }
    }

    /// Starts all tasks that workers take. Returns their number.
    std::size_t startTasks(Owner &owner)
    {
        std::size_t total = 0;
        std::size_t started = 1;
        while (started > 0) {
            started = 0;
            for (const auto &[worker, orders] : owner.scheduler.plan(m_now, wallMs, true)) {
                Wire::WorkerOrdersReply reply;
                reply.starts.assign(orders.starts.size(), static_cast<int>(OrderResult::Done));
                reply.stops.assign(orders.stops.size(), static_cast<int>(OrderResult::Done));
                reply.listing = 1;
                owner.scheduler.handleOrderResults(orders, reply, m_now);
                started += orders.starts.size();
            }
            total += started;
        }
        return total;
    }

    SchedulerSettings m_settings;
    TimePoint m_now{seconds(1000)};
    std::int64_t m_before = allocatedBytes;
};

// While the store is slow, each submission of a crowd is kept several times over until it is recorded.
TEST_F(JobMemoryTest, submissionsWaitForTheStore_memoryStaysWithinTheLimit)
{
    Owner owner(m_settings);
    int taken = 0;
    for (int i = 0; i < crowd && owner.submit(smallJob(i), m_now) == SubmissionState::New; ++i) {
        ++taken;
        // The store has been asked, and has not answered.
        owner.records.take();
    }
    EXPECT_GT(taken, 0);
    EXPECT_LE(grownBytes(), limitBytes);
}

// Accepted jobs were kept without bound.
TEST_F(JobMemoryTest, smallJobsAreAccepted_memoryStaysWithinTheLimit)
{
    Owner owner(m_settings);
    EXPECT_GT(fill(owner, smallJob), 0);
    EXPECT_LE(grownBytes(), limitBytes);
}

// Tasks without demand all run at once, and a running task takes several times the memory of a waiting one.
TEST_F(JobMemoryTest, allTasksOfAcceptedJobsRun_memoryStaysWithinTheLimit)
{
    Owner owner(m_settings);
    const int jobs = fill(owner, wideJob, wideCrowd);
    ASSERT_GT(jobs, 0);
    joinWorkers(owner, workers);
    EXPECT_GE(startTasks(owner), static_cast<std::size_t>(jobs * tasksOfWideJob));
    EXPECT_LE(grownBytes(), limitBytes);
}

// Repeated jobs opened 100,000 due occurrences each.
TEST_F(JobMemoryTest, manyOccurrencesOfRepeatedJobsAreDue_memoryStaysWithinTheLimit)
{
    Owner owner(m_settings);
    for (int i = 0; i < 20; ++i) {
        auto spec = jobOf(idOf(i), {stepOf(1, 1)});
        spec.occurrences = 10'000;
        owner.submit(spec, m_now);
    }
    owner.confirmRecords();
    owner.scheduler.plan(m_now, wallMs, true);
    EXPECT_LE(grownBytes(), limitBytes);
}

// The occurrences that the memory has no room for must still run, one after the other.
TEST_F(JobMemoryTest, memoryIsUsedUp_repeatedJobStillOpensItsOccurrence)
{
    Owner owner(m_settings);
    auto repeated = jobOf(idOf(crowd), {stepOf(1, 1)});
    repeated.occurrences = 2;
    ASSERT_EQ(owner.submit(repeated, m_now), SubmissionState::New);
    fill(owner, smallJob);
    owner.scheduler.plan(m_now, wallMs, true);
    EXPECT_GE(owner.scheduler.job(repeated.id)->occurrences().size(), 1U);
}

// One small request for many occurrences that are all due kept every other caller out.
TEST_F(JobMemoryTest, repeatedJobsHaveManyDueOccurrences_otherJobsAreStillTaken)
{
    Owner owner(m_settings);
    for (int i = 0; i < 20; ++i) {
        auto spec = jobOf(idOf(i), {stepOf(1, 1)});
        spec.occurrences = 2000;
        ASSERT_EQ(owner.submit(spec, m_now), SubmissionState::New);
        owner.confirmRecords();
    }
    owner.scheduler.plan(m_now, wallMs, true);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(owner.submit(smallJob(crowd + i), m_now), SubmissionState::New);
        owner.confirmRecords();
    }
}

// Jobs that had ended kept their whole specification.
TEST_F(JobMemoryTest, jobsHaveEnded_theirSpecificationsAreNotKept)
{
    Owner owner(m_settings);
    constexpr int jobs = 500;
    for (int i = 0; i < jobs; ++i) {
        ASSERT_EQ(owner.submit(smallJob(i), m_now), SubmissionState::New);
        owner.confirmRecords();
        owner.cancel(idOf(i), m_now);
        owner.confirmRecords();
    }
    owner.scheduler.plan(m_now, wallMs, true);
    EXPECT_LT(grownBytes(), static_cast<std::int64_t>(jobs * specificationBytes));
}

// Ended jobs are kept for a while; a crowd that submits and cancels must not grow them without bound.
TEST_F(JobMemoryTest, crowdSubmitsAndCancels_memoryStaysWithinTheLimit)
{
    Owner owner(m_settings);
    int taken = 0;
    for (int i = 0; i < crowd && owner.submit(smallJob(i), m_now) == SubmissionState::New; ++i) {
        ++taken;
        owner.confirmRecords();
        owner.cancel(idOf(i), m_now);
        owner.confirmRecords();
        owner.scheduler.plan(m_now, wallMs, true);
    }
    EXPECT_GT(taken, 0);
    EXPECT_LE(grownBytes(), limitBytes);
}

// A written record's value stayed in memory, two more times.
TEST_F(JobMemoryTest, submissionIsRecorded_valueOfTheRecordIsNotKept)
{
    JobRecords records(1);
    constexpr int jobs = 100;
    for (int i = 0; i < jobs; ++i) {
        records.submit(smallJob(i));
    }
    CommitOutcome outcome;
    outcome.committed = true;
    outcome.revision = 1;
    while (const auto batch = records.take()) {
        records.applyOutcome(*batch, outcome);
    }
    EXPECT_LT(grownBytes(), static_cast<std::int64_t>(jobs * specificationBytes));
}

// Each cancel of an id that nobody has submitted left a record for 150 s.
TEST_F(JobMemoryTest, crowdCancelsUnknownJobs_memoryStaysWithinTheLimit)
{
    Owner owner(m_settings);
    int taken = 0;
    for (int i = 0; i < crowd && owner.scheduler.mayCancel(idOf(i)); ++i) {
        owner.cancel(idOf(i), m_now);
        ++taken;
    }
    EXPECT_GT(taken, 0);
    EXPECT_LE(grownBytes(), limitBytes);
    // Those that were taken hold, and known jobs can still be submitted and cancelled.
    EXPECT_EQ(owner.submit(smallJob(0), m_now), SubmissionState::CancelledBefore);
    EXPECT_TRUE(owner.scheduler.mayCancel(idOf(0)));
    ASSERT_EQ(owner.submit(smallJob(crowd), m_now), SubmissionState::New);
    EXPECT_TRUE(owner.scheduler.mayCancel(idOf(crowd)));
}

// The next owner ran out of memory when it loaded what this one had accepted.
TEST_F(JobMemoryTest, nextOwnerLoadsAllAcceptedJobs_memoryStaysWithinTheLimit)
{
    std::vector<std::string> specs;
    {
        Owner owner(m_settings);
        for (int i = 0; i < crowd && owner.submit(smallJob(i), m_now) == SubmissionState::New; ++i) {
            specs.push_back(Wire::encode(smallJob(i)));
        }
    }
    const auto before = allocatedBytes;
    Owner next(m_settings);
    for (const auto &it : specs) {
        next.scheduler.restoreJob(*Wire::decode<Wire::JobSpec>(it), std::nullopt, m_now, wallMs);
    }
    next.scheduler.plan(m_now, wallMs, true);
    EXPECT_LE(allocatedBytes - before, limitBytes);
    EXPECT_EQ(next.scheduler.activeJobs(), specs.size());
}

// What the earlier owner has accepted counts for the next one, too.
TEST_F(JobMemoryTest, nextOwnerHasLoadedAFullMemory_newSubmissionIsRefused)
{
    Owner next(m_settings);
    for (int i = 0; i < crowd; ++i) {
        next.scheduler.restoreJob(smallJob(i), std::nullopt, m_now, wallMs);
    }
    EXPECT_EQ(next.submit(smallJob(crowd), m_now), SubmissionState::NoMemory);
    EXPECT_FALSE(next.scheduler.knows(idOf(crowd)));
}

// A refusal must only meet new jobs: one that is recorded, or may be, runs.
TEST_F(JobMemoryTest, memoryIsUsedUp_repetitionOfAKnownJobIsNotRefused)
{
    Owner owner(m_settings);
    const int jobs = fill(owner, smallJob);
    ASSERT_LT(jobs, crowd) << "nothing was refused";
    EXPECT_EQ(owner.submit(smallJob(0), m_now), SubmissionState::Known);
    EXPECT_FALSE(owner.scheduler.knows(idOf(jobs)));
    EXPECT_TRUE(owner.scheduler.mayCancel(idOf(0)));
}

// A refusal must end once there is room again.
TEST_F(JobMemoryTest, jobsAreForgotten_newSubmissionsAreTakenAgain)
{
    Owner owner(m_settings);
    const int jobs = fill(owner, smallJob);
    ASSERT_LT(jobs, crowd) << "nothing was refused";
    for (int i = 0; i < jobs; ++i) {
        owner.cancel(idOf(i), m_now);
        owner.confirmRecords();
        owner.scheduler.removeJob(idOf(i));
    }
    EXPECT_EQ(fill(owner, smallJob), jobs);
}

// The same for submissions that the store did not take.
TEST_F(JobMemoryTest, submissionsAreWithdrawn_newSubmissionsAreTakenAgain)
{
    Owner owner(m_settings);
    int taken = 0;
    for (int i = 0; i < 3 * crowd; ++i) {
        if (owner.scheduler.submit(smallJob(i), m_now) == SubmissionState::New) {
            ++taken;
            owner.scheduler.withdraw(idOf(i));
        }
    }
    EXPECT_EQ(taken, 3 * crowd);
}

// Callers inside the users' limits must not meet the limit: twice the jobs of 300 machines over 150 s.
TEST_F(JobMemoryTest, ordinaryLoadOfALargeSite_nothingIsRefused)
{
    Owner owner(SchedulerSettings{});
    constexpr int endedJobs = 22'000;
    constexpr int activeJobs = 4'000;
    for (int i = 0; i < endedJobs + activeJobs; ++i) {
        auto spec = jobOf(idOf(i), {stepOf(6, 1), stepOf(8, 1)});
        spec.payload.assign(200, 'x');
        ASSERT_EQ(owner.submit(spec, m_now), SubmissionState::New) << i;
        owner.confirmRecords();
        if (i < endedJobs) {
            owner.cancel(idOf(i), m_now);
            owner.confirmRecords();
            owner.scheduler.plan(m_now, wallMs, true);
        }
    }
}

// The largest job that a caller may submit is served in calm.
TEST_F(JobMemoryTest, largestJob_isTaken)
{
    Owner owner(SchedulerSettings{});
    auto spec = jobOf(idOf(0), {stepOf(static_cast<int>(maxTasksOfJob), 1)});
    spec.occurrences = 100'000;
    spec.payload.assign(specificationBytes, 'x');
    EXPECT_EQ(owner.submit(spec, m_now), SubmissionState::New);
}

} // namespace Trefoilhoist::Jobs
