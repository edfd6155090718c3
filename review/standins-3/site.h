// A small deployment on loopback addresses: the platform's store, dispatchers, agents and minions.
#pragma once

#include "minion.h"
#include "store.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <optional>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Review {

/// A process that the script has started, and that it ends by its id.
class Process
{
public:
    Process(std::vector<std::string> words, std::string log) : m_words(std::move(words)), m_log(std::move(log)) { }
    ~Process()
    {
        kill(SIGKILL);
    }

    /// Processes end with the thread that started them, also if the script is killed.
    static inline bool endWithStarter = true;

    void start()
    {
        m_pid = fork();
        if (m_pid == 0) {
            const int fd = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(fd, 1);
            dup2(fd, 2);
            if (endWithStarter) {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
            }
            std::vector<char *> argv;
            for (auto &it : m_words) {
                argv.push_back(it.data());
            }
            argv.push_back(nullptr);
            execv(argv[0], argv.data());
            _exit(127);
        }
    }
    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    /// Sends the signal, which ends the process, and waits for the end.
    void kill(int number)
    {
        if (m_pid <= 0) {
            return;
        }
        ::kill(m_pid, number);
        ::kill(m_pid, SIGCONT);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    /// True if the process has ended by itself; it is gone then.
    bool hasEnded()
    {
        if (m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_pid = -1;
            return true;
        }
        return false;
    }
    [[nodiscard]] int status() const
    {
        return m_status;
    }
    [[nodiscard]] bool isUp() const
    {
        return m_pid > 0;
    }
    [[nodiscard]] pid_t id() const
    {
        return m_pid;
    }

private:
    std::vector<std::string> m_words;
    std::string m_log;
    pid_t m_pid = -1;
    int m_status = 0;
};

struct Route {
    std::string name;
    std::string prefix;
    int maxAttempts = 4;
};

struct SiteSettings {
    int dispatchers = 3;
    int sides = 6;
    std::int64_t maxHoldMs = 6000;
    int memoryMb = 260;
};

struct Dispatcher {
    std::string name;
    int callers = 0;
    std::unique_ptr<Process> process;
};

struct Side {
    std::string name;
    MinionSettings minion;
    std::unique_ptr<Process> agent;
    std::unique_ptr<Minion> running;
    int lives = 1;
};

class Site
{
public:
    Site(SiteSettings settings, std::string folder, Record &record)
        : m_settings(settings), m_folder(std::move(folder)), m_record(record)
    {
        char pattern[] = "/tmp/review-XXXXXX";
        m_temporary = mkdtemp(pattern);
        for (int i = 0; i < settings.dispatchers; ++i) {
            addDispatcher(i);
        }
        for (int i = 0; i < settings.sides; ++i) {
            addSide(i);
        }
    }
    ~Site()
    {
        sides.clear();
        dispatchers.clear();
        removeTemporary();
    }
    [[nodiscard]] const std::string &temporary() const
    {
        return m_temporary;
    }
    /// Adds a machine beside those of the start; its agent is not started yet. References to the sides end here.
    Side &addMachine()
    {
        addSide(static_cast<int>(sides.size()));
        return sides.back();
    }
    void removeTemporary() const
    {
        std::filesystem::remove_all(m_temporary);
    }

    void start(const std::vector<Route> &routes)
    {
        configure(routes);
        for (auto &it : dispatchers) {
            it.process->start();
        }
        for (auto &it : sides) {
            it.agent->start();
        }
        sleepMs(300);
        for (auto &it : sides) {
            startMinion(it);
        }
    }

    void configure(const std::vector<Route> &routes)
    {
        Json list = Json::array();
        for (const auto &it : routes) {
            list.push_back({{"name", it.name},
                            {"host", "jobs.example"},
                            {"prefix", it.prefix},
                            {"kind", "unsafe"},
                            {"timeoutMs", 3000},
                            {"targetLatencyMs", 1000},
                            {"priority", 0},
                            {"service", "desk"},
                            {"maxAttempts", it.maxAttempts},
                            {"stretch", 1.5}});
        }
        const Json config = {{"version", ++m_version},
                             {"routes", list},
                             {"services",
                              {{{"name", "desk"},
                                {"healthPath", "/health"},
                                {"maxConnections", 64},
                                {"protocol", "h1"},
                                {"tls", false},
                                {"enforcesCapacity", false},
                                {"spare", false}}}},
                             {"limits",
                              {{"maxHeaderBytes", 16384},
                               {"maxBodyBytes", 262144},
                               {"headerTimeoutMs", 3000},
                               {"idleTimeoutMs", 15000}}}};
        store.operatorPut("op/config", config.dump());
    }

    void startMinion(Side &side)
    {
        side.running = std::make_unique<Minion>(side.minion, m_record, shared);
    }

    /// The dispatcher that owns the scheduling, by the store's record; null if there is none.
    Dispatcher *owner()
    {
        const auto value = store.rawValue("lead/owner");
        for (auto &it : dispatchers) {
            for (std::size_t shift = 0; shift < 3 && !value.empty(); ++shift) {
                const auto bytes = std::string(shift, ' ') + it.name;
                auto text = base64(bytes);
                text = text.substr(shift == 0 ? 0 : 4, (bytes.size() / 3) * 3 / 3 * 4 - (shift == 0 ? 0 : 4));
                if (value.find(text) != std::string::npos) {
                    return &it;
                }
            }
        }
        return nullptr;
    }

    bool waitReady(int timeoutMs)
    {
        const auto until = steadyMs() + timeoutMs;
        while (steadyMs() < until) {
            const auto answer = call(dispatchers.front().callers, "GET", "/q/", {{"Host", "jobs.example"}}, "", 1000);
            if (answer.status == 200 && owner() != nullptr) {
                return true;
            }
            sleepMs(100);
        }
        return false;
    }

    Store store;
    Shared shared;
    std::vector<Dispatcher> dispatchers;
    std::vector<Side> sides;

    /// Logs are kept only where the script asks for them.
    [[nodiscard]] std::string logOf(const std::string &name) const
    {
        return (std::getenv("KEEP_LOGS") != nullptr ? m_folder : m_temporary) + "/log-" + name + ".txt";
    }

private:
    void write(const std::string &path, const Json &settings) const
    {
        std::ofstream(path) << settings.dump(2);
    }

    void addDispatcher(int i)
    {
        Dispatcher it;
        it.name = "front-" + std::string(1, static_cast<char>('a' + i)) + "-dispatcher";
        it.callers = freePort();
        const int storePort = freePort();
        store.serve(it.name, storePort);
        const auto path = m_temporary + "/" + it.name + ".conf";
        write(path,
              {{"id", it.name},
               {"callers", "127.0.0.1:" + std::to_string(it.callers)},
               {"readiness", "127.0.0.1:" + std::to_string(freePort())},
               {"peers", "127.0.0.1:" + std::to_string(freePort())},
               {"metrics", "127.0.0.1:" + std::to_string(freePort())},
               {"store", "127.0.0.1:" + std::to_string(storePort)},
               {"processorShare", 0.25},
               {"linkMbps", 1000.0},
               {"memoryMb", m_settings.memoryMb},
               {"threads", 1},
               {"workerLeaseMs", m_settings.maxHoldMs},
               {"remoteRunMultiplier", 1.5},
               {"replicaBaselines", true},
               {"servingAdmission", true}});
        it.process = std::make_unique<Process>(
            std::vector<std::string>{"target/bin/trefoilhoist-dispatcher", "--settings", path}, logOf(it.name));
        dispatchers.push_back(std::move(it));
    }

    void addSide(int i)
    {
        Side it;
        it.name = "side-" + std::string(1, static_cast<char>('a' + i));
        it.minion.id = "i-" + std::string(1, static_cast<char>('a' + i)) + "1";
        it.minion.service = "desk";
        it.minion.port = freePort();
        it.minion.agentPort = freePort();
        it.minion.labels = {"a", "r1-" + std::to_string(i / 2)};
        it.minion.maxHoldMs = m_settings.maxHoldMs;
        const int storePort = freePort();
        store.serve(it.name, storePort);
        const auto path = m_temporary + "/" + it.name + ".conf";
        write(path,
              {{"id", it.name},
               {"heartbeats", "127.0.0.1:" + std::to_string(it.minion.agentPort)},
               {"peers", "127.0.0.1:" + std::to_string(freePort())},
               {"metrics", "127.0.0.1:" + std::to_string(freePort())},
               {"store", "127.0.0.1:" + std::to_string(storePort)},
               {"memoryMb", 128},
               {"threads", 1},
               {"longestHoldMs", m_settings.maxHoldMs}});
        it.agent = std::make_unique<Process>(
            std::vector<std::string>{"target/bin/trefoilhoist-agent", "--settings", path}, logOf(it.name));
        sides.push_back(std::move(it));
    }

    SiteSettings m_settings;
    std::string m_folder;
    std::string m_temporary;
    Record &m_record;
    std::int64_t m_version = 1;
};

} // namespace Review
