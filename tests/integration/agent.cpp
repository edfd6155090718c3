// The agent's process between a minion and the owners of the scheduling, over real connections.
#include "programs/agent/agent.h"

#include "harness/memoryrecordstore.h"
#include "harness/process.h"
#include "trefoilhoist/jobs/recordkeys.h"
#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/wire/message.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <thread>

namespace Trefoilhoist::Agent {

namespace {

constexpr std::int32_t fullCpuMilli = 10'000;
constexpr std::int32_t shrunkenCpuMilli = 3'000;
constexpr std::int64_t firstBorn = 1000;
/// Time between the starts of two incarnations of the minion.
constexpr std::int64_t incarnationGapMs = 3000;
/// One call may be on its way when the minion restarts.
constexpr std::size_t callsToMeetRestart = 3;
/// The agent reports several times during so many calls that meet another incarnation.
constexpr std::size_t callsDuringReports = 15;
/// 2100-01-01 in Unix milliseconds.
constexpr std::int64_t lateBorn = 4'102'444'800'000;
/// Less than the time between two reports that nothing hastens.
constexpr Duration promptly = milliseconds(250);
/// How long the agent takes rows that it can't read for possible runs of the owner.
constexpr Duration rowsPatience = milliseconds(600);
/// How long the agent extends the hold of a minion that doesn't answer.
constexpr Duration maxSilence = milliseconds(400);
constexpr Duration longEnough = seconds(5);

/// What the agent sends with a listing call.
struct ListingCall {
    std::int64_t fencingToken = 0;
    std::int64_t acknowledgedEnds = 0;
    std::int64_t holdUntilMs = 0;
};

/// A minion whose listing and presence tests set.
struct FakeMinion {
    bool refusesConnections = false;
    /// Calls get no answer.
    bool silent = false;
    /// The minion's clock stands still, as on a host that was suspended.
    bool clockStands = false;
    /// Until when the minion keeps its runs, by its clock: the latest time in a call that reached it.
    std::int64_t heldUntilMs = 0;
    Jobs::MinionListing listing;
    std::vector<int> throttles;
    std::vector<ListingCall> listingCalls;
    int starts = 0;
    int stops = 0;
    /// A run that is stopped is listed as ended.
    bool endsStoppedRuns = false;
    /// The time for which the host was suspended, which the minion's clock doesn't count.
    std::chrono::milliseconds suspended{0};
    const std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();

    void end(const Wire::TaskRef &task, std::int64_t run, Jobs::EndKind how)
    {
        std::erase_if(listing.running, [&](const auto &it) { return it.task == task && it.run == run; });
        Wire::EndedTask row;
        row.number = static_cast<std::int64_t>(listing.ended.size()) + 1;
        row.task = task;
        row.run = run;
        row.how = static_cast<int>(how);
        listing.ended.push_back(row);
    }

    [[nodiscard]] std::int64_t clockMs() const
    {
        const auto age = std::chrono::steady_clock::now() - startedAt - suspended;
        return 1 + std::chrono::duration_cast<milliseconds>(age).count();
    }
};

class FakeMinionInterface : public Jobs::MinionInterface
{
public:
    explicit FakeMinionInterface(FakeMinion &minion) : m_minion(minion) { }

    awaitable<tl::expected<Jobs::MinionListing, Jobs::MinionError>>
    list(Jobs::MinionTarget target, std::int64_t acknowledgedEnds, std::int64_t holdUntilMs, Duration wait) override
    {
        m_minion.listingCalls.push_back({target.fencingToken, acknowledgedEnds, holdUntilMs});
        co_await sleepFor(std::min(wait, Duration(milliseconds(20))));
        if (m_minion.refusesConnections) {
            co_return tl::unexpected(Jobs::MinionError{"connection refused", true});
        }
        m_minion.heldUntilMs = std::max(m_minion.heldUntilMs, holdUntilMs);
        if (m_minion.silent) {
            co_return tl::unexpected(Jobs::MinionError{"no answer", false});
        }
        if (!m_minion.clockStands) {
            m_minion.listing.clockMs = m_minion.clockMs();
        }
        co_return m_minion.listing;
    }
    awaitable<Jobs::OrderAnswer> start(Jobs::MinionTarget, Wire::StartOrder, std::int64_t) override
    {
        ++m_minion.starts;
        co_return Jobs::OrderAnswer{Jobs::OrderResult::Done, 0, {}};
    }
    awaitable<Jobs::OrderAnswer> stop(Jobs::MinionTarget, Wire::StopOrder order) override
    {
        ++m_minion.stops;
        if (m_minion.endsStoppedRuns) {
            m_minion.end(order.task, order.run, Jobs::EndKind::Stopped);
        }
        co_return Jobs::OrderAnswer{Jobs::OrderResult::Done, 0, {}};
    }
    awaitable<bool> throttle(Jobs::MinionTarget, Wire::TaskRef, std::int64_t, int percent) override
    {
        m_minion.throttles.push_back(percent);
        co_return true;
    }

private:
    FakeMinion &m_minion;
};

} // namespace

/// An agent, its minion and an owner in one process.
class AgentTest : public testing::Test
{
protected:
    AgentTest()
        : m_owner(
            m_runtime.executor(), "owner", 1, [this](Wire::Envelope envelope) { return answer(std::move(envelope)); })
    {
        m_heartbeat.worker.id = "minion";
        m_heartbeat.worker.born = firstBorn;
        m_heartbeat.worker.cpuMilli = fullCpuMilli;
        m_minion.listing.startedAtMs = firstBorn;
        m_ownerPort = m_owner.listen({"127.0.0.1", 0}).value();
        startAgent();
    }

    /// Lets everything run until the condition holds; false if it doesn't in time.
    bool runUntil(const std::function<bool()> &condition, Duration limit = longEnough)
    {
        auto &context = static_cast<Asio::io_context &>(Asio::query(m_runtime.executor(), Asio::execution::context));
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_for(milliseconds(5));
        }
        return condition();
    }

    void recordOwner(std::int64_t epoch)
    {
        m_epoch = epoch;
        recordOwner(epoch, m_ownerPort);
    }

    void recordOwner(std::int64_t epoch, std::int32_t port)
    {
        Wire::OwnerRecord owner;
        owner.epoch = epoch;
        owner.host = "127.0.0.1";
        owner.port = port;
        RecordCommit commit;
        commit.writes.push_back({Jobs::ownerRecordKey, Wire::encode(owner), 0});
        bool done = false;
        spawnOn(m_runtime.executor(), "record", [&]() -> awaitable<void> {
            co_await m_store->commit(commit);
            done = true;
        });
        ASSERT_TRUE(runUntil([&] { return done; }));
    }

    void sendHeartbeat()
    {
        ++m_heartbeat.sequence;
        bool done = false;
        spawnOn(m_runtime.executor(), "heartbeat", [&]() -> awaitable<void> {
            HttpRequest request;
            request.method = "POST";
            request.target = "/";
            // This compiler destroys temporary arguments of an awaited call twice.
            HttpCallOptions options;
            co_await m_client.call(m_heartbeatEndpoint, std::move(request), std::move(options));
            done = true;
        });
        ASSERT_TRUE(runUntil([&] { return done; }));
    }

    void addRun(const std::string &job, std::int64_t usage)
    {
        Wire::RunningTask row;
        row.task = Jobs::taskRef(job, 0, 0, 0);
        row.run = 1;
        row.percent = 100;
        row.usage = usage;
        m_minion.listing.running.push_back(row);
    }

    void describeRun(const std::string &job, std::int64_t tailTargetMs)
    {
        Wire::RunInfo info;
        info.task = Jobs::taskRef(job, 0, 0, 0);
        info.run = 1;
        info.image = job;
        info.tailTargetMs = tailTargetMs;
        info.usesIdleCpu = tailTargetMs == 0;
        info.cpuMilli = 1500;
        m_reply.runs.push_back(info);
    }

    /// The minion is listed by the agent and known to the owner.
    void join()
    {
        recordOwner(1);
        sendHeartbeat();
        ASSERT_TRUE(runUntil([&] { return m_lastReport.listed && !m_lastReport.running.empty(); }));
    }

    /// Suspends the host: agent and minion stand still, and the minion's clock doesn't count the time.
    void suspendHost(std::chrono::milliseconds time)
    {
        std::this_thread::sleep_for(time);
        m_minion.suspended += time;
    }

    void stopAgent()
    {
        bool stopped = false;
        spawnOn(m_runtime.executor(), "stop", [&]() -> awaitable<void> {
            co_await m_agent->stop();
            stopped = true;
        });
        ASSERT_TRUE(runUntil([&] { return stopped; }));
    }

    void addEnd(std::int64_t number)
    {
        Wire::EndedTask end;
        end.number = number;
        end.task = Jobs::taskRef("b", 0, 0, static_cast<std::size_t>(number));
        end.run = 1;
        m_minion.listing.ended.push_back(end);
    }

    /// The minion restarts under its id, but has not sent a heartbeat yet. It counts its ended tasks anew.
    void restartMinion()
    {
        m_minion.listing = {};
        m_minion.listing.startedAtMs = firstBorn + incarnationGapMs;
        Wire::EndedTask end;
        end.number = 1;
        end.task = Jobs::taskRef("b", 0, 0, 0);
        end.run = 1;
        m_minion.listing.ended.push_back(end);
    }

    /// The restarted minion sends its first heartbeat.
    void announceMinion()
    {
        m_heartbeat.worker.born = firstBorn + incarnationGapMs;
        m_heartbeat.sequence = 0;
        sendHeartbeat();
    }

    /// Lets the agent call the minion `count` times more; returns these calls.
    std::vector<ListingCall> nextListingCalls(std::size_t count)
    {
        const auto before = m_minion.listingCalls.size();
        EXPECT_TRUE(runUntil([&] { return m_minion.listingCalls.size() >= before + count; }));
        return {m_minion.listingCalls.begin() + static_cast<std::ptrdiff_t>(before), m_minion.listingCalls.end()};
    }

    /// Sends the agent a start order for the incarnation that it reported last; returns the result.
    Jobs::OrderResult orderStart()
    {
        Wire::WorkerOrders orders;
        orders.epoch = m_epoch;
        orders.worker = m_lastReport.worker.id;
        orders.born = m_lastReport.worker.born;
        orders.leaseTerm = 1;
        orders.afterReport = m_lastReport.number;
        Wire::StartOrder start;
        start.task = Jobs::taskRef("b", 0, 0, 0);
        start.run = 1;
        orders.starts.push_back(start);
        std::optional<Wire::WorkerOrdersReply> reply;
        PeerClient client(m_runtime.executor(), "owner", 1, m_orderEndpoint);
        spawnOn(m_runtime.executor(), "order", [&]() -> awaitable<void> {
            const auto answer
                = co_await client.call(Wire::MessageKind::WorkerOrdersKind, Wire::encode(orders), longEnough);
            reply = Wire::decode<Wire::WorkerOrdersReply>(answer.value().payload);
        });
        EXPECT_TRUE(runUntil([&] { return reply.has_value(); }));
        return static_cast<Jobs::OrderResult>(reply.value().starts.at(0));
    }

    Runtime m_runtime{"agent", "", "{}", nlohmann::json::object(), 1};
    FakeMinion m_minion;
    Jobs::MinionHeartbeat m_heartbeat;
    /// If it is set, the minion's next message says that the incarnation with this start time leaves.
    std::int64_t m_departedBornMs = 0;
    HttpClient m_client{m_runtime.executor()};
    Endpoint m_heartbeatEndpoint;
    Endpoint m_orderEndpoint;
    PeerServer m_owner;
    std::uint16_t m_ownerPort = 0;
    std::int64_t m_epoch = 1;
    Wire::WorkerReport m_lastReport;
    /// What the owner answers, besides epoch and lease.
    Wire::WorkerReportReply m_reply;
    std::int64_t m_leaseMs = 6000;
    /// Rises when the owner gives up what the minion runs.
    std::int64_t m_leaseTerm = 1;
    /// The owner has recorded one more end at each report.
    bool m_recordsMoreEnds = false;
    RecordStore *m_store = nullptr;
    std::unique_ptr<AgentServer> m_agent;

private:
    void startAgent()
    {
        auto store = std::make_unique<MemoryRecordStore>();
        m_store = store.get();
        Adapters adapters;
        adapters.store = std::move(store);
        adapters.minion = std::make_unique<FakeMinionInterface>(m_minion);
        adapters.parseNotice = [this](const HttpRequest &) {
            MinionNotice notice;
            if (m_departedBornMs != 0) {
                notice.departedId = m_heartbeat.worker.id;
                notice.departedBornMs = m_departedBornMs;
                return notice;
            }
            notice.heartbeat = m_heartbeat;
            return notice;
        };
        AgentSettings settings;
        settings.name = "agent";
        settings.heartbeats = {"127.0.0.1", Testing::unusedPort()};
        settings.peers = {"127.0.0.1", Testing::unusedPort()};
        settings.hold.longest = seconds(1);
        settings.unreadableRowsPatience = rowsPatience;
        settings.maxMinionSilence = maxSilence;
        m_heartbeatEndpoint = settings.heartbeats;
        m_orderEndpoint = settings.peers;
        m_agent = std::make_unique<AgentServer>(m_runtime, settings, std::move(adapters));
        ASSERT_FALSE(m_agent->start().has_value());
    }

    awaitable<std::optional<Wire::Envelope>> answer(Wire::Envelope envelope)
    {
        m_lastReport = Wire::decode<Wire::WorkerReport>(envelope.payload).value();
        m_reply.recordedEnds += m_recordsMoreEnds ? 1 : 0;
        auto reply = m_reply;
        reply.epoch = m_epoch;
        reply.leaseMs = m_leaseMs;
        reply.leaseTerm = m_leaseTerm;
        Wire::Envelope result;
        result.kind = envelope.kind;
        result.payload = Wire::encode(reply);
        co_return result;
    }
};

// Only the agent knows what ran on a minion that crashed while the owner was replaced.
TEST_F(AgentTest, minionCrashes_ownerReplacedBeforeTheRecord_nextOwnerHearsOfItToo)
{
    addRun("a", 1000);
    join();
    m_minion.refusesConnections = true;
    ASSERT_TRUE(runUntil([&] { return !m_lastReport.crashes.empty(); }));
    recordOwner(2);
    m_lastReport = {};
    ASSERT_TRUE(runUntil([&] { return m_lastReport.epoch == 2 && !m_lastReport.crashes.empty(); }));
    const auto &crash = m_lastReport.crashes.front();
    EXPECT_EQ(crash.born, firstBorn);
    ASSERT_EQ(crash.runs.size(), 1U);
    EXPECT_EQ(crash.runs.front().task.job, "a");
    m_reply.recordedCrashes = {firstBorn};
    EXPECT_TRUE(runUntil([&] { return m_lastReport.crashes.empty(); }));
}

TEST_F(AgentTest, otherIncarnationReports_earlierOneCountsAsCrashed)
{
    addRun("a", 1000);
    join();
    m_heartbeat.worker.born = firstBorn + 1;
    m_heartbeat.sequence = 0;
    m_minion.listing = {};
    m_minion.listing.startedAtMs = firstBorn + 1;
    sendHeartbeat();
    ASSERT_TRUE(runUntil([&] { return m_lastReport.worker.born == firstBorn + 1; }));
    ASSERT_EQ(m_lastReport.crashes.size(), 1U);
    EXPECT_EQ(m_lastReport.crashes.front().born, firstBorn);
}

TEST_F(AgentTest, drainingMinionEnds_isNoCrash)
{
    addRun("a", 1000);
    join();
    m_heartbeat.draining = true;
    sendHeartbeat();
    m_minion.refusesConnections = true;
    ASSERT_TRUE(runUntil([&] { return m_lastReport.gone; }));
    EXPECT_TRUE(m_lastReport.crashes.empty());
}

// The owner must not start anything on the strength of a capacity that is no longer there.
TEST_F(AgentTest, capacityShrinks_isReportedAtOnce)
{
    addRun("a", 1000);
    join();
    m_heartbeat.worker.cpuMilli = shrunkenCpuMilli;
    sendHeartbeat();
    EXPECT_TRUE(runUntil([&] { return m_lastReport.worker.cpuMilli == shrunkenCpuMilli; }, promptly));
}

// The throttling read the capacity once an incarnation, so that it took a best-effort task's share for smaller than it
// was.
TEST_F(AgentTest, capacityShrinks_bestEffortTaskBesideAServingOne_isThrottled)
{
    addRun("serving", 30);
    addRun("filling", 1500);
    describeRun("serving", 50);
    describeRun("filling", 0);
    Wire::ImagePair pair;
    pair.servingImage = "serving";
    pair.fillingImage = "filling";
    pair.effect = 8;
    m_reply.pairs = {pair};
    join();
    EXPECT_FALSE(runUntil([&] { return !m_minion.throttles.empty(); }, seconds(2)));
    m_heartbeat.worker.cpuMilli = shrunkenCpuMilli;
    sendHeartbeat();
    EXPECT_TRUE(runUntil([&] { return !m_minion.throttles.empty(); }));
}

TEST_F(AgentTest, endsAreRecorded_areAcknowledgedUntilTheMinionHasAnswered)
{
    addRun("a", 1000);
    join();
    m_reply.recordedEnds = 57;
    ASSERT_TRUE(runUntil([&] { return m_minion.listingCalls.back().acknowledgedEnds == 57; }));
    ASSERT_TRUE(runUntil([&] { return m_minion.listingCalls.back().acknowledgedEnds == 0; }));
    m_reply.recordedEnds = 58;
    EXPECT_TRUE(runUntil([&] { return m_minion.listingCalls.back().acknowledgedEnds == 58; }));
}

// The next incarnation forgot its first ends, which nobody had read, because the agent acknowledged them by the numbers
// of the earlier one.
TEST_F(AgentTest, minionRestartsUnderItsId_endsOfTheNewIncarnationAreNotAcknowledged)
{
    addRun("a", 1000);
    join();
    m_reply.recordedEnds = 57;
    m_recordsMoreEnds = true;
    ASSERT_TRUE(runUntil([&] { return m_minion.listingCalls.back().acknowledgedEnds > 57; }));
    restartMinion();
    nextListingCalls(callsToMeetRestart);
    for (const auto &it : nextListingCalls(callsDuringReports)) {
        EXPECT_EQ(it.acknowledgedEnds, 0);
        EXPECT_EQ(it.holdUntilMs, 0);
    }
}

// Orders that were meant for the earlier incarnation were executed by the next one, which the owner did not know yet.
TEST_F(AgentTest, minionRestartsUnderItsId_ordersForTheEarlierIncarnationAreRefused)
{
    addRun("a", 1000);
    join();
    ASSERT_EQ(orderStart(), Jobs::OrderResult::Done);
    ASSERT_EQ(m_minion.starts, 1);
    restartMinion();
    nextListingCalls(callsToMeetRestart);
    EXPECT_EQ(orderStart(), Jobs::OrderResult::Refused);
    EXPECT_EQ(m_minion.starts, 1);
}

// A call that is executed late must have no effect on the next incarnation, which numbers its ends anew.
TEST_F(AgentTest, minionRestartsUnderItsId_refusesLateCallsForTheEarlierIncarnation)
{
    addRun("a", 1000);
    join();
    restartMinion();
    announceMinion();
    ASSERT_TRUE(runUntil([&] { return m_lastReport.worker.born == m_heartbeat.worker.born && m_lastReport.listed; }));
    const auto &calls = m_minion.listingCalls;
    EXPECT_GT(calls.back().fencingToken, calls.front().fencingToken);
}

TEST_F(AgentTest, ownerIsReplaced_fencingTokenIsHigherThanOfAnyIncarnationBefore)
{
    addRun("a", 1000);
    m_heartbeat.worker.born = lateBorn;
    m_minion.listing.startedAtMs = lateBorn;
    join();
    const auto before = m_minion.listingCalls.back().fencingToken;
    m_minion.listing.startedAtMs = firstBorn;
    recordOwner(2);
    EXPECT_TRUE(runUntil([&] { return m_minion.listingCalls.back().fencingToken > before; }));
}

TEST_F(AgentTest, restartedMinionIsAnnounced_itsEndsAreReported)
{
    addRun("a", 1000);
    join();
    restartMinion();
    nextListingCalls(callsToMeetRestart);
    announceMinion();
    EXPECT_TRUE(runUntil([&] { return m_lastReport.ended.size() == 1 && m_lastReport.running.empty(); }));
    EXPECT_FALSE(m_lastReport.gone);
}

// The owner records the last ends of an incarnation while the minion is down. The first call that reaches the next
// incarnation carried their number.
TEST_F(AgentTest, minionIsDownAndRestartsUnderItsId_firstCallAcknowledgesNothing)
{
    addRun("a", 1000);
    join();
    m_minion.refusesConnections = true;
    ASSERT_TRUE(runUntil([&] { return m_lastReport.gone; }));
    m_recordsMoreEnds = true;
    nextListingCalls(callsDuringReports);
    restartMinion();
    m_minion.refusesConnections = false;
    for (const auto &it : nextListingCalls(callsDuringReports)) {
        EXPECT_EQ(it.acknowledgedEnds, 0);
    }
}

// The next incarnation may have started, and would execute orders for the earlier one.
TEST_F(AgentTest, listingFails_startsAreWithheldUntilTheMinionAnswers)
{
    addRun("a", 1000);
    join();
    m_minion.refusesConnections = true;
    nextListingCalls(2);
    EXPECT_EQ(orderStart(), Jobs::OrderResult::Refused);
    m_minion.refusesConnections = false;
    nextListingCalls(callsToMeetRestart);
    EXPECT_EQ(orderStart(), Jobs::OrderResult::Done);
    EXPECT_EQ(m_minion.starts, 1);
}

// The hold was extended for good, though nobody knew whether the minion was still there: its tasks never moved.
TEST_F(AgentTest, minionIsSilentForGood_holdExpiresAndTheMinionIsGivenUp)
{
    addRun("a", 1000);
    m_leaseMs = 1000;
    join();
    m_minion.silent = true;
    EXPECT_TRUE(runUntil([&] { return m_lastReport.gone; }));
    EXPECT_EQ(nextListingCalls(1).back().holdUntilMs, 0);
}

TEST_F(AgentTest, minionIsSilentForAMoment_holdIsExtendedAgain)
{
    addRun("a", 1000);
    m_leaseMs = 1000;
    join();
    m_minion.silent = true;
    EXPECT_TRUE(runUntil([&] { return nextListingCalls(1).back().holdUntilMs == 0; }));
    m_minion.silent = false;
    EXPECT_TRUE(runUntil([&] { return nextListingCalls(1).back().holdUntilMs > 0; }));
    EXPECT_FALSE(m_lastReport.gone);
}

// The host's clock was set back between the starts of two incarnations.
TEST_F(AgentTest, nextIncarnationHasAnEarlierStartTime_isAdoptedOnceTheMinionIsGone)
{
    addRun("a", 1000);
    join();
    m_minion.refusesConnections = true;
    ASSERT_TRUE(runUntil([&] { return m_lastReport.gone; }));
    m_heartbeat.worker.born = firstBorn - 1;
    m_heartbeat.worker.id = "next";
    m_heartbeat.sequence = 0;
    sendHeartbeat();
    EXPECT_TRUE(runUntil([&] { return m_lastReport.worker.id == "next"; }));
}

// A departure that was delayed until the next incarnation, which has the same id, removed that one.
TEST_F(AgentTest, departureOfTheEarlierIncarnation_isIgnored)
{
    addRun("a", 1000);
    join();
    restartMinion();
    announceMinion();
    ASSERT_TRUE(runUntil([&] { return m_lastReport.worker.born == firstBorn + incarnationGapMs; }));
    m_departedBornMs = firstBorn;
    sendHeartbeat();
    m_departedBornMs = 0;
    m_lastReport = {};
    ASSERT_TRUE(runUntil([&] { return m_lastReport.number > 0; }));
    EXPECT_EQ(m_lastReport.worker.born, firstBorn + incarnationGapMs);
    EXPECT_FALSE(m_lastReport.gone);
}

// The run that a row doesn't name could be taken for one that has ended, and be started a second time.
TEST_F(AgentTest, rowOfARunIsUnreadable_othersAreReportedAndNoneIsTakenForOver)
{
    addRun("a", 1000);
    m_minion.listing.unreadableRows.push_back({"[17,2]", false, false});
    join();
    EXPECT_TRUE(m_lastReport.lacksEnds);
    EXPECT_EQ(m_lastReport.running.size(), 1U);
    EXPECT_TRUE(m_lastReport.reachable);
}

// A row that stays unreadable would keep the worker from all use. No run of the owner outlives the hold.
TEST_F(AgentTest, rowOfARunStaysUnreadable_holdExpiresAndTheWorkerIsUsedAgain)
{
    m_leaseMs = 1500;
    addRun("a", 1000);
    m_minion.listing.unreadableRows.push_back({"[17,2]", false, false});
    join();
    ASSERT_GT(nextListingCalls(callsToMeetRestart).back().holdUntilMs, 0);
    ASSERT_TRUE(runUntil([&] { return !m_lastReport.reachable; }));
    EXPECT_EQ(nextListingCalls(callsToMeetRestart).back().holdUntilMs, 0);
    EXPECT_TRUE(m_lastReport.lacksEnds);
    ASSERT_TRUE(runUntil([&] { return m_lastReport.reachable && !m_lastReport.lacksEnds; }));
    EXPECT_GT(nextListingCalls(callsToMeetRestart).back().holdUntilMs, 0);
    EXPECT_TRUE(m_lastReport.listed);
    EXPECT_FALSE(m_lastReport.gone);
}

TEST_F(AgentTest, rowNamesATaskOfAnother_workerStaysInUse)
{
    addRun("a", 1000);
    m_minion.listing.unreadableRows.push_back({R"(["x",2])", false, true});
    join();
    EXPECT_FALSE(m_lastReport.lacksEnds);
    EXPECT_FALSE(runUntil([&] { return !m_lastReport.reachable || m_lastReport.lacksEnds; }, 2 * rowsPatience));
    EXPECT_GT(nextListingCalls(callsToMeetRestart).back().holdUntilMs, 0);
}

// The number of an end acknowledges all before it, also one that nobody has read.
TEST_F(AgentTest, endIsUnreadable_endsBehindItWaitButNotForever)
{
    addRun("a", 1000);
    addEnd(1);
    addEnd(3);
    m_minion.listing.unreadableRows.push_back({R"([2,7,1,"done"])", true, false});
    m_minion.listing.endsBeforeUnreadable = 1;
    join();
    EXPECT_TRUE(m_lastReport.lacksEnds);
    ASSERT_EQ(m_lastReport.ended.size(), 1U);
    EXPECT_EQ(m_lastReport.ended[0].number, 1);
    m_reply.recordedEnds = 1;
    ASSERT_TRUE(runUntil([&] { return m_lastReport.ended.size() == 1 && m_lastReport.ended[0].number == 3; }));
    EXPECT_FALSE(m_lastReport.lacksEnds);
    EXPECT_TRUE(m_lastReport.reachable);
}

// The port was cut to 16 bits, and an epoch that is too high was never replaced by a right one.
TEST_F(AgentTest, ownerRecordOutOfRange_isNotFollowed)
{
    constexpr std::int32_t portRange = 65'536;
    constexpr auto mostEpochs = std::numeric_limits<std::int64_t>::max();
    addRun("a", 1000);
    sendHeartbeat();
    recordOwner(1, m_ownerPort + portRange);
    EXPECT_FALSE(runUntil([&] { return m_lastReport.epoch != 0; }, seconds(1)));
    recordOwner(mostEpochs, m_ownerPort);
    EXPECT_FALSE(runUntil([&] { return m_lastReport.epoch != 0; }, seconds(1)));
    join();
}

// A minion whose message that it leaves gets no answer ends seconds later. Until then its tasks run, and the agent told
// the owner at once that they are over, so that they started elsewhere beside them.
TEST_F(AgentTest, minionLeavesAndStillAnswers_isNotGoneBeforeItEndsOrItsHoldExpires)
{
    constexpr Duration lessThanTheHold = seconds(1);
    addRun("a", 1000);
    m_leaseMs = 3000;
    join();
    nextListingCalls(1);
    m_departedBornMs = firstBorn;
    sendHeartbeat();
    EXPECT_FALSE(runUntil([&] { return m_lastReport.gone; }, lessThanTheHold));
    m_minion.refusesConnections = true;
    EXPECT_TRUE(runUntil([&] { return m_lastReport.gone; }));
}

// Tasks ran twice: three refused connections counted as the end of a minion that was at work. Its tasks were started
// elsewhere at once, and the minion was taken on again with its runs and ends when its port could be reached.
TEST_F(AgentTest, livingMinionRefusesConnections_isNotGoneBeforeItsHoldExpires)
{
    addRun("a", 1000);
    join();
    ASSERT_TRUE(runUntil([&] { return m_minion.heldUntilMs > 0; }));
    m_minion.refusesConnections = true;
    ASSERT_TRUE(runUntil([&] { return m_lastReport.gone; }));
    EXPECT_GE(m_minion.clockMs(), m_minion.heldUntilMs);
}

// The same for a moment that ends well inside the hold.
TEST_F(AgentTest, livingMinionRefusesConnectionsForAMoment_keepsItsRuns)
{
    addRun("a", 1000);
    join();
    ASSERT_TRUE(runUntil([&] { return m_minion.heldUntilMs > 0; }));
    m_minion.refusesConnections = true;
    EXPECT_FALSE(runUntil([&] { return m_lastReport.gone; }, seconds(1)));
    m_minion.refusesConnections = false;
    ASSERT_TRUE(runUntil([&] { return m_lastReport.reachable; }));
    EXPECT_EQ(m_lastReport.running.size(), 1U);
    EXPECT_TRUE(m_lastReport.crashes.empty());
    EXPECT_EQ(m_minion.stops, 0);
    EXPECT_TRUE(runUntil([&] { return nextListingCalls(1).back().holdUntilMs > 0; }));
}

// A minion that leaves may close its port and work on. One refused connection counted as its end.
TEST_F(AgentTest, leavingMinionRefusesConnections_isNotGoneBeforeItsHoldExpires)
{
    addRun("a", 1000);
    join();
    ASSERT_TRUE(runUntil([&] { return m_minion.heldUntilMs > 0; }));
    m_departedBornMs = firstBorn;
    sendHeartbeat();
    m_minion.refusesConnections = true;
    ASSERT_TRUE(runUntil([&] { return m_lastReport.gone; }));
    EXPECT_GE(m_minion.clockMs(), m_minion.heldUntilMs);
}

// The agent ends with the host of a minion that leaves. Its tasks waited for the end of the lease, as nobody had told
// the owner that they were over.
TEST_F(AgentTest, minionLeaves_itsRunsAreStoppedAndReportedBeforeItIsAnswered)
{
    addRun("a", 1000);
    join();
    m_minion.endsStoppedRuns = true;
    m_departedBornMs = firstBorn;
    sendHeartbeat();
    EXPECT_EQ(m_minion.stops, 1);
    EXPECT_TRUE(m_lastReport.running.empty());
    ASSERT_EQ(m_lastReport.ended.size(), 1U);
    EXPECT_EQ(m_lastReport.ended.front().how, static_cast<int>(Jobs::EndKind::Stopped));
    EXPECT_TRUE(m_lastReport.draining);
}

// The minion has ended without a word, and its host is taken away before its hold has expired. The agent ended, too, so
// that the tasks waited for the end of the lease.
TEST_F(AgentTest, agentIsStoppedAfterItsMinionEnded_ownerHearsOfItOnceTheHoldHasExpired)
{
    addRun("a", 1000);
    join();
    ASSERT_TRUE(runUntil([&] { return m_minion.heldUntilMs > 0; }));
    m_minion.refusesConnections = true;
    nextListingCalls(callsToMeetRestart);
    stopAgent();
    EXPECT_TRUE(m_lastReport.gone);
    EXPECT_GE(m_minion.clockMs(), m_minion.heldUntilMs);
}

// The same for a minion that has said that it leaves.
TEST_F(AgentTest, agentIsStoppedAfterItsMinionLeft_ownerHearsOfItOnceTheHoldHasExpired)
{
    addRun("a", 1000);
    join();
    ASSERT_TRUE(runUntil([&] { return m_minion.heldUntilMs > 0; }));
    m_minion.refusesConnections = true;
    m_departedBornMs = firstBorn;
    sendHeartbeat();
    stopAgent();
    EXPECT_TRUE(m_lastReport.gone);
    EXPECT_GE(m_minion.clockMs(), m_minion.heldUntilMs);
}

// Whatever made an owner give up what a minion runs: if the minion holds it still, it must not go on beside the tasks
// that were started elsewhere, and their ends must not be acknowledged.
TEST_F(AgentTest, ownerHasGivenUpTheRuns_theyAreStoppedAndNothingIsExtendedOrAcknowledgedInsideTheHold)
{
    addRun("a", 1000);
    join();
    ASSERT_TRUE(runUntil([&] { return m_minion.heldUntilMs > 0; }));
    m_leaseTerm = 2;
    ASSERT_TRUE(runUntil([&] { return m_minion.stops > 0; }));
    const auto calls = m_minion.listingCalls.size();
    addEnd(1);
    m_reply.recordedEnds = 1;
    ASSERT_TRUE(runUntil([&] { return m_minion.listingCalls.back().acknowledgedEnds > 0; }));
    EXPECT_GE(m_minion.clockMs(), m_minion.heldUntilMs);
    for (auto it = m_minion.listingCalls.begin() + static_cast<std::ptrdiff_t>(calls); it->acknowledgedEnds == 0;
         ++it) {
        EXPECT_EQ(it->holdUntilMs, 0);
    }
}

// Tasks ran twice after a host was suspended for longer than the lease: the minion's clock had not counted that time,
// so that the minion went on with tasks that had been started elsewhere, and its ends were acknowledged.
TEST_F(AgentTest, minionOutlivesItsHold_itsRunsAreStoppedAndNothingIsExtendedOrAcknowledged)
{
    m_leaseMs = 500;
    addRun("a", 1000);
    join();
    ASSERT_GT(nextListingCalls(1).back().holdUntilMs, 0);
    m_minion.clockStands = true;
    m_leaseMs = 0;
    ASSERT_TRUE(runUntil([&] { return m_minion.stops > 0; }));
    addEnd(1);
    m_reply.recordedEnds = 1;
    m_leaseMs = 500;
    for (const auto &it : nextListingCalls(callsDuringReports)) {
        EXPECT_EQ(it.holdUntilMs, 0);
        EXPECT_EQ(it.acknowledgedEnds, 0);
    }
    m_minion.clockStands = false;
    EXPECT_TRUE(runUntil([&] { return nextListingCalls(1).back().holdUntilMs > 0; }));
}

// The minion has shown its clock after the suspension, by which it holds its runs for longer than by the agent's
// account. When it could not be reached afterwards, its tasks were started elsewhere while it had them.
TEST_F(AgentTest, hostWasSuspendedForLongerThanTheHold_thenRefuses_isNotGoneBeforeItsHoldExpires)
{
    addRun("a", 1000);
    join();
    ASSERT_TRUE(runUntil([&] { return m_minion.heldUntilMs > 0; }));
    suspendHost(milliseconds(2700));
    nextListingCalls(callsToMeetRestart);
    ASSERT_LT(m_minion.clockMs(), m_minion.heldUntilMs);
    m_minion.refusesConnections = true;
    ASSERT_TRUE(runUntil([&] { return m_lastReport.gone; }));
    EXPECT_GE(m_minion.clockMs(), m_minion.heldUntilMs);
}

// The same for a minion that doesn't answer after the suspension. Found by the soak, beside a takeover: soak --site
// blachownia-ops --seed 126 --seconds 20.
TEST_F(AgentTest, hostWasSuspendedForLongerThanTheHold_refusesAtOnce_isNotGoneBeforeItsHoldExpires)
{
    addRun("a", 1000);
    join();
    ASSERT_TRUE(runUntil([&] { return m_minion.heldUntilMs > 0; }));
    suspendHost(milliseconds(2700));
    m_minion.refusesConnections = true;
    ASSERT_TRUE(runUntil([&] { return m_lastReport.gone; }));
    EXPECT_GE(m_minion.clockMs(), m_minion.heldUntilMs);
}

// The tasks of a minion that had refused connections and lived were blamed for a crash, and its real crash was not
// noted.
TEST_F(AgentTest, minionRefusesConnectionsUntilItsHoldExpires_thenAnswers_noCrashIsToldAnyMore)
{
    addRun("a", 1000);
    join();
    m_minion.refusesConnections = true;
    ASSERT_TRUE(runUntil([&] { return m_lastReport.gone; }));
    m_minion.refusesConnections = false;
    ASSERT_TRUE(runUntil([&] { return m_lastReport.reachable; }));
    EXPECT_TRUE(m_lastReport.crashes.empty());
}

// The same for a suspension that ends inside the hold. The next hold was counted from a clock that was seen before it.
TEST_F(AgentTest, hostWasSuspendedInsideTheHold_thenRefuses_isNotGoneBeforeItsHoldExpires)
{
    addRun("a", 1000);
    join();
    ASSERT_TRUE(runUntil([&] { return m_minion.heldUntilMs > 0; }));
    suspendHost(milliseconds(1500));
    nextListingCalls(callsToMeetRestart);
    m_minion.refusesConnections = true;
    ASSERT_TRUE(runUntil([&] { return m_lastReport.gone; }));
    EXPECT_GE(m_minion.clockMs(), m_minion.heldUntilMs);
}

// Every listing during a lapse, one each 40 ms, ordered every run to stop once more.
TEST_F(AgentTest, ownerHasGivenUpTheRuns_stopsAreNotRepeatedWithEachListing)
{
    constexpr int stopsPerSecond = 4;
    addRun("a", 1000);
    join();
    ASSERT_TRUE(runUntil([&] { return m_minion.heldUntilMs > 0; }));
    m_leaseTerm = 2;
    ASSERT_TRUE(runUntil([&] { return m_minion.stops > 0; }));
    runUntil([] { return false; }, seconds(1));
    EXPECT_LE(m_minion.stops, 1 + stopsPerSecond);
}

// A heartbeat that was held up is of an earlier incarnation, whose start time is later, as the host's clock was set
// back since. The agent took the minion for replaced though it answered, and the owner started its tasks elsewhere.
TEST_F(AgentTest, lateHeartbeatHasALaterStartTime_minionThatAnswersIsKept)
{
    constexpr Duration longerThanTwoReports = milliseconds(1500);
    addRun("a", 1000);
    join();
    m_heartbeat.worker.born = firstBorn + incarnationGapMs;
    sendHeartbeat();
    EXPECT_FALSE(runUntil([&] { return m_lastReport.worker.born != firstBorn; }, longerThanTwoReports));
    EXPECT_EQ(m_lastReport.running.size(), 1U);
    EXPECT_GT(nextListingCalls(1).back().holdUntilMs, 0);
}

// The host was suspended for a while that the minion's clock doesn't count. A minion that leaves was taken for ended
// when its hold had expired by the agent's clock alone, though it still listed a run.
TEST_F(AgentTest, leavingMinionOutlivesItsHold_isNotGoneWhileItRunsTasks)
{
    constexpr Duration longerThanTheHold = seconds(3);
    m_leaseMs = 1500;
    addRun("a", 1000);
    join();
    ASSERT_GT(nextListingCalls(1).back().holdUntilMs, 0);
    m_minion.clockStands = true;
    m_departedBornMs = firstBorn;
    sendHeartbeat();
    EXPECT_FALSE(runUntil([&] { return m_lastReport.gone; }, longerThanTheHold));
    m_minion.clockStands = false;
    m_minion.listing.running.clear();
    EXPECT_TRUE(runUntil([&] { return m_lastReport.gone; }));
}

// Like above, with rows that stay unreadable, for which the agent lets the hold expire while the owner still grants a
// lease: the owner gives up the runs on the agent's word only.
TEST_F(AgentTest, rowStaysUnreadable_minionOutlivesItsHold_isNotGoneWhileItRunsTasks)
{
    constexpr Duration longerThanPatienceAndHold = seconds(4);
    m_leaseMs = 1500;
    addRun("a", 1000);
    m_minion.listing.unreadableRows.push_back({"[17,2]", false, false});
    join();
    ASSERT_GT(nextListingCalls(1).back().holdUntilMs, 0);
    m_minion.clockStands = true;
    EXPECT_FALSE(runUntil([&] { return m_lastReport.gone; }, longerThanPatienceAndHold));
}

// The owner has given up the runs, and the agent was restarted: it knew nothing of the hold that its earlier process
// had granted, which had not expired by the minion's clock, and acknowledged ends of tasks that ran elsewhere by then.
TEST_F(AgentTest, restartedAgent_ownerHasGivenUpTheRuns_noEndIsAcknowledgedWithinAnEarlierHold)
{
    constexpr std::int64_t minionClockMs = 5000;
    m_leaseTerm = 2;
    m_reply.recordedEnds = 1;
    m_minion.listing.clockMs = minionClockMs;
    m_minion.clockStands = true;
    addRun("a", 1000);
    addEnd(1);
    join();
    nextListingCalls(callsDuringReports);
    for (const auto &it : m_minion.listingCalls) {
        EXPECT_EQ(it.acknowledgedEnds, 0);
    }
}

} // namespace Trefoilhoist::Agent
