#include "soak/judge.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

using namespace Trefoilhoist::Soak;

namespace {

constexpr std::int64_t soakEndMs = 60'000;

class SoakJudgeTest : public testing::Test
{
protected:
    void TearDown() override
    {
        for (const auto &it : m_records) {
            std::remove(it.path.c_str());
        }
    }

    /// Adds a minion with the lines of its record. Returns what the judge is told of it beside the record.
    MinionRecord &addMinion(const std::vector<std::string> &lines)
    {
        const auto path = testing::TempDir() + "soakjudge-" + std::to_string(getpid()) + "-"
            + std::to_string(m_records.size()) + ".txt";
        std::ofstream file(path);
        for (const auto &it : lines) {
            file << it << '\n';
        }
        return m_records.emplace_back(MinionRecord{path, 0, {}});
    }

    [[nodiscard]] std::vector<std::string> found() const
    {
        std::vector<RecordedRun> runs;
        for (const auto &it : m_records) {
            const auto some = readRuns(it, soakEndMs);
            runs.insert(runs.end(), some.begin(), some.end());
        }
        return findRunsTwice(runs);
    }

    std::vector<MinionRecord> m_records;
};

} // namespace

TEST_F(SoakJudgeTest, runsOneAfterTheOther_areNotTwice)
{
    addMinion({"1000 run a t.0.0.0 run 1 start", "2000 run a t.0.0.0 run 1 stopped"});
    addMinion({"2000 run b t.0.0.0 run 2 start", "3000 run b t.0.0.0 run 2 done"});
    EXPECT_TRUE(found().empty());
}

TEST_F(SoakJudgeTest, runsAtTheSameTime_areTwice)
{
    addMinion({"1000 run a t.0.0.0 run 1 start", "2000 run a t.0.0.0 run 1 stopped"});
    addMinion({"1999 run b t.0.0.0 run 2 start", "3000 run b t.0.0.0 run 2 done"});
    EXPECT_EQ(1U, found().size());
}

TEST_F(SoakJudgeTest, runsOfOtherTasksAtTheSameTime_areNotTwice)
{
    addMinion({"1000 run a t.0.0.0 run 1 start", "2000 run a t.0.0.0 run 1 stopped"});
    addMinion({"1500 run b t.0.0.1 run 2 start", "3000 run b t.0.0.1 run 2 done"});
    EXPECT_TRUE(found().empty());
}

TEST_F(SoakJudgeTest, runBesideOneOfAMinionThatHasClosedItsPort_isTwice)
{
    addMinion({"1000 run a t.0.0.0 run 1 start",
               "1500 minion a drains",
               "3500 minion a leaves",
               "3500 minion a closes its port",
               "7000 run a t.0.0.0 run 1 gone with its minion"})
        .killedAtMs
        = 7100;
    addMinion({"3800 run b t.0.0.0 run 2 start", "5000 run b t.0.0.0 run 2 done"});
    EXPECT_EQ(1U, found().size());
}

TEST_F(SoakJudgeTest, runAfterTheMinionHasLeft_isNotTwice)
{
    addMinion({"1000 run a t.0.0.0 run 1 start", "7000 run a t.0.0.0 run 1 gone with its minion"}).killedAtMs = 7100;
    addMinion({"7000 run b t.0.0.0 run 2 start", "8000 run b t.0.0.0 run 2 done"});
    EXPECT_TRUE(found().empty());
}

TEST_F(SoakJudgeTest, runOfAKilledMinion_endsWithIt)
{
    addMinion({"1000 run a t.0.0.0 run 1 start"}).killedAtMs = 2000;
    addMinion({"2500 run b t.0.0.0 run 2 start"});
    EXPECT_TRUE(found().empty());
}

TEST_F(SoakJudgeTest, runWithoutAnEnd_lastsToTheEndOfTheSoak)
{
    addMinion({"1000 run a t.0.0.0 run 1 start"});
    addMinion({"2500 run b t.0.0.0 run 2 start", "2600 run b t.0.0.0 run 2 done"});
    EXPECT_EQ(1U, found().size());
}

TEST_F(SoakJudgeTest, lapseNoticedLate_endsTheRunWhenTheHoldExpired)
{
    addMinion({"1000 run a t.0.0.0 run 1 start", "5000 lapse a 2000", "5000 run a t.0.0.0 run 1 lapsed 2000"});
    addMinion({"3500 run b t.0.0.0 run 2 start", "4000 run b t.0.0.0 run 2 done"});
    EXPECT_TRUE(found().empty());
}

TEST_F(SoakJudgeTest, startAfterAnEndThatIsNotedLater_isTwice)
{
    addMinion({"1000 run a t.0.0.0 run 1 start", "2000 run a t.0.0.0 run 1 done", "4000 run a t.0.0.0 run 1 noted"});
    addMinion({"3000 run b t.0.0.0 run 2 start", "5000 run b t.0.0.0 run 2 done"});
    EXPECT_EQ(1U, found().size());
}

TEST_F(SoakJudgeTest, startAfterAnEndThatWasNoted_isTwice)
{
    addMinion({"1000 run a t.0.0.0 run 1 start", "2000 run a t.0.0.0 run 1 done", "2100 run a t.0.0.0 run 1 noted"});
    addMinion({"9000 run b t.0.0.0 run 2 start", "9500 run b t.0.0.0 run 2 stopped"});
    EXPECT_EQ(1U, found().size());
}

TEST_F(SoakJudgeTest, startAfterAnEndThatIsNeverNoted_isNotTwice)
{
    addMinion({"1000 run a t.0.0.0 run 1 start", "2000 run a t.0.0.0 run 1 done"});
    addMinion({"3000 run b t.0.0.0 run 2 start", "5000 run b t.0.0.0 run 2 done"});
    EXPECT_TRUE(found().empty());
}

TEST_F(SoakJudgeTest, startAfterAnEndOtherThanDone_isNotTwice)
{
    addMinion({"1000 run a t.0.0.0 run 1 start", "2000 run a t.0.0.0 run 1 stopped", "2100 run a t.0.0.0 run 1 noted"});
    addMinion({"3000 run b t.0.0.0 run 2 start", "5000 run b t.0.0.0 run 2 done"});
    EXPECT_TRUE(found().empty());
}

TEST_F(SoakJudgeTest, holdLapsedBetweenEndAndNote_givesTheTaskBack)
{
    addMinion({"1000 run a t.0.0.0 run 1 start",
               "2000 run a t.0.0.0 run 1 done",
               "3000 lapse a 10",
               "4000 run a t.0.0.0 run 1 noted"});
    addMinion({"3500 run b t.0.0.0 run 2 start", "5000 run b t.0.0.0 run 2 done"});
    EXPECT_TRUE(found().empty());
}

TEST_F(SoakJudgeTest, holdLapsedBeforeTheEndOrAfterTheNote_changesNothing)
{
    addMinion({"500 lapse a 10",
               "1000 run a t.0.0.0 run 1 start",
               "2000 run a t.0.0.0 run 1 done",
               "2100 run a t.0.0.0 run 1 noted",
               "8000 lapse a 10"});
    addMinion({"9000 run b t.0.0.0 run 2 start", "9500 run b t.0.0.0 run 2 done"});
    EXPECT_EQ(1U, found().size());
}

TEST_F(SoakJudgeTest, runsAtTheSameTimeOnlyWhileTheHostIsSuspended_areNotTwice)
{
    addMinion({"1000 run a t.0.0.0 run 1 start", "9200 run a t.0.0.0 run 1 stopped"}).suspensions = {{2000, 9300}};
    addMinion({"8500 run b t.0.0.0 run 2 start", "9800 run b t.0.0.0 run 2 done"});
    EXPECT_TRUE(found().empty());
}

TEST_F(SoakJudgeTest, runThatOutlivesTheSuspensionBesideAnother_isTwice)
{
    addMinion({"1000 run a t.0.0.0 run 1 start", "9400 run a t.0.0.0 run 1 stopped"}).suspensions = {{2000, 9300}};
    addMinion({"8500 run b t.0.0.0 run 2 start", "9800 run b t.0.0.0 run 2 done"});
    EXPECT_EQ(1U, found().size());
}

TEST_F(SoakJudgeTest, startBeforeASuspension_isNotExcused)
{
    addMinion({"1000 run a t.0.0.0 run 1 start", "9200 run a t.0.0.0 run 1 stopped"}).suspensions = {{2000, 9300}};
    addMinion({"1900 run b t.0.0.0 run 2 start", "9800 run b t.0.0.0 run 2 done"});
    EXPECT_EQ(1U, found().size());
}

TEST_F(SoakJudgeTest, tasksOfSeveralJobs_doneOnesOfTheJobAreCounted)
{
    addMinion({"1000 run a j.0.0.0 run 1 start",
               "2000 run a j.0.0.0 run 1 done",
               "1000 run a j.0.0.1 run 1 start",
               "2000 run a j.0.0.1 run 1 failed",
               "1000 run a k.0.0.0 run 1 start",
               "2000 run a k.0.0.0 run 1 done"});
    EXPECT_EQ(1U, doneTasks(readRuns(m_records.front(), soakEndMs), "j"));
}
