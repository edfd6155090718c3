#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/internal/rankedmutex.h"
#include "trefoilhoist/world/world.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Trefoilhoist {

/// Intervals and timeouts of the membership protocol.
struct MembershipTimes {
    /// Interval at which a minion announces itself.
    Duration heartbeatInterval = milliseconds(500);
    /// A minion that hasn't announced itself for this long is marked as gone.
    Duration livenessTimeout = seconds(3);
    /// The record of a gone minion is kept this long, so that outdated updates can't make it available again.
    Duration tombstoneRetention = seconds(600);
    /// A minion whose owner has been silent for this long is removed. Must be shorter than the tombstone retention,
    /// so that a removed minion is never restored from an outdated table.
    Duration orphanTimeout = seconds(300);
    /// If most minions of an owner become silent at once, the owner suspects a fault of its own host or network and
    /// keeps them for this long.
    Duration localFaultGrace = seconds(10);
};

/// Disables parts of the protocol. Only tests do this, to show that each part is necessary.
struct MembershipSwitches {
    bool orderUpdates = true;
    bool keepTombstones = true;
    bool rejectStale = true;
    bool pauseGrace = true;
    bool suspectLocalFault = true;
    bool republishOverStale = true;
};

/// A minion's description of itself, which it sends to an entry as its heartbeat.
struct Announcement {
    Minion minion;
    /// Increases with each announcement of one incarnation.
    std::int64_t sequence = 0;
};

/// The minions that this entry knows from announcements and from its peers.
///
/// Updates about one minion are ordered by incarnation, then sequence, but within one incarnation a leaving record is
/// newer than any that isn't leaving. An older update never replaces a newer one. Thread-safe; lock rank Membership.
class MembershipTable
{
public:
    MembershipTable(EntryId self, MembershipTimes times, MembershipSwitches switches = {});
    ~MembershipTable();
    MembershipTable(const MembershipTable &) = delete;
    MembershipTable &operator=(const MembershipTable &) = delete;

    /// Applies the announcement of a minion to this entry, which makes this entry the minion's owner: it detects the
    /// minion's failure for all entries.
    void applyAnnouncement(const Announcement &announcement, TimePoint now);

    /// Applies records from a peer. Returns how many of them were newer than the known ones.
    std::size_t apply(const std::vector<Wire::MinionRecord> &records, TimePoint now);

    /// Applies the digest of a peer entry. In buckets where it equals this table's digest, the minions that the peer
    /// owns are confirmed.
    void applyOwnerDigest(const EntryId &owner, const std::vector<std::int64_t> &digest, TimePoint now);

    /// Marks a minion as leaving after it refused a request for this reason. `incarnation` is the one that the request
    /// was sent to.
    void markLeaving(const MinionId &minion, std::int64_t incarnation, TimePoint now);

    /// Marks own minions that became silent as gone, and removes orphans and expired tombstones. May be called often,
    /// because it scans the table at most twice per heartbeat interval. A long gap between calls counts as a pause of
    /// the process.
    void expire(TimePoint now);

    /// Returns the records that changed since the last call, to be pushed to every peer.
    [[nodiscard]] std::vector<Wire::MinionRecord> takeDelta(TimePoint now);

    /// Returns one hash per bucket of records. Equal tables have equal digests.
    [[nodiscard]] std::vector<std::int64_t> digest() const;
    /// Returns the buckets whose hash differs from a peer's digest.
    [[nodiscard]] std::vector<std::int32_t> differingBuckets(const std::vector<std::int64_t> &peerDigest) const;
    [[nodiscard]] std::vector<Wire::MinionRecord> recordsIn(const std::vector<std::int32_t> &buckets,
                                                            TimePoint now) const;

    /// Returns the minions that accept new work, sorted by id, without those that are leaving or gone.
    [[nodiscard]] std::vector<Minion> available() const;

    /// Increases whenever available() may have changed.
    [[nodiscard]] std::uint64_t generation() const;

    /// Returns available minions that are owned by a peer and that the peer has not confirmed for `limit`.
    [[nodiscard]] std::vector<MinionId> unconfirmed(Duration limit, TimePoint now) const;

    /// Returns the entry that receives the minion's announcements, or an empty id for an unknown minion.
    [[nodiscard]] EntryId ownerOf(const MinionId &minion) const;
    /// Returns all records, including tombstones, but without orphans.
    [[nodiscard]] std::vector<Wire::MinionRecord> records(TimePoint now) const;

private:
    struct State;
    mutable Detail::RankedMutex m_mutex;
    std::unique_ptr<State> m_state;
};

} // namespace Trefoilhoist
