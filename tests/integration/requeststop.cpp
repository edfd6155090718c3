#include "harness/site.h"
#include "tools/load/loadrun.h"

#include <gtest/gtest.h>

#include <signal.h>

using namespace Trefoilhoist;
using namespace Trefoilhoist::Testing;

namespace {

constexpr int leavingBoundMs = 3000;

std::string verdictOf(const CallResult &result)
{
    return result ? result->headers.get(verdictHeader) : "no answer: " + result.error().reason;
}

} // namespace

TEST(Entry_stopped, finishesRequestsInFlightAndEndsWithZero)
{
    SitePlan plan;
    plan.entries = 1;
    plan.minions = 1;
    plan.medianServiceMs = 1500;
    plan.minionSettings = {{"sigma", 0.0}};
    plan.entrySettings = {{"stop", {{"graceMs", 300}}}};
    Site site(plan);
    auto early = site.callLater(site.entryAddress(0), site.serviceRequest("POST", "early"));
    ASSERT_TRUE(eventually([&] { return site.executionsOf("early") == 1; }));
    site.entry(0).signal(SIGTERM);
    ASSERT_TRUE(eventually([&] {
        const auto health = site.call(site.entryAddress(0), HttpRequest{"GET", "/-/health", {}, {}});
        return health && health->status == 503;
    }));
    // The health check reports unready, but callers that have not noticed yet are still served.
    auto late = site.callLater(site.entryAddress(0), site.serviceRequest("POST", "late"));
    EXPECT_EQ(verdictOf(early.get()), "ran");
    EXPECT_EQ(verdictOf(late.get()), "ran");
    EXPECT_EQ(site.entry(0).wait(), 0);
}

// Without grace and drain periods the same stop aborts the request. This shows that the test above passes because of
// the drain.
TEST(Entry_stoppedWithoutDrain, abortsTheRequestInFlight)
{
    SitePlan plan;
    plan.entries = 1;
    plan.minions = 1;
    plan.medianServiceMs = 1500;
    plan.minionSettings = {{"sigma", 0.0}};
    plan.entrySettings = {{"stop", {{"graceMs", 0}, {"drainMs", 0}}}};
    Site site(plan);
    auto early = site.callLater(site.entryAddress(0), site.serviceRequest("POST", "early"));
    ASSERT_TRUE(eventually([&] { return site.executionsOf("early") == 1; }));
    site.entry(0).signal(SIGTERM);
    EXPECT_NE(verdictOf(early.get()), "ran");
}

TEST(Entries_restartedInTurnUnderLoad, failNoRequest)
{
    SitePlan plan;
    plan.entries = 3;
    plan.minions = 3;
    plan.entrySettings = {{"stop", {{"graceMs", 1500}}}};
    Site site(plan);
    Tools::LoadPlan load;
    for (int i = 0; i < plan.entries; ++i) {
        load.targets.push_back(site.entryAddress(i));
    }
    load.service = ServiceId(plan.service);
    load.rates = {{CallerId("kitchen"), 150}, {CallerId("parish"), 50}};
    load.length = seconds(9);
    std::promise<Tools::LoadReport> done;
    Tools::LoadRun run(site.executor(), load);
    spawn(site.executor(), "load", [&]() -> awaitable<void> { done.set_value(co_await run.run()); });
    for (int i = 0; i < plan.entries; ++i) {
        site.entry(i).signal(SIGTERM);
        EXPECT_EQ(site.entry(i).wait(), 0) << site.entry(i).errors();
        site.restartEntry(i);
        ASSERT_TRUE(site.waitForMinions(i, plan.minions));
    }
    const auto total = done.get_future().get().total();
    EXPECT_GT(total.sent, 1000);
    EXPECT_EQ(total.answered, total.sent);
    EXPECT_EQ(total.notRun + total.mayHaveRun + total.serverErrors + total.wrongAnswers, 0);
}

TEST(Minion_leavingWhileEntriesArePartitioned, getsNoNewRequestsAfterTheBound)
{
    SitePlan plan;
    plan.entries = 3;
    plan.minions = 2;
    // The minion keeps serving after it leaves, so that a request sent to it would be executed and counted.
    plan.minionSettings = {{"leaveGraceMs", 20000}};
    Site site(plan);
    const auto sendToAll = [&](const std::string &prefix) {
        for (int i = 0; i < 45; ++i) {
            const auto id = prefix + std::to_string(i);
            site.call(site.entryAddress(i % plan.entries), site.serviceRequest("GET", id), seconds(2));
        }
    };
    sendToAll("before");
    ASSERT_GT(site.executionsOn(0), 0);
    for (int i = 0; i < plan.entries; ++i) {
        for (int j = i + 1; j < plan.entries; ++j) {
            site.cutEntries(i, j, true);
        }
    }
    site.minion(0).signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(leavingBoundMs));
    const int atBound = site.executionsOn(0);
    sendToAll("after");
    EXPECT_EQ(site.executionsOn(0), atBound);
}
