#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/internal/rankedmutex.h"
#include "trefoilhoist/world/world.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Trefoilhoist {

/// Times of the membership protocol.
struct MembershipTimes {
    /// How often a minion announces itself.
    Duration heartbeatInterval = milliseconds(500);
    /// A minion unheard for this long is gone.
    Duration livenessTimeout = seconds(3);
    /// A record of a gone or left minion is kept this long, so that old news can't revive it.
    Duration tombstoneRetention = seconds(600);
    /// A minion whose owner is unheard for this long is forgotten. Below the tombstone's time, so that a
    /// forgotten minion is never taken from an older table.
    Duration orphanTimeout = seconds(300);
    /// How long the owner doubts its own hearing when most of its minions fall silent at once.
    Duration localFaultGrace = seconds(10);
};

/// Turns parts of the protocol off. Only tests do, to show that each part matters.
struct MembershipSwitches {
    bool orderUpdates = true;
    bool keepTombstones = true;
    bool rejectStale = true;
    bool pauseGrace = true;
    bool suspectLocalFault = true;
    bool republishOverStale = true;
};

/// What a minion says of itself.
struct Announcement {
    Minion minion;
    /// Rises with each announcement of one incarnation.
    std::int64_t sequence = 0;
};

/// The minions that this entry knows, from announcements and from peers.
///
/// Order of news about one minion: incarnation, then leaving over announced, then sequence. Nothing older
/// replaces anything newer. Thread-safe; lock rank Membership.
class MembershipTable
{
public:
    MembershipTable(EntryId self, MembershipTimes times, MembershipSwitches switches = {});
    ~MembershipTable();
    MembershipTable(const MembershipTable &) = delete;
    MembershipTable &operator=(const MembershipTable &) = delete;

    /// A minion announced itself here; this entry owns its liveness from now on.
    void applyAnnouncement(const Announcement &announcement, TimePoint now);

    /// News from a peer. Returns how many records were newer than what was known.
    std::size_t apply(const std::vector<Wire::MinionRecord> &records, TimePoint now);

    /// A peer entry sent its digest. Where it agrees with this table, the minions that the peer owns are fresh.
    void applyOwnerDigest(const EntryId &owner, const std::vector<std::int64_t> &digest, TimePoint now);

    /// The minion refused a request because it is leaving. The incarnation is the one the request went to.
    void markLeaving(const MinionId &minion, std::int64_t incarnation, TimePoint now);

    /// Marks minions that their owner no longer hears as gone, and forgets old tombstones. Looks at the table twice a
    /// heartbeat at most, so it may be called often; a gap between calls is taken for a pause of the process.
    void expire(TimePoint now);

    /// Records changed since the last call, to push to every peer.
    [[nodiscard]] std::vector<Wire::MinionRecord> takeDelta(TimePoint now);

    /// A hash per bucket of records; equal tables give equal digests.
    [[nodiscard]] std::vector<std::int64_t> digest() const;
    /// Buckets whose hash differs from a peer's digest.
    [[nodiscard]] std::vector<std::int32_t> differingBuckets(const std::vector<std::int64_t> &peerDigest) const;
    [[nodiscard]] std::vector<Wire::MinionRecord> recordsIn(const std::vector<std::int32_t> &buckets,
                                                            TimePoint now) const;

    /// Minions that take new work, by id. Leaving and gone ones are not in it.
    [[nodiscard]] std::vector<Minion> available() const;

    /// Rises whenever available() may have changed.
    [[nodiscard]] std::uint64_t generation() const;

    /// Minions that take new work by the table, but whose owner, a peer, has not confirmed them for `limit`.
    [[nodiscard]] std::vector<MinionId> unconfirmed(Duration limit, TimePoint now) const;

    /// The entry that hears a minion's announcements; empty for an unknown minion.
    [[nodiscard]] EntryId ownerOf(const MinionId &minion) const;
    /// Everything known, tombstones too.
    [[nodiscard]] std::vector<Wire::MinionRecord> records(TimePoint now) const;

private:
    struct State;
    mutable Detail::RankedMutex m_mutex;
    std::unique_ptr<State> m_state;
};

} // namespace Trefoilhoist
