// Blocking HTTP/1.1 on loopback for the stand-ins of the review: a server with one thread a connection, and a client.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace Review {

using SteadyClock = std::chrono::steady_clock;

inline std::int64_t wallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct Address {
    std::string ip;
    int port = 0;

    [[nodiscard]] std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// A port that is free on `ip` now.
inline int freePort(const std::string &ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = socketAddress({ip, 0});
    socklen_t size = sizeof(address);
    int port = 0;
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), size) == 0
        && getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) == 0) {
        port = ntohs(address.sin_port);
    }
    close(fd);
    return port;
}

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response {
    int status = 0;
    std::string body;
};

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char it) { return std::tolower(it); });
    return text;
}

inline std::string urlDecoded(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

/// Reads one message (head and body) into `head` and `body`; false when the connection ends or `timeoutMs` is over.
inline bool readMessage(int fd, std::string &buffer, std::string &head, std::string &body, std::int64_t timeoutMs)
{
    const auto until = SteadyClock::now() + std::chrono::milliseconds(timeoutMs);
    std::size_t headEnd = std::string::npos;
    std::size_t length = 0;
    while (true) {
        if (headEnd == std::string::npos && (headEnd = buffer.find("\r\n\r\n")) != std::string::npos) {
            head = buffer.substr(0, headEnd + 2);
            const auto at = lower(head).find("\r\ncontent-length:");
            length = at == std::string::npos ? 0 : std::stoul(head.substr(at + 17));
        }
        if (headEnd != std::string::npos && buffer.size() >= headEnd + 4 + length) {
            body = buffer.substr(headEnd + 4, length);
            buffer.erase(0, headEnd + 4 + length);
            return true;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - SteadyClock::now()).count();
        pollfd input{fd, POLLIN, 0};
        if (left <= 0 || poll(&input, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[16384];
        const auto n = recv(fd, bytes, sizeof(bytes), 0);
        if (n <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
    }
}

inline bool writeAll(int fd, const std::string &bytes)
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

inline Request requestFrom(const std::string &head, std::string body)
{
    Request request;
    request.body = std::move(body);
    const auto lineEnd = head.find("\r\n");
    const auto line = head.substr(0, lineEnd);
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    request.method = line.substr(0, first);
    const auto target = line.substr(first + 1, second - first - 1);
    const auto mark = target.find('?');
    request.path = urlDecoded(target.substr(0, mark));
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        request.query[urlDecoded(pair.substr(0, equals))] = urlDecoded(pair.substr(equals + 1));
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    for (std::size_t at = lineEnd + 2; at < head.size();) {
        const auto end = head.find("\r\n", at);
        const auto colon = head.find(':', at);
        if (colon < end) {
            auto value = head.substr(colon + 1, end - colon - 1);
            value.erase(0, value.find_first_not_of(' '));
            request.headers[lower(head.substr(at, colon - at))] = value;
        }
        at = end + 2;
    }
    return request;
}

/// Serves requests until the process ends or stop() is called. A handler that returns nothing leaves the request
/// without an answer; the connection then returns nothing further.
class Server
{
public:
    using Handler = std::function<std::optional<Response>(const Request &)>;

    Server(const Address &address, Handler handler) : m_handler(std::move(handler))
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int yes = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        const auto where = socketAddress(address);
        m_listens
            = bind(m_fd, reinterpret_cast<const sockaddr *>(&where), sizeof(where)) == 0 && listen(m_fd, 128) == 0;
        m_thread = std::thread([this] { acceptLoop(); });
    }

    ~Server()
    {
        stop();
    }

    [[nodiscard]] bool listens() const
    {
        return m_listens;
    }

    /// Closes the port and all connections, as the death of the process would.
    void stop()
    {
        if (m_stopped.exchange(true)) {
            return;
        }
        shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        close(m_fd);
        {
            std::lock_guard lock(m_mutex);
            for (const auto &[fd, open] : m_connections) {
                shutdown(fd, SHUT_RDWR);
            }
        }
        while (m_running > 0) {
            sleepMs(2);
        }
    }

private:
    void acceptLoop()
    {
        while (!m_stopped) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_stopped) {
                    return;
                }
                sleepMs(5);
                continue;
            }
            const int yes = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
            ++m_running;
            {
                std::lock_guard lock(m_mutex);
                m_connections[fd] = true;
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        std::string buffer;
        std::string head;
        std::string body;
        while (!m_stopped && readMessage(fd, buffer, head, body, 60'000)) {
            const auto request = requestFrom(head, std::move(body));
            const auto response = m_handler(request);
            if (!response) {
                // Silent until the peer gives up.
                pollfd input{fd, POLLIN, 0};
                char byte = 0;
                while (!m_stopped && (poll(&input, 1, 100) == 0 || recv(fd, &byte, 1, 0) > 0)) { }
                break;
            }
            const std::string text = "HTTP/1.1 " + std::to_string(response->status)
                + " x\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response->body.size())
                + "\r\n\r\n" + response->body;
            if (!writeAll(fd, text)) {
                break;
            }
        }
        {
            std::lock_guard lock(m_mutex);
            m_connections.erase(fd);
        }
        close(fd);
        --m_running;
    }

    Handler m_handler;
    int m_fd = -1;
    bool m_listens = false;
    std::atomic<bool> m_stopped = false;
    std::atomic<int> m_running = 0;
    std::mutex m_mutex;
    std::map<int, bool> m_connections;
    std::thread m_thread;
};

/// A connection that a client keeps open for several requests.
class KeptConnection
{
public:
    explicit KeptConnection(const Address &address) : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto where = socketAddress(address);
        m_open = connect(m_fd, reinterpret_cast<const sockaddr *>(&where), sizeof(where)) == 0;
    }
    ~KeptConnection()
    {
        close(m_fd);
    }
    KeptConnection(const KeptConnection &) = delete;
    KeptConnection &operator=(const KeptConnection &) = delete;

    bool send(const std::string &method, const std::string &target, const std::string &headers)
    {
        return m_open
            && writeAll(m_fd, method + " " + target + " HTTP/1.1\r\n" + headers + "Content-Length: 0\r\n\r\n");
    }
    std::optional<Response> receive(std::int64_t timeoutMs)
    {
        std::string head;
        std::string body;
        if (!m_open || !readMessage(m_fd, m_buffer, head, body, timeoutMs)) {
            return std::nullopt;
        }
        return Response{std::stoi(head.substr(head.find(' ') + 1, 3)), body};
    }

private:
    int m_fd = -1;
    bool m_open = false;
    std::string m_buffer;
};

/// Sends one request on a connection of its own. Nothing when there is no whole answer within `timeoutMs`: the
/// connection is closed then.
inline std::optional<Response> call(const Address &address,
                                    const std::string &method,
                                    const std::string &target,
                                    const std::string &body,
                                    std::int64_t timeoutMs,
                                    const std::string &headers = "")
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto where = socketAddress(address);
    std::optional<Response> response;
    if (connect(fd, reinterpret_cast<const sockaddr *>(&where), sizeof(where)) == 0) {
        const std::string text = method + " " + target + " HTTP/1.1\r\n"
            + (headers.find("Host:") == std::string::npos ? "Host: " + address.text() + "\r\n" : "") + headers
            + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        std::string head;
        std::string answer;
        if (writeAll(fd, text) && readMessage(fd, buffer, head, answer, timeoutMs)) {
            response = Response{std::stoi(head.substr(head.find(' ') + 1, 3)), answer};
        }
    }
    close(fd);
    return response;
}

} // namespace Review
