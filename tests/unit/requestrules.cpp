#include "src/programs/entry/attempttracker.h"

#include "trefoilhoist/claims/claimtable.h"

#include <gtest/gtest.h>

using namespace Trefoilhoist;

namespace {

// Ends of the attempts of one request, and the decision expected after the last one.
struct AttemptCase {
    const char *name;
    bool idempotent;
    std::vector<AttemptEnd> ends;
    bool budget;
    std::string expected;
};

std::string describe(const AttemptDecision &step)
{
    if (std::holds_alternative<TryAgain>(step)) {
        return "try again";
    }
    if (std::holds_alternative<ForwardAnswer>(step)) {
        return "forward";
    }
    return std::string(verdictName(std::get<GiveUp>(step).verdict));
}

class ClaimTableTest : public testing::Test
{
protected:
    static ClaimTry tryOf(const std::string &token, const std::string &fingerprint = "f")
    {
        return {{CallerId("kitchen"), ServiceId("lending"), "k"}, token, fingerprint, 1};
    }
    static ClaimSettings settings()
    {
        ClaimSettings settings;
        settings.retention = seconds(100);
        settings.maxAnswerBytes = 50;
        settings.maxTotalAnswerBytes = 80;
        return settings;
    }
    static HttpResponse answerOf(std::size_t bytes)
    {
        return {200, {}, std::string(bytes, 'x')};
    }

    ClaimTable m_table{settings()};
    TimePoint m_now{seconds(1)};
};

} // namespace

TEST(RequestCourse_attemptEnded, returnsTheExpectedDecision)
{
    using enum AttemptEnd;
    const std::vector<AttemptCase> cases{
        {"answer", false, {Answered}, true, "forward"},
        {"server error of the minion", false, {ServerError}, true, "forward"},
        {"refused", false, {Refused}, true, "try again"},
        {"leaving", false, {Leaving}, true, "try again"},
        {"no connection", false, {Unreachable}, true, "try again"},
        {"refused, no budget", false, {Refused}, false, "not-run"},
        {"refused too often", false, {Refused, Refused, Refused, Unreachable}, true, "not-run"},
        {"lost non-idempotent request", false, {Lost}, true, "may-have-run"},
        {"lost after a refusal", false, {Refused, Lost}, true, "may-have-run"},
        {"lost idempotent request", true, {Lost}, true, "try again"},
        {"lost, then refused", true, {Lost, Refused}, false, "may-have-run"},
    };
    for (const auto &it : cases) {
        SCOPED_TRACE(it.name);
        AttemptTracker tracker({it.idempotent, TimePoint(seconds(10)), 4});
        AttemptDecision step;
        for (std::size_t i = 0; i < it.ends.size(); ++i) {
            tracker.dispatched(MinionId("m" + std::to_string(i)));
            step = tracker.attemptEnded(it.ends[i], "reason", TimePoint(seconds(1)), [&] { return it.budget; });
        }
        EXPECT_EQ(describe(step), it.expected);
    }
}

TEST(RequestCourse_deadlinePassed, doesNotRetry)
{
    AttemptTracker tracker({true, TimePoint(seconds(1)), 4});
    tracker.dispatched(MinionId("m"));
    const auto step = tracker.attemptEnded(AttemptEnd::Lost, "late", TimePoint(seconds(1)), [] { return true; });
    EXPECT_EQ(describe(step), "may-have-run");
}

TEST_F(ClaimTableTest, withdrawnAttempt_arrivingLate_isRefused)
{
    m_table.finish({tryOf("t1"), Verdict::NotRun, false, {}}, m_now);
    EXPECT_TRUE(std::holds_alternative<ClaimRefused>(m_table.claim(tryOf("t1"), m_now)));
    EXPECT_TRUE(std::holds_alternative<ClaimGranted>(m_table.claim(tryOf("t2"), m_now)));
    EXPECT_TRUE(std::holds_alternative<ClaimRunning>(m_table.claim(tryOf("t3"), m_now)));
}

TEST_F(ClaimTableTest, keyOfAnotherRequest_isRefused)
{
    EXPECT_TRUE(std::holds_alternative<ClaimGranted>(m_table.claim(tryOf("t1"), m_now)));
    const auto answer = m_table.claim(tryOf("t2", "other"), m_now);
    ASSERT_TRUE(std::holds_alternative<ClaimRefused>(answer));
    EXPECT_TRUE(std::get<ClaimRefused>(answer).otherRequest);
}

TEST_F(ClaimTableTest, answersBeyondTheSizeLimits_areDropped_verdictRanIsKept)
{
    for (const auto &[key, bytes] : {std::pair("a", 40), std::pair("b", 40), std::pair("c", 40), std::pair("d", 60)}) {
        auto claim = tryOf("t");
        claim.key.key = key;
        m_table.finish({claim, Verdict::Ran, false, answerOf(static_cast<std::size_t>(bytes))}, m_now);
    }
    for (const auto &[key, dropped] : {std::pair("a", true), std::pair("c", false), std::pair("d", true)}) {
        auto claim = tryOf("again");
        claim.key.key = key;
        const auto answer = m_table.claim(claim, m_now);
        ASSERT_TRUE(std::holds_alternative<ClaimFinished>(answer));
        EXPECT_EQ(std::get<ClaimFinished>(answer).answer->dropped, dropped) << key;
        EXPECT_EQ(std::get<ClaimFinished>(answer).answer->verdict, Verdict::Ran);
    }
}

TEST_F(ClaimTableTest, claim_afterRetention_isRemoved)
{
    EXPECT_TRUE(std::holds_alternative<ClaimGranted>(m_table.claim(tryOf("t1"), m_now)));
    m_table.expire(m_now + seconds(99));
    EXPECT_TRUE(std::holds_alternative<ClaimRunning>(m_table.claim(tryOf("t2"), m_now)));
    m_table.expire(m_now + seconds(100));
    EXPECT_EQ(m_table.size(), 0);
}
