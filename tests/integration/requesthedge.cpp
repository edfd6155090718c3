#include "harness/site.h"

#include <gtest/gtest.h>

#include <csignal>
#include <string>

using namespace Trefoilhoist;
using namespace Trefoilhoist::Testing;

namespace {

constexpr int warmupRequests = 200;
constexpr int measuredRequests = 30;

// Returns how many of `measuredRequests` sequential reads are answered while one of three minions is frozen.
int answersWithAFrozenMinion(bool hedging, double &hedges)
{
    SitePlan plan;
    plan.entries = 1;
    plan.minions = 3;
    plan.entrySettings = {{"routing", {{"hedging", hedging}}}};
    Site site(plan);
    const auto read = [&](const std::string &id) {
        auto request = site.serviceRequest("GET", id);
        request.headers.set(deadlineHeader, "1000");
        const auto result = site.call(site.entryAddress(0), request);
        return result && result->headers.get(verdictHeader) == "ran";
    };
    for (int i = 0; i < warmupRequests; ++i) {
        EXPECT_TRUE(read("w" + std::to_string(i)));
    }
    site.minion(0).signal(SIGSTOP);
    int answered = 0;
    for (int i = 0; i < measuredRequests; ++i) {
        answered += read("h" + std::to_string(i)) ? 1 : 0;
    }
    hedges = site.metric(0, "trefoilhoist_hedges_total{sent=\"yes\"}");
    return answered;
}

} // namespace

TEST(Hedging_minionFrozen_readsAreAnsweredElsewhere, withHedging)
{
    double hedges = 0;
    EXPECT_EQ(answersWithAFrozenMinion(true, hedges), measuredRequests);
    EXPECT_GT(hedges, 0);
}

TEST(Hedging_minionFrozen_readsAreAnsweredElsewhere, notWithHedgingDisabled)
{
    double hedges = 0;
    EXPECT_LT(answersWithAFrozenMinion(false, hedges), measuredRequests);
    EXPECT_LE(hedges, 0);
}

TEST(IdempotentRoutes_label, allowsARepeatWithoutKey)
{
    SitePlan plan;
    plan.entries = 1;
    plan.store = true;
    Site site(plan);
    const auto repeat = [&](const std::string &path) {
        auto request = site.serviceRequest("PUT", "repeat");
        request.target = "/services/lending" + path;
        request.headers.set(attemptHeader, "2");
        const auto result = site.call(site.entryAddress(0), request);
        return result ? result->headers.get(verdictHeader) : result.error().reason;
    };
    EXPECT_EQ(repeat("/lots/7"), "may-have-run");
    const auto labelled
        = runToEnd("trefoilhoist-ctl",
                   {"--store", site.storeAddress().str(), "label", "service/lending", "idempotent-routes=PUT:/lots"});
    ASSERT_EQ(labelled.code, 0) << labelled.errors;
    EXPECT_TRUE(eventually([&] { return repeat("/lots/7") == "ran"; }));
    EXPECT_EQ(repeat("/lotsOfThem"), "may-have-run");
    const auto refused
        = runToEnd("trefoilhoist-ctl",
                   {"--store", site.storeAddress().str(), "label", "service/lending", "idempotent-routes=PUT"});
    EXPECT_EQ(refused.code, 2);
}
