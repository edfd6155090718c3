#include "trefoilhoist/jobs/throttlecontrol.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

constexpr std::int64_t minionCpuMilli = 10'000;
constexpr std::int64_t targetMs = 50;
constexpr Duration listingInterval = milliseconds(500);

/// One minion with a serving task and best-effort tasks beside it.
class ThrottleControlTest : public testing::Test
{
protected:
    ThrottleControlTest()
    {
        m_throttle.setCapacity(minionCpuMilli);
        setImageEffect("heavy", 8);
        setImageEffect("light", 0);
    }

    void setImageEffect(const std::string &bestEffortImage, double effect)
    {
        Wire::ImagePair pair;
        pair.servingImage = "site";
        pair.fillingImage = bestEffortImage;
        pair.effect = effect;
        m_throttle.setPairEffect(pair);
    }

    void add(const std::string &job, const std::string &image, bool serving)
    {
        Wire::RunInfo info;
        info.task.job = job;
        info.run = 1;
        info.image = image;
        info.cpuMilli = 1500;
        info.usesIdleCpu = !serving;
        info.tailTargetMs = serving ? targetMs : 0;
        m_throttle.addRun(info);
        Wire::RunningTask row;
        row.task = info.task;
        row.run = 1;
        row.percent = 100;
        row.usage = serving ? 20 : 1500;
        m_rows.push_back(row);
    }

    void setTail(std::int64_t tailMs)
    {
        m_rows.front().usage = tailMs;
    }

    /// Applies the next listing and returns the changed throttle settings, in percent by job.
    std::map<std::string, int> applyNextListing()
    {
        m_now += listingInterval;
        std::map<std::string, int> result;
        for (const auto &order : m_throttle.update(m_rows, m_now)) {
            result[order.run.task.job] = order.percent;
        }
        return result;
    }

    ThrottleControl m_throttle;
    std::vector<Wire::RunningTask> m_rows;
    TimePoint m_now{seconds(100)};
};

} // namespace

TEST_F(ThrottleControlTest, tailWellUnderTarget_heavyBestEffortTask_runsAtFullSpeed)
{
    add("s", "site", true);
    add("f", "heavy", false);
    setTail(10);
    EXPECT_TRUE(applyNextListing().empty());
}

TEST_F(ThrottleControlTest, tailOverTarget_heavyAndLightBestEffortTask_throttlesOnlyTheHeavyOne)
{
    add("s", "site", true);
    add("f", "heavy", false);
    add("g", "light", false);
    setTail(60);
    const auto orders = applyNextListing();
    EXPECT_EQ(orders.count("g"), 0U);
    ASSERT_EQ(orders.count("f"), 1U);
    EXPECT_LT(orders.at("f"), 100);
}

TEST_F(ThrottleControlTest, tailFarOverTarget_littleOwnSlack_bestEffortTasksAreNearlyStoppedAtOnce)
{
    setImageEffect("medium", 2);
    add("s", "site", true);
    add("f", "medium", false);
    add("g", "medium", false);
    setTail(500);
    const auto orders = applyNextListing();
    ASSERT_EQ(orders.count("f"), 1U);
    ASSERT_EQ(orders.count("g"), 1U);
    EXPECT_LE(orders.at("f"), 5);
    EXPECT_LE(orders.at("g"), 5);
}

TEST_F(ThrottleControlTest, tailBackUnderTarget_throttledTask_speedsUpAgain)
{
    add("s", "site", true);
    add("f", "heavy", false);
    setTail(70);
    const int throttled = applyNextListing().at("f");
    m_rows.back().usage = 1500 * throttled / 100;
    setTail(12);
    int percent = throttled;
    for (int i = 0; i < 6; ++i) {
        const auto orders = applyNextListing();
        percent = orders.count("f") > 0 ? orders.at("f") : percent;
    }
    EXPECT_EQ(percent, 100);
}

TEST_F(ThrottleControlTest, tailOverTargetForLong_tasksWithLowEstimatedEffect_areStoppedToo)
{
    add("s", "site", true);
    add("g", "light", false);
    setTail(80);
    std::map<std::string, int> last;
    for (int i = 0; i < 7; ++i) {
        const auto orders = applyNextListing();
        last.insert(orders.begin(), orders.end());
    }
    ASSERT_EQ(last.count("g"), 1U);
    EXPECT_LE(last.at("g"), 5);
}

TEST_F(ThrottleControlTest, newHeavyTask_littleSlackLeft_startsThrottled)
{
    add("s", "site", true);
    add("f", "heavy", false);
    setTail(45);
    applyNextListing();
    Wire::RunInfo started;
    started.task.job = "n";
    started.run = 1;
    started.image = "heavy";
    started.cpuMilli = 1500;
    started.usesIdleCpu = true;
    m_throttle.addRun(started);
    EXPECT_LT(m_throttle.initialPercent({started.task, 1}), 100);
}

TEST_F(ThrottleControlTest, failedOrder_nextListing_isSentAgain)
{
    add("s", "site", true);
    add("f", "heavy", false);
    setTail(60);
    const auto first = applyNextListing();
    ASSERT_EQ(first.count("f"), 1U);
    m_throttle.markNotApplied({m_rows.back().task, 1});
    EXPECT_EQ(applyNextListing().count("f"), 1U);
}

/// Feeds the table with changes of one serving task's slack.
class InterferenceTableTest : public testing::Test
{
protected:
    void observeChange(double slackChange, const std::string &image, double shareChange)
    {
        m_now += listingInterval;
        m_table.observe("site", slackChange, {{image, shareChange}}, m_now);
    }

    InterferenceTable m_table;
    TimePoint m_now{seconds(100)};
};

TEST_F(InterferenceTableTest, heavyAndLightImage_fewChanges_areDistinguished)
{
    for (int i = 0; i < 8; ++i) {
        const double sign = i % 2 == 0 ? 1 : -1;
        observeChange(-0.6 * sign, "heavy", 0.1 * sign);
        observeChange(0.02 * sign, "light", 0.1 * sign);
    }
    EXPECT_NEAR(m_table.effect("site", "heavy"), 6, 1);
    EXPECT_LT(m_table.effect("site", "light"), 0.5);
}

TEST_F(InterferenceTableTest, twoImagesThatChangeTogether_oneAlsoChangesAlone_effectIsAttributedToTheOther)
{
    for (int i = 0; i < 10; ++i) {
        const double sign = i % 2 == 0 ? 1 : -1;
        m_now += listingInterval;
        m_table.observe("site", -0.5 * sign, {{"heavy", 0.1 * sign}, {"light", 0.1 * sign}}, m_now);
        observeChange(0, "light", 0.1 * sign);
    }
    EXPECT_GT(m_table.effect("site", "heavy"), 3.5);
    EXPECT_LT(m_table.effect("site", "light"), 1);
}

TEST_F(InterferenceTableTest, changedEffect_laterMeasurements_estimateFollows)
{
    for (int i = 0; i < 20; ++i) {
        const double sign = i % 2 == 0 ? 1 : -1;
        observeChange(-0.5 * sign, "image", 0.1 * sign);
    }
    m_now += seconds(90);
    for (int i = 0; i < 20; ++i) {
        const double sign = i % 2 == 0 ? 1 : -1;
        observeChange(0, "image", 0.1 * sign);
    }
    EXPECT_LT(m_table.effect("site", "image"), 2);
}

TEST_F(InterferenceTableTest, priorOfAPair_ownEvidence_outweighsItInTheEnd)
{
    Wire::ImagePair pair;
    pair.servingImage = "site";
    pair.fillingImage = "image";
    pair.effect = 8;
    m_table.setPrior(pair);
    EXPECT_DOUBLE_EQ(m_table.effect("site", "image"), 8);
    observeChange(0, "image", 0.1);
    EXPECT_GT(m_table.effect("site", "image"), 4);
    for (int i = 0; i < 40; ++i) {
        observeChange(0, "image", i % 2 == 0 ? -0.1 : 0.1);
    }
    EXPECT_LT(m_table.effect("site", "image"), 1.5);
    EXPECT_EQ(m_table.pairs().size(), 1U);
}

TEST_F(InterferenceTableTest, pairWithLittleEvidence_isNotReported)
{
    std::int64_t reported = 0;
    observeChange(-0.1, "image", 0.02);
    EXPECT_TRUE(m_table.takeChanged(reported).empty());
    for (int i = 0; i < 10; ++i) {
        observeChange(-0.5, "image", 0.1);
    }
    EXPECT_EQ(m_table.takeChanged(reported).size(), 1U);
    EXPECT_TRUE(m_table.takeChanged(reported).empty());
}

TEST_F(InterferenceTableTest, processThatHeardNothingYet_isToldAllPairs)
{
    std::int64_t first = 0;
    for (int i = 0; i < 10; ++i) {
        observeChange(-0.5, "image", 0.1);
    }
    EXPECT_EQ(m_table.takeChanged(first).size(), 1U);
    for (int i = 0; i < 10; ++i) {
        observeChange(-0.5, "other", 0.1);
    }
    EXPECT_EQ(m_table.takeChanged(first).size(), 1U);
    std::int64_t second = 0;
    EXPECT_EQ(m_table.takeChanged(second).size(), 2U);
}

} // namespace Trefoilhoist::Jobs
