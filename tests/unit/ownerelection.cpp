#include "trefoilhoist/jobs/ownerelection.h"

#include "harness/memoryrecordstore.h"
#include "trefoilhoist/jobs/ownerrecord.h"
#include "trefoilhoist/jobs/recordkeys.h"
#include "trefoilhoist/wire/message.h"

#include <gtest/gtest.h>

#include <limits>
#include <vector>

namespace Trefoilhoist::Jobs {

namespace {

/// One process that takes part in the election.
struct Candidate {
    Candidate(Asio::io_context &context, RecordStore &store, const Clock &clock, const std::string &name)
        : election(store, clock, timesOf(), selfOf(name))
    {
        spawnOn(context.get_executor(), "election", [this] {
            return election.run([this](OwnerTerm term) { won.push_back(term.epoch); },
                                [this](const std::string &) { ++lost; });
        });
    }

    static ElectionTimes timesOf()
    {
        ElectionTimes times;
        times.renewInterval = milliseconds(5);
        times.watchWait = milliseconds(20);
        times.retryInterval = milliseconds(5);
        times.ownerGrace = milliseconds(60);
        times.campaignDelay = milliseconds(5);
        times.strongerCandidateDelay = milliseconds(15);
        return times;
    }

    static Wire::OwnerRecord selfOf(const std::string &name)
    {
        Wire::OwnerRecord self;
        self.name = name;
        return self;
    }

    OwnerElection election;
    std::vector<std::int64_t> won;
    int lost = 0;
};

class OwnerElectionTest : public testing::Test
{
protected:
    void runFor(milliseconds time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    void write(const std::string &key, const std::string &value)
    {
        RecordCommit commit;
        commit.writes.push_back({key, value, 0});
        spawnOn(m_context.get_executor(), "record", [this, commit]() -> awaitable<void> {
            co_await m_store.commit(commit);
        });
    }

    /// The third epoch that a candidate wins after another writer has written the record of the second.
    std::int64_t epochAfter(const std::string &odd)
    {
        Asio::io_context context;
        MemoryRecordStore store;
        Candidate candidate(context, store, m_clock, "a");
        context.run_for(milliseconds(30));
        store.endLeases();
        context.run_for(milliseconds(60));
        EXPECT_EQ(candidate.won, (std::vector<std::int64_t>{1, 2}));
        RecordCommit commit;
        commit.writes.push_back({epochRecordKey, odd, 0});
        spawnOn(context.get_executor(), "record", [&]() -> awaitable<void> { co_await store.commit(commit); });
        context.run_for(milliseconds(10));
        store.endLeases();
        context.run_for(milliseconds(60));
        return candidate.won.size() == 3 ? candidate.won.back() : 0;
    }

    Asio::io_context m_context;
    Clock m_clock;
    MemoryRecordStore m_store;
};

/// The first commit gets no answer, and is executed when the next one arrives.
class LateCommitStore : public MemoryRecordStore
{
public:
    awaitable<StoreResult<CommitOutcome>> commit(RecordCommit commit) override
    {
        if (!m_delayed) {
            m_delayed = commit;
            co_return tl::unexpected(StoreError{StoreFailure::Unknown, "no answer"});
        }
        if (!m_executed) {
            m_executed = true;
            co_await MemoryRecordStore::commit(*m_delayed);
        }
        leaseOfRecord = commit.writes.front().lease;
        co_return co_await MemoryRecordStore::commit(commit);
    }
    awaitable<StoreResult<bool>> renewLease(std::int64_t lease) override
    {
        renewed.push_back(lease);
        co_return co_await MemoryRecordStore::renewLease(lease);
    }

    std::vector<std::int64_t> renewed;
    /// The lease of the last commit that was executed in time.
    std::int64_t leaseOfRecord = 0;

private:
    std::optional<RecordCommit> m_delayed;
    bool m_executed = false;
};

} // namespace

// The owner renewed another lease than that of its record: it went on as the owner when the record had gone.
TEST_F(OwnerElectionTest, earlierCommitIsExecutedLate_ownerRenewsTheLeaseOfItsRecord)
{
    LateCommitStore store;
    Candidate first(m_context, store, m_clock, "a");
    runFor(milliseconds(100));
    ASSERT_EQ(first.won.size(), 1U);
    ASSERT_FALSE(store.renewed.empty());
    EXPECT_EQ(store.renewed.back(), store.leaseOfRecord);
}

TEST_F(OwnerElectionTest, twoCandidates_oneWinsAndTheOtherFollowsIt)
{
    Candidate first(m_context, m_store, m_clock, "a");
    Candidate second(m_context, m_store, m_clock, "b");
    runFor(milliseconds(60));
    EXPECT_EQ(first.won.size() + second.won.size(), 1U);
    const auto &follower = first.won.empty() ? first : second;
    ASSERT_TRUE(follower.election.owner());
    EXPECT_EQ(follower.election.owner()->epoch, 1);
}

TEST_F(OwnerElectionTest, leaseEndedByTheStore_ownerStepsDownAndTheNextEpochIsHigher)
{
    Candidate first(m_context, m_store, m_clock, "a");
    runFor(milliseconds(30));
    m_store.endLeases();
    runFor(milliseconds(60));
    EXPECT_EQ(first.lost, 1);
    EXPECT_EQ(first.won, (std::vector<std::int64_t>{1, 2}));
}

TEST_F(OwnerElectionTest, commitWithoutAnswer_isFoundInTheStoreAndWinsTheTerm)
{
    m_store.loseNextAnswer = true;
    Candidate first(m_context, m_store, m_clock, "a");
    runFor(milliseconds(60));
    EXPECT_EQ(first.won, std::vector<std::int64_t>{1});
}

TEST_F(OwnerElectionTest, ownerThatStepsDown_handsOverAtOnceAndFollows)
{
    Candidate first(m_context, m_store, m_clock, "a");
    runFor(milliseconds(30));
    Candidate second(m_context, m_store, m_clock, "b");
    runFor(milliseconds(30));
    spawnOn(m_context.get_executor(), "step down", [&] { return first.election.stepDown(); });
    runFor(milliseconds(60));
    EXPECT_EQ(second.won, std::vector<std::int64_t>{2});
    ASSERT_TRUE(first.election.owner());
    EXPECT_EQ(first.election.owner()->name, "b");
}

TEST_F(OwnerElectionTest, storeUnreachableForLong_ownerStepsDown)
{
    Candidate first(m_context, m_store, m_clock, "a");
    runFor(milliseconds(30));
    m_store.down = true;
    runFor(milliseconds(120));
    EXPECT_EQ(first.lost, 1);
}

TEST_F(OwnerElectionTest, ownerWithoutStore_announcementOfANewerOwner_followsIt)
{
    Candidate first(m_context, m_store, m_clock, "a");
    runFor(milliseconds(30));
    m_store.down = true;
    auto newer = Candidate::selfOf("b");
    newer.epoch = 2;
    first.election.observeOwner(newer);
    EXPECT_EQ(first.lost, 1);
    EXPECT_FALSE(first.election.isOwner());
    EXPECT_EQ(first.election.owner()->name, "b");
    auto older = Candidate::selfOf("c");
    older.epoch = 1;
    first.election.observeOwner(older);
    EXPECT_EQ(first.election.owner()->name, "b");
}

TEST_F(OwnerElectionTest, strongerCandidateKnown_weakerOneWaitsForIt)
{
    auto strong = Candidate::selfOf("b");
    strong.strength = 0.5;
    RecordCommit commit;
    commit.writes.push_back({peerPrefix + "b", Wire::encode(strong), 0});
    spawnOn(m_context.get_executor(), "record", [&]() -> awaitable<void> { co_await m_store.commit(commit); });
    Candidate weak(m_context, m_store, m_clock, "a");
    runFor(milliseconds(12));
    EXPECT_TRUE(weak.won.empty());
    runFor(milliseconds(60));
    EXPECT_EQ(weak.won.size(), 1U) << "the stronger one was no candidate";
}

// Agents and minions refuse all orders of an epoch that is not above those they have seen.
TEST_F(OwnerElectionTest, unreadableEpoch_nextEpochIsHigherThanAnyBefore)
{
    Wire::OwnerRecord negative;
    negative.epoch = -1;
    Wire::OwnerRecord huge;
    huge.epoch = std::numeric_limits<std::int64_t>::max();
    for (const auto &odd : {std::string("\xff"), std::string(), Wire::encode(negative), Wire::encode(huge)}) {
        EXPECT_GT(epochAfter(odd), 2) << odd.size();
        EXPECT_LT(epochAfter(odd), 1000) << odd.size();
    }
}

// Every candidate followed an owner that nobody could name, and there was none.
TEST_F(OwnerElectionTest, unreadableOwner_isReplaced)
{
    write(ownerRecordKey, "\xff");
    Candidate first(m_context, m_store, m_clock, "a");
    runFor(milliseconds(60));
    EXPECT_EQ(first.won, std::vector<std::int64_t>{1});
    EXPECT_EQ(first.lost, 0);
}

TEST(OwnerRecordTest, portOutOfRange_isNoEndpoint)
{
    for (const std::int32_t port : {0, -1, 65'536, 65'616, 99'999, std::numeric_limits<std::int32_t>::min()}) {
        EXPECT_FALSE(endpointOf("10.0.0.9", port)) << port;
    }
    EXPECT_EQ(endpointOf("10.0.0.9", 65'535)->port, 65'535);
}

TEST(RecordStoreTest, silentWatch_isDetectedBeforeAConfigurationIsDue)
{
    // The shortest time within which users expect a configuration to be applied, and the time to read it once.
    constexpr Duration due = seconds(2);
    constexpr Duration reading = milliseconds(500);
    EXPECT_LE(watchWait + watchSlack, due - reading);
}

} // namespace Trefoilhoist::Jobs
