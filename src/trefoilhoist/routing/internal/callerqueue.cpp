#include "trefoilhoist/routing/internal/callerqueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Trefoilhoist::Detail {

CallerQueue::CallerQueue(bool fair) : m_fair(fair) { }

CallerRequests &CallerQueue::findOrAddCaller(const CallerId &id, TimePoint now)
{
    const CallerId &key = m_fair ? id : CallerId{};
    auto &found = m_callers[key];
    found.id = key;
    found.lastSeen = now;
    return found;
}

std::size_t CallerQueue::activeCallers() const
{
    return m_callers.size();
}

std::size_t CallerQueue::waitingCallers() const
{
    return m_rotation.size();
}

int CallerQueue::size() const
{
    return m_size;
}

bool CallerQueue::empty() const
{
    return m_size == 0;
}

void CallerQueue::push(CallerRequests &caller, const RouteRequest &request)
{
    if (caller.waiting.empty()) {
        m_rotation.push_back(&caller);
    }
    caller.waiting.push_back(request);
    ++m_size;
}

std::optional<RouteRequest> CallerQueue::pop(const std::function<bool(const CallerRequests &)> &canDispatch)
{
    const auto it = std::find_if(
        m_rotation.begin(), m_rotation.end(), [&](const CallerRequests *caller) { return canDispatch(*caller); });
    if (it == m_rotation.end()) {
        return std::nullopt;
    }
    auto *const caller = *it;
    auto request = std::move(caller->waiting.front());
    caller->waiting.pop_front();
    --m_size;
    m_rotation.erase(it);
    if (!caller->waiting.empty()) {
        m_rotation.push_back(caller);
    }
    return request;
}

const CallerRequests *CallerQueue::longestQueue() const
{
    const auto it = std::max_element(m_rotation.begin(), m_rotation.end(), [](const auto *left, const auto *right) {
        return left->waiting.size() < right->waiting.size();
    });
    return it == m_rotation.end() ? nullptr : *it;
}

RouteRequest CallerQueue::popFromLongestQueue()
{
    auto &caller = m_callers.at(longestQueue()->id);
    auto request = std::move(caller.waiting.back());
    caller.waiting.pop_back();
    --m_size;
    removeFromRotationIfEmpty(&caller);
    return request;
}

std::vector<RouteRequest> CallerQueue::removeIf(const std::function<bool(const RouteRequest &)> &predicate)
{
    std::vector<RouteRequest> removed;
    for (auto it = m_rotation.begin(); it != m_rotation.end();) {
        auto *const caller = *it++;
        auto &waiting = caller->waiting;
        const auto kept = std::stable_partition(
            waiting.begin(), waiting.end(), [&](const RouteRequest &request) { return !predicate(request); });
        std::move(kept, waiting.end(), std::back_inserter(removed));
        waiting.erase(kept, waiting.end());
        removeFromRotationIfEmpty(caller);
    }
    m_size -= static_cast<int>(removed.size());
    return removed;
}

void CallerQueue::removeIdleCallers(TimePoint before)
{
    std::erase_if(m_callers, [&](const auto &row) {
        const CallerRequests &caller = row.second;
        return caller.inFlight == 0 && caller.waiting.empty() && caller.lastSeen < before;
    });
}

void CallerQueue::removeFromRotationIfEmpty(CallerRequests *caller)
{
    if (caller->waiting.empty()) {
        m_rotation.remove(caller);
    }
}

} // namespace Trefoilhoist::Detail
