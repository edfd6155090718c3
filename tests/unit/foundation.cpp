#include "trefoilhoist/config/settings.h"
#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/net/httpserver.h"
#include "trefoilhoist/net/program.h"
#include "trefoilhoist/verdict/verdict.h"
#include "trefoilhoist/wire/message.h"
#include "trefoilhoist/wire/peerclient.h"
#include "trefoilhoist/wire/peerserver.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <future>
#include <thread>

using namespace Trefoilhoist;

namespace {

const char *const schema = R"({"type":"object","additionalProperties":false,"required":["listen"],
    "properties":{"listen":{"type":"string"},"limits":{"type":"object","additionalProperties":false,
    "properties":{"slots":{"type":"integer"}}}}})";

class NetTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_thread = std::thread([this] {
            const auto guard = Asio::make_work_guard(m_context);
            m_context.run();
        });
    }
    void TearDown() override
    {
        m_context.stop();
        m_thread.join();
    }

    // Runs a coroutine to its end on the context and returns its value.
    template <typename Value>
    Value await(std::function<awaitable<Value>()> body)
    {
        auto promise = std::make_shared<std::promise<Value>>();
        auto future = promise->get_future();
        spawn(m_context.get_executor(), "test", [promise, body]() -> awaitable<void> {
            promise->set_value(co_await body());
        });
        return future.get();
    }

    // Calls a server whose answers always carry the correlation id of another request.
    tl::expected<HttpResponse, CallError> callServerWithWrongCorrelation(const std::string &correlation)
    {
        HttpServer server(m_context.get_executor(), {}, [](HttpRequest) -> awaitable<HttpResponse> {
            auto response = textResponse(200, "other");
            response.headers.set(correlationHeader, "someone-else");
            co_return response;
        });
        const auto port = server.listen({"127.0.0.1", 0}).value();
        HttpClient client(m_context.get_executor());
        return await<tl::expected<HttpResponse, CallError>>([&] {
            HttpCallOptions options;
            options.correlation = correlation;
            return client.call({"127.0.0.1", port}, HttpRequest{}, options);
        });
    }

    Asio::io_context m_context;
    std::thread m_thread;
};

} // namespace

TEST(Settings_unknownKey, isRefusedWithItsName)
{
    const auto result = checkSettings(R"({"listen":"127.0.0.1:0","colour":1})", schema, "entry.json");
    ASSERT_FALSE(result);
    EXPECT_NE(result.error().str().find("colour"), std::string::npos);
}

TEST(Settings_wrongType, isRefusedWithItsPlace)
{
    const auto result = checkSettings(R"({"listen":"a","limits":{"slots":"x"}})", schema, "entry.json");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().place, "/limits/slots");
}

TEST(Settings_comments, areSkipped)
{
    EXPECT_TRUE(checkSettings("{ // where\n\"listen\": \"a\" }", schema, "entry.json"));
}

// A port beyond 32 bits was an error of another kind; blanks and signs were taken.
TEST(Endpoint_portOutOfRange, isAnInvalidArgument)
{
    for (const auto *text : {"10.0.0.9:99999999999999999999",
                             "10.0.0.9:65536",
                             "10.0.0.9:-1",
                             "10.0.0.9: 80",
                             "10.0.0.9:+80",
                             "10.0.0.9:80x",
                             "10.0.0.9:x",
                             "10.0.0.9:",
                             "10.0.0.9"}) {
        EXPECT_THROW(static_cast<void>(endpointFromText(text)), std::invalid_argument) << text;
    }
    EXPECT_EQ(endpointFromText("10.0.0.9:65535").port, 65535);
}

TEST(Verdict_name, readsBackAsItself)
{
    for (const auto verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran}) {
        EXPECT_EQ(verdictFromName(verdictName(verdict)), verdict);
    }
}

TEST(LatencyWindow_oldSamples, areDropped)
{
    Clock clock;
    clock.pause();
    LatencyWindow window(seconds(10));
    window.record(milliseconds(500), clock.now());
    clock.advance(seconds(25));
    window.record(milliseconds(1), clock.now());
    EXPECT_LE(window.summary(clock.now()).maxUs, 1000);
    EXPECT_EQ(window.totalCount(), 2);
}

TEST(WireMessage_malformedBytes, areNotDecoded)
{
    EXPECT_FALSE(Wire::decode<Wire::Envelope>("\x18\x05hi"));
}

// Bytes of Thrift's compact protocol, in which a field begins with the difference of its number and its type.
class OddRecordTest : public testing::Test
{
protected:
    static std::string varint(std::uint64_t value)
    {
        std::string bytes;
        constexpr std::uint64_t more = 0x80;
        for (; value >= more; value >>= 7U) {
            bytes += static_cast<char>(value % more | more);
        }
        return bytes + static_cast<char>(value);
    }

    /// A list that claims `count` elements of a type and has none.
    static std::string emptyList(char field, char type, std::uint64_t count)
    {
        return std::string{field, static_cast<char>(0xF0 | type)} + varint(count);
    }

    static constexpr std::uint64_t hugeCount = 99'000'000;
    static constexpr char structType = 0x0C;
    static constexpr char stringType = 0x08;
};

// The memory for 99 million workers was taken before the first of them was read.
TEST_F(OddRecordTest, claimedSizeBeyondTheBytes_isNotDecoded)
{
    const char firstFieldList = 0x19;
    const char firstFieldText = 0x18;
    EXPECT_FALSE(Wire::decode<Wire::WorkerRoster>(emptyList(firstFieldList, structType, hugeCount)));
    EXPECT_FALSE(Wire::decode<Wire::WorkerRoster>(emptyList(firstFieldList, structType, 0xFFFFFFFF)));
    EXPECT_FALSE(Wire::decode<Wire::JobSpec>(std::string(1, firstFieldText) + varint(hugeCount) + "text"));
    EXPECT_FALSE(Wire::decode<Wire::JobSpec>(std::string(1, firstFieldText) + varint(0xFFFFFFFF)));
    EXPECT_FALSE(Wire::decode<Wire::OwnerRecord>(emptyList(0x79, stringType, hugeCount)));
}

TEST_F(OddRecordTest, deeplyNestedUnknownFields_areNotDecoded)
{
    // Unknown field 15 is a struct whose first field is a struct, and so on; or a list of lists.
    for (const char nesting : {char{0x1C}, char{0x19}}) {
        const std::string bytes = static_cast<char>(0xF0 | (nesting & 0x0F)) + std::string(1'000'000, nesting);
        EXPECT_FALSE(Wire::decode<Wire::OwnerRecord>(bytes));
        EXPECT_FALSE(Wire::decode<Wire::JobProgress>(bytes));
        EXPECT_FALSE(Wire::decode<Wire::WorkerRoster>(bytes));
        EXPECT_FALSE(Wire::decode<Wire::Envelope>(bytes));
    }
}

// Elements without bytes were counted to the end of a claimed size.
TEST_F(OddRecordTest, unknownListOfElementsWithoutBytes_isNotDecoded)
{
    const auto before = std::chrono::steady_clock::now();
    EXPECT_FALSE(Wire::decode<Wire::OwnerRecord>(emptyList(static_cast<char>(0xF9), 0, 0x7FFFFFFF)));
    EXPECT_LT(std::chrono::steady_clock::now() - before, milliseconds(500));
}

TEST_F(NetTest, httpCall_completeAnswer_isReturnedWithCorrelation)
{
    HttpServer server(m_context.get_executor(), {}, [](HttpRequest request) -> awaitable<HttpResponse> {
        auto response = textResponse(200, request.method + " " + request.target + " " + request.body);
        response.headers.set(correlationHeader, request.headers.get(correlationHeader));
        co_return response;
    });
    const auto port = server.listen({"127.0.0.1", 0});
    ASSERT_TRUE(port);
    HttpClient client(m_context.get_executor());
    for (int i = 0; i < 3; ++i) {
        const auto result = await<tl::expected<HttpResponse, CallError>>([&] {
            HttpRequest request{"POST", "/a?b=c", {}, "body"};
            HttpCallOptions options;
            options.correlation = "c" + std::to_string(i);
            return client.call({"127.0.0.1", *port}, request, options);
        });
        ASSERT_TRUE(result) << result.error().reason;
        EXPECT_EQ(result->body, "POST /a?b=c body");
    }
}

// Without a correlation id the client can't detect that an answer belongs to another request. The test shows that
// the check of the id is what detects it.
TEST_F(NetTest, httpCall_answerOfAnotherRequestUnchecked_isAccepted)
{
    const auto result = callServerWithWrongCorrelation({});
    ASSERT_TRUE(result);
    EXPECT_EQ(result->body, "other");
}

TEST_F(NetTest, httpCall_answerOfAnotherRequest_isAnError)
{
    const auto result = callServerWithWrongCorrelation("mine");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().verdict, Verdict::MayHaveRun);
}

TEST_F(NetTest, httpCall_refusedConnection_isNotRun)
{
    HttpClient client(m_context.get_executor());
    const auto result = await<tl::expected<HttpResponse, CallError>>([&] {
        return client.call({"127.0.0.1", 1}, HttpRequest{}, HttpCallOptions{});
    });
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().verdict, Verdict::NotRun);
}

TEST_F(NetTest, peerCall_knownPeer_isAnswered)
{
    PeerServer server(
        m_context.get_executor(), "b", 7, [](Wire::Envelope envelope) -> awaitable<std::optional<Wire::Envelope>> {
            Wire::Envelope reply;
            reply.kind = Wire::MessageKind::AckKind;
            reply.payload = envelope.payload + " received";
            co_return reply;
        });
    const auto port = server.listen({"127.0.0.1", 0});
    ASSERT_TRUE(port);
    PeerClient client(m_context.get_executor(), "a", 1, {"127.0.0.1", *port});
    const auto result = await<tl::expected<Wire::Envelope, CallError>>(
        [&] { return client.call(Wire::MessageKind::HelloKind, "hi", seconds(5)); });
    ASSERT_TRUE(result);
    EXPECT_EQ(result->payload, "hi received");
    EXPECT_EQ(result->incarnation, 7);
}

TEST_F(NetTest, peerCall_nobodyListens_isNotRun)
{
    PeerClient client(m_context.get_executor(), "a", 1, {"127.0.0.1", 1});
    const auto result = await<tl::expected<Wire::Envelope, CallError>>(
        [&] { return client.call(Wire::MessageKind::HelloKind, "hi", seconds(5)); });
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().verdict, Verdict::NotRun);
}

// A connection that goes silent without a reset, while new connections work.
TEST_F(NetTest, peerCall_connectionGoneSilent_laterCallUsesANewConnection)
{
    Asio::ip::tcp::acceptor acceptor(m_context, {Asio::ip::make_address("127.0.0.1"), 0});
    std::vector<std::shared_ptr<Asio::ip::tcp::socket>> accepted;
    spawnOn(m_context.get_executor(), "accept", [&]() -> awaitable<void> {
        while (true) {
            auto socket = std::make_shared<Asio::ip::tcp::socket>(m_context);
            co_await acceptor.async_accept(*socket, Asio::use_awaitable);
            accepted.push_back(socket);
        }
    });
    PeerClient client(m_context.get_executor(), "a", 1, {"127.0.0.1", acceptor.local_endpoint().port()});
    const auto call = [&] {
        return await<tl::expected<Wire::Envelope, CallError>>(
            [&] { return client.call(Wire::MessageKind::HelloKind, "hi", milliseconds(100)); });
    };
    const auto first = call();
    ASSERT_FALSE(first);
    EXPECT_EQ(first.error().verdict, Verdict::MayHaveRun);
    EXPECT_FALSE(call());
    EXPECT_EQ(accepted.size(), 2U);
}
