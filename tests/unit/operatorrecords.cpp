#include "trefoilhoist/jobs/operatorrecords.h"

#include <gtest/gtest.h>

#include <charconv>

namespace Trefoilhoist::Jobs {

namespace {

/// The value of the configuration is its version; an unreadable one is empty.
class PlainTranslator : public ConfigurationTranslator
{
public:
    [[nodiscard]] std::string prefix() const override
    {
        return "operators/";
    }
    [[nodiscard]] std::string configurationKey() const override
    {
        return "operators/queues";
    }
    [[nodiscard]] std::optional<std::string> drainedZone(const std::string &key) const override
    {
        const std::string drains = "operators/drains/";
        return key.starts_with(drains) ? std::optional(key.substr(drains.size())) : std::nullopt;
    }
    [[nodiscard]] tl::expected<QueueTable, std::string> queues(const std::string &value) const override
    {
        ++m_reads;
        std::int64_t version = 0;
        std::from_chars(value.data(), value.data() + value.size(), version);
        if (version == 0) {
            return tl::unexpected(std::string("no version"));
        }
        QueueRoute route;
        route.host = "h";
        route.prefix = "/" + value + "/";
        route.policy.name = "queue";
        return QueueTable(version, {route});
    }
    [[nodiscard]] int reads() const
    {
        return m_reads;
    }

private:
    mutable int m_reads = 0;
};

StoredRecord configurationOf(const std::string &version)
{
    return {"operators/queues", version, 1};
}

StoredRecord drainOf(const std::string &zone)
{
    return {"operators/drains/" + zone, "{}", 1};
}

class OperatorRecordsTest : public testing::Test
{
protected:
    PlainTranslator m_translator;
    OperatorRecords m_records{m_translator};
};

} // namespace

TEST_F(OperatorRecordsTest, beforeTheFirstRead_isNotComplete)
{
    EXPECT_FALSE(m_records.isComplete());
    m_records.replaceAll({});
    EXPECT_TRUE(m_records.isComplete());
    EXPECT_EQ(m_records.queues().version(), 0);
}

TEST_F(OperatorRecordsTest, completeRead_withADrain_isInForceAtOnce)
{
    m_records.replaceAll({configurationOf("3"), drainOf("north")});
    EXPECT_EQ(m_records.queues().version(), 3);
    EXPECT_EQ(m_records.drainedZones(), std::set<std::string>{"north"});
}

TEST_F(OperatorRecordsTest, drain_removedWhileTheHistoryWasLost_ends)
{
    m_records.replaceAll({drainOf("north"), drainOf("south")});
    m_records.replaceAll({drainOf("south")});
    EXPECT_EQ(m_records.drainedZones(), std::set<std::string>{"south"});
}

TEST_F(OperatorRecordsTest, changes_drainAndItsEnd_areAppliedInOrder)
{
    m_records.replaceAll({});
    m_records.applyChanges({{drainOf("north"), false}, {drainOf("south"), false}, {drainOf("north"), true}});
    EXPECT_EQ(m_records.drainedZones(), std::set<std::string>{"south"});
}

TEST_F(OperatorRecordsTest, olderConfiguration_afterANewerOne_isIgnored)
{
    m_records.replaceAll({configurationOf("5")});
    m_records.applyChanges({{configurationOf("4"), false}});
    m_records.replaceAll({configurationOf("4")});
    EXPECT_EQ(m_records.queues().version(), 5);
    EXPECT_NE(m_records.queues().match("h", "/5/x"), nullptr);
}

TEST_F(OperatorRecordsTest, unreadableConfiguration_keepsTheOneInForce)
{
    m_records.replaceAll({configurationOf("5")});
    m_records.applyChanges({{configurationOf("garbled"), false}});
    EXPECT_EQ(m_records.queues().version(), 5);
}

// A storm of large configurations: a weak host that parses each one falls behind by more and more.
TEST_F(OperatorRecordsTest, manyVersionsAtOnce_onlyTheNewestIsParsed)
{
    m_records.replaceAll({});
    m_records.applyChanges(
        {{configurationOf("5"), false}, {configurationOf("6"), false}, {configurationOf("7"), false}});
    EXPECT_EQ(m_records.queues().version(), 7);
    EXPECT_EQ(m_translator.reads(), 1);
}

TEST(QueueTableTest, severalPrefixesMatch_theLongestIsTaken)
{
    std::vector<QueueRoute> routes(3);
    routes[0] = {"h", "/a/", {}};
    routes[1] = {"h", "/a/b/", {}};
    routes[2] = {"other", "/a/b/c/", {}};
    routes[1].policy.name = "b";
    const QueueTable table(1, routes);
    EXPECT_EQ(table.match("h", "/a/b/c/d")->prefix, "/a/b/");
    EXPECT_EQ(table.match("h", "/a/x")->prefix, "/a/");
    EXPECT_EQ(table.match("h", "/x"), nullptr);
    EXPECT_EQ(table.match("nowhere", "/a/"), nullptr);
    EXPECT_EQ(table.byName("b")->prefix, "/a/b/");
    EXPECT_EQ(table.byName("c"), nullptr);
}

} // namespace Trefoilhoist::Jobs
