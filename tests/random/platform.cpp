#include "platform/callers.h"
#include "platform/minionclient.h"

#include <gtest/gtest.h>

#include <random>

namespace Trefoilhoist::Platform {

namespace {

constexpr int mutationsPerSeed = 2000;

/// Flips, cuts and repeats bytes of messages that can be read; no decoder may do more than refuse.
class DecoderMutationTest : public testing::Test
{
protected:
    std::string mutated(std::string text)
    {
        const int changes = 1 + static_cast<int>(m_random() % 4);
        for (int i = 0; i < changes && !text.empty(); ++i) {
            const auto at = m_random() % text.size();
            switch (m_random() % 4) {
            case 0:
                text[at] = static_cast<char>(m_random());
                break;
            case 1:
                text.erase(at, 1 + m_random() % 8);
                break;
            case 2:
                text.insert(at, text.substr(m_random() % text.size(), 5));
                break;
            default:
                text.resize(at);
                break;
            }
        }
        return text;
    }

    std::mt19937_64 m_random{1};
};

} // namespace

TEST_F(DecoderMutationTest, jobs_mutated_areReadWithinBoundsOrRefused)
{
    const std::string body
        = R"({"specification":"t","steps":[{"count":4,"cpu":500,"memoryRequestMb":256,"estimatedMs":900},)"
          R"({"count":20,"after":[0],"checkpointing":true}]})";
    const Callers callers;
    for (int i = 0; i < mutationsPerSeed; ++i) {
        const auto spec = callers.job("5c0e7a21d94b36f8", {}, mutated(body));
        if (!spec) {
            EXPECT_FALSE(spec.error().empty());
            continue;
        }
        for (std::size_t k = 0; k < spec->steps.size(); ++k) {
            EXPECT_GT(spec->steps[k].count, 0);
            EXPECT_GE(spec->steps[k].cpuMilli, 0);
            for (const auto it : spec->steps[k].after) {
                EXPECT_LT(static_cast<std::size_t>(it), k);
            }
        }
    }
}

TEST_F(DecoderMutationTest, heartbeats_mutated_nameAMinionOrNothing)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/instances/i-7f3a/heartbeat";
    const std::string body = R"({"service":"s","address":"10.0.0.9:8080","zone":"z","state":"ready","capacity":)"
                             R"({"cpu":16000,"memoryRequestMb":32768},"labels":["a"],"sequence":4})";
    for (int i = 0; i < mutationsPerSeed; ++i) {
        request.body = mutated(body);
        const auto message = minionMessageFrom(request);
        if (message) {
            const auto &heartbeat = std::get<Jobs::MinionHeartbeat>(*message);
            EXPECT_FALSE(heartbeat.worker.serviceName.empty());
            EXPECT_GE(heartbeat.worker.cpuMilli, 0);
        }
    }
}

TEST_F(DecoderMutationTest, listingsAndConfigurations_mutated_neverEndTheProcess)
{
    const std::string listing
        = R"({"clockMs":1,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41]],"ended":[[5,"a.0.1.9",1,"done",""]]})";
    const std::string configuration
        = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","stretch":1.5}]})";
    int read = 0;
    for (int i = 0; i < mutationsPerSeed; ++i) {
        try {
            read += static_cast<int>(listingFrom(mutated(listing)).running.size());
        } catch (const std::exception &) {
            ++read;
        }
        const auto table = Configuration().queues(mutated(configuration));
        EXPECT_TRUE(table || !table.error().empty());
    }
    EXPECT_GT(read, 0);
}

} // namespace Trefoilhoist::Platform
