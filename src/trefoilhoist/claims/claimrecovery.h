#pragma once

#include "trefoilhoist/claims/claim.h"

#include <cstddef>
#include <vector>

namespace Trefoilhoist {

/// Decides when a restarted holder has recovered its claims. Until then it grants claims, but doesn't vouch for them.
///
/// Every claim that the holder granted before the restart is held by a majority, so another holder also has it unless
/// that holder has lost its claims too. Recovery is therefore complete once all other entries have sent all their
/// claims and are intact themselves, or once the retention has passed. A try that was collecting grants when this
/// holder stopped can still obtain its claim within the collect timeout, so claims are fetched only after that.
class ClaimRecovery
{
public:
    ClaimRecovery(std::size_t peers, TimePoint start, ClaimSettings settings, ClaimSwitches switches = {});

    /// Returns true once claims may be fetched from peers.
    [[nodiscard]] bool mayFetch(TimePoint now) const;

    /// Called when a peer has sent all its claims. `intact` is what the peer reports about its own table.
    void trackFetched(std::size_t peer, bool intact);

    /// Returns true once no claim that this holder granted can be missing.
    [[nodiscard]] bool intact(TimePoint now) const;

private:
    TimePoint m_start;
    ClaimSettings m_settings;
    ClaimSwitches m_switches;
    std::vector<bool> m_fetched;
};

} // namespace Trefoilhoist
