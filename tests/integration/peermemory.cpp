// What peers, the store and minions can make a process keep in memory. Sizes are those of the smallest machine.
#include "harness/process.h"
#include "platform/decoding.h"
#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/wire/message.h"
#include "trefoilhoist/wire/peerclient.h"
#include "trefoilhoist/wire/peerserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <malloc.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <new>
#include <thread>

namespace {

std::atomic<std::int64_t> heapBytes = 0;
std::atomic<std::int64_t> heapPeak = 0;

void countAllocation(void *block)
{
    const auto now = heapBytes.fetch_add(static_cast<std::int64_t>(malloc_usable_size(block)));
    const auto total = now + static_cast<std::int64_t>(malloc_usable_size(block));
    auto peak = heapPeak.load();
    while (total > peak && !heapPeak.compare_exchange_weak(peak, total)) { }
}

} // namespace

void *operator new(std::size_t size)
{
    void *block = std::malloc(size);
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    countAllocation(block);
    return block;
}

void operator delete(void *block) noexcept
{
    heapBytes -= static_cast<std::int64_t>(malloc_usable_size(block));
    std::free(block);
}

void operator delete(void *block, std::size_t) noexcept
{
    operator delete(block);
}

namespace Trefoilhoist::Testing {

namespace {

using Tcp = Asio::ip::tcp;

constexpr std::int64_t mebibyte = std::int64_t{1} << 20U;
/// The memory of an agent's machine.
constexpr std::int64_t agentMachineBytes = 128 * mebibyte;
/// What decoding one body may take of it.
constexpr std::int64_t decodingBytes = agentMachineBytes / 2;
/// The memory of a dispatcher's machine.
constexpr std::int64_t dispatcherMachineBytes = 260 * mebibyte;
constexpr std::size_t hostileConnections = 96;
constexpr std::size_t idleConnections = 600;
/// Bounds that follow from the memory are low enough for a small crowd.
constexpr int smallMemoryMb = 48;
constexpr std::size_t maxDescriptors = 400;
constexpr std::size_t bodyBytes = maxFrameBytes - 1024;
constexpr Duration longEnough = seconds(60);

std::string prefixOf(std::uint32_t size)
{
    std::string prefix;
    for (int shift = 24; shift >= 0; shift -= 8) {
        prefix += static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xFFU);
    }
    return prefix;
}

std::string frameOf(const Wire::Envelope &envelope)
{
    const auto body = Wire::encode(envelope);
    return prefixOf(static_cast<std::uint32_t>(body.size())) + body;
}

/// The orders' starts claim `count` elements; as many bytes follow, of which each is an empty struct.
std::string ordersClaiming(std::uint32_t count)
{
    constexpr char listOfStarts = 0x69; // Field 6, a list, by the compact protocol.
    std::string bytes{listOfStarts, static_cast<char>(0xFC)};
    for (auto rest = count; rest != 0 || bytes.size() == 2; rest >>= 7U) {
        bytes += static_cast<char>((rest & 0x7FU) | (rest > 0x7FU ? 0x80U : 0U));
    }
    bytes.append(count + 1, '\0');
    return bytes;
}

} // namespace

/// Peak of this process's heap above what it was at the start of the test.
class HeapTest : public testing::Test
{
protected:
    void resetPeak()
    {
        m_before = heapBytes;
        heapPeak = m_before;
    }

    void TearDown() override
    {
        RecordProperty("peakMb", std::to_string(peak() / mebibyte));
    }

    [[nodiscard]] std::int64_t peak() const
    {
        return heapPeak - m_before;
    }

    template <typename Value>
    Value await(std::function<awaitable<Value>()> body)
    {
        std::optional<Value> result;
        spawnOn(m_context.get_executor(), "test", [&]() -> awaitable<void> { result = co_await body(); });
        m_context.restart();
        while (!result && m_context.run_one() > 0) { }
        return std::move(result.value());
    }

    Asio::io_context m_context;

private:
    std::int64_t m_before = 0;
};

/// A process with a peer port that hostile peers connect to.
class PeerPortTest : public testing::TestWithParam<std::string>
{
protected:
    void start(int memoryMb = isAgent() ? 128 : 260)
    {
        const auto port = [] {
            return "\"127.0.0.1:" + std::to_string(unusedPort()) + "\"";
        };
        m_port = unusedPort();
        const std::string shared = R"({"id": "a", "memoryMb": )" + std::to_string(memoryMb) + R"(, "store": )" + port()
            + R"(, "peers": "127.0.0.1:)" + std::to_string(m_port) + "\", ";
        const std::string own = isAgent() ? R"("heartbeats": )" + port() + "}"
                                          : R"("callers": )" + port() + R"(, "readiness": )" + port() + "}";
        m_process = Process::start(GetParam(), shared + own);
        m_process->waitReady();
    }

    [[nodiscard]] static bool isAgent()
    {
        return GetParam() == "trefoilhoist-agent";
    }

    Tcp::socket &connect()
    {
        auto &socket = m_sockets.emplace_back(m_context);
        socket.connect({Asio::ip::make_address("127.0.0.1"), m_port});
        return socket;
    }

    /// Writes until it is done or the process closes the connection.
    static void write(Tcp::socket &socket, const std::string &bytes)
    {
        boost::system::error_code ec;
        Asio::write(socket, Asio::buffer(bytes), ec);
    }

    /// Waits until the process has handled what came on this connection: it answers a call behind it, or closes.
    static void awaitHandling(Tcp::socket &socket)
    {
        Wire::Envelope envelope;
        envelope.kind = ordinaryKind();
        envelope.payload = ordinaryPayload();
        write(socket, frameOf(envelope));
        char byte = 0;
        boost::system::error_code ec;
        socket.read_some(Asio::buffer(&byte, 1), ec);
    }

    static Wire::MessageKind ordinaryKind()
    {
        return isAgent() ? Wire::MessageKind::WorkerOrdersKind : Wire::MessageKind::QueueQueryKind;
    }

    static std::string ordinaryPayload()
    {
        return isAgent() ? Wire::encode(Wire::WorkerOrders()) : Wire::encode(Wire::QueueQuery());
    }

    void expectWithinMemory()
    {
        EXPECT_TRUE(isAnswered());
        EXPECT_TRUE(m_process->running()) << m_process->errors();
        const auto machine = isAgent() ? agentMachineBytes : dispatcherMachineBytes;
        const auto peak = m_process->peakMemoryKb() * 1024 / mebibyte;
        RecordProperty("peakMb", std::to_string(peak));
        EXPECT_LT(peak, machine / mebibyte);
    }

    /// One ordinary call on a new connection; a few attempts, as a peer's client makes them.
    bool isAnswered()
    {
        return eventually([&] {
            Asio::io_context context;
            PeerClient client(context.get_executor(), "ordinary", 1, {"127.0.0.1", m_port});
            bool answered = false;
            spawnOn(context.get_executor(), "ordinary call", [&]() -> awaitable<void> {
                answered = (co_await client.call(ordinaryKind(), ordinaryPayload(), seconds(5))).has_value();
                context.stop();
            });
            context.run();
            return answered;
        });
    }

    std::unique_ptr<Process> m_process;
    std::uint16_t m_port = 0;
    Asio::io_context m_context;
    std::deque<Tcp::socket> m_sockets;
};

// Memory for a whole frame was taken as soon as its length had come.
TEST_P(PeerPortTest, framesAnnouncedOnly_processStaysWithinMemory)
{
    start();
    for (std::size_t i = 0; i < hostileConnections; ++i) {
        write(connect(), prefixOf(maxFrameBytes) + "x");
    }
    expectWithinMemory();
}

// Frames that lack their last byte were kept on any number of connections.
TEST_P(PeerPortTest, framesWithoutTheirLastByte_processStaysWithinMemory)
{
    start();
    const auto part = prefixOf(maxFrameBytes) + std::string(maxFrameBytes - 1, 'x');
    for (std::size_t i = 0; i < hostileConnections; ++i) {
        write(connect(), part);
    }
    expectWithinMemory();
}

// Connections that send nothing were kept for ever, without a bound.
TEST_P(PeerPortTest, idleConnections_descriptorsStayBounded)
{
    start(smallMemoryMb);
    for (std::size_t i = 0; i < idleConnections; ++i) {
        connect();
    }
    expectWithinMemory();
    EXPECT_LT(m_process->openDescriptors(), maxDescriptors);
}

// A list's claimed length made room for as many large elements as the body has bytes.
TEST_P(PeerPortTest, listOfEmptyElements_processStaysWithinMemory)
{
    start();
    Wire::Envelope envelope;
    envelope.kind = isAgent() ? Wire::MessageKind::WorkerOrdersKind : Wire::MessageKind::WorkerReportKind;
    envelope.payload = ordersClaiming(bodyBytes);
    if (!isAgent()) {
        constexpr char fieldOfRunning = 0x79; // Field 7, a list.
        envelope.payload.front() = fieldOfRunning;
    }
    auto &socket = connect();
    write(socket, frameOf(envelope));
    awaitHandling(socket);
    expectWithinMemory();
}

INSTANTIATE_TEST_SUITE_P(All,
                         PeerPortTest,
                         testing::Values("trefoilhoist-agent", "trefoilhoist-dispatcher"),
                         [](const auto &it) { return it.param.substr(it.param.find('-') + 1); });

class PeerMemoryTest : public HeapTest
{
protected:
    /// Sends `count` frames of one mebibyte to a server in this process, reads no reply, and runs the server until
    /// it stops to take more.
    void sendWithoutReading(PeerServer &server, std::size_t count)
    {
        const auto port = server.listen({"127.0.0.1", 0});
        ASSERT_TRUE(port);
        Wire::Envelope envelope;
        envelope.payload.assign(mebibyte, 'x');
        const auto frame = frameOf(envelope);
        Tcp::socket socket(m_context);
        socket.connect({Asio::ip::make_address("127.0.0.1"), *port});
        resetPeak();
        spawnOn(m_context.get_executor(), "hostile peer", [&]() -> awaitable<void> {
            boost::system::error_code ec;
            for (std::size_t i = 0; i < count && !ec; ++i) {
                co_await Asio::async_write(socket, Asio::buffer(frame), Asio::redirect_error(Asio::use_awaitable, ec));
            }
        });
        m_context.restart();
        m_context.run_for(seconds(3));
        socket.close();
        m_context.restart();
        m_context.run_for(milliseconds(200));
    }
};

// Replies to a peer that doesn't read them were kept without a bound.
TEST_F(PeerMemoryTest, repliesNotRead_serverStaysWithinMemory)
{
    PeerServer server(m_context.get_executor(),
                      "b",
                      1,
                      [](Wire::Envelope envelope) -> awaitable<std::optional<Wire::Envelope>> { co_return envelope; });
    sendWithoutReading(server, 200);
    EXPECT_LT(peak() / mebibyte, agentMachineBytes / mebibyte);
}

// Calls on one connection were handled side by side without a bound.
TEST_F(PeerMemoryTest, callsThatTakeLong_serverStaysWithinMemory)
{
    PeerServer server(m_context.get_executor(), "b", 1, [](Wire::Envelope) -> awaitable<std::optional<Wire::Envelope>> {
        co_await sleepFor(seconds(2));
        co_return std::nullopt;
    });
    sendWithoutReading(server, 200);
    EXPECT_LT(peak() / mebibyte, agentMachineBytes / mebibyte);
}

// Small calls were handled side by side without a bound; each takes far more than its bytes.
TEST_F(PeerMemoryTest, smallCallsThatTakeLong_serverHandlesABoundedNumberAtOnce)
{
    constexpr int sent = 40'000;
    constexpr int mostAtOnce = 8192;
    int atOnce = 0;
    int highest = 0;
    PeerServer server(
        m_context.get_executor(), "b", 1, [&](Wire::Envelope) -> awaitable<std::optional<Wire::Envelope>> {
            highest = std::max(highest, ++atOnce);
            co_await sleepFor(seconds(2));
            --atOnce;
            co_return std::nullopt;
        });
    const auto port = server.listen({"127.0.0.1", 0});
    ASSERT_TRUE(port);
    Tcp::socket socket(m_context);
    socket.connect({Asio::ip::make_address("127.0.0.1"), *port});
    const auto frames = repeated(frameOf(Wire::Envelope()), sent * frameOf(Wire::Envelope()).size());
    spawnOn(m_context.get_executor(), "hostile peer", [&]() -> awaitable<void> {
        boost::system::error_code ec;
        co_await Asio::async_write(socket, Asio::buffer(frames), Asio::redirect_error(Asio::use_awaitable, ec));
    });
    m_context.run_for(seconds(3));
    EXPECT_LE(highest, mostAtOnce);
    socket.close();
    m_context.restart();
    m_context.run_for(milliseconds(2200));
}

// Calls to a peer that doesn't read were queued without a bound.
TEST_F(PeerMemoryTest, peerThatReadsNothing_clientStaysWithinMemory)
{
    constexpr int calls = 200;
    Tcp::acceptor acceptor(m_context, {Asio::ip::make_address("127.0.0.1"), 0});
    PeerClient client(m_context.get_executor(), "a", 1, {"127.0.0.1", acceptor.local_endpoint().port()});
    int ended = 0;
    resetPeak();
    for (int i = 0; i < calls; ++i) {
        spawnOn(m_context.get_executor(), "call", [&]() -> awaitable<void> {
            std::string payload(mebibyte, 'x');
            co_await client.call(Wire::MessageKind::HelloKind, std::move(payload), seconds(2));
            ++ended;
        });
    }
    m_context.restart();
    while (ended < calls && m_context.run_one_for(longEnough) > 0) { }
    EXPECT_EQ(ended, calls);
    EXPECT_LT(peak() / mebibyte, agentMachineBytes / mebibyte);
}

/// A server whose answers have no end; counts what it could send.
class EndlessAnswerTest : public HeapTest
{
protected:
    static constexpr std::int64_t mostSent = 16 * mebibyte;

    ~EndlessAnswerTest() override
    {
        m_acceptor.close();
        for (auto &thread : m_threads) {
            thread.join();
        }
    }

    /// Answers `connections` connections with `head` and then `rest`, repeated up to `bytes`.
    void answer(std::string head, const std::string &rest, std::int64_t bytes, int connections = 1)
    {
        m_head = std::move(head);
        m_rest = repeated(rest, std::size_t{64} << 10U);
        for (int i = 0; i < connections; ++i) {
            auto &socket = *m_sockets.emplace_back(std::make_unique<Tcp::socket>(m_serverContext));
            m_threads.emplace_back([this, bytes, &socket] { serve(socket, bytes); });
        }
    }

    awaitable<tl::expected<HttpResponse, CallError>> call()
    {
        HttpCallOptions options;
        options.timeout = longEnough;
        return m_client.call({"127.0.0.1", m_acceptor.local_endpoint().port()}, HttpRequest{}, options);
    }

    void expectRefusedEarly()
    {
        resetPeak();
        EXPECT_FALSE((await<tl::expected<HttpResponse, CallError>>([&] { return call(); })));
        EXPECT_LT(m_sent / mebibyte, mostSent / mebibyte);
        EXPECT_LT(peak() / mebibyte, mostSent / mebibyte);
    }

    std::atomic<std::int64_t> m_sent = 0;
    /// Set when the test is over, so that servers that hold their connections let them go.
    std::atomic<bool> m_release = true;
    HttpClient m_client{m_context.get_executor()};

private:
    void serve(Tcp::socket &socket, std::int64_t bytes)
    {
        boost::system::error_code ec;
        {
            const std::lock_guard lock(m_mutex);
            m_acceptor.accept(socket, ec);
        }
        std::array<char, 4096> request{};
        socket.read_some(Asio::buffer(request), ec);
        Asio::write(socket, Asio::buffer(m_head), ec);
        for (std::int64_t sent = 0; sent < bytes && !ec;) {
            const auto size = std::min<std::int64_t>(bytes - sent, static_cast<std::int64_t>(m_rest.size()));
            sent += static_cast<std::int64_t>(
                Asio::write(socket, Asio::buffer(m_rest.data(), static_cast<std::size_t>(size)), ec));
            m_sent += size;
        }
        while (!m_release) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        socket.close(ec);
    }

    Asio::io_context m_serverContext;
    Tcp::acceptor m_acceptor{m_serverContext, {Asio::ip::make_address("127.0.0.1"), 0}};
    std::mutex m_mutex;
    std::string m_head;
    std::string m_rest;
    std::deque<std::unique_ptr<Tcp::socket>> m_sockets;
    std::vector<std::thread> m_threads;
};

constexpr std::int64_t endless = 64 * mebibyte;
constexpr const char *chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Trailers behind a chunked body were buffered whole.
TEST_F(EndlessAnswerTest, trailersWithoutEnd_answerIsRefused)
{
    answer(std::string(chunkedHead) + "2\r\n{}\r\n0\r\n", "x: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n", endless);
    expectRefusedEarly();
}

// The extension of a chunk was buffered whole.
TEST_F(EndlessAnswerTest, chunkExtensionWithoutEnd_answerIsRefused)
{
    answer(std::string(chunkedHead) + "2;a=", "yyyyyyyyyyyyyyyy", endless);
    expectRefusedEarly();
}

// Header fields without end must stay refused.
TEST_F(EndlessAnswerTest, headerFieldsWithoutEnd_answerIsRefused)
{
    answer("HTTP/1.1 200 OK\r\n", "x: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n", endless);
    expectRefusedEarly();
}

// Each answer kept to its limit, but not all of them in sum.
TEST_F(EndlessAnswerTest, manyLargeAnswersAtOnce_clientStaysWithinMemory)
{
    constexpr int calls = 64;
    constexpr std::int64_t length = 4 * mebibyte;
    m_release = false;
    answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n", "x", length - 1, calls);
    resetPeak();
    int ended = 0;
    for (int i = 0; i < calls; ++i) {
        spawnOn(m_context.get_executor(), "call", [&]() -> awaitable<void> {
            co_await call();
            ++ended;
        });
    }
    while (m_sent < calls * length - calls && ended < calls && m_context.run_one_for(seconds(2)) > 0) { }
    m_release = true;
    while (ended < calls && m_context.run_one_for(longEnough) > 0) { }
    EXPECT_EQ(ended, calls);
    EXPECT_LT(peak() / mebibyte, agentMachineBytes / mebibyte);
}

/// Bodies of four mebibytes that are read.
class DecodingMemoryTest : public HeapTest
{
protected:
    void expectWithinMemory(const std::string &text)
    {
        resetPeak();
        for (auto *parse : {&Platform::parseBody, &Platform::parseEntries}) {
            try {
                (void)parse(text);
            } catch (const std::exception &) {
                // A refusal is fine; the peak counts.
            }
        }
        RecordProperty("multiple", std::to_string(static_cast<double>(peak()) / static_cast<double>(text.size())));
        EXPECT_LT(peak() / mebibyte, decodingBytes / mebibyte);
    }

    static std::string list(const std::string &element)
    {
        auto text = "[" + repeated(element + ",", bodyBytes);
        text.back() = ']';
        return text;
    }
};

// A list took many times its bytes when its elements are small.
TEST_F(DecodingMemoryTest, numbersOfOneDigit_staysWithinMemory)
{
    expectWithinMemory(list("0"));
}

// Each empty list takes a block of its own.
TEST_F(DecodingMemoryTest, emptyLists_staysWithinMemory)
{
    expectWithinMemory(list("[]"));
}

// Each object and each of its keys takes blocks of its own.
TEST_F(DecodingMemoryTest, smallObjects_staysWithinMemory)
{
    expectWithinMemory(list(R"({"":0})"));
}

// Lists in lists up to the permitted level.
TEST_F(DecodingMemoryTest, nestedLists_staysWithinMemory)
{
    expectWithinMemory(list(std::string(30, '[') + std::string(30, ']')));
}

// As many objects in objects as may be built.
TEST_F(DecodingMemoryTest, objectsUpToTheLimit_staysWithinMemory)
{
    constexpr std::size_t elements = 99'000;
    const std::string element = R"({"":{"":0}},)";
    auto text = "[" + repeated(element, elements * element.size());
    text.back() = ']';
    expectWithinMemory(text);
    EXPECT_EQ(Platform::parseEntries(text).size(), elements);
    EXPECT_THROW(static_cast<void>(Platform::parseBody(text)), Platform::DecodingError);
}

// Lists without end in lists are refused before they are parsed.
TEST_F(DecodingMemoryTest, listsWithoutEnd_staysWithinMemory)
{
    expectWithinMemory(std::string(bodyBytes, '['));
}

// A list's claimed length made room for as many large elements as the body has bytes.
TEST_F(DecodingMemoryTest, ordersOfEmptyElements_staysWithinMemory)
{
    const auto bytes = ordersClaiming(bodyBytes);
    resetPeak();
    (void)Wire::decode<Wire::WorkerOrders>(bytes);
    EXPECT_LT(peak() / mebibyte, decodingBytes / mebibyte);
}

// Entries of a map take a block each; so do the lists in them.
TEST_F(DecodingMemoryTest, progressOfEmptyOccurrences_staysWithinMemory)
{
    constexpr std::uint32_t entries = maxFrameBytes / 5;
    Wire::JobProgress progress;
    for (std::uint32_t i = 0; i < entries; ++i) {
        progress.occurrences[static_cast<std::int32_t>(i)];
    }
    const auto bytes = Wire::encode(progress);
    progress = {};
    resetPeak();
    (void)Wire::decode<Wire::JobProgress>(bytes);
    EXPECT_LT(peak() / mebibyte, decodingBytes / mebibyte);
}

// Bounds on what decoding takes must not refuse what own processes send and store.
TEST_F(DecodingMemoryTest, longListsOfOwnProcesses_areRead)
{
    constexpr std::size_t many = 20'000;
    Wire::TaskRef task;
    task.job = "c0ffee0000000000";
    Wire::WorkerOrders orders;
    orders.starts.resize(many);
    orders.stops.resize(many);
    Wire::WorkerReport report;
    report.running.resize(many);
    report.ended.resize(many);
    Wire::JobSpec spec;
    spec.steps.resize(many);
    Wire::JobProgress progress;
    Wire::WorkerRoster roster;
    roster.workers.resize(many);
    for (std::size_t i = 0; i < many; ++i) {
        orders.starts[i].task = task;
        orders.starts[i].info.task = task;
        orders.stops[i].task = task;
        report.running[i].task = task;
        report.ended[i].task = task;
        roster.workers[i].id = "i-687cbb51";
        roster.workers[i].agentHost = "10.1.0.13";
        progress.occurrences[static_cast<std::int32_t>(i)];
    }
    EXPECT_EQ(Wire::decode<Wire::WorkerOrders>(Wire::encode(orders)), orders);
    EXPECT_EQ(Wire::decode<Wire::WorkerReport>(Wire::encode(report)), report);
    EXPECT_EQ(Wire::decode<Wire::JobSpec>(Wire::encode(spec)), spec);
    EXPECT_EQ(Wire::decode<Wire::JobProgress>(Wire::encode(progress)), progress);
    EXPECT_EQ(Wire::decode<Wire::WorkerRoster>(Wire::encode(roster)), roster);
}

} // namespace Trefoilhoist::Testing
