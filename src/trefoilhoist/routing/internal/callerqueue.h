#pragma once

#include "trefoilhoist/routing/router.h"

#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// The requests of one caller of a service, in flight and waiting.
struct CallerRequests {
    CallerId id;
    int inFlight = 0;
    std::deque<RouteRequest> waiting;
    TimePoint lastSeen{};
};

/// Waiting requests of one service: first in, first out within a caller, round-robin between callers.
class CallerQueue
{
public:
    /// If `fair` is false, all callers share one queue.
    explicit CallerQueue(bool fair);

    /// Returns the record of a caller, adding it if needed, and sets its lastSeen. The reference stays valid while the
    /// caller has requests.
    [[nodiscard]] CallerRequests &findOrAddCaller(const CallerId &id, TimePoint now);
    /// Callers that have requests or were seen recently.
    [[nodiscard]] std::size_t activeCallers() const;
    /// Callers with waiting requests.
    [[nodiscard]] std::size_t waitingCallers() const;
    [[nodiscard]] int size() const;
    [[nodiscard]] bool empty() const;

    void push(CallerRequests &caller, const RouteRequest &request);
    /// Takes the next request in round-robin order, skipping callers for which `canDispatch` returns false.
    [[nodiscard]] std::optional<RouteRequest> pop(const std::function<bool(const CallerRequests &)> &canDispatch);
    /// Takes the newest request of the caller with the most waiting requests. The queue must not be empty.
    [[nodiscard]] RouteRequest popFromLongestQueue();
    /// The caller with the most waiting requests; null when no request waits.
    [[nodiscard]] const CallerRequests *longestQueue() const;
    /// Takes every request for which `predicate` returns true.
    [[nodiscard]] std::vector<RouteRequest> removeIf(const std::function<bool(const RouteRequest &)> &predicate);
    /// Removes callers without requests that were last seen before `before`.
    void removeIdleCallers(TimePoint before);

private:
    void removeFromRotationIfEmpty(CallerRequests *caller);

    bool m_fair;
    int m_size = 0;
    std::unordered_map<CallerId, CallerRequests> m_callers;
    /// Callers with waiting requests in round-robin order, the next one first.
    std::list<CallerRequests *> m_rotation;
};

} // namespace Trefoilhoist::Detail
