// Processes whose HTTP clients don't behave: they must live on, stay within the memory of their hosts and answer
// others.
#include "harness/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace Trefoilhoist::Testing {

namespace {

constexpr const char *loopback = "127.0.0.1";
constexpr int memoryMb = 48;
constexpr std::size_t memoryKb = std::size_t{memoryMb} * 1000 * 1000 / 1024;
/// Each process may hold so many open descriptors.
constexpr std::size_t maxDescriptors = 512;

// The crowds.
constexpr std::size_t endlessClients = 8;
constexpr std::size_t endlessBytes = std::size_t{16} << 20U;
constexpr std::size_t bodyClients = 100;
constexpr std::size_t bodyBytes = std::size_t{1} << 20U;
constexpr std::size_t fieldClients = 200;
constexpr std::size_t fieldCount = 3900;
constexpr std::size_t mixedClients = 800;
constexpr std::size_t longHeaderBytes = 15000;
constexpr std::size_t silentClients = 800;
constexpr std::size_t deafClients = 200;
constexpr std::size_t pipelinedBytes = std::size_t{64} << 10U;

/// The crowd stops when no client could send anything for this long.
constexpr int stalledMs = 1000;
constexpr int answerTimeoutMs = 20000;
constexpr int receiveBufferBytes = 4096;

constexpr const char *chunkedHead = " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char *heartbeat = R"({"service":"desk","address":"127.0.0.1:9","zone":"z1","state":"ready","sequence":1,
    "born":17,"machine":"m","capacity":{"cpu":1000,"memoryRequestMb":1000,"gpu":0},"labels":[]})";

std::string addressOf(std::uint16_t port)
{
    return std::string(loopback) + ":" + std::to_string(port);
}

/// What one client sends: `head` once, then `block` again and again until `bytes` of blocks are sent.
struct Script {
    std::string head;
    std::string block;
    std::size_t bytes = 0;
    /// False: the receive buffer is small, and no byte is taken out of it.
    bool reads = true;
};

/// A connection that sends a script, without heed to what it is answered.
class Client
{
public:
    Client(std::uint16_t port, const Script &script) : m_script(script), m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        if (!script.reads) {
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, loopback, &address.sin_addr);
        m_open = connect(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        fcntl(m_fd, F_SETFL, O_NONBLOCK);
    }

    ~Client()
    {
        close(m_fd);
    }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Sends what the connection takes now; true if that was anything.
    bool sendSome()
    {
        if (!m_open || m_sent >= total()) {
            return false;
        }
        const auto part = nextPart();
        const auto n = send(m_fd, part.data(), part.size(), MSG_NOSIGNAL);
        if (n < 0) {
            m_open = errno == EAGAIN;
            return false;
        }
        m_sent += static_cast<std::size_t>(n);
        return true;
    }

private:
    [[nodiscard]] std::size_t total() const
    {
        return m_script.head.size() + m_script.bytes;
    }

    [[nodiscard]] std::string_view nextPart() const
    {
        if (m_sent < m_script.head.size()) {
            return std::string_view(m_script.head).substr(m_sent);
        }
        const auto offset = (m_sent - m_script.head.size()) % m_script.block.size();
        return std::string_view(m_script.block).substr(offset, total() - m_sent);
    }

    const Script &m_script;
    int m_fd;
    std::size_t m_sent = 0;
    bool m_open = false;
};

/// The status of the answer to one whole request on a connection of its own; 0 without a whole answer.
int statusOf(std::uint16_t port, const std::string &request)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const timeval timeout{answerTimeoutMs / 1000, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, loopback, &address.sin_addr);
    std::string answer;
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0
        && send(fd, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size())) {
        std::string buf(65536, '\0');
        for (ssize_t n = recv(fd, buf.data(), buf.size(), 0); n > 0; n = recv(fd, buf.data(), buf.size(), 0)) {
            answer.append(buf.data(), static_cast<std::size_t>(n));
        }
    }
    close(fd);
    return answer.starts_with("HTTP/1.1 ") ? std::stoi(answer.substr(9, 3)) : 0;
}

std::string wholeRequest(const std::string &method, const std::string &target, const std::string &body = "")
{
    return method + " " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An HTTP port of a process, and an ordinary request to it with the status of its answer.
struct Port {
    std::uint16_t number = 0;
    /// Method and target of the crowd's requests.
    std::string call;
    std::string ordinaryRequest;
    int expectedStatus = 0;
};

std::string lastHead(const Port &port, const std::string &field)
{
    return port.call + " HTTP/1.1\r\nHost: a\r\n" + field;
}

} // namespace

class MemoryTest : public testing::Test
{
protected:
    void startDispatcher()
    {
        const auto callers = unusedPort();
        const auto readiness = unusedPort();
        const auto metrics = unusedPort();
        // Without a configuration no dispatcher is ready or takes requests.
        m_ports = {{callers, "POST /queue/c0ffee0000000000", wholeRequest("GET", "/queue/c0ffee0000000000"), 503},
                   {readiness, "GET /readiness", wholeRequest("GET", "/readiness"), 503},
                   {metrics, "GET /metrics", wholeRequest("GET", "/metrics"), 200}};
        start("trefoilhoist-dispatcher",
              R"("callers":")" + addressOf(callers) + R"(","readiness":")" + addressOf(readiness) + R"(","metrics":")"
                  + addressOf(metrics) + '"');
    }

    void startAgent()
    {
        const auto heartbeats = unusedPort();
        const auto metrics = unusedPort();
        const std::string target = "/instances/i-7/heartbeat";
        m_ports = {{heartbeats, "POST " + target, wholeRequest("POST", target, heartbeat), 200},
                   {metrics, "GET /metrics", wholeRequest("GET", "/metrics"), 200}};
        start("trefoilhoist-agent",
              R"("heartbeats":")" + addressOf(heartbeats) + R"(","metrics":")" + addressOf(metrics) + '"');
    }

    /// The crowd sends `script` to each port in turn, and stays connected while others ask.
    void attackWith(std::size_t clients, Script (*script)(const Port &))
    {
        const auto firstScript = m_scripts.size();
        for (const auto &port : m_ports) {
            m_scripts.push_back(std::make_unique<Script>(script(port)));
        }
        for (std::size_t n = 0; n < clients; ++n) {
            const auto at = n % m_attackedPorts;
            m_crowd.push_back(std::make_unique<Client>(m_ports[at].number, *m_scripts[firstScript + at]));
        }
        int idleMs = 0;
        while (idleMs < stalledMs) {
            bool any = false;
            for (const auto &client : m_crowd) {
                any = client->sendSome() || any;
            }
            if (any) {
                idleMs = 0;
                continue;
            }
            constexpr int pauseMs = 10;
            poll(nullptr, 0, pauseMs);
            idleMs += pauseMs;
        }
        m_descriptors = m_process->openDescriptors();
    }

    /// From here crowds turn to the first port alone.
    void attackOnePort()
    {
        m_attackedPorts = 1;
    }

    void expectBounded()
    {
        expectOrdinaryAnswers("beside the crowd");
        m_crowd.clear();
        expectOrdinaryAnswers("after the crowd");
        ASSERT_TRUE(m_process->running());
        const auto peakKb = static_cast<std::size_t>(m_process->peakMemoryKb());
        std::cout << "peak memory " << peakKb << " kB of " << memoryKb << ", descriptors " << m_descriptors << " of "
                  << maxDescriptors << "\n";
        EXPECT_LE(peakKb, memoryKb);
        EXPECT_LE(m_descriptors, maxDescriptors);
    }

private:
    void start(const std::string &program, const std::string &ports)
    {
        m_attackedPorts = m_ports.size();
        m_process = Process::start(program,
                                   R"({"id":"a","threads":1,"memoryMb":)" + std::to_string(memoryMb) + R"(,"store":")"
                                       + addressOf(unusedPort()) + R"(","peers":")" + addressOf(unusedPort()) + "\","
                                       + ports + "}");
        m_process->waitReady();
    }

    void expectOrdinaryAnswers(const std::string &when)
    {
        for (const auto &port : m_ports) {
            EXPECT_TRUE(eventually([&] { return statusOf(port.number, port.ordinaryRequest) == port.expectedStatus; }))
                << port.call << " " << when;
        }
    }

    std::unique_ptr<Process> m_process;
    std::vector<Port> m_ports;
    std::size_t m_attackedPorts = 0;
    std::vector<std::unique_ptr<Script>> m_scripts;
    std::vector<std::unique_ptr<Client>> m_crowd;
    std::size_t m_descriptors = 0;
};

namespace {

Script trailersWithoutEnd(const Port &port)
{
    return {
        port.call + chunkedHead + "1\r\na\r\n0\r\n", repeated("Trailer: aaaaaaaaaaaaaaaa\r\n", 65536), endlessBytes};
}

Script extensionWithoutEnd(const Port &port)
{
    return {port.call + chunkedHead + "1;a=", std::string(65536, 'a'), endlessBytes};
}

Script headerWithoutEnd(const Port &port)
{
    return {lastHead(port, "A: "), std::string(65536, 'a'), endlessBytes};
}

Script bodyButItsLastByte(const Port &port)
{
    return {lastHead(port, "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"),
            std::string(65536, ' '),
            bodyBytes - 1};
}

Script chunkedBodyWithoutEnd(const Port &port)
{
    return {port.call + chunkedHead, "1000\r\n" + std::string(4096, ' ') + "\r\n", bodyBytes - 1};
}

Script manyFieldsAndNoBody(const Port &port)
{
    std::string fields;
    for (std::size_t n = 0; n < fieldCount; ++n) {
        fields += "a:\r\n";
    }
    return {lastHead(port, fields + "Content-Length: 1\r\n\r\n"), "", 0};
}

Script bodyOfManyValues(const Port &port)
{
    const auto body = "[" + repeated("{},", bodyBytes - 4) + "0]";
    return {lastHead(port, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"), body, body.size()};
}

Script nothing(const Port &)
{
    return {};
}

Script partOfAHeader(const Port &port)
{
    return {lastHead(port, "A: "), "", 0};
}

Script longHeaderWithoutEnd(const Port &port)
{
    return {lastHead(port, "A: " + std::string(longHeaderBytes, 'a')), "", 0};
}

Script requestsAndNoReading(const Port &port)
{
    return {"", port.call + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", pipelinedBytes, false};
}

} // namespace

// Trailers behind a chunked body, for which Beast has no limit, grew until the process was killed.
TEST_F(MemoryTest, trailersWithoutEndToADispatcher_staysWithinItsMemory)
{
    startDispatcher();
    attackWith(endlessClients, trailersWithoutEnd);
    expectBounded();
}

// As above, at the ports of an agent.
TEST_F(MemoryTest, trailersWithoutEndToAnAgent_staysWithinItsMemory)
{
    startAgent();
    attackWith(endlessClients, trailersWithoutEnd);
    expectBounded();
}

// A chunk's extension, which no limit of the header or the body covers, could grow without bound.
TEST_F(MemoryTest, extensionWithoutEndToADispatcher_staysWithinItsMemory)
{
    startDispatcher();
    attackWith(endlessClients, extensionWithoutEnd);
    expectBounded();
}

// As above, at the ports of an agent.
TEST_F(MemoryTest, extensionWithoutEndToAnAgent_staysWithinItsMemory)
{
    startAgent();
    attackWith(endlessClients, extensionWithoutEnd);
    expectBounded();
}

// A header that never ends must not be kept whole.
TEST_F(MemoryTest, headerWithoutEndToADispatcher_staysWithinItsMemory)
{
    startDispatcher();
    attackWith(endlessClients, headerWithoutEnd);
    expectBounded();
}

// As above, at the ports of an agent.
TEST_F(MemoryTest, headerWithoutEndToAnAgent_staysWithinItsMemory)
{
    startAgent();
    attackWith(endlessClients, headerWithoutEnd);
    expectBounded();
}

// Bodies that are each within the limit took more memory in sum than the host has.
TEST_F(MemoryTest, bodiesWithoutLastByteToADispatcher_staysWithinItsMemory)
{
    startDispatcher();
    attackWith(bodyClients, bodyButItsLastByte);
    expectBounded();
}

// As above, at the ports of an agent.
TEST_F(MemoryTest, bodiesWithoutLastByteToAnAgent_staysWithinItsMemory)
{
    startAgent();
    attackWith(bodyClients, bodyButItsLastByte);
    expectBounded();
}

// Chunked bodies have no stated length, and grew in sum like the others.
TEST_F(MemoryTest, chunkedBodiesWithoutEndToADispatcher_staysWithinItsMemory)
{
    startDispatcher();
    attackWith(bodyClients, chunkedBodyWithoutEnd);
    expectBounded();
}

// Many short fields take far more memory than their bytes, and are kept while the body is awaited.
TEST_F(MemoryTest, manyFieldsWithoutBodyToADispatcher_staysWithinItsMemory)
{
    startDispatcher();
    attackWith(fieldClients, manyFieldsAndNoBody);
    expectBounded();
}

// As above, at the ports of an agent.
TEST_F(MemoryTest, manyFieldsWithoutBodyToAnAgent_staysWithinItsMemory)
{
    startAgent();
    attackWith(fieldClients, manyFieldsAndNoBody);
    expectBounded();
}

// A whole body of many small values takes far more memory than its bytes once it is parsed.
TEST_F(MemoryTest, bodiesOfManyValuesToAnAgent_staysWithinItsMemory)
{
    startAgent();
    attackWith(endlessClients, bodyOfManyValues);
    expectBounded();
}

// Connections that send nothing took descriptors without any bound that stems from the host.
TEST_F(MemoryTest, silentConnectionsToADispatcher_keepsFewDescriptors)
{
    startDispatcher();
    attackWith(silentClients, nothing);
    expectBounded();
}

// As above, at the ports of an agent.
TEST_F(MemoryTest, silentConnectionsToAnAgent_keepsFewDescriptors)
{
    startAgent();
    attackWith(silentClients, nothing);
    expectBounded();
}

// Connections with a begun request must not keep out others, though they aren't idle.
TEST_F(MemoryTest, begunRequestsToADispatcher_keepsFewDescriptors)
{
    startDispatcher();
    attackWith(silentClients, partOfAHeader);
    expectBounded();
}

// As above, at the ports of an agent.
TEST_F(MemoryTest, begunRequestsToAnAgent_keepsFewDescriptors)
{
    startAgent();
    attackWith(silentClients, partOfAHeader);
    expectBounded();
}

// Bodies, long headers and many fields were each within the memory, and not together.
TEST_F(MemoryTest, mixedCrowdToADispatcher_staysWithinItsMemory)
{
    startDispatcher();
    attackOnePort();
    attackWith(mixedClients, bodyButItsLastByte);
    attackWith(mixedClients, longHeaderWithoutEnd);
    attackWith(fieldClients, manyFieldsAndNoBody);
    expectBounded();
}

// As above, at the ports of an agent.
TEST_F(MemoryTest, mixedCrowdToAnAgent_staysWithinItsMemory)
{
    startAgent();
    attackOnePort();
    attackWith(mixedClients, bodyButItsLastByte);
    attackWith(mixedClients, longHeaderWithoutEnd);
    attackWith(fieldClients, manyFieldsAndNoBody);
    expectBounded();
}

// Answers that nobody reads, and the requests behind them, must not be kept without bound.
TEST_F(MemoryTest, answersThatNobodyReadsOfADispatcher_staysWithinItsMemory)
{
    startDispatcher();
    attackWith(deafClients, requestsAndNoReading);
    expectBounded();
}

// As above, at the ports of an agent.
TEST_F(MemoryTest, answersThatNobodyReadsOfAnAgent_staysWithinItsMemory)
{
    startAgent();
    attackWith(deafClients, requestsAndNoReading);
    expectBounded();
}

} // namespace Trefoilhoist::Testing
