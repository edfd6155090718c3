#include "src/programs/burn/burnrender.h"

#include <gtest/gtest.h>

using namespace Trefoilhoist;

namespace {

class BurnTest : public testing::Test
{
protected:
    void SetUp() override
    {
        Contract contract;
        contract.service = ServiceId("lending");
        contract.latencyTarget = milliseconds(100);
        contract.latencyObjective = 0.99;
        contract.answerObjective = 0.999;
        m_table.setContract(contract);
    }

    void record(int requests, bool answered, Duration latency, const std::string &minion = "m1")
    {
        for (int i = 0; i < requests; ++i) {
            m_table.record({ServiceId("lending"), CallerId("kitchen"), MinionId(minion), answered, latency}, m_now);
        }
    }

    BurnRow row(BurnKind kind)
    {
        BurnReport report;
        EXPECT_TRUE(report.addSnapshot(m_table.json(m_now)));
        for (const auto &it : report.rows()) {
            if (it.kind == kind) {
                return it;
            }
        }
        ADD_FAILURE() << "the report has no row of this kind";
        return {};
    }

    BurnTable m_table;
    TimePoint m_now{seconds(100000)};
};

} // namespace

TEST_F(BurnTest, allAnsweredWithinTarget_hasBurnRateZero)
{
    record(1000, true, milliseconds(10));
    EXPECT_EQ(row(BurnKind::Answers).rates[0], 0);
    EXPECT_EQ(row(BurnKind::Latency).level, BurnLevel::Ok);
    EXPECT_EQ(row(BurnKind::Latency).budgetLeft, 1);
}

TEST_F(BurnTest, badShareEqualToAllowedShare_hasBurnRateOne)
{
    record(990, true, milliseconds(10));
    record(10, true, milliseconds(101));
    EXPECT_NEAR(row(BurnKind::Latency).rates[1], 1.0, 1e-9);
}

TEST_F(BurnTest, oneFifthFailed_isFastBurnAndNamesTheMinion)
{
    record(80, true, milliseconds(10));
    record(20, false, milliseconds(10), "m2");
    EXPECT_EQ(row(BurnKind::Answers).level, BurnLevel::Fast);
    BurnReport report;
    ASSERT_TRUE(report.addSnapshot(m_table.json(m_now)));
    ASSERT_EQ(report.sources().size(), 1);
    EXPECT_EQ(report.sources()[0].minion, MinionId("m2"));
    EXPECT_NE(burnText(report).find("worst: fast"), std::string::npos);
}

TEST_F(BurnTest, oldFailures_countOnlyInTheLongerWindows)
{
    record(100, false, milliseconds(10));
    m_now += seconds(400);
    record(1, true, milliseconds(10));
    const auto answers = row(BurnKind::Answers);
    EXPECT_EQ(answers.rates[0], 0);
    EXPECT_GT(answers.rates[1], 1);
    EXPECT_EQ(answers.level, BurnLevel::Slow);
    EXPECT_LT(answers.budgetLeft, 0);
}

TEST_F(BurnTest, snapshotsOfTwoEntries_areSummed)
{
    record(100, true, milliseconds(10));
    BurnReport report;
    ASSERT_TRUE(report.addSnapshot(m_table.json(m_now)));
    ASSERT_TRUE(report.addSnapshot(m_table.json(m_now)));
    EXPECT_EQ(report.rows()[0].counts[0].total, 200);
}

TEST_F(BurnTest, invalidSnapshot_isRejectedAndChangesNothing)
{
    record(10, true, milliseconds(10));
    BurnReport report;
    ASSERT_TRUE(report.addSnapshot(m_table.json(m_now)));
    EXPECT_FALSE(report.addSnapshot(R"({"services": [{"service": "lending"}]})"));
    EXPECT_FALSE(report.addSnapshot("no json"));
    EXPECT_EQ(report.rows()[0].counts[0].total, 10);
}
