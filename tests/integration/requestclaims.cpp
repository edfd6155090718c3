#include "harness/site.h"

#include <gtest/gtest.h>

#include <signal.h>

using namespace Trefoilhoist;
using namespace Trefoilhoist::Testing;

namespace {

class ClaimedRequestTest : public testing::Test
{
protected:
    void start(double serviceMs, const nlohmann::json &entrySettings = nlohmann::json::object())
    {
        SitePlan plan;
        plan.entries = 3;
        plan.entrySettings = entrySettings;
        plan.medianServiceMs = serviceMs;
        plan.minionSettings = {{"sigma", 0.0}};
        m_site = std::make_unique<Site>(plan);
        for (int i = 0; i < plan.entries; ++i) {
            // Once digests between the peers succeed, the entries can serve claims.
            ASSERT_TRUE(eventually(
                [&] { return m_site->metric(i, "trefoilhoist_peer_digests_total{result=\"answered\"}") >= 2; }));
        }
    }

    std::future<CallResult>
    sendRequest(int entry, const std::string &id, int attempt, int deadlineMs, const std::string &body = "tin 7")
    {
        auto request = m_site->serviceRequest("POST", id, body);
        request.headers.set(idempotencyHeader, id);
        request.headers.set(attemptHeader, std::to_string(attempt));
        request.headers.set(deadlineHeader, std::to_string(deadlineMs));
        return m_site->callLater(m_site->entryAddress(entry), request);
    }

    static std::string verdictOf(const CallResult &result)
    {
        return result ? result->headers.get(verdictHeader) : "no answer: " + result.error().reason;
    }

    // Waits until a minion has started to run the request.
    [[nodiscard]] bool hasStarted(const std::string &id)
    {
        return eventually([&] { return m_site->executionsOf(id) == 1; });
    }

    std::unique_ptr<Site> m_site;
};

} // namespace

TEST_F(ClaimedRequestTest, repeat_throughAnotherEntry_getsTheFirstAnswer)
{
    start(2);
    const auto first = sendRequest(0, "r1", 1, 2000).get();
    ASSERT_EQ(verdictOf(first), "ran");
    for (int entry = 0; entry < 3; ++entry) {
        const auto again = sendRequest(entry, "r1", 2, 2000).get();
        ASSERT_EQ(verdictOf(again), "ran");
        EXPECT_EQ(again->body, first->body);
        EXPECT_EQ(again->headers.get(replayedHeader), "true");
    }
    EXPECT_EQ(m_site->executionsOf("r1"), 1);

    const auto other = sendRequest(1, "r1", 1, 2000, "tin 8").get();
    ASSERT_TRUE(other);
    EXPECT_EQ(other->status, 422);
    EXPECT_EQ(verdictOf(other), "not-run");
}

TEST_F(ClaimedRequestTest, repeat_afterALostAnswer_isNotRunAgain)
{
    start(2);
    m_site->setFaults("minion-0", {{"dropAnswers", true}});
    m_site->setFaults("minion-1", {{"dropAnswers", true}});
    EXPECT_EQ(verdictOf(sendRequest(0, "r1", 1, 1000).get()), "may-have-run");
    m_site->setFaults("minion-0", nlohmann::json::object());
    m_site->setFaults("minion-1", nlohmann::json::object());
    EXPECT_EQ(verdictOf(sendRequest(1, "r1", 2, 1000).get()), "may-have-run");
    EXPECT_EQ(m_site->executionsOf("r1"), 1);
}

TEST_F(ClaimedRequestTest, entry_frozenWithAClaim_doesNotRunItTwiceWhenResumed)
{
    start(1200);
    auto first = sendRequest(0, "r1", 1, 5000);
    ASSERT_TRUE(hasStarted("r1"));
    m_site->entry(0).signal(SIGSTOP);
    EXPECT_EQ(verdictOf(sendRequest(1, "r1", 2, 1500).get()), "may-have-run");
    m_site->entry(0).signal(SIGCONT);
    EXPECT_EQ(verdictOf(first.get()), "ran");
    // Once the end of the first attempt has been reported to the holders, every entry returns its answer.
    EXPECT_TRUE(eventually([&] { return verdictOf(sendRequest(2, "r1", 3, 1000).get()) == "ran"; }));
    EXPECT_EQ(m_site->executionsOf("r1"), 1);
}

TEST_F(ClaimedRequestTest, entry_killedWithAClaim_leavesItAsMayHaveRun)
{
    start(800);
    auto first = sendRequest(0, "r1", 1, 5000);
    ASSERT_TRUE(hasStarted("r1"));
    m_site->entry(0).signal(SIGKILL);
    EXPECT_EQ(verdictOf(sendRequest(1, "r1", 2, 1000).get()), "may-have-run");
    m_site->restartEntry(0);
    EXPECT_EQ(verdictOf(sendRequest(0, "r1", 3, 1000).get()), "may-have-run");
    EXPECT_EQ(m_site->executionsOf("r1"), 1);
    // Two of three holders are enough for other requests.
    EXPECT_EQ(verdictOf(sendRequest(2, "r2", 1, 4000).get()), "ran");
}

TEST_F(ClaimedRequestTest, entry_partitionedFromAllOthers_refusesAsNotRun)
{
    start(2);
    m_site->cutEntries(0, 1, true);
    m_site->cutEntries(0, 2, true);
    EXPECT_EQ(verdictOf(sendRequest(0, "r1", 1, 2000).get()), "not-run");
    EXPECT_EQ(verdictOf(sendRequest(1, "r1", 1, 2000).get()), "ran");
    EXPECT_EQ(verdictOf(sendRequest(0, "r1", 2, 2000).get()), "may-have-run");
    EXPECT_EQ(m_site->executionsOf("r1"), 1);
}

TEST_F(ClaimedRequestTest, entry_restarted_recoversItsClaimsFromIntactPeers)
{
    start(2, {{"limits", {{"maxDeadlineMs", 1000}}}, {"claims", {{"retentionMs", 8000}}}});
    const auto intact = [&](int entry) {
        return m_site->metric(entry, "trefoilhoist_claims_intact") == 1;
    };
    // If all entries start together, none is intact until the retention has passed: a repeat may have run before.
    EXPECT_EQ(verdictOf(sendRequest(0, "unknown", 2, 500).get()), "may-have-run");
    EXPECT_EQ(m_site->executionsOf("unknown"), 0);
    ASSERT_TRUE(eventually([&] { return intact(0) && intact(1) && intact(2); }));
    EXPECT_EQ(verdictOf(sendRequest(0, "late", 2, 500).get()), "ran");

    const auto first = sendRequest(0, "r1", 1, 1000).get();
    ASSERT_EQ(verdictOf(first), "ran");
    m_site->entry(0).signal(SIGKILL);
    m_site->entry(0).wait();
    m_site->restartEntry(0);
    ASSERT_TRUE(eventually([&] { return intact(0); }, 6000));
    // This leaves the restarted entry and one that the first attempt may not have claimed from.
    m_site->entry(1).signal(SIGKILL);
    const auto again = sendRequest(0, "r1", 2, 1000).get();
    EXPECT_EQ(verdictOf(again), "ran");
    EXPECT_EQ(again ? again->body : "", first->body);
    EXPECT_EQ(m_site->executionsOf("r1"), 1);
}
