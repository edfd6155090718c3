#include "trefoilhoist/membership/membershiptable.h"

#include "trefoilhoist/membership/minionrecord.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace Trefoilhoist {

namespace {

constexpr std::size_t bucketCount = 64;
/// A local fault is suspected only from this number of silent minions. Fewer may become silent together by chance.
constexpr std::size_t minSilentMinions = 3;

std::size_t bucketOf(const std::string &id)
{
    return XXH3_64bits(id.data(), id.size()) % bucketCount;
}

std::int64_t millisecondsOf(Duration duration)
{
    return duration_cast<milliseconds>(duration).count();
}

} // namespace

struct MembershipTable::State {
    /// One minion. `record` is the version that peers have received. Only the owner knows later heartbeats.
    struct Member {
        Wire::MinionRecord record;
        std::int64_t lastSequence = 0;
        TimePoint lastContact{};
        TimePoint goneAt{};
        /// Removed because its owner is silent. The record is kept only to reject older updates, and is never sent to
        /// peers.
        bool orphaned = false;
    };
    using MemberMap = std::map<std::string, Member>;

    EntryId self;
    MembershipTimes times;
    MembershipSwitches switches;
    MemberMap members;
    std::set<std::string> changed;
    /// For each owner and bucket, the last time at which the owner's digest agreed with this table.
    std::unordered_map<std::string, std::array<TimePoint, bucketCount>> agreedAt;
    std::array<std::uint64_t, bucketCount> buckets{};
    std::uint64_t generation = 0;
    TimePoint lastActivity{};
    TimePoint lastScan{};
    TimePoint graceUntil{};
    Duration lastPause{};
    TimePoint localFaultSuspectedSince{};

    [[nodiscard]] bool isOwned(const Member &member) const
    {
        return member.record.owner == self.str();
    }

    [[nodiscard]] Duration ageOf(const Member &member, TimePoint now) const
    {
        if (member.record.gone) {
            return now - member.goneAt;
        }
        TimePoint last = member.lastContact;
        if (const auto it = agreedAt.find(member.record.owner); !isOwned(member) && it != agreedAt.end()) {
            last = std::max(last, it->second.at(bucketOf(member.record.id)));
        }
        return now - last;
    }

    [[nodiscard]] Wire::MinionRecord exportRecord(const Member &member, TimePoint now) const
    {
        Wire::MinionRecord record = member.record;
        record.ageMs = std::max<std::int64_t>(0, millisecondsOf(ageOf(member, now)));
        return record;
    }

    static std::uint64_t digestHash(const Wire::MinionRecord &record)
    {
        // Tombstones expire at different times in different tables, so the digest excludes them.
        return record.gone || record.id.empty() ? 0 : recordHash(record);
    }

    void replace(Member &member, Wire::MinionRecord record)
    {
        auto &bucket = buckets.at(bucketOf(record.id));
        bucket ^= digestHash(member.record);
        if (member.record.id.empty() || !sameContent(member.record, record)) {
            ++generation;
        }
        member.record = std::move(record);
        member.record.ageMs = 0;
        member.orphaned = false;
        bucket ^= digestHash(member.record);
    }

    MemberMap::iterator erase(MemberMap::iterator it)
    {
        buckets.at(bucketOf(it->first)) ^= digestHash(it->second.record);
        if (!it->second.record.gone) {
            ++generation;
        }
        changed.erase(it->first);
        return members.erase(it);
    }

    // Returns the record with the sequence number of the latest heartbeat.
    static Wire::MinionRecord withLatestSequence(const Member &member)
    {
        Wire::MinionRecord record = member.record;
        record.sequence = std::max(record.sequence, member.lastSequence);
        return record;
    }

    void publish(Member &member, Wire::MinionRecord record)
    {
        changed.insert(record.id);
        replace(member, std::move(record));
    }

    void handleAnnouncement(const Announcement &announcement, TimePoint now);
    bool applyRecord(const Wire::MinionRecord &record, TimePoint now);
    void insertRecord(const Wire::MinionRecord &record, TimePoint now);
    void detectPause(TimePoint now);
    [[nodiscard]] Duration possibleQueueDelay(TimePoint now) const;
    [[nodiscard]] bool isStale(const Wire::MinionRecord &record, TimePoint now) const;
    [[nodiscard]] bool isTimedOut(const Member &member, TimePoint now) const;
    [[nodiscard]] bool suspectsLocalFault(TimePoint now);
    [[nodiscard]] bool isExpiredTombstone(const Member &member, TimePoint now) const;
    [[nodiscard]] bool isOrphan(const Member &member, TimePoint now) const;
    void markOrphaned(Member &member, TimePoint now);
    [[nodiscard]] bool supersedes(const Wire::MinionRecord &record, const Member &member) const;
    void markGone(Member &member, TimePoint now);
};

// Returns true for an update that could restore a minion whose tombstone may already have been removed, or that would
// keep a tombstone in circulation for ever.
bool MembershipTable::State::isStale(const Wire::MinionRecord &record, TimePoint now) const
{
    if (!switches.rejectStale) {
        return false;
    }
    if (record.gone || record.leaving) {
        return !members.contains(record.id) && milliseconds(record.ageMs) >= times.tombstoneRetention;
    }
    return milliseconds(record.ageMs) + possibleQueueDelay(now) >= times.orphanTimeout;
}

void MembershipTable::State::handleAnnouncement(const Announcement &announcement, TimePoint now)
{
    if (switches.rejectStale && !announcement.minion.leaving && possibleQueueDelay(now) >= times.orphanTimeout) {
        return;
    }
    const auto record = recordOf(announcement.minion, announcement.sequence, self);
    auto [it, isNew] = members.try_emplace(record.id);
    Member &member = it->second;
    if (!isNew && switches.orderUpdates && !isNewer(record, withLatestSequence(member))) {
        return;
    }
    const bool changes = isNew || !isOwned(member) || !sameContent(member.record, record);
    member.lastSequence = record.sequence;
    member.lastContact = now;
    if (changes) {
        publish(member, record);
    }
}

void MembershipTable::State::insertRecord(const Wire::MinionRecord &record, TimePoint now)
{
    Member &member = members[record.id];
    member.lastSequence = record.sequence;
    member.goneAt = now - milliseconds(record.ageMs);
    member.lastContact = member.goneAt - possibleQueueDelay(now);
    replace(member, record);
}

bool MembershipTable::State::applyRecord(const Wire::MinionRecord &record, TimePoint now)
{
    if (isStale(record, now)) {
        return false;
    }
    const auto it = members.find(record.id);
    if (it == members.end()) {
        insertRecord(record, now);
        return true;
    }
    Member &member = it->second;
    if (!supersedes(record, member)) {
        return false;
    }
    if (switches.orderUpdates && isOwned(member) && !member.record.gone
        && isNewer(withLatestSequence(member), record)) {
        // Peers may have accepted the outdated record, because they don't receive later heartbeats.
        if (switches.republishOverStale) {
            publish(member, withLatestSequence(member));
        }
        return false;
    }
    member.lastSequence = record.sequence;
    member.goneAt = now - milliseconds(record.ageMs);
    member.lastContact = member.goneAt - possibleQueueDelay(now);
    if (record.owner == self.str()) {
        // The record comes from an earlier incarnation of this entry. The minion gets the full timeout to announce
        // itself again.
        member.lastContact = now;
    }
    replace(member, record);
    return true;
}

void MembershipTable::State::detectPause(TimePoint now)
{
    const auto gap = now - lastActivity;
    if (lastActivity != TimePoint{} && gap > times.livenessTimeout / 2 && switches.pauseGrace) {
        lastPause = gap;
        graceUntil = now + times.livenessTimeout;
    }
    lastActivity = std::max(lastActivity, now);
}

// After a pause of the process, received updates may have been waiting in the socket for as long as the pause.
Duration MembershipTable::State::possibleQueueDelay(TimePoint now) const
{
    return now < graceUntil - times.livenessTimeout / 2 ? lastPause : Duration{};
}

bool MembershipTable::State::isTimedOut(const Member &member, TimePoint now) const
{
    return isOwned(member) && !member.record.gone && now - member.lastContact > times.livenessTimeout;
}

bool MembershipTable::State::suspectsLocalFault(TimePoint now)
{
    std::size_t own = 0;
    std::size_t silent = 0;
    for (const auto &[id, member] : members) {
        if (isOwned(member) && !member.record.gone && !member.record.leaving) {
            ++own;
            silent += isTimedOut(member, now) ? 1 : 0;
        }
    }
    if (!switches.suspectLocalFault || silent < minSilentMinions || silent * 2 <= own) {
        localFaultSuspectedSince = TimePoint{};
        return false;
    }
    if (localFaultSuspectedSince == TimePoint{}) {
        localFaultSuspectedSince = now;
    }
    return now - localFaultSuspectedSince < times.localFaultGrace;
}

// Returns true for a tombstone that may be removed.
bool MembershipTable::State::isExpiredTombstone(const Member &member, TimePoint now) const
{
    return member.record.gone && (ageOf(member, now) > times.tombstoneRetention || !switches.keepTombstones);
}

bool MembershipTable::State::isOrphan(const Member &member, TimePoint now) const
{
    return !member.record.gone && !isOwned(member) && ageOf(member, now) > times.orphanTimeout;
}

void MembershipTable::State::markOrphaned(Member &member, TimePoint now)
{
    auto record = member.record;
    record.gone = true;
    member.goneAt = now;
    replace(member, std::move(record));
    member.orphaned = true;
}

// Returns true if the update is newer than the record. An orphan is also restored by a record that equals the one from
// before its removal.
bool MembershipTable::State::supersedes(const Wire::MinionRecord &record, const Member &member) const
{
    if (!switches.orderUpdates) {
        return true;
    }
    if (!member.orphaned) {
        return isNewer(record, member.record);
    }
    auto beforeRemoval = member.record;
    beforeRemoval.gone = false;
    return !isNewer(beforeRemoval, record);
}

void MembershipTable::State::markGone(Member &member, TimePoint now)
{
    auto record = withLatestSequence(member);
    record.gone = true;
    member.goneAt = now;
    publish(member, record);
}

MembershipTable::MembershipTable(EntryId self, MembershipTimes times, MembershipSwitches switches)
    : m_mutex(Detail::LockRank::Membership), m_state(std::make_unique<State>())
{
    m_state->self = std::move(self);
    m_state->times = times;
    m_state->switches = switches;
}

MembershipTable::~MembershipTable() = default;

void MembershipTable::applyAnnouncement(const Announcement &announcement, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_state->detectPause(now);
    m_state->handleAnnouncement(announcement, now);
}

std::size_t MembershipTable::apply(const std::vector<Wire::MinionRecord> &records, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_state->detectPause(now);
    std::size_t newer = 0;
    for (const auto &record : records) {
        if (!record.id.empty() && m_state->applyRecord(record, now)) {
            ++newer;
        }
    }
    return newer;
}

void MembershipTable::applyOwnerDigest(const EntryId &owner, const std::vector<std::int64_t> &digest, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_state->detectPause(now);
    auto &agreed = m_state->agreedAt[owner.str()];
    const auto at = now - m_state->possibleQueueDelay(now);
    for (std::size_t n = 0; n < std::min(bucketCount, digest.size()); ++n) {
        if (static_cast<std::int64_t>(m_state->buckets[n]) == digest[n]) {
            agreed[n] = std::max(agreed[n], at);
        }
    }
}

void MembershipTable::markLeaving(const MinionId &minion, std::int64_t incarnation, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    const auto it = m_state->members.find(minion.str());
    if (it == m_state->members.end() || it->second.record.incarnation != incarnation || it->second.record.leaving) {
        return;
    }
    auto record = State::withLatestSequence(it->second);
    record.leaving = true;
    it->second.lastContact = std::max(it->second.lastContact, now);
    m_state->publish(it->second, record);
}

void MembershipTable::expire(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_state->detectPause(now);
    if (now - m_state->lastScan < m_state->times.heartbeatInterval / 2) {
        return;
    }
    m_state->lastScan = now;
    const bool keep = now < m_state->graceUntil || m_state->suspectsLocalFault(now);
    for (auto it = m_state->members.begin(); it != m_state->members.end();) {
        auto &member = it->second;
        if (m_state->isTimedOut(member, now) && (!keep || member.record.leaving)) {
            m_state->markGone(member, now);
        } else if (m_state->isOrphan(member, now)) {
            m_state->markOrphaned(member, now);
        }
        it = m_state->isExpiredTombstone(member, now) ? m_state->erase(it) : std::next(it);
    }
}

std::vector<Wire::MinionRecord> MembershipTable::takeDelta(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    std::vector<Wire::MinionRecord> delta;
    delta.reserve(m_state->changed.size());
    for (const auto &id : m_state->changed) {
        delta.push_back(m_state->exportRecord(m_state->members.at(id), now));
    }
    m_state->changed.clear();
    return delta;
}

std::vector<std::int64_t> MembershipTable::digest() const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::int64_t> digest;
    digest.reserve(bucketCount);
    for (const auto bucket : m_state->buckets) {
        digest.push_back(static_cast<std::int64_t>(bucket));
    }
    return digest;
}

std::vector<std::int32_t> MembershipTable::differingBuckets(const std::vector<std::int64_t> &peerDigest) const
{
    const auto own = digest();
    std::vector<std::int32_t> differing;
    for (std::size_t n = 0; n < bucketCount; ++n) {
        if (n >= peerDigest.size() || own[n] != peerDigest[n]) {
            differing.push_back(static_cast<std::int32_t>(n));
        }
    }
    return differing;
}

std::vector<Wire::MinionRecord> MembershipTable::recordsIn(const std::vector<std::int32_t> &buckets,
                                                           TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    const std::set<std::int32_t> wanted(buckets.begin(), buckets.end());
    std::vector<Wire::MinionRecord> found;
    for (const auto &[id, member] : m_state->members) {
        if (!member.orphaned && wanted.contains(static_cast<std::int32_t>(bucketOf(id)))) {
            found.push_back(m_state->exportRecord(member, now));
        }
    }
    return found;
}

std::vector<Minion> MembershipTable::available() const
{
    std::lock_guard lock(m_mutex);
    std::vector<Minion> minions;
    for (const auto &[id, member] : m_state->members) {
        if (!member.record.gone && !member.record.leaving) {
            minions.push_back(minionOf(member.record));
        }
    }
    return minions;
}

std::uint64_t MembershipTable::generation() const
{
    std::lock_guard lock(m_mutex);
    return m_state->generation;
}

std::vector<MinionId> MembershipTable::unconfirmed(Duration limit, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<MinionId> minions;
    for (const auto &[id, member] : m_state->members) {
        const bool taken = !member.record.gone && !member.record.leaving;
        if (taken && !m_state->isOwned(member) && m_state->ageOf(member, now) >= limit) {
            minions.emplace_back(id);
        }
    }
    return minions;
}

EntryId MembershipTable::ownerOf(const MinionId &minion) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_state->members.find(minion.str());
    return it == m_state->members.end() ? EntryId{} : EntryId(it->second.record.owner);
}

std::vector<Wire::MinionRecord> MembershipTable::records(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<Wire::MinionRecord> all;
    for (const auto &[id, member] : m_state->members) {
        if (!member.orphaned) {
            all.push_back(m_state->exportRecord(member, now));
        }
    }
    return all;
}

} // namespace Trefoilhoist
