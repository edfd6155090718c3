#include "trefoilhoist/jobs/ownerreachability.h"

namespace Trefoilhoist::Jobs {

namespace {

/// An owner that keeps up answers some call within this time, also while the store is slow.
constexpr Duration suspectTimeout = milliseconds(600);
/// This long after a failure, a submission is sent again to probe whether the owner answers.
constexpr Duration probeInterval = milliseconds(400);

} // namespace

void OwnerReachability::addCall(std::int64_t epoch, TimePoint sentAt)
{
    if (epoch != m_epoch) {
        *this = OwnerReachability();
        m_epoch = epoch;
    }
    m_inFlight.insert(sentAt);
}

void OwnerReachability::finishCall(std::int64_t epoch, TimePoint sentAt, bool answered, TimePoint now)
{
    if (epoch != m_epoch) {
        return;
    }
    const auto it = m_inFlight.find(sentAt);
    if (it != m_inFlight.end()) {
        m_inFlight.erase(it);
    }
    m_lastCallFailed = !answered;
    m_lastOutcomeAt = now;
    if (answered) {
        m_lastAnswerAt = now;
    }
}

bool OwnerReachability::isSilent(std::int64_t epoch, TimePoint now) const
{
    if (epoch != m_epoch) {
        return false;
    }
    if (m_lastCallFailed && now - m_lastOutcomeAt < probeInterval) {
        return true;
    }
    return !m_inFlight.empty() && now - *m_inFlight.begin() > suspectTimeout && m_lastAnswerAt < *m_inFlight.begin();
}

} // namespace Trefoilhoist::Jobs
