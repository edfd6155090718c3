#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <initializer_list>
#include <list>
#include <mutex>

namespace Trefoilhoist::Detail {

/// What an HTTP connection does.
enum class ConnectionPhase {
    /// Waits for the first byte of a request.
    Idle,
    /// Reads a request that has begun.
    Reading,
    /// Has a request that is being handled.
    Handling,
    /// Writes an answer.
    Writing,
    /// Was told to close.
    Closing
};

/// The connections of one HttpServer by phase, each phase in the order in which they entered it. Thread-safe.
class ConnectionTable
{
    struct Entry;

public:
    /// Asks a connection to close if it is still in that phase. Must not call back into the table.
    using Close = std::function<void(ConnectionPhase)>;
    using Place = std::list<Entry>::iterator;

    Place add(Close close);
    void enter(Place place, ConnectionPhase phase);
    void remove(Place place);

    /// Closes the connection that has been longest in the first of these phases that any is in; false without any.
    bool closeOldest(std::initializer_list<ConnectionPhase> phases);
    void closeIdle();

    /// All connections, those included that were told to close and have not done so yet.
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        Close close;
        ConnectionPhase phase = ConnectionPhase::Idle;
    };
    static constexpr std::size_t phaseCount = 5;

    std::list<Entry> &listOf(ConnectionPhase phase);
    void move(Place place, ConnectionPhase phase);

    mutable std::mutex m_mutex;
    std::array<std::list<Entry>, phaseCount> m_lists;
    std::size_t m_size = 0;
};

} // namespace Trefoilhoist::Detail
