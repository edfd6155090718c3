// A small HTTP/1.1 server and client for the stand-ins. One thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <thread>
#include <utility>

namespace Review {

using SteadyClock = std::chrono::steady_clock;

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now().time_since_epoch()).count();
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct NoCase {
    bool operator()(const std::string &a, const std::string &b) const
    {
        return strcasecmp(a.c_str(), b.c_str()) < 0;
    }
};

using Headers = std::map<std::string, std::string, NoCase>;

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string path() const
    {
        return target.substr(0, target.find('?'));
    }
    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
};

struct Response {
    /// 0: the connection is closed without an answer.
    int status = 200;
    std::string body = "{}";
};

/// Reads one message; false when the connection ends. `first` gets the first line.
inline bool
readMessage(int fd, std::string &buf, std::string &first, Headers &headers, std::string &body, std::int64_t deadlineMs)
{
    const auto more = [&] {
        pollfd p{fd, POLLIN, 0};
        const auto left = deadlineMs - steadyMs();
        if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char chunk[16384];
        const auto n = recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0) {
            return false;
        }
        buf.append(chunk, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t end = 0;
    while ((end = buf.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return false;
        }
    }
    std::string head = buf.substr(0, end);
    buf.erase(0, end + 4);
    headers.clear();
    std::size_t at = head.find("\r\n");
    first = head.substr(0, at);
    while (at != std::string::npos) {
        const auto next = head.find("\r\n", at + 2);
        const auto line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            headers[line.substr(0, colon)] = value == std::string::npos ? "" : line.substr(value);
        }
        at = next;
    }
    const auto length = headers.find("Content-Length");
    const auto size = length == headers.end() ? 0 : std::stoul(length->second);
    while (buf.size() < size) {
        if (!more()) {
            return false;
        }
    }
    body = buf.substr(0, size);
    buf.erase(0, size);
    return true;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Returns a free port of the loopback address, below those that the system gives to connections by itself. Scripts
/// that run at the same time begin their search at different ports.
inline int freePort()
{
    constexpr int first = 10'000;
    constexpr int last = 32'000;
    constexpr int portsOfScript = 200;
    static int next = first + getpid() * portsOfScript % (last - first);
    while (true) {
        next = next + 1 < last ? next + 1 : first;
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(next);
        const bool isFree = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        close(fd);
        if (isFree) {
            return next;
        }
    }
}

class Server
{
public:
    using Handler = std::function<Response(const Request &)>;

    Server(int port, Handler handler) : m_state(std::make_shared<State>())
    {
        m_state->handler = std::move(handler);
        m_state->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_state->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = loopback(port);
        if (bind(m_state->fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || listen(m_state->fd, 256) != 0) {
            throw std::runtime_error("cannot listen on port " + std::to_string(port));
        }
        std::thread([state = m_state] { acceptAll(state); }).detach();
    }

    ~Server()
    {
        stop();
    }

    /// Ends as a process that is killed: all connections break, and new ones are refused.
    void stop()
    {
        std::lock_guard lock(m_state->mutex);
        if (std::exchange(m_state->stopped, true)) {
            return;
        }
        shutdown(m_state->fd, SHUT_RDWR);
        close(m_state->fd);
        breakAll();
    }

    /// Breaks the open connections; new ones are taken.
    void reset()
    {
        std::lock_guard lock(m_state->mutex);
        breakAll();
    }

private:
    struct State {
        int fd = -1;
        Handler handler;
        std::mutex mutex;
        std::set<int> connections;
        bool stopped = false;
    };

    void breakAll()
    {
        for (const int it : m_state->connections) {
            const linger abort{1, 0};
            setsockopt(it, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
            shutdown(it, SHUT_RDWR);
        }
    }

    static void acceptAll(const std::shared_ptr<State> &state)
    {
        while (true) {
            const int fd = accept4(state->fd, nullptr, nullptr, SOCK_CLOEXEC);
            std::lock_guard lock(state->mutex);
            if (state->stopped) {
                if (fd >= 0) {
                    close(fd);
                }
                return;
            }
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            state->connections.insert(fd);
            std::thread([state, fd] { serve(state, fd); }).detach();
        }
    }

    static void serve(const std::shared_ptr<State> &state, int fd)
    {
        constexpr std::int64_t idleMs = 120'000;
        std::string buf;
        std::string first;
        Request request;
        while (readMessage(fd, buf, first, request.headers, request.body, steadyMs() + idleMs)) {
            const auto a = first.find(' ');
            const auto b = first.find(' ', a + 1);
            request.method = first.substr(0, a);
            request.target = first.substr(a + 1, b - a - 1);
            const auto response = state->handler(request);
            if (response.status == 0) {
                break;
            }
            const auto text = "HTTP/1.1 " + std::to_string(response.status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size())
                + "\r\n\r\n" + response.body;
            if (!sendAll(fd, text)) {
                break;
            }
        }
        {
            std::lock_guard lock(state->mutex);
            state->connections.erase(fd);
        }
        close(fd);
    }

    std::shared_ptr<State> m_state;
};

/// One call on a connection of its own. The status is 0 without an answer, -1 if nothing listens.
inline Response call(int port,
                     const std::string &method,
                     const std::string &target,
                     Headers headers,
                     const std::string &body,
                     int timeoutMs)
{
    const auto deadline = steadyMs() + timeoutMs;
    Response response{0, ""};
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    auto address = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        response.status = -1;
        return response;
    }
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    if (headers.count("Host") == 0) {
        headers["Host"] = "127.0.0.1";
    }
    headers["Content-Length"] = std::to_string(body.size());
    headers["Content-Type"] = "application/json";
    headers["Connection"] = "close";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    std::string buf;
    std::string first;
    Headers answer;
    if (sendAll(fd, text + "\r\n" + body) && readMessage(fd, buf, first, answer, response.body, deadline)) {
        response.status = std::stoi(first.substr(first.find(' ') + 1));
    }
    close(fd);
    return response;
}

} // namespace Review
