#include "trefoilhoist/store/backoff.h"

#include <algorithm>

namespace Trefoilhoist {

Backoff::Backoff(Duration first, Duration limit, std::uint64_t seed)
    : m_first(first), m_limit(limit), m_range(first), m_random(seed)
{
}

Duration Backoff::next()
{
    const auto range = m_range;
    m_range = std::min(m_limit, m_range * 2);
    return Duration(std::uniform_int_distribution<std::int64_t>(range.count() / 2, range.count())(m_random));
}

void Backoff::reset()
{
    m_range = m_first;
}

} // namespace Trefoilhoist
