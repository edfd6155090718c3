// Child processes of the stand-ins.
#pragma once

#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Review {

/// A thread that lives as long as the program. A child is ended with the thread that has started it, so that all
/// children are started here.
class Spawner
{
public:
    static void run(const std::function<void()> &work)
    {
        static auto *spawner = new Spawner;
        std::unique_lock lock(spawner->m_mutex);
        spawner->m_changed.wait(lock, [] { return spawner->m_work == nullptr; });
        spawner->m_work = &work;
        spawner->m_changed.notify_all();
        spawner->m_changed.wait(lock, [&] { return spawner->m_work != &work; });
    }

private:
    Spawner()
    {
        std::thread([this] { loop(); }).detach();
    }

    void loop()
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            m_changed.wait(lock, [this] { return m_work != nullptr; });
            (*m_work)();
            m_work = nullptr;
            m_changed.notify_all();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    const std::function<void()> *m_work = nullptr;
};

/// A program of the product, started with the command of the deploy file.
class Process
{
public:
    using Environment = std::map<std::string, std::string>;

    /// `environment` is added to that of this process.
    Process(std::string program, std::string settings, std::string log, Environment environment = {})
        : m_program(std::move(program))
        , m_settings(std::move(settings))
        , m_log(std::move(log))
        , m_environment(std::move(environment))
    {
        start();
    }

    ~Process()
    {
        kill(SIGKILL);
    }

    void start()
    {
        Spawner::run([this] { spawn(); });
    }

    [[nodiscard]] bool running() const
    {
        return m_pid > 0;
    }

    /// Sends the signal; one that ends the process is waited for.
    void kill(int signal)
    {
        if (m_pid <= 0) {
            return;
        }
        ::kill(m_pid, signal);
        if (signal == SIGKILL || signal == SIGTERM) {
            waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }

    /// Waits until the process has ended by itself.
    void wait()
    {
        if (m_pid > 0) {
            waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }

    /// Sends the process a number, with a signal that is queued.
    void tell(int number)
    {
        sigval value{};
        value.sival_int = number;
        if (m_pid > 0) {
            sigqueue(m_pid, SIGRTMIN, value);
        }
    }

private:
    void spawn()
    {
        m_pid = fork();
        if (m_pid != 0) {
            return;
        }
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        // A number that is sent before the program waits for it doesn't end it.
        sigset_t numbers;
        sigemptyset(&numbers);
        sigaddset(&numbers, SIGRTMIN);
        sigprocmask(SIG_BLOCK, &numbers, nullptr);
        const int fd = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        for (const auto &[name, value] : m_environment) {
            setenv(name.c_str(), value.c_str(), 1);
        }
        execl(m_program.c_str(), m_program.c_str(), "--settings", m_settings.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }

    std::string m_program;
    std::string m_settings;
    std::string m_log;
    Environment m_environment;
    pid_t m_pid = 0;
};

} // namespace Review
