#include "trefoilhoist/jobs/configcheck.h"

#include "platform/callers.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <limits>

using namespace Trefoilhoist;
using namespace Trefoilhoist::Jobs;

namespace {

nlohmann::json validDocument()
{
    return nlohmann::json::parse(R"({"version":7,
        "routes":[
            {"name":"r1","host":"h.example","prefix":"/a/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":4000,
             "priority":0,"service":"s1","maxAttempts":4,"stretch":1.5},
            {"name":"r2","host":"h.example","prefix":"/a/b/","service":"s2","maxAttempts":1,"stretch":1}],
        "services":[
            {"name":"s1","healthPath":"/health","maxConnections":64,"protocol":"h1","coldStartS":0.5},
            {"name":"s2"}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
}

ConfigDocument decoded(const nlohmann::json &document)
{
    const auto result = Platform::Configuration().document(document.dump());
    EXPECT_TRUE(result) << (result ? "" : result.error());
    return result.value_or(ConfigDocument{});
}

std::vector<std::string> linesOf(const std::vector<ConfigFinding> &findings)
{
    std::vector<std::string> lines;
    lines.reserve(findings.size());
    for (const auto &it : findings) {
        lines.push_back(std::string(severityName(it.severity)) + ' ' + it.path + ": " + it.text);
    }
    return lines;
}

using Lines = std::vector<std::string>;

Lines differences(const nlohmann::json &after)
{
    const auto inForce = decoded(validDocument());
    return linesOf(checkConfiguration(decoded(after), &inForce));
}

/// A change of the valid document and the only finding that it causes.
struct Case {
    const char *name;
    const char *pointer;
    /// JSON text; empty removes the field.
    const char *value;
    const char *finding;
};

void PrintTo(const Case &it, std::ostream *out)
{
    *out << it.name;
}

nlohmann::json changed(const Case &it)
{
    auto document = validDocument();
    const nlohmann::json::json_pointer pointer(it.pointer);
    if (*it.value == '\0') {
        document.at(pointer.parent_pointer()).erase(pointer.back());
    } else {
        document[pointer] = nlohmann::json::parse(it.value);
    }
    return document;
}

const std::vector<Case> cases = {
    {"versionMissing", "/version", "", "error /: the version is missing or not above 0"},
    {"versionNegative", "/version", "-1", "error /: the version is missing or not above 0"},
    {"nameMissing", "/routes/1/name", "", R"(error /routes/1: field "name" is not a text with something in it)"},
    {"prefixMissing", "/routes/1/prefix", "", R"(error /routes/1: field "prefix" is not a text with something in it)"},
    {"routeNoObject", "/routes/1", "7", "error /routes/1: not an object"},
    {"priorityNegative", "/routes/0/priority", "-1", R"(error /routes/0: field "priority" is not within its bounds)"},
    {"limitNoNumber", "/limits/maxBodyBytes", "\"\"", R"(error /limits: field "maxBodyBytes" is not a number)"},
    {"routeNamedTwice",
     "/routes/1/name",
     "\"r1\"",
     R"(error /routes/1: route "r1" has the name of the one at /routes/0)"},
    {"serviceMissing",
     "/routes/2",
     R"({"name":"r3","host":"h","prefix":"/c/","maxAttempts":1,"stretch":1})",
     "error /routes/2: the route has no service"},
    {"serviceUndefined", "/services", R"([{"name":"s1"}])", R"(error /routes/1: service "s2" is not defined)"},
    {"serviceNamedTwice",
     "/services/2",
     R"({"name":"s1"})",
     R"(error /services/2: service "s1" has the name of the one at /services/0)"},
    {"attemptsZero", "/routes/0/maxAttempts", "0", "error /routes/0: maxAttempts is missing or below 1"},
    {"stretchBelowOne", "/routes/0/stretch", "0.5", "error /routes/0: stretch is missing or below 1: 0.5"},
    {"stretchNegative", "/routes/0/stretch", "-1", "error /routes/0: stretch is negative or not finite: -1"},
    {"timeoutNegative", "/routes/0/timeoutMs", "-1", "error /routes/0: timeoutMs is negative or not finite: -1"},
    {"coldNegative", "/services/0/coldStartS", "-0.5", "error /services/0: coldStartS is negative or not finite: -0.5"},
    {"bodyZero", "/limits/maxBodyBytes", "0", "error /limits: the largest body is 0 bytes"},
    {"bodyNegative", "/limits/maxBodyBytes", "-5", "error /limits: maxBodyBytes is negative or not finite: -5"},
    {"headerZero", "/limits/maxHeaderBytes", "0", "error /limits: the largest header is 0 bytes"},
    {"samePrefix",
     "/routes/1/prefix",
     "\"/a/\"",
     R"(warning /routes/1: never matches: route "r1" has the same host and prefix)"},
    {"prefixNoPath",
     "/routes/1/prefix",
     "\"a/\"",
     R"(warning /routes/1: never matches: prefix "a/" does not begin with "/")"},
    {"prefixQuery",
     "/routes/1/prefix",
     "\"/a/?b/\"",
     R"(warning /routes/1: never matches: prefix "/a/?b/" contains a query)"},
    {"prefixOpenEnd",
     "/routes/1/prefix",
     "\"/b\"",
     R"(note /routes/1: prefix "/b" does not end with "/", so a job's id has to follow it without one)"},
    {"hostMissing", "/routes/1/host", "", "warning /routes/1: never matches: the route has no host"},
    {"hostPort",
     "/routes/1/host",
     "\"h:80\"",
     R"(warning /routes/1: never matches: host "h:80" contains a colon, and requests are compared without their port)"},
    {"hostUpperCase",
     "/routes/1/host",
     "\"H\"",
     R"(warning /routes/1: host "H" matches only requests with the same upper-case letters)"},
    {"advice",
     "/routes/0/advice",
     "{}",
     "warning /routes/0: jobs are refused: queues with advice are not supported yet"},
    {"serviceUnused", "/services/2", R"({"name":"s3"})", R"(note /services/2: no route names service "s3")"},
    {"headerAfterIdle",
     "/limits/idleTimeoutMs",
     "2000",
     "warning /limits: the timeout for a header is longer than the one for an idle connection"},
    {"bodyUnreachable",
     "/limits/maxBodyBytes",
     "1048577",
     "note /limits: the largest body, in bytes, is 1048577, but the dispatcher's own limit is "
     "1048576"},
    {"idleUnreachable",
     "/limits/idleTimeoutMs",
     "60001",
     "note /limits: the largest time of an idle connection, in milliseconds, is 60001, but the dispatcher's own limit "
     "is "
     "60000"},
};

class ConfigCheckTest : public testing::TestWithParam<Case>
{
};

} // namespace

TEST_P(ConfigCheckTest, changedDocument_hasOneFinding)
{
    EXPECT_EQ(linesOf(checkConfiguration(decoded(changed(GetParam())), nullptr)), Lines{GetParam().finding});
}

INSTANTIATE_TEST_SUITE_P(All, ConfigCheckTest, testing::ValuesIn(cases), [](const auto &it) { return it.param.name; });

// A target above the timeout is no contradiction: the timeout is for the answer to the submission.
TEST(ConfigCheckTest, validDocument_hasNoFindings)
{
    EXPECT_EQ(linesOf(checkConfiguration(decoded(validDocument()), nullptr)), Lines{});
}

// The check and the dispatcher must agree on which configurations are refused.
TEST(ConfigCheckTest, unreadableRoute_isRefusedByTheDispatcherWithTheSameReason)
{
    const auto document = changed(cases[2]).dump();
    const auto queues = Platform::Configuration().queues(document);
    ASSERT_FALSE(queues);
    EXPECT_EQ("error " + queues.error(), cases[2].finding);
}

// The dispatcher doesn't read services and limits, so what it accepts must not depend on them.
TEST(ConfigCheckTest, unreadableServicesAndLimits_areAcceptedByTheDispatcher)
{
    EXPECT_TRUE(Platform::Configuration().queues(R"({"version":1,"services":7,"limits":[]})"));
}

TEST(ConfigCheckTest, notFiniteNumbers_areErrors)
{
    auto document = decoded(validDocument());
    document.services[0].entry.fields = {{"f", std::numeric_limits<double>::infinity()}};
    EXPECT_EQ(linesOf(checkConfiguration(document, nullptr)),
              Lines{"error /services/0: f is negative or not finite: inf"});
}

TEST(ConfigCheckTest, higherVersionAlone_isNotedAsUnchanged)
{
    auto after = validDocument();
    after["version"] = 8;
    EXPECT_EQ(differences(after), Lines{"note /: nothing differs from the version in force apart from the version"});
}

TEST(ConfigCheckTest, changes_areListedFieldByFieldAfterErrors)
{
    auto after = validDocument();
    after["version"] = 6;
    after["routes"][0]["stretch"] = 2.25;
    after["routes"][1]["name"] = "r3";
    after["services"][0]["tls"] = true;
    after["limits"]["maxBodyBytes"] = 1000;
    EXPECT_EQ(differences(after),
              (Lines{"error /: version 6 is not above the one in force, 7, so it is ignored",
                     R"(note /routes/0: route "r1": stretch changes from 1.5 to 2.25)",
                     R"(note /routes/1: route "r3" is added)",
                     R"(note /routes/1: route "r2" of the version in force is removed)",
                     R"(note /services/0: service "s1": tls changes from false to true)",
                     "note /limits: limits: maxBodyBytes changes from 262144 to 1000"}));
}

// An entry that can't be read must not be listed as removed.
TEST(ConfigCheckTest, unreadableEntries_areNotCompared)
{
    auto after = validDocument();
    after["version"] = 8;
    after["routes"][0] = 7;
    EXPECT_EQ(differences(after), Lines{"error /routes/0: not an object"});
}
