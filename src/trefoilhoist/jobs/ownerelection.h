#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/store/recordstore.h"

#include <functional>
#include <optional>
#include <string>

namespace Trefoilhoist::Jobs {

struct ElectionTimes {
    /// The store drops the owner's record this long after its last renewal.
    Duration leaseTtl = milliseconds(1600);
    Duration renewInterval = milliseconds(350);
    Duration watchWait = Trefoilhoist::watchWait;
    Duration retryInterval = milliseconds(150);
    /// A candidate waits this long for each stronger one that is known.
    Duration strongerCandidateDelay = milliseconds(60);
    /// A process that has just started lets others record themselves before it stands.
    Duration campaignDelay = milliseconds(400);
    /// An owner that could not renew for this long gives up.
    Duration ownerGrace = seconds(10);
};

/// A term that was won. Every record of the term is written on condition of `epochRevision`.
struct OwnerTerm {
    std::int64_t epoch = 0;
    std::int64_t epochRevision = 0;
};

/// Elects one owner at a time through a leased record, and knows who it is.
///
/// The lease only decides who tries; what keeps an earlier owner from acting is the epoch, which rises with each
/// term and on which every record and every order depends. Runs on one thread.
class OwnerElection
{
public:
    OwnerElection(RecordStore &store, const Clock &clock, ElectionTimes times, Wire::OwnerRecord self);

    /// Follows and stands for election for the process's life; `won` and `lost` alternate.
    awaitable<void> run(std::function<void(OwnerTerm)> won, std::function<void(std::string reason)> lost);

    /// The owner as last read; empty before the first read.
    [[nodiscard]] const std::optional<Wire::OwnerRecord> &owner() const
    {
        return m_owner;
    }
    [[nodiscard]] bool isOwner() const
    {
        return m_owning;
    }
    /// The sending of the last renewal that succeeded.
    [[nodiscard]] TimePoint verifiedAt() const
    {
        return m_verifiedAt;
    }
    /// Told by a conflict over the epoch, or by orders of a newer owner.
    void ownershipLost(std::string reason);
    /// An owner made itself known; matters where the store is out of reach.
    void observeOwner(const Wire::OwnerRecord &owner);
    /// Gives up the term, so that another takes over at once; no new term is sought, but a new owner is still
    /// followed.
    awaitable<void> stepDown();

private:
    struct ElectionRecords {
        std::optional<StoredRecord> owner;
        std::optional<StoredRecord> epoch;
        std::int64_t revision = 0;
    };
    /// Logs when the store is lost or regained.
    void logReachability(const char *by, bool reached, const std::string &reason);
    awaitable<StoreResult<ElectionRecords>> readRecords();
    awaitable<void> follow(const ElectionRecords &seen);
    awaitable<bool> campaign(const ElectionRecords &seen);
    /// Lets stronger candidates go first; false when one of them may have won meanwhile.
    awaitable<bool> deferToStronger();
    [[nodiscard]] RecordCommit termCommit(const ElectionRecords &seen) const;
    awaitable<void> renew();
    void endTerm(std::string reason);
    void becomeOwner(std::int64_t epoch, std::int64_t epochRevision, TimePoint verifiedAt);
    [[nodiscard]] bool isOwnRecord(const StoredRecord &record) const;

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
    /// Already waited for stronger candidates in this vacancy.
    bool m_deferred = false;
    bool m_owning = false;
    bool m_steppedDown = false;
    bool m_storeReachable = true;
};

} // namespace Trefoilhoist::Jobs
