#pragma once

#include "trefoilhoist/routing/router.h"

#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// What the pool knows of one caller of a service.
struct CallerLoad {
    CallerId id;
    int inFlight = 0;
    std::deque<RouteRequest> waiting;
    TimePoint lastSeen{};
};

/// Waiting requests of one service: first come first served within a caller, callers in turn.
class CallerQueue
{
public:
    /// `fair` false serves all callers as one.
    explicit CallerQueue(bool fair);

    /// The caller's record; made when the caller is new. Stays where it is while the caller has work.
    [[nodiscard]] CallerLoad &caller(const CallerId &id, TimePoint now);
    /// Callers seen lately or with work.
    [[nodiscard]] std::size_t activeCallers() const;
    /// Callers with waiting requests.
    [[nodiscard]] std::size_t waitingCallers() const;
    [[nodiscard]] int size() const;
    [[nodiscard]] bool empty() const;

    void push(CallerLoad &caller, const RouteRequest &request);
    /// Takes the next request whose caller `canDispatch`; the callers take turns.
    [[nodiscard]] std::optional<RouteRequest> pop(const std::function<bool(const CallerLoad &)> &canDispatch);
    /// Takes the newest request of the caller who has the most waiting.
    [[nodiscard]] RouteRequest popFromLongestQueue();
    /// The caller who has the most waiting; null when nobody waits.
    [[nodiscard]] const CallerLoad *longestQueue() const;
    /// Takes every request that `gone` holds true for.
    [[nodiscard]] std::vector<RouteRequest> removeIf(const std::function<bool(const RouteRequest &)> &gone);
    /// Forgets callers without work that were last seen before `before`.
    void removeIdleCallers(TimePoint before);

private:
    void removeFromRotationIfEmpty(CallerLoad *caller);

    bool m_fair;
    int m_size = 0;
    std::unordered_map<CallerId, CallerLoad> m_callers;
    /// Callers with waiting requests, next one first.
    std::list<CallerLoad *> m_rotation;
};

} // namespace Trefoilhoist::Detail
