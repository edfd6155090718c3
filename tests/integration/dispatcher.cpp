// Dispatchers that share a store, and what they answer to callers over real connections.
#include "programs/dispatcher/dispatcher.h"

#include "harness/process.h"
#include "harness/processstore.h"
#include "platform/callers.h"
#include "trefoilhoist/jobs/recordkeys.h"
#include "trefoilhoist/net/httpclient.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Dispatcher {

namespace {

constexpr Duration longEnough = seconds(5);
/// Less than a slow store takes for a write.
constexpr Duration impatience = milliseconds(60);
constexpr Duration slowWrite = milliseconds(300);
/// After this time everything that was sent has been handled.
constexpr Duration settleTime = milliseconds(500);
constexpr const char *job = "c0ffee0000000000";
constexpr const char *configuration = R"({"version":1,"routes":[{"name":"quotes","host":"127.0.0.1",
    "prefix":"/quotes/","service":"desk","priority":0,"maxAttempts":3,"stretch":2,"targetLatencyMs":250}]})";
constexpr const char *oneTask
    = R"({"specification":"work","steps":[{"count":1,"cpu":100,"memoryRequestMb":10,"estimatedMs":10}]})";

/// A dispatcher and its connection to the store.
struct Process {
    ProcessStore *store = nullptr;
    Endpoint callers;
    std::unique_ptr<DispatcherServer> server;
};

/// What a caller learned; the status is 0 if it left before the answer.
struct Answer {
    int status = 0;
    std::string body;
    std::string retryAfter;

    [[nodiscard]] bool cancelAcknowledged() const
    {
        return status == 200 || status == 410;
    }
    [[nodiscard]] bool showsState(const std::string &state) const
    {
        return status == 200 && body == R"({"state":")" + state + R"("})";
    }
};

} // namespace

class DispatcherTest : public testing::Test
{
protected:
    explicit DispatcherTest(Jobs::SchedulerSettings scheduler = {}) : m_scheduler(scheduler)
    {
        RecordCommit commit;
        commit.writes.push_back({"op/config", configuration, 0});
        await([&]() -> awaitable<void> { co_await m_records.commit(commit); });
        m_owner = &startDispatcher("a");
        EXPECT_TRUE(runUntil([&] { return submit(*m_owner, "0000000000000000").status == 200; }));
    }

    bool runUntil(const std::function<bool()> &condition, Duration limit = longEnough)
    {
        auto &context = static_cast<Asio::io_context &>(Asio::query(m_runtime.executor(), Asio::execution::context));
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(milliseconds(5));
        }
        return condition();
    }

    void runFor(Duration time)
    {
        runUntil([] { return false; }, time);
    }

    /// Runs a coroutine to its end.
    void await(const std::function<awaitable<void>()> &body)
    {
        bool done = false;
        spawnOn(m_runtime.executor(), "test", [&]() -> awaitable<void> {
            co_await body();
            done = true;
        });
        ASSERT_TRUE(runUntil([&] { return done; }));
    }

    Process &startDispatcher(const std::string &name, bool hidesPeers = false)
    {
        auto &process = *m_processes.emplace_back(std::make_unique<Process>());
        auto store = std::make_unique<ProcessStore>(m_records);
        store->hidesPeers = hidesPeers;
        process.store = store.get();
        Adapters adapters;
        adapters.store = std::move(store);
        adapters.callers = std::make_unique<Platform::Callers>();
        adapters.configuration = std::make_unique<Platform::Configuration>();
        DispatcherSettings settings;
        settings.name = name;
        settings.callers = {"127.0.0.1", Testing::unusedPort()};
        settings.readiness = {"127.0.0.1", Testing::unusedPort()};
        settings.peers = {"127.0.0.1", Testing::unusedPort()};
        settings.election.campaignDelay = milliseconds(5);
        settings.scheduler = m_scheduler;
        process.callers = settings.callers;
        process.server = std::make_unique<DispatcherServer>(m_runtime, settings, std::move(adapters));
        EXPECT_FALSE(process.server->start().has_value());
        return process;
    }

    /// Sends a request, which states `deadline`, and waits for its answer for `patience`.
    Answer call(const Process &process,
                const std::string &method,
                const std::string &id,
                Duration patience,
                Duration deadline = longEnough)
    {
        HttpRequest request;
        request.method = method;
        request.target = "/quotes/" + id;
        request.headers.set("X-Deadline-Milliseconds", std::to_string(duration_cast<milliseconds>(deadline).count()));
        request.body = method == "POST" ? oneTask : "";
        HttpCallOptions options;
        options.timeout = patience;
        Answer result;
        await([&]() -> awaitable<void> {
            const auto answer = co_await m_client.call(process.callers, request, options);
            if (answer) {
                result = {answer->status, answer->body, std::string(answer->headers.get("Retry-After"))};
            }
        });
        return result;
    }

    Answer submit(const Process &process,
                  const std::string &id,
                  Duration patience = longEnough,
                  Duration deadline = longEnough)
    {
        return call(process, "POST", id, patience, deadline);
    }
    Answer cancel(const Process &process, const std::string &id, Duration patience = longEnough)
    {
        return call(process, "DELETE", id, patience);
    }
    Answer query(const Process &process, const std::string &id, Duration patience = longEnough)
    {
        return call(process, "GET", id, patience);
    }

    /// The job's state once a dispatcher gives one, or says that there is no such job.
    Answer finalQuery(const Process &process, const std::string &id)
    {
        Answer answer;
        EXPECT_TRUE(runUntil([&] {
            answer = query(process, id);
            return answer.status == 200 || answer.status == 410;
        }));
        return answer;
    }

    /// True if the job may be run, as far as callers see.
    bool mayRun(const Process &process, const std::string &id)
    {
        runFor(settleTime);
        const auto answer = finalQuery(process, id);
        return answer.status == 200 && !answer.showsState("cancelled");
    }

    /// Lets another dispatcher take over while the owner learns nothing of it.
    Process &replaceOwner()
    {
        auto &next = startDispatcher("b", true);
        runFor(settleTime);
        m_owner->store->stallsRenewals = true;
        m_records.endLeases();
        EXPECT_TRUE(runUntil([&] { return submit(next, "0000000000000001").status == 200; }));
        return next;
    }

    Jobs::SchedulerSettings m_scheduler;
    Runtime m_runtime{"dispatcher", "", "{}", nlohmann::json::object(), 1};
    HttpClient m_client{m_runtime.executor()};
    MemoryRecordStore m_records;
    std::vector<std::unique_ptr<Process>> m_processes;
    Process *m_owner = nullptr;
};

// A cancel was answered "no such job" while the slow store confirmed the submission; the job then ran to its end.
TEST_F(DispatcherTest, callerLeavesSlowSubmission_cancel_jobNeverRuns)
{
    m_owner->store->jobWriteDelay = slowWrite;
    ASSERT_EQ(submit(*m_owner, job, impatience).status, 0);
    EXPECT_TRUE(cancel(*m_owner, job).cancelAcknowledged());
    EXPECT_FALSE(mayRun(*m_owner, job));
}

TEST_F(DispatcherTest, submissionAnsweredBeforeItIsRecorded_cancel_jobNeverRuns)
{
    m_owner->store->jobWriteDelay = slowWrite;
    ASSERT_EQ(submit(*m_owner, job, longEnough, impatience).status, 504);
    EXPECT_TRUE(cancel(*m_owner, job).cancelAcknowledged());
    EXPECT_FALSE(mayRun(*m_owner, job));
}

// The same after the store lost the submission's answer, and executed it seconds later.
TEST_F(DispatcherTest, submissionIsExecutedLate_cancel_jobNeverRuns)
{
    m_owner->store->withholdsJobWrites = true;
    ASSERT_EQ(submit(*m_owner, job, impatience).status, 0);
    ASSERT_TRUE(m_owner->store->hasWithheldJobWrite());
    const bool acknowledged = cancel(*m_owner, job, impatience).cancelAcknowledged();
    EXPECT_FALSE(acknowledged) << "the store has not confirmed anything";
    await([&] { return m_owner->store->executeWithheldJobWrite(); });
    EXPECT_FALSE(mayRun(*m_owner, job));
}

// The submission of the cancelled job was accepted when it arrived by another dispatcher, or was sent again.
TEST_F(DispatcherTest, submissionArrivesAfterItsCancel_jobNeverRuns)
{
    auto &other = startDispatcher("b");
    ASSERT_EQ(cancel(*m_owner, job).status, 410);
    EXPECT_EQ(submit(other, job).status, 503);
    EXPECT_EQ(submit(*m_owner, job).status, 503);
    EXPECT_EQ(finalQuery(other, job).status, 410) << "nobody has handed in this job";
    EXPECT_FALSE(mayRun(*m_owner, job));
}

// The next owner knew nothing of a cancel that had come before the submission.
TEST_F(DispatcherTest, submissionArrivesAfterItsCancel_ownerReplaced_jobNeverRuns)
{
    ASSERT_EQ(cancel(*m_owner, job).status, 410);
    auto &next = replaceOwner();
    EXPECT_EQ(submit(next, job).status, 503);
    EXPECT_FALSE(mayRun(next, job));
}

// A cancelled submission was lost with the owner that had acknowledged the cancel, and accepted by the next one.
TEST_F(DispatcherTest, callerLeavesSlowSubmission_cancel_ownerReplaced_jobNeverRuns)
{
    m_owner->store->jobWriteDelay = slowWrite;
    ASSERT_EQ(submit(*m_owner, job, impatience).status, 0);
    ASSERT_TRUE(cancel(*m_owner, job).cancelAcknowledged());
    auto &next = replaceOwner();
    submit(next, job);
    EXPECT_FALSE(mayRun(next, job));
}

// A query was answered "no such job" during the recording of a submission that was accepted.
TEST_F(DispatcherTest, callerLeavesSlowSubmission_query_isNotToldThatTheJobIsUnknown)
{
    m_owner->store->jobWriteDelay = slowWrite;
    ASSERT_EQ(submit(*m_owner, job, impatience).status, 0);
    EXPECT_TRUE(query(*m_owner, job).showsState("queued"));
}

TEST_F(DispatcherTest, submissionWithoutAnswer_query_isNotToldThatTheJobIsUnknown)
{
    m_owner->store->withholdsJobWrites = true;
    ASSERT_EQ(submit(*m_owner, job, impatience).status, 0);
    EXPECT_NE(query(*m_owner, job, slowWrite).status, 410);
    await([&] { return m_owner->store->executeWithheldJobWrite(); });
    EXPECT_TRUE(finalQuery(*m_owner, job).showsState("queued"));
}

// The query would otherwise wait for a submission that is not recorded any more.
TEST_F(DispatcherTest, submissionIsRefusedWhileItsQueryWaits_queryIsAnsweredUnknownAtOnce)
{
    m_owner->store->jobWriteDelay = slowWrite;
    m_owner->store->refusesJobWrites = true;
    ASSERT_EQ(submit(*m_owner, job, impatience).status, 0);
    EXPECT_EQ(query(*m_owner, job, seconds(1)).status, 410);
}

// An owner that had been replaced told callers of the next owner's jobs that there were none.
TEST_F(DispatcherTest, ownerReplacedUnawares_query_isNotToldThatTheJobIsUnknown)
{
    auto &next = replaceOwner();
    ASSERT_EQ(submit(next, job).status, 200);
    EXPECT_NE(query(*m_owner, job).status, 410);
}

// An owner that had been replaced acknowledged the cancel of a job that the next owner went on to run.
TEST_F(DispatcherTest, ownerReplacedUnawares_cancel_isAcknowledgedOnlyIfTheJobNeverRuns)
{
    auto &next = replaceOwner();
    ASSERT_EQ(submit(next, job).status, 200);
    const bool acknowledged = cancel(*m_owner, job).cancelAcknowledged();
    EXPECT_FALSE(acknowledged && mayRun(next, job));
}

TEST_F(DispatcherTest, unknownJob_query_isAnsweredUnknown)
{
    EXPECT_EQ(query(*m_owner, job).status, 410);
}

/// A dispatcher whose memory for jobs a small crowd uses up.
class CrowdedDispatcherTest : public DispatcherTest
{
protected:
    CrowdedDispatcherTest() : DispatcherTest(crowdedSettings()) { }

    static Jobs::SchedulerSettings crowdedSettings()
    {
        Jobs::SchedulerSettings settings;
        settings.jobMemoryBytes = 100'000;
        return settings;
    }

    static std::string crowdId(int number)
    {
        auto digits = std::to_string(number);
        return "c" + std::string(15 - digits.size(), '0') + digits;
    }

    /// Sends requests for new ids until one is refused, and returns its id; empty if none is refused.
    std::string fill(const std::string &method, int status)
    {
        constexpr int crowd = 300;
        for (int i = 0; i < crowd; ++i) {
            auto id = crowdId(i);
            const auto answer = call(*m_owner, method, id, longEnough);
            if (answer.status == 503) {
                EXPECT_FALSE(answer.retryAfter.empty());
                return id;
            }
            EXPECT_EQ(answer.status, status);
        }
        return "";
    }
};

// A crowd that went on submitting took the memory of the owner, and of each next one.
TEST_F(CrowdedDispatcherTest, memoryForJobsIsUsedUp_newJobIsRefusedAndNeverRuns)
{
    const auto refused = fill("POST", 200);
    ASSERT_FALSE(refused.empty()) << "nothing was refused";
    EXPECT_EQ(query(*m_owner, refused).status, 410);
    // What is known is still answered for.
    EXPECT_EQ(submit(*m_owner, crowdId(0)).status, 200);
    EXPECT_TRUE(query(*m_owner, crowdId(0)).showsState("queued"));
    EXPECT_EQ(cancel(*m_owner, crowdId(0)).status, 200);
    EXPECT_FALSE(mayRun(*m_owner, refused));
}

// The next owner must load what this one has accepted, and refuse on.
TEST_F(CrowdedDispatcherTest, memoryForJobsIsUsedUp_ownerReplaced_jobsAreKnownAndNewOnesRefused)
{
    const auto refused = fill("POST", 200);
    ASSERT_FALSE(refused.empty()) << "nothing was refused";
    auto &next = startDispatcher("b", true);
    runFor(settleTime);
    m_owner->store->stallsRenewals = true;
    m_records.endLeases();
    EXPECT_TRUE(runUntil([&] { return query(next, crowdId(0)).showsState("queued"); }));
    EXPECT_EQ(submit(next, refused).status, 503);
}

// Each cancel of an unknown job left a record in the memory and in the store.
TEST_F(CrowdedDispatcherTest, crowdCancelsUnknownJobs_laterCancelsAreRefusedAndOthersAnswered)
{
    ASSERT_EQ(submit(*m_owner, job).status, 200);
    ASSERT_FALSE(fill("DELETE", 410).empty()) << "nothing was refused";
    EXPECT_EQ(submit(*m_owner, crowdId(0)).status, 503) << "it was cancelled before";
    EXPECT_EQ(cancel(*m_owner, crowdId(0)).status, 410);
    EXPECT_EQ(submit(*m_owner, "c0ffee0000000001").status, 200);
    EXPECT_EQ(cancel(*m_owner, job).status, 200);
}

// What can't be a job's id must not get into a record's key.
TEST_F(DispatcherTest, cancelOfWhatIsNoId_isAnsweredUnknownAndRecordsNothing)
{
    for (const std::string odd : {"", "x", "c0ffee000000000g", "c0ffee0000000000/spec"}) {
        EXPECT_EQ(cancel(*m_owner, odd).status, 410) << odd;
    }
    await([&]() -> awaitable<void> {
        const auto page = co_await m_records.list(Jobs::jobPrefix, "");
        EXPECT_EQ(page->records.size(), 1U) << "the job of the fixture alone";
    });
    EXPECT_EQ(submit(*m_owner, job).status, 200);
}

} // namespace Trefoilhoist::Dispatcher
