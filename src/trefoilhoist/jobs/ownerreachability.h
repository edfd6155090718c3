#pragma once

#include "trefoilhoist/world/clock.h"

#include <cstdint>
#include <set>

namespace Trefoilhoist::Jobs {

/// Tracks in a dispatcher whether the owner of the scheduling answers it. While it doesn't, new submissions are refused
/// before they are sent: the caller learns at once that nothing has run, where a submission that was sent and not
/// answered leaves the caller without a certain outcome.
///
/// Callers pass the current time. Not thread-safe.
class OwnerReachability
{
public:
    /// Tracks a call to the owner of this epoch. What is known of the owner of an earlier epoch is forgotten.
    void addCall(std::int64_t epoch, TimePoint sentAt);
    /// Applies the outcome of that call; `answered` is false when no reply came.
    void finishCall(std::int64_t epoch, TimePoint sentAt, bool answered, TimePoint now);

    /// True if the owner of this epoch does not answer.
    [[nodiscard]] bool isSilent(std::int64_t epoch, TimePoint now) const;

private:
    std::int64_t m_epoch = 0;
    std::multiset<TimePoint> m_inFlight;
    bool m_lastCallFailed = false;
    TimePoint m_lastOutcomeAt;
    TimePoint m_lastAnswerAt;
};

} // namespace Trefoilhoist::Jobs
