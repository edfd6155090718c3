#include "trefoilhoist/store/storelease.h"

#include <algorithm>

namespace Trefoilhoist {

StoreLease::StoreLease(StoreLeaseTimes times, StoreLeaseGuards guards) : m_times(times), m_guards(guards) { }

LeaseAction StoreLease::next(TimePoint now) const
{
    if (m_phase != Phase::NoSession && now >= m_nextRenewal) {
        return LeaseRenew{m_session};
    }
    if (now < m_nextTry) {
        return LeaseWait{m_phase == Phase::NoSession ? m_nextTry : std::min(m_nextTry, m_nextRenewal)};
    }
    switch (m_phase) {
    case Phase::NoSession:
        return LeaseCreateSession{m_times.ttl};
    case Phase::Wanting:
        return LeaseAcquire{m_session};
    case Phase::Settling:
        return LeaseReadKey{};
    case Phase::Holding:
        break;
    }
    return LeaseWait{m_nextRenewal};
}

void StoreLease::sessionCreated(const StoreResult<std::string> &result, TimePoint sentAt, TimePoint now)
{
    if (!result) {
        // A session whose answer was lost has no locks and lapses by itself.
        m_nextTry = now + m_times.retryEvery;
        return;
    }
    m_session = *result;
    m_phase = Phase::Wanting;
    extend(sentAt, now);
}

void StoreLease::acquired(const StoreResult<bool> &result, TimePoint now)
{
    if (m_phase != Phase::Wanting) {
        return;
    }
    const bool maybe = result ? *result : result.error().failure == StoreFailure::Unknown;
    if (maybe) {
        // The key tells the epoch, and whether a lost answer took effect.
        m_phase = Phase::Settling;
        return;
    }
    m_nextTry = now + m_times.retryEvery;
}

void StoreLease::keyRead(const StoreResult<std::optional<StoreEntry>> &result, TimePoint now)
{
    if (m_phase != Phase::Settling) {
        return;
    }
    if (!result) {
        m_nextTry = now + m_times.retryEvery;
        return;
    }
    if (!*result || (*result)->session != m_session) {
        m_phase = Phase::Wanting;
        m_nextTry = now + m_times.retryEvery;
        return;
    }
    m_phase = Phase::Holding;
    m_epoch = (*result)->lockIndex;
}

void StoreLease::renewed(const StoreResult<bool> &result, TimePoint sentAt, TimePoint now)
{
    if (!result) {
        m_nextRenewal = now + m_times.retryEvery;
        return;
    }
    if (!*result) {
        lose(now);
        return;
    }
    extend(sentAt, now);
}

bool StoreLease::heldSurely(TimePoint now) const
{
    return m_phase == Phase::Holding && (now < m_sureUntil || !m_guards.endLocally);
}

TimePoint StoreLease::sureUntil() const
{
    return m_sureUntil;
}

std::uint64_t StoreLease::epoch() const
{
    return m_phase == Phase::Holding ? m_epoch : 0;
}

const std::string &StoreLease::session() const
{
    return m_session;
}

void StoreLease::lose(TimePoint now)
{
    m_phase = Phase::NoSession;
    m_session.clear();
    m_epoch = 0;
    m_sureUntil = TimePoint{};
    m_nextTry = now;
}

void StoreLease::extend(TimePoint sentAt, TimePoint now)
{
    const auto from = m_guards.countFromSending ? sentAt : now;
    m_sureUntil = std::max(m_sureUntil, from + m_times.ttl - m_times.margin);
    m_nextRenewal = sentAt + m_times.renewEvery;
}

} // namespace Trefoilhoist
