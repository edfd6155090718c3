#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Trefoilhoist {

/// Where events go: lines of JSON on standard output, gathered in a bounded buffer and written without blocking.
/// What does not fit is dropped and counted; the count is logged once there is room again. Not thread-safe.
class EventLog
{
public:
    static EventLog &instance();

    /// `requestFlush` is called when there is something to write and must see to
    /// it that flush() runs soon. Until then events are discarded.
    void open(std::function<void()> requestFlush);
    [[nodiscard]] bool isOpen() const
    {
        return static_cast<bool>(m_requestFlush);
    }

    void write(const nlohmann::ordered_json &event);
    /// Writes what the output takes now; the rest waits for the next call.
    void flush();
    /// Takes lines instead of standard output, for tests; nothing is buffered.
    void captureTo(std::function<void(const std::string &)> sink);

private:
    void append(const std::string &line);

    std::function<void()> m_requestFlush;
    std::function<void(const std::string &)> m_capture;
    std::string m_buffer;
    bool m_flushRequested = false;
    /// Lines that found no room since the last line about it.
    std::uint64_t m_dropped = 0;
};

/// One event, written when it goes out of scope: `Event("job_accepted").add("job", id)`.
class Event
{
public:
    explicit Event(std::string_view name);
    ~Event();
    Event(const Event &) = delete;
    Event &operator=(const Event &) = delete;

    template <typename Value>
    Event &add(std::string_view key, const Value &value)
    {
        if (m_open) {
            m_fields[std::string(key)] = value;
        }
        return *this;
    }

private:
    bool m_open;
    nlohmann::ordered_json m_fields;
};

} // namespace Trefoilhoist
