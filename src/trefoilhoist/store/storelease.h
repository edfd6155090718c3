#pragma once

#include "trefoilhoist/store/storeclient.h"
#include "trefoilhoist/world/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Trefoilhoist {

/// Times of a lease.
struct StoreLeaseTimes {
    /// The store ends the lease this long after its last renewal, never earlier.
    Duration ttl = seconds(10);
    /// Covers the drift of the holder's clock against the store's over one ttl.
    Duration margin = milliseconds(500);
    Duration renewEvery = seconds(3);
    /// Between tries to take a lock that another session holds, and after failed calls.
    Duration retryEvery = milliseconds(500);
};

/// Mechanisms that a test switches off to see the promise break.
struct StoreLeaseGuards {
    /// Counts the lease from the moment its renewal was sent; otherwise from the answer's arrival.
    bool countFromSending = true;
    /// Ends the lease on the holder's own clock; otherwise only when the store says so.
    bool endLocally = true;
};

// What to do next; each call's result is reported with the time it was sent.
struct LeaseCreateSession {
    Duration ttl{};
};
struct LeaseAcquire {
    std::string session;
};
struct LeaseReadKey {
};
struct LeaseRenew {
    std::string session;
};
struct LeaseWait {
    TimePoint until;
};
using LeaseAction = std::variant<LeaseCreateSession, LeaseAcquire, LeaseReadKey, LeaseRenew, LeaseWait>;

/// Holds one key's lock under a session and knows until when it is surely held. Not thread-safe.
///
/// The store counts the ttl from the arrival of a renewal, which is not before its sending; so the lock is ours
/// until the sending of the last successful renewal plus ttl. A holder that was paused finds the bound passed
/// when it asks heldSurely() with a fresh `now`: ask directly before each act, after anything that can wait.
class StoreLease
{
public:
    explicit StoreLease(StoreLeaseTimes times, StoreLeaseGuards guards = {});

    [[nodiscard]] LeaseAction next(TimePoint now) const;

    void sessionCreated(const StoreResult<std::string> &result, TimePoint sentAt, TimePoint now);
    void acquired(const StoreResult<bool> &result, TimePoint now);
    void keyRead(const StoreResult<std::optional<StoreEntry>> &result, TimePoint now);
    void renewed(const StoreResult<bool> &result, TimePoint sentAt, TimePoint now);

    [[nodiscard]] bool heldSurely(TimePoint now) const;
    /// The moment from which heldSurely() is false unless a renewal succeeds before.
    [[nodiscard]] TimePoint sureUntil() const;
    /// The key's lock index while held: higher than that of every earlier holder. 0 when not held.
    [[nodiscard]] std::uint64_t epoch() const;
    /// The session to destroy on a planned stop, or empty.
    [[nodiscard]] const std::string &session() const;

private:
    enum class Phase { NoSession, Wanting, Settling, Holding };

    void lose(TimePoint now);
    void extend(TimePoint sentAt, TimePoint now);

    StoreLeaseTimes m_times;
    StoreLeaseGuards m_guards;
    Phase m_phase = Phase::NoSession;
    std::string m_session;
    std::uint64_t m_epoch = 0;
    TimePoint m_sureUntil;
    TimePoint m_nextRenewal;
    TimePoint m_nextTry;
};

} // namespace Trefoilhoist
