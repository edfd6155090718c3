#pragma once

#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/world/clock.h"
#include "trefoilhoist/world/world.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace Trefoilhoist {

/// Exit codes that all programs share.
inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitBadSettings = 2;

/// What a long-running program gets: executor, clock, settings and the graceful stop.
class Runtime
{
public:
    /// `schema` is what the settings file is checked against when SIGHUP tells that it changed.
    Runtime(std::string program, std::string settingsFile, std::string schema, nlohmann::json settings, int threads);
    ~Runtime();

    [[nodiscard]] Asio::any_io_executor executor();
    [[nodiscard]] Clock &clock();
    [[nodiscard]] const nlohmann::json &settings() const;
    /// Wall-clock milliseconds at the start of the process; rises with each start.
    [[nodiscard]] std::int64_t incarnation() const;

    /// What SIGTERM and SIGINT run before the program ends.
    void onStop(std::function<awaitable<void>()> stop);

    /// Prints the ready line: `ready program=NAME key=value ...`.
    void ready(const std::string &fields) const;

    /// Throws StartError for a setting that can't be used, for example a port in use.
    [[noreturn]] void failStart(const std::string &place, const std::string &reason) const;

    /// Runs the thread pool until a stop has finished; returns the exit code.
    int run();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// A setting with which a program can't start.
struct StartProblem {
    /// JSON pointer of the setting.
    std::string place;
    std::string reason;
};

/// A program that can't start: the message names file, place and reason.
class StartError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// What a long-running program is.
struct ProgramInfo {
    std::string name;
    std::string description;
    /// JSON schema of its settings file.
    std::string schema;
};

/// Parses --settings, --check, --help and --version, checks the settings file and runs `start`, then the
/// runtime until SIGTERM. Returns the exit code: 0, or 2 for bad usage or settings.
int runProgram(int argc, char **argv, const ProgramInfo &info, const std::function<void(Runtime &)> &start);

/// Parses "127.0.0.1:80". Throws std::invalid_argument.
[[nodiscard]] Endpoint endpointFromText(const std::string &text);

} // namespace Trefoilhoist
