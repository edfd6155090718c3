#include "trefoilhoist/routing/internal/retrybudget.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

/// Most retries that can be saved up for a short burst.
constexpr double maxTokens = 20;
/// Retries per second that are added independently of traffic, for services with few requests.
constexpr double tokensPerSecond = 1;

} // namespace

RetryBudget::RetryBudget(double share) : m_share(share), m_tokens(share > 0 ? maxTokens / 2 : 0) { }

void RetryBudget::addFirstAttempt()
{
    m_tokens = std::min(maxTokens, m_tokens + m_share);
}

bool RetryBudget::take(TimePoint now)
{
    if (m_share > 0 && m_lastTake != TimePoint{} && now > m_lastTake) {
        const double elapsed = std::chrono::duration<double>(now - m_lastTake).count();
        m_tokens = std::min(maxTokens, m_tokens + elapsed * tokensPerSecond);
    }
    m_lastTake = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace Trefoilhoist::Detail
