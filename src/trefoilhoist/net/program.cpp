#include "trefoilhoist/net/program.h"

#include "trefoilhoist/config/settings.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <atomic>
#include <charconv>
#include <csignal>
#include <iostream>
#include <thread>
#include <vector>

namespace Trefoilhoist {

namespace {

constexpr int defaultThreads = 2;

void startLogging(const std::string &name)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(name.c_str());
}

struct Options {
    std::string settingsFile;
    bool checkOnly = false;
    bool schemaOnly = false;
};

Options parseOptions(int argc, char **argv, const ProgramInfo &info)
{
    TCLAP::CmdLine command(info.description, ' ', TREFOILHOIST_VERSION);
    TCLAP::ValueArg<std::string> settings(
        "s", "settings", "Settings file: JSON with comments", false, "", "file", command);
    TCLAP::SwitchArg check("c", "check", "Check the settings file and exit", command);
    TCLAP::SwitchArg schema("", "schema", "Print the settings' JSON schema and exit", command);
    command.setExceptionHandling(false);
    command.parse(argc, argv);
    if (!settings.isSet() && !schema.getValue()) {
        throw TCLAP::CmdLineParseException("Required argument missing: settings", "--settings");
    }
    return {settings.getValue(), check.getValue(), schema.getValue()};
}

} // namespace

struct Runtime::State {
    std::string program;
    std::string settingsFile;
    std::string schema;
    nlohmann::json settings;
    int threads = defaultThreads;
    std::int64_t incarnation = wallMilliseconds();
    Clock clock;
    Asio::io_context context;
    // Taken from the start, so that a signal before run() is not lost.
    Asio::signal_set signals{context, SIGTERM, SIGINT};
    Asio::signal_set reloads{context, SIGHUP};
    std::function<awaitable<void>()> stop;

    awaitable<void> waitForSignal()
    {
        boost::system::error_code ec;
        const int signal = co_await signals.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        LOG(INFO) << "event=stop_started program=" << program << " signal=" << signal;
        if (stop) {
            co_await stop();
        }
        LOG(INFO) << "event=stopped program=" << program;
        context.stop();
    }

    // A changed settings file is checked and takes effect at the next start; the process goes on.
    awaitable<void> waitForReload()
    {
        while (true) {
            boost::system::error_code ec;
            co_await reloads.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
            if (ec) {
                co_return;
            }
            const auto fresh = loadSettings(settingsFile, schema);
            if (!fresh) {
                LOG(ERROR) << "event=reload_refused program=" << program << " reason=\"" << fresh.error().str() << "\"";
                continue;
            }
            LOG(INFO) << "event=reload_checked program=" << program << " changed=" << (*fresh != settings);
        }
    }
};

Runtime::Runtime(
    std::string program, std::string settingsFile, std::string schema, nlohmann::json settings, int threads)
    : m_state(std::make_unique<State>())
{
    m_state->program = std::move(program);
    m_state->settingsFile = std::move(settingsFile);
    m_state->schema = std::move(schema);
    m_state->settings = std::move(settings);
    m_state->threads = threads;
}

Runtime::~Runtime() = default;

Asio::any_io_executor Runtime::executor()
{
    return m_state->context.get_executor();
}

Clock &Runtime::clock()
{
    return m_state->clock;
}

const nlohmann::json &Runtime::settings() const
{
    return m_state->settings;
}

std::int64_t Runtime::incarnation() const
{
    return m_state->incarnation;
}

void Runtime::onStop(std::function<awaitable<void>()> stop)
{
    m_state->stop = std::move(stop);
}

void Runtime::ready(const std::string &fields) const
{
    std::cout << "ready program=" << m_state->program << ' ' << fields << std::endl;
}

void Runtime::failStart(const std::string &place, const std::string &reason) const
{
    throw StartError(SettingsError{m_state->settingsFile, place, reason}.str());
}

int Runtime::run()
{
    spawn(executor(), "signals", [this] { return m_state->waitForSignal(); });
    spawn(executor(), "reloads", [this] { return m_state->waitForReload(); });
    const auto guard = Asio::make_work_guard(m_state->context);
    std::vector<std::thread> pool;
    for (int i = 1; i < m_state->threads; ++i) {
        pool.emplace_back([this] { m_state->context.run(); });
    }
    m_state->context.run();
    for (auto &thread : pool) {
        thread.join();
    }
    return exitOk;
}

int runProgram(int argc, char **argv, const ProgramInfo &info, const std::function<void(Runtime &)> &start)
{
    Options options;
    try {
        options = parseOptions(argc, argv, info);
    } catch (const TCLAP::ArgException &e) {
        std::cerr << info.name << ": " << e.argId() << ": " << e.error() << '\n';
        return exitBadSettings;
    } catch (const TCLAP::ExitException &e) {
        return e.getExitStatus();
    }
    if (options.schemaOnly) {
        std::cout << info.schema << '\n';
        return exitOk;
    }
    auto settings = loadSettings(options.settingsFile, info.schema);
    if (!settings) {
        std::cerr << info.name << ": " << settings.error().str() << '\n';
        return exitBadSettings;
    }
    if (options.checkOnly) {
        std::cout << options.settingsFile << ": ok\n";
        return exitOk;
    }

    startLogging(info.name);
    const int threads = settings->value("threads", defaultThreads);
    // The process ends without running destructors of half-finished coroutines.
    auto *runtime = new Runtime(info.name, options.settingsFile, info.schema, std::move(*settings), threads);
    try {
        start(*runtime);
    } catch (const StartError &e) {
        std::cerr << info.name << ": " << e.what() << '\n';
        return exitBadSettings;
    } catch (const std::invalid_argument &e) {
        // A value that the schema can't judge, for example an address without a port.
        std::cerr << info.name << ": " << SettingsError{options.settingsFile, "/", e.what()}.str() << '\n';
        return exitBadSettings;
    }
    const int code = runtime->run();
    std::cout.flush();
    std::_Exit(code);
}

Endpoint endpointFromText(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size()) {
        throw std::invalid_argument("\"" + text + "\" is not host:port");
    }
    std::uint16_t port = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec != std::errc() || stop != end) {
        throw std::invalid_argument("\"" + text + "\" has no port from 0 to 65535");
    }
    return {text.substr(0, colon), port};
}

} // namespace Trefoilhoist
