#include "platform/callers.h"
#include "platform/decoding.h"
#include "platform/minionclient.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Trefoilhoist::Platform {

namespace {

using Jobs::JobOutcome;
using Jobs::JobPhase;

HttpRequest requestOf(const std::string &method, const std::string &target, std::string body = {})
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = std::move(body);
    return request;
}

nlohmann::json heartbeatBody()
{
    return {{"service", "desk"},
            {"address", "10.0.0.9:8080"},
            {"zone", "a"},
            {"state", "ready"},
            {"capacity", {{"cpu", 16000}, {"memoryRequestMb", 32768}, {"gpu", 1}}},
            {"labels", {"a", "r1-3"}},
            {"clockMs", 482113},
            {"born", 17},
            {"sequence", 4}};
}

class CallersTest : public testing::Test
{
protected:
    Wire::JobSpec jobOf(const std::string &body)
    {
        const auto spec = m_callers.job("5c0e7a21d94b36f8", {}, body);
        EXPECT_TRUE(spec) << (spec ? "" : spec.error());
        return spec.value_or(Wire::JobSpec{});
    }

    std::string refusal(const std::string &id, const std::string &body)
    {
        const auto spec = m_callers.job(id, {}, body);
        EXPECT_FALSE(spec);
        return spec ? "" : spec.error();
    }

    Callers m_callers;
};

/// True if a heartbeat is read whose `field` is the JSON text `value`.
bool isRead(const std::string &field, const std::string &value)
{
    auto body = heartbeatBody();
    body[field] = "VALUE";
    auto text = body.dump();
    text.replace(text.find("\"VALUE\""), std::string("\"VALUE\"").size(), value);
    return minionMessageFrom(requestOf("POST", "/instances/i-7/heartbeat", text)).has_value();
}

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

TEST_F(CallersTest, jobWithAllFields_isReadIntoTheProductsNames)
{
    const auto spec = jobOf(R"({"specification":"text","repetitions":3,"firstRunMs":100,"intervalMs":50,"steps":[
        {"count":4,"cpu":500,"memoryRequestMb":256,"gpu":1,"estimatedMs":900,"dataRack":"r1-3","requirements":"a"},
        {"count":2,"after":[0],"checkpointing":true,"gangScheduled":true,"sameRack":true,"antiAffinity":1},
        {"count":1,"allowDuplicates":true,"longRunning":true,"image":"i","targetMs":50,"fills":true,"mayMiss":2}]})");
    ASSERT_EQ(spec.steps.size(), 3U);
    EXPECT_EQ(spec.payload, "text");
    EXPECT_EQ(spec.occurrences, 3);
    EXPECT_EQ(spec.steps[0].cpuMilli, 500);
    EXPECT_EQ(spec.steps[0].accelerators, 1);
    EXPECT_EQ(spec.steps[0].requiredLabel, "a");
    EXPECT_EQ(spec.steps[1].after, std::vector<std::int32_t>{0});
    EXPECT_TRUE(spec.steps[1].gang && spec.steps[1].gangOnOneRack && spec.steps[1].checkpoints);
    EXPECT_EQ(spec.steps[1].maxPerWorker, 1);
    EXPECT_TRUE(spec.steps[2].duplicatesAllowed && spec.steps[2].longRunning && spec.steps[2].usesIdleCpu);
    EXPECT_EQ(spec.steps[2].tailTargetMs, 50);
    EXPECT_EQ(spec.steps[2].maxUnavailable, 2);
}

// Each step was within its bound, but together they took the memory of the whole process.
TEST_F(CallersTest, jobWithTooManyTasksInAll_isRefused)
{
    const std::string id = "5c0e7a21d94b36f8";
    const std::string large = R"({"count":60000},{"count":60000})";
    EXPECT_EQ(refusal(id, R"({"steps":[)" + large + "]}"), "the job has 120000 tasks; it may have 100000");
    EXPECT_EQ(jobOf(R"({"steps":[{"count":60000},{"count":40000}]})").steps.size(), 2U);
}

// A specification of any length was kept, sent with each start of the job's tasks, and loaded by each next owner.
TEST_F(CallersTest, specificationLongerThanCallersMaySend_isRefused)
{
    const std::string steps = R"("steps":[{"count":1}])";
    const std::string longest(4000, 'x');
    EXPECT_EQ(jobOf(R"({"specification":")" + longest + R"(",)" + steps + "}").payload, longest);
    EXPECT_EQ(refusal("5c0e7a21d94b36f8", R"({"specification":"x)" + longest + R"(",)" + steps + "}"),
              "the specification has 4001 bytes; it may have 4000");
}

// Such a job makes a record that the store doesn't take, and no other record of the same commit was written.
TEST_F(CallersTest, jobWhoseRecordIsVeryLarge_isRefused)
{
    constexpr int steps = 20'000;
    std::string list = R"({"count":1})";
    for (int i = 1; i < steps; ++i) {
        list += R"(,{"count":1})";
    }
    EXPECT_NE(refusal("5c0e7a21d94b36f8", R"({"steps":[)" + list + "]}").find("it may take 65536"), std::string::npos);
    const std::string image(100'000, 'i');
    EXPECT_NE(
        refusal("5c0e7a21d94b36f8", R"({"steps":[{"count":1,"image":")" + image + R"("}]})").find("it may take 65536"),
        std::string::npos);
}

// A step that names an earlier one thousands of times was compared with all of them whenever its job changed.
TEST_F(CallersTest, stepNamesAnEarlierOneManyTimes_itIsKeptOnce)
{
    const auto spec = jobOf(R"({"steps":[{"count":1},{"count":1},{"count":1,"after":[1,0,1,0,0]}]})");
    ASSERT_EQ(spec.steps.size(), 3U);
    EXPECT_EQ(spec.steps[2].after, (std::vector<std::int32_t>{0, 1}));
}

TEST_F(CallersTest, unreadableJobs_areRefusedInPlainWords)
{
    const std::string id = "5c0e7a21d94b36f8";
    EXPECT_EQ(refusal("short", "{}"), "\"short\" is not a job's id: 16 hexadecimal digits");
    EXPECT_EQ(refusal(id, "{}"), "the job has no steps");
    EXPECT_EQ(refusal(id, "{"), "the body is not a JSON object with the fields of a job");
    EXPECT_EQ(refusal(id, R"({"steps":[{"count":0}]})"), "field \"count\" is not within its bounds");
    EXPECT_EQ(refusal(id, R"({"steps":[{"count":1,"cpu":"x"}]})"), "field \"cpu\" is not a number");
    EXPECT_EQ(refusal(id, R"({"steps":[{"count":1,"after":[0]}]})"), "step 0 comes after a step that is not before it");
}

TEST_F(CallersTest, answers_eachOutcome_hasItsStatus)
{
    Wire::JobAnswer answer;
    answer.phase = static_cast<int>(JobPhase::Completed);
    EXPECT_EQ(m_callers.answer(Jobs::CallerVerb::QueryJob, answer).body, R"({"state":"completed"})");
    answer.waiting = 12;
    EXPECT_EQ(m_callers.answer(Jobs::CallerVerb::QueryQueue, answer).body, R"({"waiting":12})");
    answer.outcome = static_cast<int>(JobOutcome::Unknown);
    EXPECT_EQ(m_callers.answer(Jobs::CallerVerb::QueryJob, answer).status, 410);
    answer.outcome = static_cast<int>(JobOutcome::Refused);
    answer.retryAfterMs = 1200;
    const auto refused = m_callers.answer(Jobs::CallerVerb::Submit, answer);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.headers.get("Retry-After"), "2");
    answer.outcome = static_cast<int>(JobOutcome::Unresolved);
    EXPECT_EQ(m_callers.answer(Jobs::CallerVerb::Submit, answer).status, 504);
}

TEST_F(CallersTest, requestWithItsPatience_isReadWithHostAndPath)
{
    auto request = requestOf("POST", "/pule252/5c0e7a21d94b36f8?x=1");
    request.headers.set("Host", "nony24.example:80");
    request.headers.set("X-Deadline-Milliseconds", "1500");
    const auto read = m_callers.request(request);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->host, "nony24.example");
    EXPECT_EQ(read->path, "/pule252/5c0e7a21d94b36f8");
    EXPECT_EQ(read->timeout, Duration(milliseconds(1500)));
    EXPECT_FALSE(m_callers.request(requestOf("PATCH", "/")));
}

// The refusal quotes what the caller sent, and JSON holds no bytes that are not UTF-8.
TEST_F(CallersTest, refusalOfBytesThatAreNoText_isStillAnAnswer)
{
    const auto refused = m_callers.badRequest(refusal("\xff\xfe\n", "{}"));
    EXPECT_EQ(refused.status, 400);
    EXPECT_TRUE(nlohmann::json::accept(refused.body));
    const auto method = m_callers.request(requestOf("GE\xff", "/"));
    ASSERT_FALSE(method);
    EXPECT_EQ(m_callers.badRequest(method.error()).status, 400);
}

// Times are kept in microseconds: these overflowed.
TEST_F(CallersTest, timesOutOfRange_areRefusedOrCut)
{
    const std::string id = "5c0e7a21d94b36f8";
    for (const auto *odd : {"9223372036854775807", "18446744073709551615", "-1", "1e300"}) {
        const std::string number = odd;
        EXPECT_FALSE(refusal(id, R"({"steps":[{"count":1,"estimatedMs":)" + number + "}]}").empty()) << odd;
        EXPECT_FALSE(refusal(id, R"({"steps":[{"count":1,"targetMs":)" + number + "}]}").empty()) << odd;
        EXPECT_FALSE(refusal(id, R"({"firstRunMs":)" + number + R"(,"steps":[{"count":1}]})").empty()) << odd;
        EXPECT_FALSE(refusal(id, R"({"intervalMs":)" + number + R"(,"steps":[{"count":1}]})").empty()) << odd;
    }
    for (const auto *odd : {"1e400", "[0]", R"("0")", "0.5", "18446744073709551615"}) {
        EXPECT_FALSE(refusal(id, R"({"steps":[{"count":1},{"count":1,"after":[)" + std::string(odd) + "]}]}").empty());
    }
    auto request = requestOf("GET", "/");
    request.headers.set("X-Deadline-Milliseconds", "9223372036854775807");
    const auto read = m_callers.request(request);
    ASSERT_TRUE(read);
    EXPECT_GT(read->timeout, Duration(seconds(1)));
    EXPECT_LE(read->timeout, Duration(seconds(3600)));
}

TEST(ConfigurationTest, configurationWithRoutes_isReadIntoQueues)
{
    const auto table = Configuration().queues(R"({"version":7,"routes":[
        {"name":"r","host":"h","prefix":"/p/","service":"s","priority":2,"maxAttempts":3,"stretch":1.5,"targetLatencyMs":250,
         "advice":{"decisionMs":3}}]})");
    ASSERT_TRUE(table);
    EXPECT_EQ(table->version(), 7);
    const auto *queue = table->match("h", "/p/x");
    ASSERT_NE(queue, nullptr);
    EXPECT_EQ(queue->policy.serviceName, "s");
    EXPECT_TRUE(queue->policy.needsPermit);
    EXPECT_EQ(table->match("h", "/q"), nullptr);
    EXPECT_FALSE(Configuration().queues("not json"));
}

TEST(MinionMessageTest, heartbeat_isReadIntoTheProductsNames)
{
    const auto message = minionMessageFrom(requestOf("POST", "/instances/i-7/heartbeat", heartbeatBody().dump()));
    ASSERT_TRUE(message);
    const auto &heartbeat = std::get<Jobs::MinionHeartbeat>(*message);
    EXPECT_EQ(heartbeat.worker.id, "i-7");
    EXPECT_EQ(heartbeat.worker.cpuMilli, 16000);
    EXPECT_EQ(heartbeat.worker.born, 17);
    EXPECT_EQ(heartbeat.endpoint.port, 8080);
    EXPECT_FALSE(heartbeat.draining);
}

TEST(MinionMessageTest, foreignHeartbeats_nameNoMinion)
{
    for (const auto *field : {"service", "state", "address", "capacity"}) {
        auto body = heartbeatBody();
        body.erase(field);
        EXPECT_FALSE(minionMessageFrom(requestOf("POST", "/instances/i-7/heartbeat", body.dump()))) << field;
        body[field] = 7;
        EXPECT_FALSE(minionMessageFrom(requestOf("POST", "/instances/i-7/heartbeat", body.dump()))) << field;
    }
    auto body = heartbeatBody();
    body["state"] = "sleeping";
    EXPECT_FALSE(minionMessageFrom(requestOf("POST", "/instances/i-7/heartbeat", body.dump())));
    EXPECT_FALSE(minionMessageFrom(requestOf("POST", "/instances/i-7/heartbeat", "\xff")));
    EXPECT_FALSE(minionMessageFrom(requestOf("GET", "/elsewhere")));
}

// A number beyond 64 bits became a negative one. An incarnation or a sequence number that no minion reaches would make
// the agent ignore all later heartbeats.
TEST(MinionMessageTest, numbersOutOfRange_nameNoMinion)
{
    for (const auto *field : {"born", "sequence"}) {
        for (const auto *value : {"18446744073709551615",
                                  "9223372036854775807",
                                  "99999999999999999999",
                                  "1e400",
                                  "-1",
                                  "1e300",
                                  "17.5",
                                  "\"17\"",
                                  "[17]",
                                  "true"}) {
            EXPECT_FALSE(isRead(field, value)) << field << " " << value;
        }
        EXPECT_TRUE(isRead(field, "1764900000000")) << field;
        EXPECT_TRUE(isRead(field, "1764900000000.0")) << field;
    }
    EXPECT_FALSE(isRead("capacity", R"({"cpu":18446744073709551615})"));
    EXPECT_FALSE(isRead("capacity", R"({"cpu":1e400})"));
    EXPECT_FALSE(isRead("capacity", R"({"cpu":-1})"));
}

// Port 0, or a host that is no IP number, replaced the address at which the agent reaches its minion.
TEST(MinionMessageTest, addressesThatCannotBeCalled_nameNoMinion)
{
    for (const auto *address : {"10.0.0.9:0",
                                "10.0.0.9:65536",
                                "10.0.0.9:99999",
                                "10.0.0.9:99999999999999999999",
                                "10.0.0.9:-1",
                                "10.0.0.9:+80",
                                "10.0.0.9: 80",
                                "10.0.0.9:8080x",
                                "10.0.0.9:",
                                "10.0.0.9",
                                ":8080",
                                "front.example:8080",
                                "10.0.0.9\\u0000:8080"}) {
        EXPECT_FALSE(isRead("address", '"' + std::string(address) + '"')) << address;
    }
    EXPECT_TRUE(isRead("address", R"("10.0.0.9:65535")"));
}

// Without its capacity the minion counted as one that has none.
TEST(MinionMessageTest, fieldsOfAnotherType_nameNoMinion)
{
    for (const auto *value : {"null", "7", "[]", R"("16000")", R"([["cpu",16000]])"}) {
        EXPECT_FALSE(isRead("capacity", value)) << value;
    }
    EXPECT_FALSE(isRead("labels", R"(["a",7])"));
    EXPECT_FALSE(isRead("labels", R"({"a":"b"})"));
    EXPECT_FALSE(isRead("zone", "7"));
    for (const auto *body : {"", "[]", "null", "7", "{}", "{\"service\":\"\xff\"}"}) {
        EXPECT_FALSE(minionMessageFrom(requestOf("POST", "/instances/i-7/heartbeat", body))) << body;
    }
}

// The id goes into a header of every call to the minion.
TEST(MinionMessageTest, idsThatAreNoText_nameNoMinion)
{
    const auto body = heartbeatBody().dump();
    for (const auto *id : {"i%0d%0aX-Other:%201", "%00", "%ff", "i%7f"}) {
        for (const auto *call : {"/heartbeat", "/deregister"}) {
            EXPECT_FALSE(minionMessageFrom(requestOf("POST", "/instances/" + std::string(id) + call, body))) << id;
        }
    }
    EXPECT_FALSE(minionMessageFrom(requestOf("POST", "/instances/" + std::string(1000, 'i') + "/heartbeat", body)));
}

// Each level of nesting takes some 80 bytes of memory for one byte of text.
TEST(DecodingTest, deepNesting_isRefusedBeforeItIsBuilt)
{
    for (const std::size_t levels : {100U, 100'000U, 2'000'000U}) {
        EXPECT_FALSE(isRead("extra", nested(levels))) << levels;
        EXPECT_FALSE(isRead("labels", nested(levels))) << levels;
        EXPECT_FALSE(isRead("extra", std::string(levels, '['))) << levels;
        EXPECT_FALSE(Configuration().queues(nested(levels))) << levels;
        EXPECT_EQ(listingFrom(R"({"running":)" + nested(levels) + "}").unreadableRows.size(), 1U) << levels;
        EXPECT_FALSE(Callers().job("5c0e7a21d94b36f8", {}, R"({"steps":)" + nested(levels) + "}")) << levels;
    }
    EXPECT_TRUE(isRead("extra", nested(20)));
    EXPECT_TRUE(
        isRead("extra", R"("a text [[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[ \" [[[[[[[[[[[")"));
}

// A value of two bytes takes some 80 bytes of memory, so that a body of 1 MB took more than 30 MB.
TEST(DecodingTest, bodyOfTooManyValues_isRefused)
{
    const auto arrayOf = [](std::size_t values) {
        std::string text = "[";
        for (std::size_t n = 1; n < values; ++n) {
            text += "{},";
        }
        return text + "{}]";
    };
    EXPECT_TRUE(isRead("extra", arrayOf(1000)));
    EXPECT_FALSE(isRead("extra", arrayOf(100'000)));
    EXPECT_FALSE(Callers().job("5c0e7a21d94b36f8", {}, R"({"steps":)" + arrayOf(100'000) + "}"));
}

// The users' clients send up to 262144 bytes, of whatever shape.
TEST(DecodingTest, bodyOf256KiB_isNeverTooManyValues)
{
    constexpr std::size_t bytes = 262144;
    for (const std::string value : {"0,", "{},", "[],", "\"\","}) {
        std::string text = "[";
        while (text.size() + value.size() < bytes) {
            text += value;
        }
        EXPECT_TRUE(isRead("extra", text + "0]")) << value;
    }
}

TEST(MinionMessageTest, leavingMinion_isNamed)
{
    const auto message = minionMessageFrom(requestOf("POST", "/instances/i-7/deregister"));
    ASSERT_TRUE(message);
    EXPECT_EQ(std::get<MinionLeft>(*message).id, "i-7");
    EXPECT_EQ(std::get<MinionLeft>(*message).bornMs, 0);
    const auto withStart = minionMessageFrom(requestOf("POST", "/instances/i-7/deregister", R"({"born":17})"));
    ASSERT_TRUE(withStart);
    EXPECT_EQ(std::get<MinionLeft>(*withStart).bornMs, 17);
}

TEST(ListingTest, listing_rowsOfBothKinds_areRead)
{
    const auto listing = listingFrom(
        R"({"clockMs":5,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41],["5c0e7a21d94b36f8.0.1.18",2,"",100,33]],
            "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"lapsed","d"]]})");
    ASSERT_EQ(listing.running.size(), 2U);
    EXPECT_EQ(Jobs::taskName(listing.running[0].task), "5c0e7a21d94b36f8.0.1.17");
    EXPECT_EQ(listing.running[1].usage, 33);
    ASSERT_EQ(listing.ended.size(), 1U);
    EXPECT_EQ(static_cast<Jobs::EndKind>(listing.ended[0].how), Jobs::EndKind::Lapsed);
    EXPECT_EQ(listing.startedAtMs, 17);
}

TEST(ListingTest, unreadableLists_areErrorsNotEmptyLists)
{
    EXPECT_ANY_THROW(static_cast<void>(listingFrom(R"({"running":7})")));
    EXPECT_ANY_THROW(static_cast<void>(listingFrom(R"({"running":{"0":["5c0e7a21d94b36f8.0.1.17",2,"c",41]}})")));
    EXPECT_ANY_THROW(static_cast<void>(listingFrom(R"([])")));
    EXPECT_ANY_THROW(static_cast<void>(listingFrom("")));
    EXPECT_ANY_THROW(static_cast<void>(listingFrom(R"({"clockMs":18446744073709551615})")));
    EXPECT_ANY_THROW(static_cast<void>(listingFrom(R"({"born":"17"})")));
}

// One odd row hid all others, for as long as it was there. A row that names no run is noted, never dropped.
TEST(ListingTest, unreadableRow_isNotedAndTheOthersAreRead)
{
    const std::string good = R"(["5c0e7a21d94b36f8.0.1.17",2,"c",41])";
    const std::vector<std::string> rows = {R"([17,2,"c",41])",
                                           R"([["5c0e7a21d94b36f8.0.1.17"],2,"c",41])",
                                           R"(["5c0e7a21d94b36f8.0.1.18","2","c",41])",
                                           R"(["5c0e7a21d94b36f8.0.1.18",1e400,"c",41])",
                                           R"(["5c0e7a21d94b36f8.0.1.18",18446744073709551615,"c",41])",
                                           R"(["5c0e7a21d94b36f8.0.1.18",-1,"c",41])",
                                           R"(["5c0e7a21d94b36f8.0.1.18",2.5,"c",41])",
                                           R"(["5c0e7a21d94b36f8.0.1.18"])",
                                           R"({"task":"5c0e7a21d94b36f8.0.1.18"})",
                                           "[]",
                                           "null",
                                           "7",
                                           nested(100'000)};
    for (const auto &odd : rows) {
        std::string text = R"({"running":[)" + odd;
        text += "," + good + "]}";
        const auto listing = listingFrom(text);
        ASSERT_EQ(listing.running.size(), 1U) << odd.substr(0, 100);
        EXPECT_EQ(listing.running[0].task.index, 17);
        ASSERT_EQ(listing.unreadableRows.size(), 1U) << odd.substr(0, 100);
        EXPECT_FALSE(listing.unreadableRows[0].ended || listing.unreadableRows[0].foreign) << odd.substr(0, 100);
        EXPECT_FALSE(listing.endsBeforeUnreadable);
    }
}

TEST(ListingTest, rowOfATaskThatIsNoOwn_isForeign)
{
    for (const auto *name : {"x", "", "5c.0.1", "5c.0.1.99999999999999999999", "5c.0.-1.2", "5c.0.1.2 ", "..."}) {
        const nlohmann::json body = {{"running", {{name, 2, "c", 41}}}, {"ended", {{58, name, 1, "done", ""}}}};
        const auto listing = listingFrom(body.dump());
        EXPECT_TRUE(listing.running.empty() && listing.ended.empty()) << name;
        ASSERT_EQ(listing.unreadableRows.size(), 2U) << name;
        EXPECT_TRUE(listing.unreadableRows[0].foreign && listing.unreadableRows[1].foreign) << name;
        EXPECT_FALSE(listing.endsBeforeUnreadable);
    }
}

// Casts of such numbers to integers are undefined, and differ between processors.
TEST(ListingTest, measurementsOutOfRange_areUnknown)
{
    for (const auto *odd : {"1e300", "1e400", "-1", "-1e300", "18446744073709551615", R"("41")", "null", "[]", "{}"}) {
        const auto listing = listingFrom(R"({"running":[["5c0e7a21d94b36f8.0.1.17",2,7,)" + std::string(odd) + ","
                                         + std::string(odd) + "]]}");
        ASSERT_EQ(listing.running.size(), 1U) << odd;
        EXPECT_EQ(listing.running[0].percent, 100) << odd;
        EXPECT_EQ(listing.running[0].usage, 0) << odd;
        EXPECT_TRUE(listing.running[0].checkpoint.empty());
    }
}

// An end that was not read must not be acknowledged with the ones behind it.
TEST(ListingTest, unreadableEnd_isNotedWithTheNumberOfEndsBeforeIt)
{
    const std::vector<std::string> rows = {R"([59,"5c0e7a21d94b36f8.0.1.10",1,"vanished",""])",
                                           R"([59,"5c0e7a21d94b36f8.0.1.10",1])",
                                           R"([1e400,"5c0e7a21d94b36f8.0.1.10",1,"done",""])",
                                           R"([18446744073709551615,"5c0e7a21d94b36f8.0.1.10",1,"done",""])",
                                           R"([59,7,1,"done",""])",
                                           R"([59,"5c0e7a21d94b36f8.0.1.10",1e300,"done",""])",
                                           nested(100'000)};
    for (const auto &odd : rows) {
        const auto listing = listingFrom(R"({"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)" + odd
                                         + R"(,[60,"5c0e7a21d94b36f8.0.1.11",1,"done",""]]})");
        EXPECT_EQ(listing.ended.size(), 2U) << odd.substr(0, 100);
        EXPECT_EQ(listing.endsBeforeUnreadable, 1U) << odd.substr(0, 100);
        ASSERT_EQ(listing.unreadableRows.size(), 1U) << odd.substr(0, 100);
        EXPECT_TRUE(listing.unreadableRows[0].ended && !listing.unreadableRows[0].foreign);
        EXPECT_LE(listing.unreadableRows[0].text.size(), 200U);
    }
}

// A minion returns a limited number of ends; only fewer are known to be all.
TEST(ListingTest, listingWithAsManyEndsAsAMinionReturns_mayLackSome)
{
    nlohmann::json listing = {{"running", nlohmann::json::array()}, {"ended", nlohmann::json::array()}};
    for (int number = 1; number < 500; ++number) {
        listing["ended"].push_back({number, "5c0e7a21d94b36f8.0.0.1", number, "done", ""});
    }
    EXPECT_FALSE(listingFrom(listing.dump()).lacksEnds);
    listing["ended"].push_back({500, "5c0e7a21d94b36f8.0.0.1", 500, "done", ""});
    EXPECT_TRUE(listingFrom(listing.dump()).lacksEnds);
}

// Bytes that are not UTF-8 ended the order without an answer, and the agent waited for it for ever.
TEST(MinionClientTest, orderWithBytesThatAreNoText_isInvalid)
{
    Asio::io_context context;
    MinionClient client(context.get_executor(), milliseconds(100));
    const Jobs::MinionTarget target{{"127.0.0.1", 1}, "i-7", 1};
    Wire::StartOrder start;
    start.payload = "\xff";
    Wire::StopOrder stop;
    stop.task.job = "\xff";
    std::vector<Jobs::OrderResult> results;
    std::optional<bool> throttled;
    spawnOn(context.get_executor(), "orders", [&]() -> awaitable<void> {
        results.push_back((co_await client.start(target, start, 1)).result);
        results.push_back((co_await client.stop(target, stop)).result);
        throttled = co_await client.throttle(target, stop.task, 1, 50);
    });
    context.run_for(seconds(1));
    EXPECT_EQ(results, (std::vector<Jobs::OrderResult>(2, Jobs::OrderResult::Invalid)));
    EXPECT_EQ(throttled, std::optional(false));
}

} // namespace Trefoilhoist::Platform
