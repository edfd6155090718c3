#include "trefoilhoist/claims/claimrecovery.h"

#include <algorithm>

namespace Trefoilhoist {

namespace {

/// Safety margin for clocks that run at different rates on two hosts. The real difference is far smaller.
constexpr int recoveryDelayFactor = 2;

} // namespace

ClaimRecovery::ClaimRecovery(std::size_t peers, TimePoint start, ClaimSettings settings, ClaimSwitches switches)
    : m_start(start), m_settings(settings), m_switches(switches), m_fetched(peers, false)
{
}

bool ClaimRecovery::mayFetch(TimePoint now) const
{
    return !m_switches.recoveryDelay || now - m_start >= recoveryDelayFactor * m_settings.collectTimeout;
}

void ClaimRecovery::trackFetched(std::size_t peer, bool intact)
{
    if (intact) {
        m_fetched.at(peer) = true;
    }
}

bool ClaimRecovery::intact(TimePoint now) const
{
    if (now - m_start >= m_settings.retention) {
        return true;
    }
    // Without peers there is no other holder to recover the claims from, so only the retention counts.
    return !m_fetched.empty() && std::all_of(m_fetched.begin(), m_fetched.end(), [](bool done) { return done; });
}

} // namespace Trefoilhoist
