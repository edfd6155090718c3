#include "trefoilhoist/net/internal/connectiontable.h"

#include <utility>

namespace Trefoilhoist::Detail {

ConnectionTable::Place ConnectionTable::add(Close close)
{
    std::lock_guard lock(m_mutex);
    auto &idle = listOf(ConnectionPhase::Idle);
    ++m_size;
    return idle.insert(idle.end(), Entry{std::move(close)});
}

void ConnectionTable::enter(Place place, ConnectionPhase phase)
{
    std::lock_guard lock(m_mutex);
    move(place, phase);
}

void ConnectionTable::remove(Place place)
{
    std::lock_guard lock(m_mutex);
    listOf(place->phase).erase(place);
    --m_size;
}

bool ConnectionTable::closeOldest(std::initializer_list<ConnectionPhase> phases)
{
    std::lock_guard lock(m_mutex);
    for (const auto phase : phases) {
        auto &connections = listOf(phase);
        if (!connections.empty()) {
            const auto oldest = connections.begin();
            oldest->close(phase);
            move(oldest, ConnectionPhase::Closing);
            return true;
        }
    }
    return false;
}

void ConnectionTable::closeIdle()
{
    std::lock_guard lock(m_mutex);
    for (const auto &entry : listOf(ConnectionPhase::Idle)) {
        entry.close(ConnectionPhase::Idle);
    }
}

std::size_t ConnectionTable::size() const
{
    std::lock_guard lock(m_mutex);
    return m_size;
}

std::list<ConnectionTable::Entry> &ConnectionTable::listOf(ConnectionPhase phase)
{
    return m_lists.at(static_cast<std::size_t>(phase));
}

void ConnectionTable::move(Place place, ConnectionPhase phase)
{
    auto &to = listOf(phase);
    to.splice(to.end(), listOf(place->phase), place);
    place->phase = phase;
}

} // namespace Trefoilhoist::Detail
