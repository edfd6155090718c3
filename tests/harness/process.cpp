#include "harness/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace Trefoilhoist::Testing {

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream in(path);
    std::ostringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

std::string freshFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "trefoilhoist-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot make a folder for the test");
    }
    return pattern;
}

pid_t spawnProgram(const std::string &program, const std::vector<std::string> &arguments, const std::string &folder)
{
    const std::string path = std::string(TREFOILHOIST_BIN_DIR) + "/" + program;
    std::vector<char *> argv{const_cast<char *>(path.c_str())};
    for (const auto &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const std::string out = folder + "/out";
    const std::string err = folder + "/err";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, err.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    pid_t pid = -1;
    const int failed = posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + path);
    }
    return pid;
}

} // namespace

std::unique_ptr<Process> Process::start(const std::string &program, const std::string &settings)
{
    std::unique_ptr<Process> process(new Process);
    process->m_folder = freshFolder();
    const std::string file = process->m_folder + "/settings.json";
    std::ofstream(file) << settings;
    process->m_pid = spawnProgram(program, {"--settings", file}, process->m_folder);
    return process;
}

std::unique_ptr<Process> Process::startWith(const std::string &program, const std::vector<std::string> &arguments)
{
    std::unique_ptr<Process> process(new Process);
    process->m_folder = freshFolder();
    process->m_pid = spawnProgram(program, arguments, process->m_folder);
    return process;
}

Process::~Process()
{
    if (running()) {
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        wait();
    }
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

std::map<std::string, std::string> Process::waitReady()
{
    std::string line;
    const bool ready = eventually([&] {
        std::istringstream lines(output());
        while (std::getline(lines, line)) {
            if (line.rfind("ready ", 0) == 0 && !lines.eof()) {
                return true;
            }
        }
        return !running();
    });
    if (!ready || line.rfind("ready ", 0) != 0) {
        throw std::runtime_error("the program did not become ready: " + output() + errors());
    }
    std::map<std::string, std::string> fields;
    std::istringstream words(line);
    std::string word;
    while (words >> word) {
        const auto equals = word.find('=');
        if (equals != std::string::npos) {
            fields[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return fields;
}

void Process::signal(int number) const
{
    ::kill(m_pid, number);
}

int Process::wait()
{
    if (!m_ended) {
        int status = 0;
        while (::waitpid(m_pid, &status, 0) < 0 && errno == EINTR) { }
        m_ended = true;
        m_exit = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return m_exit;
}

bool Process::running()
{
    if (m_ended || m_pid < 0) {
        return false;
    }
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_ended = true;
        m_exit = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return !m_ended;
}

std::string Process::output() const
{
    return readFile(m_folder + "/out");
}

std::string Process::errors() const
{
    return readFile(m_folder + "/err");
}

pid_t Process::pid() const
{
    return m_pid;
}

std::int64_t Process::peakMemoryKb() const
{
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/status");
    std::string word;
    while (in >> word) {
        std::int64_t kb = 0;
        if (word == "VmHWM:" && in >> kb) {
            return kb;
        }
    }
    throw std::runtime_error("the process has no peak memory any more");
}

std::size_t Process::openDescriptors() const
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::uint16_t unusedPort()
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    const bool bound = bind(fd, reinterpret_cast<sockaddr *>(&address), size) == 0
        && getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    close(fd);
    if (!bound) {
        throw std::runtime_error("cannot bind a port for the test");
    }
    return ntohs(address.sin_port);
}

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string all;
    all.reserve(bytes + text.size());
    while (all.size() < bytes) {
        all += text;
    }
    return all;
}

Finished runToEnd(const std::string &program, const std::vector<std::string> &arguments)
{
    auto process = Process::startWith(program, arguments);
    Finished finished;
    finished.code = process->wait();
    finished.output = process->output();
    finished.errors = process->errors();
    return finished;
}

} // namespace Trefoilhoist::Testing
