#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/store/recordstore.h"

#include <functional>
#include <optional>
#include <string>

namespace Trefoilhoist::Jobs {

struct ElectionTimes {
    /// The store removes the owner's record this long after the last renewal of its lease.
    Duration leaseTtl = milliseconds(1600);
    Duration renewInterval = milliseconds(350);
    Duration watchWait = Trefoilhoist::watchWait;
    Duration retryInterval = milliseconds(150);
    /// A candidate waits this long for each known candidate that is stronger.
    Duration strongerCandidateDelay = milliseconds(60);
    /// A process that has just started gives others this long to register before it becomes a candidate.
    Duration campaignDelay = milliseconds(400);
    /// An owner that could not renew its lease for this long steps down.
    Duration ownerGrace = seconds(10);
};

/// A term of ownership. Every record of the term is written on the condition that the epoch record still has the
/// revision `epochRevision`.
struct OwnerTerm {
    std::int64_t epoch = 0;
    std::int64_t epochRevision = 0;
};

/// Elects one owner at a time through a record with a lease in the store, and tracks who the owner is.
///
/// The lease only decides which process may become the owner. An earlier owner is fenced off by the epoch, which
/// increases with each term and which every record and every order carries. Used on one thread.
class OwnerElection
{
public:
    OwnerElection(RecordStore &store, const Clock &clock, ElectionTimes times, Wire::OwnerRecord self);

    /// Follows the owner, or takes part in elections, until the process ends. Calls to `won` and `lost` alternate.
    awaitable<void> run(std::function<void(OwnerTerm)> won, std::function<void(std::string reason)> lost);

    /// Returns the last known owner; empty before the first read and after this process has lost a term.
    [[nodiscard]] const std::optional<Wire::OwnerRecord> &owner() const
    {
        return m_owner;
    }
    [[nodiscard]] bool isOwner() const
    {
        return m_owning;
    }
    /// Returns when the last successful renewal was sent.
    [[nodiscard]] TimePoint verifiedAt() const
    {
        return m_verifiedAt;
    }
    /// Ends the term after a conflict over the epoch record, or after orders of a newer owner.
    void onOwnershipLost(std::string reason);
    /// Applies an owner's announcement. It matters when this process can't reach the store.
    void observeOwner(const Wire::OwnerRecord &owner);
    /// Ends the term and its lease, so that another process can take over at once. This process is no candidate any
    /// more, but still follows a new owner.
    awaitable<void> stepDown();

private:
    struct ElectionRecords {
        std::optional<StoredRecord> owner;
        std::optional<StoredRecord> epoch;
        std::int64_t revision = 0;
    };
    /// Logs when the store becomes unreachable or reachable again.
    void logReachability(const char *by, bool reachable, const std::string &reason);
    awaitable<StoreResult<ElectionRecords>> readRecords();
    awaitable<void> follow(Wire::OwnerRecord owner, std::int64_t revision);
    [[nodiscard]] static std::int64_t lastEpoch(const ElectionRecords &seen);
    awaitable<bool> campaign(const ElectionRecords &seen);
    /// Waits for stronger candidates; false if one of them may have won in the meantime.
    awaitable<bool> deferToStronger();
    [[nodiscard]] RecordCommit termCommit(const ElectionRecords &seen) const;
    awaitable<void> renew();
    void endTerm(std::string reason);
    void becomeOwner(std::int64_t epoch, std::int64_t epochRevision, TimePoint verifiedAt);

    RecordStore &m_store;
    const Clock &m_clock;
    ElectionTimes m_times;
    Wire::OwnerRecord m_self;
    std::function<void(OwnerTerm)> m_onWon;
    std::function<void(std::string)> m_onLost;
    std::optional<Wire::OwnerRecord> m_owner;
    std::int64_t m_lease = 0;
    std::int64_t m_leaseEpoch = 0;
    TimePoint m_leaseOpenedAt;
    TimePoint m_verifiedAt;
    TimePoint m_startedAt;
    /// Has already waited for stronger candidates since the last owner was lost.
    bool m_deferred = false;
    bool m_owning = false;
    bool m_steppedDown = false;
    bool m_storeReachable = true;
};

} // namespace Trefoilhoist::Jobs
