// Answers of the store with an odd item among the others.
#include "platform/kvstore.h"

#include "trefoilhoist/net/httpserver.h"
#include "trefoilhoist/store/base64.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Platform {

namespace {

constexpr Duration longEnough = seconds(5);

/// An item of the store whose value is the text of its key.
std::string item(const std::string &key, int revision)
{
    return R"({"key":")" + key + R"(","revision":)" + std::to_string(revision) + R"(,"value":")" + base64Encode(key)
        + R"("})";
}

/// Items whose key or revision can't be read.
std::vector<std::string> namelessItems()
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    return {R"({"key":7,"revision":3,"value":"YQ=="})",
            R"({"revision":3,"value":"YQ=="})",
            R"({"key":"b","revision":18446744073709551615,"value":"YQ=="})",
            R"({"key":"b","revision":1e400,"value":"YQ=="})",
            R"({"key":"b","revision":-1,"value":"YQ=="})",
            R"({"key":"b","revision":"3","value":"YQ=="})",
            R"({"key":)" + deep + R"(,"revision":3})",
            deep,
            "[]",
            "null",
            "7"};
}

/// Items whose key and revision can be read.
std::vector<std::string> valuelessItems()
{
    return {R"({"key":"b","revision":3,"value":"not base64"})",
            R"({"key":"b","revision":3,"value":"YQ"})",
            R"({"key":"b","revision":3,"value":7})",
            R"({"key":"b","revision":3,"value":1e400})",
            R"({"key":"b","revision":3,"value":null})",
            R"({"key":"b","revision":3,"value":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}"};
}

} // namespace

/// A store that answers each call with the same body.
class KvStoreTest : public testing::Test
{
protected:
    KvStoreTest()
        : m_server(m_context.get_executor(),
                   {},
                   [this](HttpRequest) -> awaitable<HttpResponse> { co_return jsonResponse(m_status, m_body); })
        , m_store(m_context.get_executor(), {"127.0.0.1", m_server.listen({"127.0.0.1", 0}).value()}, seconds(2))
    {
    }

    template <typename Value>
    StoreResult<Value> resultOf(const std::function<awaitable<StoreResult<Value>>()> &call)
    {
        std::optional<StoreResult<Value>> result;
        spawnOn(m_context.get_executor(), "call", [&]() -> awaitable<void> { result = co_await call(); });
        const auto end = std::chrono::steady_clock::now() + longEnough;
        while (!result && std::chrono::steady_clock::now() < end) {
            m_context.run_for(milliseconds(5));
        }
        return result.value();
    }

    StoreResult<RecordPage> page(const std::string &items, bool more = false)
    {
        m_body
            = R"({"storeRevision":9,"hasMore":)" + std::string(more ? "true" : "false") + R"(,"items":)" + items + "}";
        return resultOf<RecordPage>([&] { return m_store.list("", ""); });
    }

    StoreResult<RecordChanges> changes(const std::string &events)
    {
        m_body = R"({"storeRevision":9,"events":)" + events + "}";
        return resultOf<RecordChanges>([&] { return m_store.watch("", 1, milliseconds(100)); });
    }

    StoreResult<CommitOutcome> refusedCommit(const std::string &items)
    {
        m_status = 412;
        m_body = R"({"items":)" + items + "}";
        return resultOf<CommitOutcome>([&] { return m_store.commit({}); });
    }

    Asio::io_context m_context;
    int m_status = 200;
    std::string m_body;
    HttpServer m_server;
    KvStore m_store;
};

// One item that can't be read made a page unreadable, and no dispatcher could own the scheduling.
TEST_F(KvStoreTest, pageWithAnItemWithoutAName_othersAreRead)
{
    for (const auto &odd : namelessItems()) {
        const auto read = page("[" + item("a", 2) + "," + odd + "," + item("c", 4) + "]");
        ASSERT_TRUE(read) << odd.substr(0, 100) << " " << read.error().reason;
        ASSERT_EQ(read->records.size(), 2U) << odd.substr(0, 100);
        EXPECT_EQ(read->records[0].value, "a");
        EXPECT_EQ(read->records[1].value, "c");
        EXPECT_EQ(read->revision, 9);
    }
}

// The key tells that the record is there: the next page begins behind it.
TEST_F(KvStoreTest, pageWithAnItemWithoutAValue_itsKeyIsKept)
{
    for (const auto &odd : valuelessItems()) {
        const auto read = page("[" + item("a", 2) + "," + odd + "]", true);
        ASSERT_TRUE(read) << odd.substr(0, 100) << " " << read.error().reason;
        ASSERT_EQ(read->records.size(), 2U) << odd.substr(0, 100);
        EXPECT_EQ(read->records[1].key, "b");
        EXPECT_EQ(read->records[1].revision, 3);
        EXPECT_TRUE(read->records[1].value.empty());
        EXPECT_TRUE(read->more);
    }
}

TEST_F(KvStoreTest, pagesThatCannotBeRead_areErrorsNotEmptyPages)
{
    EXPECT_FALSE(page("7"));
    EXPECT_FALSE(page("null"));
    EXPECT_FALSE(page("{\"0\":" + item("a", 2) + "}"));
    EXPECT_FALSE(page("[7]", true));
    m_body = "";
    EXPECT_FALSE(resultOf<RecordPage>([&] { return m_store.list("", ""); }));
}

// A watch that told one event that can't be read was asked again from before it, for ever.
TEST_F(KvStoreTest, watchWithAnUnreadableEvent_everythingIsReadAgain)
{
    for (const auto &odd : namelessItems()) {
        const auto read = changes("[" + item("a", 2) + "," + odd + "]");
        ASSERT_TRUE(read) << odd.substr(0, 100) << " " << read.error().reason;
        EXPECT_TRUE(read->historyLost) << odd.substr(0, 100);
        EXPECT_EQ(read->changes.size(), 1U) << odd.substr(0, 100);
        EXPECT_EQ(read->revision, 9);
    }
    const auto read = changes(R"([{"key":"a","revision":2,"tombstone":"yes"}])");
    ASSERT_TRUE(read);
    EXPECT_TRUE(read->historyLost);
    EXPECT_FALSE(changes("[" + item("a", 2) + R"(,{"key":"b","revision":3,"tombstone":true}])")->historyLost);
}

TEST_F(KvStoreTest, watchWithAnEventWithoutAValue_itsKeyIsKept)
{
    for (const auto &odd : valuelessItems()) {
        const auto read = changes("[" + odd + "]");
        ASSERT_TRUE(read) << odd.substr(0, 100) << " " << read.error().reason;
        ASSERT_EQ(read->changes.size(), 1U) << odd.substr(0, 100);
        EXPECT_EQ(read->changes[0].record.key, "b");
        EXPECT_TRUE(read->changes[0].record.value.empty() && !read->changes[0].removed);
    }
}

// A refused commit whose records can't be read was repeated for ever; their revisions are enough to write them again.
TEST_F(KvStoreTest, refusedCommit_recordWithoutAValue_isToldByItsRevision)
{
    for (const auto &odd : valuelessItems()) {
        const auto outcome = refusedCommit("[" + odd + R"(,{"key":"c","revision":0}])");
        ASSERT_TRUE(outcome) << odd.substr(0, 100) << " " << outcome.error().reason;
        ASSERT_EQ(outcome->current.size(), 1U) << odd.substr(0, 100);
        EXPECT_EQ(outcome->current[0].revision, 3);
    }
}

// A record that is there must not be taken for one that does not exist.
TEST_F(KvStoreTest, refusedCommit_recordWithoutAName_isAnError)
{
    for (const auto &odd : namelessItems()) {
        const auto outcome = refusedCommit("[" + odd + "]");
        ASSERT_FALSE(outcome) << odd.substr(0, 100);
        EXPECT_EQ(outcome.error().failure, StoreFailure::Unknown);
    }
}

// An owner's record that is written under lease 0 stays when the owner is gone.
TEST_F(KvStoreTest, leaseOrRevisionOutOfRange_isAnError)
{
    for (const auto *odd : {"0", "-1", "1e400", "18446744073709551615", "1.5", R"("7")", "null", "[]"}) {
        m_body = R"({"lease":)" + std::string(odd) + R"(,"revision":)" + odd + "}";
        EXPECT_FALSE(resultOf<std::int64_t>([&] { return m_store.openLease(seconds(1)); })) << odd;
        EXPECT_FALSE(resultOf<CommitOutcome>([&] { return m_store.commit({}); })) << odd;
    }
    m_body = "{}";
    EXPECT_FALSE(resultOf<std::int64_t>([&] { return m_store.openLease(seconds(1)); }));
    m_body = R"({"lease":7,"revision":9})";
    EXPECT_EQ(resultOf<std::int64_t>([&] { return m_store.openLease(seconds(1)); }), 7);
    EXPECT_EQ(resultOf<CommitOutcome>([&] { return m_store.commit({}); })->revision, 9);
}

} // namespace Trefoilhoist::Platform
