#include "harness/process.h"
#include "harness/site.h"

#include "trefoilhoist/net/asio.h"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

using namespace Trefoilhoist;
using namespace Trefoilhoist::Testing;

namespace {

// A long-running program with its minimal settings; PORT is replaced by the port that it listens on.
struct Program {
    std::string name;
    std::string settings;
    // The JSON pointer of the listen address in the settings.
    std::string listenPointer;
};

void PrintTo(const Program &program, std::ostream *out)
{
    *out << program.name;
}

std::vector<Program> programs()
{
    return {
        {"trefoilhoist-entry",
         R"({"id": "e1", "listen": "127.0.0.1:PORT", "peerListen": "127.0.0.1:0", "zone": "a", "stop": {"graceMs": 0}})",
         "/listen"},
        {"trefoilhoist-placer",
         R"({"id": "p1", "listen": "127.0.0.1:PORT", "zone": "a", "store": ["127.0.0.1:1"], "cell": "c1"})",
         "/listen"},
        {"trefoilhoist-dispatcher",
         R"({"id": "d1", "callers": "127.0.0.1:PORT", "readiness": "127.0.0.1:0", "peers": "127.0.0.1:0", "store": "127.0.0.1:1"})",
         "/callers"},
        {"trefoilhoist-agent",
         R"({"id": "a1", "heartbeats": "127.0.0.1:PORT", "peers": "127.0.0.1:0", "store": "127.0.0.1:1"})",
         "/heartbeats"},
        {"standin-store", R"({"listen": "127.0.0.1:PORT"})", "/listen"},
        {"standin-minion",
         R"({"id": "m1", "listen": "127.0.0.1:PORT", "zone": "a", "service": "s", "entries": [], "leaveGraceMs": 0})",
         "/listen"},
        {"standin-worker",
         R"({"id": "w1", "listen": "127.0.0.1:PORT", "zone": "a", "rack": "r1", "milliCpu": 1000, "memoryMb": 1000, "placers": []})",
         "/listen"},
        {"standin-faultproxy", R"({"control": "127.0.0.1:PORT", "links": {}})", "/control"},
    };
}

std::string withPort(std::string settings, int port)
{
    const auto at = settings.find("PORT");
    return settings.replace(at, 4, std::to_string(port));
}

class SettingsFile
{
public:
    explicit SettingsFile(const std::string &text)
        : m_path(std::filesystem::temp_directory_path()
                 / ("trefoilhoist-settings-" + std::to_string(::getpid()) + ".json"))
    {
        std::ofstream(m_path) << text;
    }
    ~SettingsFile()
    {
        std::filesystem::remove(m_path);
    }
    [[nodiscard]] std::string path() const
    {
        return m_path.string();
    }

private:
    std::filesystem::path m_path;
};

class ProgramTest : public testing::TestWithParam<Program>
{
protected:
    // Runs the program with these settings. Expects exit code 2, and an error message that names the settings file and
    // contains the JSON pointer and the reason.
    void expectRejected(const std::string &settings, const std::string &pointer, const std::string &reason)
    {
        const SettingsFile file(settings);
        const auto finished = runToEnd(GetParam().name, {"--settings", file.path()});
        EXPECT_EQ(finished.code, 2);
        EXPECT_NE(finished.errors.find(file.path()), std::string::npos) << finished.errors;
        EXPECT_NE(finished.errors.find(pointer), std::string::npos) << finished.errors;
        EXPECT_NE(finished.errors.find(reason), std::string::npos) << finished.errors;
    }

    [[nodiscard]] std::string settings(int port = 0) const
    {
        return withPort(GetParam().settings, port);
    }
};

} // namespace

TEST_P(ProgramTest, unknownKey_isRejectedByName)
{
    auto text = settings();
    text.insert(1, R"("colour": 1, )");
    expectRejected(text, "/", "colour");
}

TEST_P(ProgramTest, wrongType_isRejectedWithItsPointer)
{
    auto text = settings();
    text.insert(1, R"("threads": "many", )");
    expectRejected(text, "/threads", "type");
}

TEST_P(ProgramTest, portInUse_isRejectedWithItsPointer)
{
    Asio::io_context context;
    Asio::ip::tcp::acceptor taken(context, {Asio::ip::make_address("127.0.0.1"), 0});
    expectRejected(settings(taken.local_endpoint().port()), GetParam().listenPointer, "in use");
}

TEST_P(ProgramTest, addressWithoutPort_isRejectedWithTheAddress)
{
    auto text = GetParam().settings;
    const std::string address = "127.0.0.1:PORT";
    text.replace(text.find(address), address.size(), "nowhere");
    expectRejected(text, "/", "nowhere");
}

TEST_P(ProgramTest, missingSettingsFile_isRejectedByName)
{
    const auto finished = runToEnd(GetParam().name, {"--settings", "no-such-file.json"});
    EXPECT_EQ(finished.code, 2);
    EXPECT_NE(finished.errors.find("no-such-file.json: /: cannot open"), std::string::npos) << finished.errors;
}

TEST_P(ProgramTest, validSettings_passCheckOption)
{
    const SettingsFile file(settings());
    EXPECT_EQ(runToEnd(GetParam().name, {"--settings", file.path(), "--check"}).code, 0);
}

TEST_P(ProgramTest, sigterm_exitsWithCodeZero)
{
    auto process = Process::start(GetParam().name, settings());
    process->waitReady();
    process->signal(SIGTERM);
    EXPECT_EQ(process->wait(), 0) << process->errors();
}

TEST_P(ProgramTest, sighup_keepsTheProgramRunning)
{
    auto process = Process::start(GetParam().name, settings());
    process->waitReady();
    process->signal(SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    process->signal(SIGTERM);
    EXPECT_EQ(process->wait(), 0) << process->errors();
}

INSTANTIATE_TEST_SUITE_P(All, ProgramTest, testing::ValuesIn(programs()), [](const auto &it) {
    auto name = it.param.name;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
});

namespace {

class ToolTest : public testing::TestWithParam<std::string>
{
};

} // namespace

TEST_P(ToolTest, helpAndVersion_exitWithCodeZero)
{
    EXPECT_EQ(runToEnd(GetParam(), {"--help"}).code, 0);
    const auto version = runToEnd(GetParam(), {"--version"});
    EXPECT_EQ(version.code, 0);
    EXPECT_NE(version.output.find(TREFOILHOIST_VERSION), std::string::npos);
}

TEST_P(ToolTest, unknownOption_exitsWithCodeTwoAndIsNamed)
{
    const auto finished = runToEnd(GetParam(), {"--colour"});
    EXPECT_EQ(finished.code, 2);
    EXPECT_NE(finished.errors.find("colour"), std::string::npos) << finished.errors;
}

INSTANTIATE_TEST_SUITE_P(All,
                         ToolTest,
                         testing::Values("trefoilhoist-entry",
                                         "trefoilhoist-placer",
                                         "trefoilhoist-dispatcher",
                                         "trefoilhoist-agent",
                                         "trefoilhoist-ctl",
                                         "trefoilhoist-burn",
                                         "trefoilhoist-configcheck",
                                         "trefoilhoist-load",
                                         "trefoilhoist-routing-trial",
                                         "trefoilhoist-placement-trial",
                                         "trefoilhoist-placement-slopes",
                                         "standin-store",
                                         "standin-minion",
                                         "standin-worker",
                                         "standin-faultproxy"),
                         [](const auto &it) {
                             auto name = it.param;
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });

namespace {

class ConfigCheckToolTest : public testing::Test
{
protected:
    Finished check(const std::string &text, const std::vector<std::string> &options = {})
    {
        const SettingsFile file(text);
        auto arguments = options;
        arguments.push_back(file.path());
        return runToEnd("trefoilhoist-configcheck", arguments);
    }

    const std::string m_valid
        = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s","maxAttempts":4,"stretch":1.5}],)"
          R"("services":[{"name":"s"}]})";
};

} // namespace

TEST_F(ConfigCheckToolTest, validConfiguration_exitsWithCodeZeroAndNoFindings)
{
    const auto finished = check(m_valid);
    EXPECT_EQ(finished.code, 0) << finished.errors;
    EXPECT_EQ(finished.output, "");
}

// A line break or a terminal's control sequence in a name must not look like a finding of its own.
TEST_F(ConfigCheckToolTest, findings_areOneLineEachSortedBySeverity)
{
    const auto finished = check(R"({"version":0,"routes":[],"services":[{"name":"a\n\u001b[2Jb"}]})");
    EXPECT_EQ(finished.code, 1) << finished.errors;
    EXPECT_EQ(finished.output,
              "error /: the version is missing or not above 0\n"
              "warning /: there is no route, so every request is answered as not found\n"
              "note /services/0: no route names service \"a??[2Jb\"\n");
}

TEST_F(ConfigCheckToolTest, unreadableConfiguration_exitsWithCodeOne)
{
    const auto finished = check("no JSON");
    EXPECT_EQ(finished.code, 1);
    EXPECT_EQ(finished.output.find("error /: "), 0U) << finished.output;
}

TEST_F(ConfigCheckToolTest, sameFileInForce_isAnErrorOfTheVersion)
{
    const SettingsFile file(m_valid);
    const auto finished = runToEnd("trefoilhoist-configcheck", {"--in-force", file.path(), file.path()});
    EXPECT_EQ(finished.code, 1) << finished.errors;
    EXPECT_EQ(finished.output.find("error /: version 7 is not above the one in force, 7"), 0U) << finished.output;
}

// An unusable file must not look like a configuration with or without errors.
TEST_F(ConfigCheckToolTest, unusableFiles_exitWithCodeTwo)
{
    EXPECT_EQ(runToEnd("trefoilhoist-configcheck", {"no-such-file.json"}).code, 2);
    EXPECT_EQ(runToEnd("trefoilhoist-configcheck", {"/"}).code, 2);
    EXPECT_EQ(runToEnd("trefoilhoist-configcheck", {"--in-force", "-", "-"}).code, 2);
    EXPECT_EQ(check(m_valid, {"--in-force", "no-such-file.json"}).code, 2);
    constexpr std::size_t tooManyBytes = (std::size_t{8} << 20U) + 1;
    const auto tooLarge = check(std::string(tooManyBytes, ' '));
    EXPECT_EQ(tooLarge.code, 2);
    EXPECT_NE(tooLarge.errors.find("larger than"), std::string::npos) << tooLarge.errors;
}

TEST(SiteTest, programThatDoesNotStart_isReported)
{
    SitePlan plan;
    plan.entrySettings = {{"unknown", 1}};
    EXPECT_THROW(Site site(plan), std::runtime_error);
}
