#include "harness/process.h"

#include "review/standins/net.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cerrno>
#include <memory>

using namespace Trefoilhoist::Testing;
using Json = nlohmann::json;
using Review::Address;

namespace {

/// An address of this test's own, so that no port of it is taken while it is closed.
const std::string ip
    = "127." + std::to_string(1 + (getpid() / 250) % 250) + "." + std::to_string(1 + getpid() % 250) + ".7";
constexpr std::int64_t soonMs = 1000;
constexpr std::int64_t answerMs = 300;

/// How an attempt to connect ends; 0 if the connection is accepted.
int connectError(const Address &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto where = Review::socketAddress(address);
    const int result = connect(fd, reinterpret_cast<const sockaddr *>(&where), sizeof(where));
    const int error = result == 0 ? 0 : errno;
    close(fd);
    return error;
}

class FaultProxyTest : public testing::Test
{
protected:
    void SetUp() override
    {
        startTarget();
        const Json links
            = {{"plain", {{"listen", m_plain.text()}, {"target", m_target.text()}}},
               {"mirror", {{"listen", m_mirror.text()}, {"target", m_target.text()}, {"refusesWhileClosed", true}}}};
        m_proxy = Process::start("standin-faultproxy", Json{{"control", m_control.text()}, {"links", links}}.dump());
        m_proxy->waitReady();
    }

    void startTarget()
    {
        m_server = std::make_unique<Review::Server>(m_target, [this](const Review::Request &) {
            ++m_served;
            return Review::Response{200, "{}"};
        });
    }

    void setFaults(const Json &faults)
    {
        const auto answer = Review::call(m_control, "PUT", "/links/plain", faults.dump(), soonMs);
        ASSERT_TRUE(answer);
        ASSERT_EQ(200, answer->status);
    }

    [[nodiscard]] static bool isAnswered(const Address &link)
    {
        return Review::call(link, "GET", "/", "", answerMs).has_value();
    }

    /// True once connections to the link end with this error, or are accepted if it is 0.
    [[nodiscard]] static bool waitForConnectError(const Address &link, int error)
    {
        for (std::int64_t waitedMs = 0; waitedMs < soonMs; waitedMs += 10) {
            if (connectError(link) == error) {
                return true;
            }
            Review::sleepMs(10);
        }
        return false;
    }

    const Address m_target{ip, Review::freePort(ip)};
    const Address m_plain{ip, Review::freePort(ip)};
    const Address m_mirror{ip, Review::freePort(ip)};
    const Address m_control{ip, Review::freePort(ip)};
    std::atomic<int> m_served = 0;
    std::unique_ptr<Review::Server> m_server;
    std::unique_ptr<Process> m_proxy;
};

} // namespace

TEST_F(FaultProxyTest, refusingLink_connectionsAreRefusedUntilItIsHealed)
{
    Review::KeptConnection open(m_plain);
    ASSERT_TRUE(open.send("GET", "/", ""));
    ASSERT_TRUE(open.receive(soonMs));

    setFaults({{"refuse", true}});
    EXPECT_TRUE(waitForConnectError(m_plain, ECONNREFUSED));
    open.send("GET", "/", "");
    EXPECT_FALSE(open.receive(answerMs));

    setFaults(Json::object());
    EXPECT_TRUE(waitForConnectError(m_plain, 0));
    EXPECT_TRUE(isAnswered(m_plain));
}

TEST_F(FaultProxyTest, resetLink_openConnectionsBreakAndNewOnesAreForwarded)
{
    Review::KeptConnection open(m_plain);
    ASSERT_TRUE(open.send("GET", "/", ""));
    ASSERT_TRUE(open.receive(soonMs));

    setFaults({{"reset", true}});
    Review::sleepMs(answerMs);
    open.send("GET", "/", "");
    EXPECT_FALSE(open.receive(answerMs));
    EXPECT_TRUE(isAnswered(m_plain));
}

TEST_F(FaultProxyTest, requestsAreSilent_targetGetsNone)
{
    setFaults({{"silentRequests", true}});
    EXPECT_FALSE(isAnswered(m_plain));
    EXPECT_EQ(0, m_served);
}

TEST_F(FaultProxyTest, answersAreSilent_targetGetsRequests)
{
    setFaults({{"silentAnswers", true}});
    EXPECT_FALSE(isAnswered(m_plain));
    EXPECT_EQ(1, m_served);
}

TEST_F(FaultProxyTest, targetIsClosed_linkRefusesUntilItListensAgain)
{
    ASSERT_TRUE(isAnswered(m_mirror));
    m_server->stop();
    EXPECT_TRUE(waitForConnectError(m_mirror, ECONNREFUSED));
    EXPECT_EQ(0, connectError(m_plain));

    startTarget();
    EXPECT_TRUE(waitForConnectError(m_mirror, 0));
    EXPECT_TRUE(isAnswered(m_mirror));
}
