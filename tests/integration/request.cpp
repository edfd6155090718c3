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

// A fault on the link to the only minion, and the verdict and number of executions expected for it.
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

TEST_F(RequestTest, order_onFaultyLink_getsACorrectVerdict)
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

TEST_F(RequestTest, answers_crossedOrDuplicated_areNeverReturnedToAnotherCaller)
{
    auto &site = start({});
    int own = 0;
    for (const auto *fault : {"crossAnswers", "duplicateAnswers"}) {
        for (int k = 0; k < 2; ++k) {
            site.setFaults("minion-" + std::to_string(k), {{fault, true}});
        }
        std::vector<std::future<CallResult>> calls;
        for (int i = 0; i < 60; ++i) {
            auto request = site.serviceRequest("POST", fault + std::to_string(i), "body " + std::to_string(i));
            request.headers.set(deadlineHeader, "1500");
            calls.push_back(site.callLater(site.entryAddress(i % 2), request));
        }
        for (std::size_t i = 0; i < calls.size(); ++i) {
            const auto result = calls[i].get();
            if (verdictOf(result) != "ran") {
                EXPECT_TRUE(verdictOf(result) == "may-have-run" || verdictOf(result) == "not-run");
                continue;
            }
            ++own;
            EXPECT_EQ(result->body, "POST /" + (fault + std::to_string(i)) + "\nbody " + std::to_string(i));
        }
    }
    EXPECT_GT(own, 0);
}

TEST_F(RequestTest, minion_killedOrFrozen_requestsGetCorrectVerdicts)
{
    SitePlan plan;
    plan.entries = 2;
    plan.minions = 3;
    auto &site = start(plan);
    std::map<std::string, std::string> verdicts;
    int answered = 0;
    for (const int signal : {SIGKILL, SIGSTOP}) {
        site.minion(signal == SIGKILL ? 0 : 1).signal(signal);
        for (int i = 0; i < 40; ++i) {
            const auto id = std::to_string(signal) + "-" + std::to_string(i);
            auto request = site.serviceRequest("POST", id);
            request.headers.set(deadlineHeader, "300");
            verdicts[id] = verdictOf(site.call(site.entryAddress(i % 2), request));
            answered += verdicts[id] == "ran" ? 1 : 0;
        }
    }
    // A frozen minion runs the requests it received as soon as it is resumed.
    site.minion(1).signal(SIGCONT);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    for (const auto &[id, verdict] : verdicts) {
        EXPECT_TRUE(verdict == "ran" || verdict == "not-run" || verdict == "may-have-run") << verdict;
        const int runs = site.executionsOf(id);
        EXPECT_LE(runs, 1) << id;
        EXPECT_TRUE(verdict != "not-run" || runs == 0) << id;
    }
    // Two of three minions failed in turn. Failure evidence must divert requests from them.
    EXPECT_GT(answered, 50);
}

TEST_F(RequestTest, store_unavailable_requestsStillSucceed)
{
    SitePlan plan;
    plan.store = true;
    auto &site = start(plan);
    site.store().signal(SIGKILL);
    site.store().wait();
    for (int i = 0; i < 20; ++i) {
        const auto id = "o" + std::to_string(i);
        EXPECT_EQ(verdictOf(site.call(site.entryAddress(i % 2), site.serviceRequest("POST", id))), "ran");
        EXPECT_EQ(site.executionsOf(id), 1);
    }
}

TEST_F(RequestTest, badRequests_areRefusedAsNotRun)
{
    SitePlan plan;
    plan.entries = 1;
    plan.minions = 1;
    plan.entrySettings = {{"limits", {{"maxBodyBytes", 1000}, {"maxHeaderBytes", 2000}}}};
    auto &site = start(plan);
    const auto statusOf = [&](const HttpRequest &request) {
        const auto result = site.call(site.entryAddress(0), request);
        EXPECT_EQ(verdictOf(result), "not-run");
        return result ? result->status : 0;
    };
    auto deadline = site.serviceRequest("POST", "b1");
    deadline.headers.set(deadlineHeader, "soon");
    EXPECT_EQ(statusOf(deadline), 400);
    auto attempt = site.serviceRequest("POST", "b2");
    attempt.headers.set(attemptHeader, "-1");
    EXPECT_EQ(statusOf(attempt), 400);
    auto anonymous = site.serviceRequest("POST", "b3");
    anonymous.headers.erase(callerHeader);
    anonymous.headers.set(idempotencyHeader, "k");
    EXPECT_EQ(statusOf(anonymous), 400);
    EXPECT_EQ(statusOf(site.serviceRequest("POST", "b4", std::string(2000, 'x'))), 413);
    auto header = site.serviceRequest("POST", "b5");
    header.headers.set("X-Long", std::string(4000, 'x'));
    EXPECT_EQ(statusOf(header), 431);
    EXPECT_EQ(site.executionsOn(0), 0);
}
