#include "trefoilhoist/log/eventlog.h"

#include "trefoilhoist/world/clock.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace Trefoilhoist {

namespace {

constexpr std::size_t bufferBytes = std::size_t{256} << 10U;
/// A writable pipe takes this much without blocking.
constexpr std::size_t chunkBytes = 4096;
constexpr int chunksPerFlush = 16;

bool outputTakesMore()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

} // namespace

EventLog &EventLog::instance()
{
    static EventLog log;
    return log;
}

void EventLog::open(std::function<void()> requestFlush)
{
    m_requestFlush = std::move(requestFlush);
}

void EventLog::captureTo(std::function<void(const std::string &)> sink)
{
    m_capture = std::move(sink);
    m_requestFlush = [] {
    };
}

void EventLog::write(const nlohmann::ordered_json &event)
{
    if (!isOpen()) {
        return;
    }
    const std::string line = event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
    if (m_capture) {
        m_capture(line);
        return;
    }
    append(line);
}

void EventLog::append(const std::string &line)
{
    if (m_buffer.size() + line.size() > bufferBytes) {
        ++m_dropped;
    } else {
        m_buffer += line;
    }
    if (!m_flushRequested) {
        m_flushRequested = true;
        m_requestFlush();
    }
}

void EventLog::flush()
{
    m_flushRequested = false;
    std::size_t written = 0;
    for (int i = 0; i < chunksPerFlush && written < m_buffer.size() && outputTakesMore(); ++i) {
        const auto n
            = ::write(STDOUT_FILENO, m_buffer.data() + written, std::min(chunkBytes, m_buffer.size() - written));
        if (n <= 0) {
            break;
        }
        written += static_cast<std::size_t>(n);
    }
    m_buffer.erase(0, written);
    if (m_dropped > 0 && m_buffer.size() < bufferBytes / 2) {
        Event("log_lines_dropped").add("count", std::exchange(m_dropped, 0));
    }
    if (!m_buffer.empty() && !m_flushRequested) {
        m_flushRequested = true;
        m_requestFlush();
    }
}

Event::Event(std::string_view name) : m_open(EventLog::instance().isOpen())
{
    if (m_open) {
        m_fields["t"] = wallMilliseconds();
        m_fields["event"] = std::string(name);
    }
}

Event::~Event()
{
    if (m_open) {
        EventLog::instance().write(m_fields);
    }
}

} // namespace Trefoilhoist
