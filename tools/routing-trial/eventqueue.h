#pragma once

#include "trefoilhoist/routing/router.h"

#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace Trefoilhoist::Tools {

enum class EventKind { Arrival, AtMinion, Served, AttemptEnded, HedgeDue, Deadline, Gossip, GossipHeard, Tick, Fault };

struct Event {
    TimePoint at{};
    /// Keeps events of one moment in the order of their making.
    std::uint64_t order = 0;
    EventKind kind = EventKind::Tick;
    int entry = 0;
    int minion = 0;
    RequestNumber request = 0;
    AttemptEnd end = AttemptEnd::Answered;
    TimePoint sentAt{};
    std::shared_ptr<const std::map<MinionId, int>> load{};
};

/// Events in the order of their time.
class EventQueue
{
public:
    void push(Event event)
    {
        event.order = ++m_order;
        m_events.push(std::move(event));
    }
    [[nodiscard]] Event pop()
    {
        auto event = m_events.top();
        m_events.pop();
        return event;
    }
    [[nodiscard]] bool empty() const
    {
        return m_events.empty();
    }

private:
    struct Later {
        bool operator()(const Event &left, const Event &right) const
        {
            return left.at == right.at ? left.order > right.order : left.at > right.at;
        }
    };

    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
};

} // namespace Trefoilhoist::Tools
