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
/// Fewer minions than this fall silent together by chance.
constexpr std::size_t minDoubted = 3;

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
    /// One minion. `record` is what peers were told; its owner alone knows the later heartbeats.
    struct Known {
        Wire::MinionRecord record;
        std::int64_t heardSequence = 0;
        TimePoint heardAt{};
        TimePoint goneAt{};
        /// Forgotten with its silent owner, and kept only so that older news doesn't list it again. Peers don't hear of
        /// it.
        bool buried = false;
    };
    using KnownMap = std::map<std::string, Known>;

    EntryId self;
    MembershipTimes times;
    MembershipSwitches switches;
    KnownMap known;
    std::set<std::string> changed;
    /// Per owner and bucket: when its digest last agreed with this table.
    std::unordered_map<std::string, std::array<TimePoint, bucketCount>> owners;
    std::array<std::uint64_t, bucketCount> buckets{};
    std::uint64_t generation = 0;
    TimePoint lastSeen{};
    TimePoint lastScan{};
    TimePoint graceUntil{};
    Duration lastPause{};
    TimePoint doubtSince{};

    [[nodiscard]] bool isMine(const Known &entry) const
    {
        return entry.record.owner == self.str();
    }

    [[nodiscard]] Duration ageOf(const Known &entry, TimePoint now) const
    {
        if (entry.record.gone) {
            return now - entry.goneAt;
        }
        TimePoint last = entry.heardAt;
        if (const auto it = owners.find(entry.record.owner); !isMine(entry) && it != owners.end()) {
            last = std::max(last, it->second.at(bucketOf(entry.record.id)));
        }
        return now - last;
    }

    [[nodiscard]] Wire::MinionRecord exported(const Known &entry, TimePoint now) const
    {
        Wire::MinionRecord record = entry.record;
        record.ageMs = std::max<std::int64_t>(0, millisecondsOf(ageOf(entry, now)));
        return record;
    }

    static std::uint64_t hashOf(const Wire::MinionRecord &record)
    {
        // Tombstones lapse at different times in different tables, so they stay out of the digest.
        return record.gone || record.id.empty() ? 0 : recordHash(record);
    }

    void replace(Known &entry, Wire::MinionRecord record)
    {
        auto &bucket = buckets.at(bucketOf(record.id));
        bucket ^= hashOf(entry.record);
        if (entry.record.id.empty() || !sameContent(entry.record, record)) {
            ++generation;
        }
        entry.record = std::move(record);
        entry.record.ageMs = 0;
        entry.buried = false;
        bucket ^= hashOf(entry.record);
    }

    KnownMap::iterator erase(KnownMap::iterator it)
    {
        buckets.at(bucketOf(it->first)) ^= hashOf(it->second.record);
        if (!it->second.record.gone) {
            ++generation;
        }
        changed.erase(it->first);
        return known.erase(it);
    }

    // The record with the latest heartbeat in it.
    static Wire::MinionRecord latest(const Known &entry)
    {
        Wire::MinionRecord record = entry.record;
        record.sequence = std::max(record.sequence, entry.heardSequence);
        return record;
    }

    void publish(Known &entry, Wire::MinionRecord record)
    {
        changed.insert(record.id);
        replace(entry, std::move(record));
    }

    void hear(const Announcement &announcement, TimePoint now);
    bool take(const Wire::MinionRecord &record, TimePoint now);
    void takeNew(const Wire::MinionRecord &record, TimePoint now);
    void noticePause(TimePoint now);
    [[nodiscard]] Duration hiddenAge(TimePoint now) const;
    [[nodiscard]] bool isTooOld(const Wire::MinionRecord &record, TimePoint now) const;
    [[nodiscard]] bool isSilent(const Known &entry, TimePoint now) const;
    [[nodiscard]] bool doubtsSelf(TimePoint now);
    [[nodiscard]] bool isLapsed(const Known &entry, TimePoint now) const;
    [[nodiscard]] bool isOrphan(const Known &entry, TimePoint now) const;
    void bury(Known &entry, TimePoint now);
    [[nodiscard]] bool isNews(const Wire::MinionRecord &record, const Known &entry) const;
    void markGone(Known &entry, TimePoint now);
};

// True for news that would list a minion whose end may be forgotten already, or keep a tombstone for ever.
bool MembershipTable::State::isTooOld(const Wire::MinionRecord &record, TimePoint now) const
{
    if (!switches.refuseAged) {
        return false;
    }
    if (record.gone || record.leaving) {
        return !known.contains(record.id) && milliseconds(record.ageMs) >= times.tombstone;
    }
    return milliseconds(record.ageMs) + hiddenAge(now) >= times.orphan;
}

void MembershipTable::State::hear(const Announcement &announcement, TimePoint now)
{
    if (switches.refuseAged && !announcement.minion.leaving && hiddenAge(now) >= times.orphan) {
        return;
    }
    const auto record = recordOf(announcement.minion, announcement.sequence, self);
    auto [it, isNew] = known.try_emplace(record.id);
    Known &entry = it->second;
    if (!isNew && switches.orderNews && !isNewer(record, latest(entry))) {
        return;
    }
    const bool changes = isNew || !isMine(entry) || !sameContent(entry.record, record);
    entry.heardSequence = record.sequence;
    entry.heardAt = now;
    if (changes) {
        publish(entry, record);
    }
}

void MembershipTable::State::takeNew(const Wire::MinionRecord &record, TimePoint now)
{
    Known &entry = known[record.id];
    entry.heardSequence = record.sequence;
    entry.goneAt = now - milliseconds(record.ageMs);
    entry.heardAt = entry.goneAt - hiddenAge(now);
    replace(entry, record);
}

bool MembershipTable::State::take(const Wire::MinionRecord &record, TimePoint now)
{
    if (isTooOld(record, now)) {
        return false;
    }
    const auto it = known.find(record.id);
    if (it == known.end()) {
        takeNew(record, now);
        return true;
    }
    Known &entry = it->second;
    if (!isNews(record, entry)) {
        return false;
    }
    if (switches.orderNews && isMine(entry) && !entry.record.gone && isNewer(latest(entry), record)) {
        // Peers may believe the late news, because later heartbeats were not told to them.
        if (switches.republishOverOldNews) {
            publish(entry, latest(entry));
        }
        return false;
    }
    entry.heardSequence = record.sequence;
    entry.goneAt = now - milliseconds(record.ageMs);
    entry.heardAt = entry.goneAt - hiddenAge(now);
    if (record.owner == self.str()) {
        // News of an earlier life of this entry: the minion gets the time to be heard again.
        entry.heardAt = now;
    }
    replace(entry, record);
    return true;
}

void MembershipTable::State::noticePause(TimePoint now)
{
    const auto gap = now - lastSeen;
    if (lastSeen != TimePoint{} && gap > times.liveness / 2 && switches.pauseGrace) {
        lastPause = gap;
        graceUntil = now + times.liveness;
    }
    lastSeen = std::max(lastSeen, now);
}

// News taken after a pause may have waited in the socket all the while.
Duration MembershipTable::State::hiddenAge(TimePoint now) const
{
    return now < graceUntil - times.liveness / 2 ? lastPause : Duration{};
}

bool MembershipTable::State::isSilent(const Known &entry, TimePoint now) const
{
    return isMine(entry) && !entry.record.gone && now - entry.heardAt > times.liveness;
}

bool MembershipTable::State::doubtsSelf(TimePoint now)
{
    std::size_t own = 0;
    std::size_t silent = 0;
    for (const auto &[id, entry] : known) {
        if (isMine(entry) && !entry.record.gone && !entry.record.leaving) {
            ++own;
            silent += isSilent(entry, now) ? 1 : 0;
        }
    }
    if (!switches.doubtSelf || silent < minDoubted || silent * 2 <= own) {
        doubtSince = TimePoint{};
        return false;
    }
    if (doubtSince == TimePoint{}) {
        doubtSince = now;
    }
    return now - doubtSince < times.doubt;
}

// True for a tombstone that may be forgotten.
bool MembershipTable::State::isLapsed(const Known &entry, TimePoint now) const
{
    return entry.record.gone && (ageOf(entry, now) > times.tombstone || !switches.keepTombstones);
}

bool MembershipTable::State::isOrphan(const Known &entry, TimePoint now) const
{
    return !entry.record.gone && !isMine(entry) && ageOf(entry, now) > times.orphan;
}

void MembershipTable::State::bury(Known &entry, TimePoint now)
{
    auto record = entry.record;
    record.gone = true;
    entry.goneAt = now;
    replace(entry, std::move(record));
    entry.buried = true;
}

// True when the news is newer than the record. A buried minion comes back by what was known of it before, too.
bool MembershipTable::State::isNews(const Wire::MinionRecord &record, const Known &entry) const
{
    if (!switches.orderNews) {
        return true;
    }
    if (!entry.buried) {
        return isNewer(record, entry.record);
    }
    auto known = entry.record;
    known.gone = false;
    return !isNewer(known, record);
}

void MembershipTable::State::markGone(Known &entry, TimePoint now)
{
    auto record = latest(entry);
    record.gone = true;
    entry.goneAt = now;
    publish(entry, record);
}

MembershipTable::MembershipTable(EntryId self, MembershipTimes times, MembershipSwitches switches)
    : m_mutex(Detail::LockRank::Membership), m_state(std::make_unique<State>())
{
    m_state->self = std::move(self);
    m_state->times = times;
    m_state->switches = switches;
}

MembershipTable::~MembershipTable() = default;

void MembershipTable::heard(const Announcement &announcement, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_state->noticePause(now);
    m_state->hear(announcement, now);
}

std::size_t MembershipTable::apply(const std::vector<Wire::MinionRecord> &records, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_state->noticePause(now);
    std::size_t newer = 0;
    for (const auto &record : records) {
        if (!record.id.empty() && m_state->take(record, now)) {
            ++newer;
        }
    }
    return newer;
}

void MembershipTable::ownerHeard(const EntryId &owner, const std::vector<std::int64_t> &digest, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_state->noticePause(now);
    auto &agreed = m_state->owners[owner.str()];
    const auto at = now - m_state->hiddenAge(now);
    for (std::size_t n = 0; n < std::min(bucketCount, digest.size()); ++n) {
        if (static_cast<std::int64_t>(m_state->buckets[n]) == digest[n]) {
            agreed[n] = std::max(agreed[n], at);
        }
    }
}

void MembershipTable::refusedAsLeaving(const MinionId &minion, std::int64_t incarnation, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    const auto it = m_state->known.find(minion.str());
    if (it == m_state->known.end() || it->second.record.incarnation != incarnation || it->second.record.leaving) {
        return;
    }
    auto record = State::latest(it->second);
    record.leaving = true;
    it->second.heardAt = std::max(it->second.heardAt, now);
    m_state->publish(it->second, record);
}

void MembershipTable::expire(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_state->noticePause(now);
    if (now - m_state->lastScan < m_state->times.heartbeat / 2) {
        return;
    }
    m_state->lastScan = now;
    const bool keep = now < m_state->graceUntil || m_state->doubtsSelf(now);
    for (auto it = m_state->known.begin(); it != m_state->known.end();) {
        auto &entry = it->second;
        if (m_state->isSilent(entry, now) && (!keep || entry.record.leaving)) {
            m_state->markGone(entry, now);
        } else if (m_state->isOrphan(entry, now)) {
            m_state->bury(entry, now);
        }
        it = m_state->isLapsed(entry, now) ? m_state->erase(it) : std::next(it);
    }
}

std::vector<Wire::MinionRecord> MembershipTable::takeDelta(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    std::vector<Wire::MinionRecord> delta;
    delta.reserve(m_state->changed.size());
    for (const auto &id : m_state->changed) {
        delta.push_back(m_state->exported(m_state->known.at(id), now));
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
    for (const auto &[id, entry] : m_state->known) {
        if (!entry.buried && wanted.contains(static_cast<std::int32_t>(bucketOf(id)))) {
            found.push_back(m_state->exported(entry, now));
        }
    }
    return found;
}

std::vector<Minion> MembershipTable::available() const
{
    std::lock_guard lock(m_mutex);
    std::vector<Minion> minions;
    for (const auto &[id, entry] : m_state->known) {
        if (!entry.record.gone && !entry.record.leaving) {
            minions.push_back(minionOf(entry.record));
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
    for (const auto &[id, entry] : m_state->known) {
        const bool taken = !entry.record.gone && !entry.record.leaving;
        if (taken && !m_state->isMine(entry) && m_state->ageOf(entry, now) >= limit) {
            minions.emplace_back(id);
        }
    }
    return minions;
}

EntryId MembershipTable::ownerOf(const MinionId &minion) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_state->known.find(minion.str());
    return it == m_state->known.end() ? EntryId{} : EntryId(it->second.record.owner);
}

std::vector<Wire::MinionRecord> MembershipTable::records(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<Wire::MinionRecord> all;
    for (const auto &[id, entry] : m_state->known) {
        if (!entry.buried) {
            all.push_back(m_state->exported(entry, now));
        }
    }
    return all;
}

} // namespace Trefoilhoist
