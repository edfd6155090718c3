// The record of a case: one line for everything that was sent, answered and run, with the milliseconds since its start.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

namespace Review {

class Record
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit Record(const std::string &path, TimePoint startedAt = std::chrono::steady_clock::now())
        : m_startedAt(startedAt), m_file(std::fopen(path.c_str(), "w"))
    {
    }

    ~Record()
    {
        if (m_file != nullptr) {
            std::fclose(m_file);
        }
    }

    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    [[nodiscard]] TimePoint startedAt() const
    {
        return m_startedAt;
    }

    [[nodiscard]] std::int64_t now() const
    {
        using namespace std::chrono;
        return duration_cast<milliseconds>(steady_clock::now() - m_startedAt).count();
    }

    void add(const std::string &who, const std::string &text)
    {
        std::lock_guard lock(m_mutex);
        if (m_file != nullptr) {
            std::fprintf(m_file, "%7lld %-8s %s\n", static_cast<long long>(now()), who.c_str(), text.c_str());
            std::fflush(m_file);
        }
    }

private:
    const TimePoint m_startedAt;
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

} // namespace Review
