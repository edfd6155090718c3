#include "trefoilhoist/net/internal/connectiontable.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace Trefoilhoist::Detail {

class ConnectionTableTest : public testing::Test
{
protected:
    ConnectionTable::Place add(const std::string &name)
    {
        return m_table.add([this, name](ConnectionPhase) { m_closed.push_back(name); });
    }

    bool closeOldest()
    {
        return m_table.closeOldest({ConnectionPhase::Idle, ConnectionPhase::Reading});
    }

    ConnectionTable m_table;
    std::vector<std::string> m_closed;
};

TEST_F(ConnectionTableTest, idleConnections_goOldestFirst)
{
    add("a");
    add("b");
    EXPECT_TRUE(closeOldest());
    EXPECT_TRUE(closeOldest());
    EXPECT_FALSE(closeOldest());
    EXPECT_EQ(m_closed, (std::vector<std::string>{"a", "b"}));
}

TEST_F(ConnectionTableTest, connectionThatWasBusy_isTheYoungestIdleOne)
{
    const auto first = add("a");
    add("b");
    m_table.enter(first, ConnectionPhase::Reading);
    m_table.enter(first, ConnectionPhase::Idle);
    EXPECT_TRUE(closeOldest());
    EXPECT_EQ(m_closed, std::vector<std::string>{"b"});
}

TEST_F(ConnectionTableTest, idleConnection_goesBeforeAnOlderOneThatReads)
{
    const auto first = add("a");
    m_table.enter(first, ConnectionPhase::Reading);
    add("b");
    EXPECT_TRUE(closeOldest());
    EXPECT_TRUE(closeOldest());
    EXPECT_EQ(m_closed, (std::vector<std::string>{"b", "a"}));
}

// A request whose handler acts already must get its answer.
TEST_F(ConnectionTableTest, connectionWithARequestInProgress_isNeverChosen)
{
    m_table.enter(add("a"), ConnectionPhase::Handling);
    EXPECT_FALSE(closeOldest());
    EXPECT_TRUE(m_closed.empty());
}

TEST_F(ConnectionTableTest, closingConnection_countsUntilItIsRemoved)
{
    const auto first = add("a");
    EXPECT_TRUE(closeOldest());
    EXPECT_EQ(m_table.size(), 1U);
    m_table.remove(first);
    EXPECT_EQ(m_table.size(), 0U);
}

} // namespace Trefoilhoist::Detail
