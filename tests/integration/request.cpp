#include "harness/site.h"

#include <gtest/gtest.h>

#include <signal.h>

using namespace Trefoilhoist;
using namespace Trefoilhoist::Testing;

namespace {

std::string verdictOf(const CallResult &result)
{
    return result ? result->headers.get(verdictHeader) : "no answer: " + result.error().reason;
}

class RequestTest : public testing::Test
{
protected:
    Site &start(SitePlan plan)
    {
        m_site = std::make_unique<Site>(std::move(plan));
        return *m_site;
    }

    std::unique_ptr<Site> m_site;
};

// A fault on the link to the only minion, and what a caller must see.
struct LinkFaultCase {
    const char *name;
    nlohmann::json faults;
    std::string verdict;
    int executions;
};

} // namespace

TEST_F(RequestTest, request_throughAnyEntry_getsItsOwnAnswer)
{
    auto &site = start({});
    for (int i = 0; i < 20; ++i) {
        const auto id = "r" + std::to_string(i);
        const auto result = site.call(site.entryAddress(i % 2), site.serviceRequest("POST", id, id));
        ASSERT_EQ(verdictOf(result), "ran");
        EXPECT_EQ(result->body.substr(result->body.find('\n')), "\n" + id);
        EXPECT_EQ(site.executionsOf(id), 1);
    }
}

TEST_F(RequestTest, order_onFaultyLink_getsAnHonestVerdict)
{
    SitePlan plan;
    plan.entries = 1;
    plan.minions = 1;
    auto &site = start(plan);
    const std::vector<LinkFaultCase> cases{
        {"cut", {{"cut", true}}, "may-have-run", 0},
        {"dropped", {{"dropAnswers", true}}, "may-have-run", 1},
        {"truncated", {{"truncateAnswersAfter", 60}}, "may-have-run", 1},
        {"late", {{"answerDelayMs", 3000}}, "may-have-run", 1},
        {"healthy", nlohmann::json::object(), "ran", 1},
    };
    for (const auto &it : cases) {
        SCOPED_TRACE(it.name);
        site.setFaults("minion-0", it.faults);
        auto request = site.serviceRequest("POST", it.name, "tin");
        request.headers.set(deadlineHeader, "1000");
        const auto result = site.call(site.entryAddress(0), request);
        EXPECT_EQ(verdictOf(result), it.verdict);
        EXPECT_EQ(site.executionsOf(it.name), it.executions);
    }
}
