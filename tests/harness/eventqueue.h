#pragma once

#include "trefoilhoist/world/clock.h"

#include <functional>
#include <map>

namespace Trefoilhoist::Testing {

/// Runs actions in order of their simulated time, for randomized tests of classes that read no clock.
class EventQueue
{
public:
    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }
    void after(Duration delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }
    /// Runs all actions that are due until `end`, and calls `check` after each of them.
    void runUntil(TimePoint end, const std::function<void()> &check)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
            check();
        }
        m_now = end;
    }

private:
    TimePoint m_now;
    std::multimap<TimePoint, std::function<void()>> m_events;
};

} // namespace Trefoilhoist::Testing
