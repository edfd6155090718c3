#pragma once

#include "trefoilhoist/claims/claim.h"

#include <cstddef>
#include <vector>

namespace Trefoilhoist {

/// Decides when a restarted holder has its claims back. Until then it grants, but vouches for nothing.
///
/// A claim that it had granted is held by a majority, so another holder has it too, if that one has not forgotten it
/// itself. So every other entry must have given all its claims and must be intact; or the retention must have passed.
/// A try that was collecting grants when this holder went down may still become a claim within the collect timeout:
/// claims are fetched only after it.
class ClaimRecovery
{
public:
    ClaimRecovery(std::size_t peers, TimePoint start, ClaimSettings settings, ClaimSwitches switches = {});

    /// True once claims may be fetched from peers.
    [[nodiscard]] bool mayFetch(TimePoint now) const;

    /// A peer gave all its claims; `intact` is its own word on them.
    void trackFetched(std::size_t peer, bool intact);

    /// True when this holder can have forgotten nothing.
    [[nodiscard]] bool intact(TimePoint now) const;

private:
    TimePoint m_start;
    ClaimSettings m_settings;
    ClaimSwitches m_switches;
    std::vector<bool> m_fetched;
};

} // namespace Trefoilhoist
