#include "harness/site.h"
#include "trefoilhoist/wire/message.h"

#include <gtest/gtest.h>

#include <signal.h>

#include <algorithm>

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

    // Whether an entry's own table has the claim in this state.
    [[nodiscard]] bool holdsClaim(int entry, const std::string &id, Wire::ClaimState state)
    {
        Wire::ClaimPageRequest request;
        request.maxBytes = 1 << 20;
        const auto answer = m_site->callAsPeer(entry, Wire::MessageKind::ClaimPageRequestKind, Wire::encode(request));
        const auto page = answer ? Wire::decode<Wire::ClaimPage>(answer->payload) : std::nullopt;
        return page && std::any_of(page->claims.begin(), page->claims.end(), [&](const auto &it) {
                   return it.key == id && it.state == state;
               });
    }

    [[nodiscard]] bool isIntact(int entry)
    {
        return m_site->metric(entry, "trefoilhoist_claims_intact") == 1;
    }

    void killEntry(int entry)
    {
        m_site->entry(entry).signal(SIGKILL);
        m_site->entry(entry).wait();
    }

    // Sends the repeat through entry 0, started anew. Its peer that is left may not have been asked by the first
    // attempt.
    CallResult repeatAfterRestart(const std::string &id, Wire::ClaimState recovered)
    {
        m_site->restartEntry(0);
        EXPECT_TRUE(eventually([&] { return isIntact(0); }, 6000));
        EXPECT_TRUE(holdsClaim(0, id, recovered));
        killEntry(1);
        return sendRequest(0, id, 2, 1000).get();
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

TEST_F(ClaimedRequestTest, entry_killedAfterPeersHaveTheAnswer_returnsItWhenRestarted)
{
    start(2, {{"limits", {{"maxDeadlineMs", 1000}}}, {"claims", {{"retentionMs", 8000}}}});
    // If all entries start together, none is intact until the retention has passed: a repeat may have run before.
    EXPECT_EQ(verdictOf(sendRequest(0, "unknown", 2, 500).get()), "may-have-run");
    EXPECT_EQ(m_site->executionsOf("unknown"), 0);
    ASSERT_TRUE(eventually([&] { return isIntact(0) && isIntact(1) && isIntact(2); }));
    EXPECT_EQ(verdictOf(sendRequest(0, "late", 2, 500).get()), "ran");

    const auto first = sendRequest(0, "r1", 1, 1000).get();
    ASSERT_EQ(verdictOf(first), "ran");
    // The holders get the end of the claim beside the caller's answer, so not always before it.
    for (const int peer : {1, 2}) {
        ASSERT_TRUE(eventually([&] { return holdsClaim(peer, "r1", Wire::ClaimState::ClaimFinished); }, 2000));
    }
    killEntry(0);
    const auto again = repeatAfterRestart("r1", Wire::ClaimState::ClaimFinished);
    EXPECT_EQ(verdictOf(again), "ran");
    EXPECT_EQ(again ? again->body : "", first->body);
    EXPECT_EQ(m_site->executionsOf("r1"), 1);
}

TEST_F(ClaimedRequestTest, entry_killedBeforePeersHaveTheAnswer_leavesItAsMayHaveRunWhenRestarted)
{
    start(1500, {{"limits", {{"maxDeadlineMs", 4000}}}, {"claims", {{"retentionMs", 10000}}}});
    ASSERT_TRUE(eventually([&] { return isIntact(0) && isIntact(1) && isIntact(2); }));
    auto first = sendRequest(0, "r1", 1, 4000);
    const auto isRunningAtPeers = [&] {
        return holdsClaim(1, "r1", Wire::ClaimState::ClaimRunning)
            && holdsClaim(2, "r1", Wire::ClaimState::ClaimRunning);
    };
    ASSERT_TRUE(eventually(isRunningAtPeers, 1000));
    m_site->cutEntries(0, 1, true);
    m_site->cutEntries(0, 2, true);
    ASSERT_EQ(verdictOf(first.get()), "ran");
    killEntry(0);
    ASSERT_TRUE(isRunningAtPeers());
    m_site->cutEntries(0, 1, false);
    m_site->cutEntries(0, 2, false);
    EXPECT_EQ(verdictOf(repeatAfterRestart("r1", Wire::ClaimState::ClaimRunning)), "may-have-run");
    EXPECT_EQ(m_site->executionsOf("r1"), 1);
}
