#include "trefoilhoist/store/callbudget.h"

#include <algorithm>

namespace Trefoilhoist {

namespace {

constexpr double microsecondsPerSecond = 1e6;

} // namespace

CallBudget::CallBudget(double perSecond, double burst)
    : m_interval(static_cast<std::int64_t>(microsecondsPerSecond / perSecond))
    , m_depth(static_cast<std::int64_t>(microsecondsPerSecond / perSecond * (burst - 1)))
{
}

std::optional<Duration> CallBudget::reserve(TimePoint now, Duration maxWait)
{
    const auto at = m_used ? std::max(m_booked + m_interval, now) : now;
    const auto wait = std::max(Duration{}, at - now - m_depth);
    if (wait > maxWait) {
        return std::nullopt;
    }
    m_booked = at;
    m_used = true;
    return wait;
}

} // namespace Trefoilhoist
