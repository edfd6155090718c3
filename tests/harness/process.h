#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Trefoilhoist::Testing {

/// A program under test, started with its settings in a folder of its own. Stopped with SIGKILL when the
/// object goes, if it still runs.
class Process
{
public:
    /// Starts `program` from the build's bin folder. `settings` is written to a file and passed as --settings.
    static std::unique_ptr<Process> start(const std::string &program, const std::string &settings);
    /// Starts a program with these arguments.
    static std::unique_ptr<Process> startWith(const std::string &program, const std::vector<std::string> &arguments);

    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Waits for the ready line and returns its fields; fails the test after a generous limit.
    std::map<std::string, std::string> waitReady();

    /// Sends a signal to the process.
    void signal(int number) const;
    /// Waits for the end; returns the exit code, or minus the signal number.
    int wait();
    [[nodiscard]] bool running();

    /// What the process has written so far.
    [[nodiscard]] std::string output() const;
    [[nodiscard]] std::string errors() const;
    [[nodiscard]] pid_t pid() const;
    /// The highest resident memory of the process so far; throws if it is gone.
    [[nodiscard]] std::int64_t peakMemoryKb() const;
    [[nodiscard]] std::size_t openDescriptors() const;

private:
    Process() = default;

    pid_t m_pid = -1;
    int m_exit = 0;
    bool m_ended = false;
    std::string m_folder;
};

/// A port of the loopback address that nothing listens on now.
[[nodiscard]] std::uint16_t unusedPort();

/// `text`, repeated until it has at least so many bytes.
[[nodiscard]] std::string repeated(const std::string &text, std::size_t bytes);

/// The result of a program that ran to its end.
struct Finished {
    int code = 0;
    std::string output;
    std::string errors;
};

/// Runs a program to its end.
Finished runToEnd(const std::string &program, const std::vector<std::string> &arguments);

/// Polls until `condition` holds; false after `limitMs`.
template <typename Condition>
[[nodiscard]] bool eventually(Condition condition, int limitMs = 30000);

} // namespace Trefoilhoist::Testing

#include "harness/internal/eventually.h"
