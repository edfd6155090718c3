#include "harness/process.h"
#include "trefoilhoist/config/labelkeys.h"
#include "trefoilhoist/store/callbudget.h"
#include "trefoilhoist/store/meteredstoreclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <deque>
#include <fstream>
#include <sstream>

using namespace Trefoilhoist;

namespace {

// Answers writes and reads of one key from a list; other calls are not expected.
class ScriptedStore : public StoreClient
{
public:
    std::deque<StoreResult<bool>> writes;
    int calls = 0;

    awaitable<StoreResult<bool>> compareAndSet(std::string, std::string, std::uint64_t) override
    {
        ++calls;
        auto result = writes.empty() ? StoreResult<bool>(true) : writes.front();
        if (!writes.empty()) {
            writes.pop_front();
        }
        co_return result;
    }
    awaitable<StoreResult<std::optional<StoreEntry>>> get(std::string) override
    {
        co_return std::optional<StoreEntry>();
    }
    awaitable<StoreResult<StoreListing>> list(std::string) override
    {
        co_return StoreListing{};
    }
    awaitable<StoreResult<StoreListing>> watch(std::string, std::uint64_t, Duration) override
    {
        co_return StoreListing{};
    }
    awaitable<StoreResult<bool>> compareAndDelete(std::string, std::uint64_t) override
    {
        co_return true;
    }
    awaitable<StoreResult<std::string>> createSession(Duration) override
    {
        co_return std::string("s");
    }
    awaitable<StoreResult<bool>> renewSession(std::string) override
    {
        co_return true;
    }
    awaitable<StoreResult<bool>> destroySession(std::string) override
    {
        co_return true;
    }
    awaitable<StoreResult<bool>> acquire(std::string, std::string, std::string) override
    {
        co_return true;
    }
    awaitable<StoreResult<bool>> release(std::string, std::string) override
    {
        co_return true;
    }
};

class MeteredStoreTest : public testing::Test
{
protected:
    StoreResult<bool> write()
    {
        Asio::io_context context;
        MeteredStoreClient client(m_store, m_budget, m_clock, m_metrics);
        auto result = Asio::co_spawn(context, client.compareAndSet("k", "v", 0), Asio::use_future);
        context.run();
        return result.get();
    }
    [[nodiscard]] std::uint64_t counted(const char *result)
    {
        return m_metrics.counter("trefoilhoist_store_calls", {{"role", "test"}, {"kind", "write"}, {"result", result}})
            .value();
    }

    Clock m_clock;
    MetricsRegistry m_metrics{m_clock};
    std::shared_ptr<ScriptedStore> m_store = std::make_shared<ScriptedStore>();
    StoreBudget m_budget{"test", 1000, 1000, 10, seconds(3), 1};
};

StoreResult<bool> failed(StoreFailure failure)
{
    return tl::unexpected(StoreError{failure, "test"});
}

} // namespace

TEST_F(MeteredStoreTest, writeWithoutEffect_isRepeatedUntilItHasOne)
{
    m_store->writes = {failed(StoreFailure::NotDone), failed(StoreFailure::NotDone), true};
    EXPECT_EQ(write(), true);
    EXPECT_EQ(m_store->calls, 3);
    EXPECT_EQ(counted("not_done"), 2U);
    EXPECT_EQ(counted("ok"), 1U);
}

TEST_F(MeteredStoreTest, writeOfUnknownEffect_isLeftToItsAuthor)
{
    m_store->writes = {failed(StoreFailure::Unknown), true};
    const auto result = write();
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().failure, StoreFailure::Unknown);
    EXPECT_EQ(m_store->calls, 1);
}

TEST_F(MeteredStoreTest, writeBeyondTheBudget_isRefusedWithoutACall)
{
    m_budget = {"test", 0.01, 0.01, 1, milliseconds(50), 1};
    m_store->writes = {failed(StoreFailure::NotDone)};
    const auto result = write();
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().failure, StoreFailure::NotDone);
    EXPECT_EQ(m_store->calls, 1);
    EXPECT_EQ(counted("over_budget"), 1U);
}

TEST_F(MeteredStoreTest, callWithoutTimeToWait_isMadeOnceWithinTheBudget)
{
    m_budget = {"test", 40, 40, 20, Duration{}, 1};
    m_store->writes = {failed(StoreFailure::NotDone), true};
    const auto result = write();
    ASSERT_FALSE(result);
    EXPECT_EQ(m_store->calls, 1);
    EXPECT_EQ(counted("over_budget"), 0U);
}

TEST(CallBudget_anyTimesOfCalls, keepToRateAndBurst)
{
    CallBudget budget(10, 3);
    TimePoint now;
    std::vector<TimePoint> sent;
    for (int i = 0; i < 200; ++i) {
        // Quiet times and bursts.
        now += i % 20 == 0 ? seconds(2) : milliseconds(i % 3);
        if (const auto wait = budget.reserve(now, milliseconds(500))) {
            sent.push_back(now + *wait);
        }
    }
    ASSERT_GT(sent.size(), 50U);
    for (std::size_t i = 0; i + 3 < sent.size(); ++i) {
        // Any four calls span at least the time of one beyond the burst.
        EXPECT_GE(sent[i + 3] - sent[i], milliseconds(100));
    }
}

TEST(LabelKeys_operatorsPage, hasEachRowOfTheTables)
{
    std::ifstream in(std::string(TREFOILHOIST_SOURCE_DIR) + "/docs/operators/labels.md");
    std::ostringstream buf;
    buf << in.rdbuf();
    const auto page = buf.str();
    const auto row = [](std::initializer_list<std::string_view> cells) {
        std::string text = "|";
        for (const auto cell : cells) {
            text += " " + std::string(cell) + " |";
        }
        return text;
    };
    for (const auto &key : labelKeys()) {
        const auto text = row({objectKindName(key.kind), key.key, labelTypeName(key.type), key.meaning});
        EXPECT_NE(page.find(text), std::string::npos) << text;
    }
    for (const auto &key : selectorKeys()) {
        const auto text = row({objectKindName(key.kind), key.key, key.meaning});
        EXPECT_NE(page.find(text), std::string::npos) << text;
    }
}
