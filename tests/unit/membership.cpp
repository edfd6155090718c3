#include "announcement.h"
#include "trefoilhoist/membership/membershiptable.h"

#include <gtest/gtest.h>

#include <string>

using namespace Trefoilhoist;

namespace {

const EntryId alpha("entry-a");
const EntryId beta("entry-b");

Announcement announcement(std::int64_t sequence, bool leaving = false, std::int64_t incarnation = 1)
{
    Announcement result;
    result.minion.id = MinionId("m1");
    result.minion.endpoint = Endpoint{"127.0.1.1", 8080};
    result.minion.zone = ZoneId("az-1");
    result.minion.service = ServiceId("lending");
    result.minion.slots = 8;
    result.minion.connections = 64;
    result.minion.incarnation = incarnation;
    result.minion.leaving = leaving;
    result.sequence = sequence;
    return result;
}

class MembershipTest : public testing::Test
{
protected:
    TimePoint at(int millis) const
    {
        return TimePoint(seconds(1000)) + milliseconds(millis);
    }
    // Applies the delta of one table to the other.
    std::size_t push(MembershipTable &from, MembershipTable &to, TimePoint now)
    {
        return to.apply(from.takeDelta(now), now);
    }
    // Each table fetches the buckets that differ, as entries do every second.
    void exchange(MembershipTable &one, MembershipTable &two, TimePoint now)
    {
        one.apply(two.recordsIn(one.differingBuckets(two.digest()), now), now);
        two.apply(one.recordsIn(two.differingBuckets(one.digest()), now), now);
    }
    // Calls expire() at regular intervals, as a running entry does.
    void expireUntil(MembershipTable &table, int fromMillis, int toMillis)
    {
        for (int n = fromMillis; n <= toMillis; n += 500) {
            table.expire(at(n));
        }
    }

    MembershipTable m_a{alpha, MembershipTimes{}};
    MembershipTable m_b{beta, MembershipTimes{}};
};

} // namespace

TEST_F(MembershipTest, minion_announced_isAvailableHereAndAtThePeer)
{
    m_a.applyAnnouncement(announcement(1), at(0));
    EXPECT_EQ(push(m_a, m_b, at(0)), 1U);
    ASSERT_EQ(m_b.available().size(), 1U);
    EXPECT_EQ(m_b.available().front().slots, 8);
    EXPECT_EQ(m_b.ownerOf(MinionId("m1")), alpha);
    EXPECT_EQ(m_a.digest(), m_b.digest());
}

TEST_F(MembershipTest, heartbeat_unchanged_pushesNothing)
{
    m_a.applyAnnouncement(announcement(1), at(0));
    (void)m_a.takeDelta(at(0));
    const auto generation = m_a.generation();
    m_a.applyAnnouncement(announcement(2), at(500));
    EXPECT_TRUE(m_a.takeDelta(at(500)).empty());
    EXPECT_EQ(m_a.generation(), generation);
}

TEST_F(MembershipTest, leaving_thenLaterHeartbeatOfTheSameIncarnation_staysLeaving)
{
    m_a.applyAnnouncement(announcement(1), at(0));
    m_a.applyAnnouncement(announcement(5, true), at(10));
    m_a.applyAnnouncement(announcement(9), at(20));
    EXPECT_TRUE(m_a.available().empty());
    m_a.applyAnnouncement(announcement(1, false, 2), at(30));
    EXPECT_EQ(m_a.available().size(), 1U);
}

TEST_F(MembershipTest, silentMinion_isGoneAndOlderUpdatesDoNotRestoreIt)
{
    m_a.applyAnnouncement(announcement(1), at(0));
    const auto old = m_a.takeDelta(at(0));
    m_a.applyAnnouncement(announcement(4), at(1000));
    expireUntil(m_a, 1000, 4500);
    EXPECT_TRUE(m_a.available().empty());
    m_b.apply(old, at(4500));
    EXPECT_EQ(push(m_a, m_b, at(4500)), 1U);
    m_a.apply(old, at(4600));
    m_b.apply(old, at(4600));
    m_a.applyAnnouncement(announcement(3), at(4700));
    EXPECT_TRUE(m_a.available().empty());
    EXPECT_TRUE(m_b.available().empty());
    m_a.applyAnnouncement(announcement(5), at(4800));
    EXPECT_EQ(m_a.available().size(), 1U);
}

TEST_F(MembershipTest, minion_announcedElsewhere_movesToThatOwner)
{
    m_a.applyAnnouncement(announcement(1), at(0));
    push(m_a, m_b, at(0));
    m_b.applyAnnouncement(announcement(2), at(500));
    push(m_b, m_a, at(500));
    EXPECT_EQ(m_a.ownerOf(MinionId("m1")), beta);
    // The previous owner no longer evaluates the minion's liveness.
    expireUntil(m_a, 500, 9000);
    EXPECT_EQ(m_a.available().size(), 1U);
}

TEST_F(MembershipTest, lateUpdateOfAnEarlierOwner_isOverriddenByTheLatestHeartbeat)
{
    m_a.applyAnnouncement(announcement(1), at(0));
    push(m_a, m_b, at(0));
    m_b.applyAnnouncement(announcement(2), at(500));
    const auto late = m_b.takeDelta(at(500));
    m_a.applyAnnouncement(announcement(3), at(1000));
    EXPECT_EQ(m_a.apply(late, at(1500)), 0U);
    push(m_a, m_b, at(1500));
    EXPECT_EQ(m_b.ownerOf(MinionId("m1")), alpha);
    EXPECT_EQ(m_a.digest(), m_b.digest());
}

TEST_F(MembershipTest, lostDelta_isRepairedByDigest)
{
    m_a.applyAnnouncement(announcement(1), at(0));
    (void)m_a.takeDelta(at(0));
    EXPECT_NE(m_a.digest(), m_b.digest());
    exchange(m_b, m_a, at(1000));
    EXPECT_EQ(m_a.digest(), m_b.digest());
    EXPECT_EQ(m_b.available().size(), 1U);
}

TEST_F(MembershipTest, ownerCutOff_itsMinionsStayUntilTheOrphanTimeout)
{
    m_a.applyAnnouncement(announcement(1), at(0));
    push(m_a, m_b, at(0));
    m_b.applyOwnerDigest(alpha, m_a.digest(), at(1000));
    expireUntil(m_b, 0, 300'500);
    EXPECT_EQ(m_b.available().size(), 1U);
    m_b.expire(at(301'500));
    EXPECT_TRUE(m_b.available().empty());
}

TEST_F(MembershipTest, refusalAsLeaving_ownerUnreachable_stopsNewWork)
{
    m_a.applyAnnouncement(announcement(1), at(0));
    push(m_a, m_b, at(0));
    m_b.markLeaving(MinionId("m1"), 1, at(100));
    EXPECT_TRUE(m_b.available().empty());
    // The owner receives the change too, and later heartbeats of the minion don't undo it.
    push(m_b, m_a, at(200));
    m_a.applyAnnouncement(announcement(7), at(300));
    EXPECT_TRUE(m_a.available().empty());
}

TEST_F(MembershipTest, refusalByAnEarlierIncarnation_doesNotAffectTheNext)
{
    m_a.applyAnnouncement(announcement(1, false, 2), at(0));
    m_a.markLeaving(MinionId("m1"), 1, at(100));
    EXPECT_EQ(m_a.available().size(), 1U);
}

TEST_F(MembershipTest, frozenOwner_resumes_givesMinionsTimeToAnnounceThemselves)
{
    m_a.applyAnnouncement(announcement(1), at(0));
    expireUntil(m_a, 0, 1000);
    m_a.expire(at(60'000));
    EXPECT_EQ(m_a.available().size(), 1U);
    expireUntil(m_a, 60'500, 64'000);
    EXPECT_TRUE(m_a.available().empty());
}

TEST_F(MembershipTest, frozenOwner_resumesWithoutPauseGrace_removesItsMinions)
{
    MembershipSwitches switches;
    switches.pauseGrace = false;
    MembershipTable table(alpha, MembershipTimes{}, switches);
    table.applyAnnouncement(announcement(1), at(0));
    expireUntil(table, 0, 1000);
    table.expire(at(60'000));
    EXPECT_TRUE(table.available().empty());
}

TEST_F(MembershipTest, mostMinionsSilentAtOnce_ownerSuspectsLocalFaultFirst)
{
    for (const bool suspect : {true, false}) {
        MembershipSwitches switches;
        switches.suspectLocalFault = suspect;
        MembershipTable table(alpha, MembershipTimes{}, switches);
        for (int n = 0; n < 5; ++n) {
            auto update = announcement(1);
            update.minion.id = MinionId("m" + std::to_string(n));
            table.applyAnnouncement(update, at(0));
        }
        expireUntil(table, 0, 4000);
        EXPECT_EQ(table.available().size(), suspect ? 5U : 0U);
        expireUntil(table, 4500, 15'000);
        EXPECT_TRUE(table.available().empty());
    }
}
// Announcements of another writer: the entry must refuse them, and go on.
TEST(Announcement_oddValues, areRefused)
{
    const std::string good = R"({"id":"m","host":"10.0.0.9","port":8080,"zone":"z","service":"s","slots":8,)"
                             R"("incarnation":1,"sequence":1)";
    EXPECT_TRUE(announcementFromJson(good + "}"));
    constexpr std::size_t levels = 400'000;
    const std::string deep = std::string(levels, '[') + std::string(levels, ']');
    EXPECT_FALSE(announcementFromJson(good + R"(,"labels":)" + deep + "}"));
    EXPECT_FALSE(announcementFromJson(good + R"(,"leaving":)" + deep + "}"));
    EXPECT_FALSE(announcementFromJson(deep));
    for (const auto *odd :
         {"0", "65536", "99999", "-1", "1e400", "99999999999999999999", R"("8080")", "80.5", "null"}) {
        EXPECT_FALSE(announcementFromJson(good + R"(,"port":)" + odd + "}")) << odd;
    }
    // A field that is not known is not looked at.
    EXPECT_TRUE(announcementFromJson(good + R"(,"extra":)" + deep + "}"));
}
