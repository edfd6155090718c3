#include "trefoilhoist/jobs/ownerelection.h"

#include "trefoilhoist/jobs/ownerrecord.h"
#include "trefoilhoist/jobs/recordkeys.h"
#include "trefoilhoist/log/eventlog.h"
#include "trefoilhoist/wire/message.h"

#include <algorithm>
#include <utility>

namespace Trefoilhoist::Jobs {

OwnerElection::OwnerElection(RecordStore &store, const Clock &clock, ElectionTimes times, Wire::OwnerRecord self)
    : m_store(store), m_clock(clock), m_times(times), m_self(std::move(self))
{
}

awaitable<void> OwnerElection::run(std::function<void(OwnerTerm)> won, std::function<void(std::string)> lost)
{
    m_onWon = std::move(won);
    m_onLost = std::move(lost);
    m_startedAt = m_clock.now();
    while (true) {
        if (m_owning) {
            co_await renew();
            co_await sleepFor(m_times.renewInterval);
            continue;
        }
        const auto seen = co_await readRecords();
        logReachability("election", seen.has_value(), seen ? "" : seen.error().reason);
        bool handled = false;
        const auto owner = seen && seen->owner ? readOwnerRecord(*seen->owner) : std::nullopt;
        if (owner && owner->name != m_self.name) {
            co_await follow(*owner, seen->revision);
            handled = true;
            m_deferred = false;
        } else if (seen && !m_steppedDown) {
            const bool mayCampaign = co_await deferToStronger();
            handled = !mayCampaign || co_await campaign(*seen);
        }
        if (!handled) {
            co_await sleepFor(m_times.retryInterval);
        }
    }
}

void OwnerElection::logReachability(const char *by, bool reachable, const std::string &reason)
{
    if (reachable != m_storeReachable) {
        m_storeReachable = reachable;
        Event(reachable ? "store_regained" : "store_lost").add("by", by).add("reason", reason);
    }
}

awaitable<StoreResult<OwnerElection::ElectionRecords>> OwnerElection::readRecords()
{
    const auto page = co_await m_store.list(ownerPrefix, "");
    if (!page) {
        co_return tl::unexpected(page.error());
    }
    ElectionRecords seen;
    seen.revision = page->revision;
    for (const auto &it : page->records) {
        if (it.key == ownerRecordKey) {
            seen.owner = it;
        } else if (it.key == epochRecordKey) {
            seen.epoch = it;
        }
    }
    co_return seen;
}

awaitable<void> OwnerElection::follow(Wire::OwnerRecord owner, std::int64_t revision)
{
    if (!m_owner || m_owner->epoch < owner.epoch) {
        Event("owner_seen").add("owner", owner.name).add("epoch", owner.epoch).add("revision", revision);
        m_owner = std::move(owner);
    }
    const auto changes = co_await m_store.watch(ownerPrefix, revision, m_times.watchWait);
    if (!changes) {
        co_await sleepFor(m_times.retryInterval);
    }
}

awaitable<bool> OwnerElection::deferToStronger()
{
    if (m_deferred) {
        co_return true;
    }
    const auto up = m_clock.now() - m_startedAt;
    if (up < m_times.campaignDelay) {
        co_await sleepFor(m_times.campaignDelay - up);
    }
    const auto peers = co_await m_store.list(peerPrefix, "");
    int stronger = 0;
    if (peers) {
        for (const auto &it : peers->records) {
            const auto peer = readOwnerRecord(it);
            stronger += peer && peer->strength > m_self.strength ? 1 : 0;
        }
    }
    if (stronger == 0) {
        co_return true;
    }
    co_await sleepFor(stronger * m_times.strongerCandidateDelay);
    // Reads the records again before it becomes a candidate.
    m_deferred = true;
    co_return false;
}

RecordCommit OwnerElection::termCommit(const ElectionRecords &seen) const
{
    Wire::OwnerRecord record = m_self;
    record.epoch = m_leaseEpoch;
    record.lease = m_lease;
    const auto value = Wire::encode(record);
    RecordCommit commit;
    commit.conditions = {{ownerRecordKey, seen.owner ? seen.owner->revision : 0},
                         {epochRecordKey, seen.epoch ? seen.epoch->revision : 0}};
    commit.writes = {{ownerRecordKey, value, m_lease}, {epochRecordKey, value, 0}};
    return commit;
}

// The epoch of the last term. Each term is a change of the store, so that no epoch is above the revision of a later
// change: where the record can't be read, its revision stands for it.
std::int64_t OwnerElection::lastEpoch(const ElectionRecords &seen)
{
    if (!seen.epoch) {
        return 0;
    }
    const auto last = readOwnerRecord(*seen.epoch);
    return last ? last->epoch : std::min(seen.epoch->revision, maxEpoch);
}

// Returns true if this process won the term.
awaitable<bool> OwnerElection::campaign(const ElectionRecords &seen)
{
    const auto epoch = lastEpoch(seen);
    const auto owner = seen.owner ? readOwnerRecord(*seen.owner) : std::nullopt;
    if (owner && m_lease != 0 && epoch == m_leaseEpoch && owner->lease == m_lease) {
        // The answer to the last commit was lost, but the commit took effect. An earlier one, which was executed late,
        // is kept under a lease that is not renewed.
        becomeOwner(epoch, seen.epoch->revision, m_leaseOpenedAt);
        co_return true;
    }
    const auto openedAt = m_clock.now();
    const auto lease = co_await m_store.openLease(m_times.leaseTtl);
    if (!lease) {
        co_return false;
    }
    m_lease = *lease;
    m_leaseOpenedAt = openedAt;
    m_leaseEpoch = epoch + 1;
    const auto outcome = co_await m_store.commit(termCommit(seen));
    if (!outcome || !outcome->committed) {
        co_return false;
    }
    becomeOwner(m_leaseEpoch, outcome->revision, openedAt);
    co_return true;
}

void OwnerElection::becomeOwner(std::int64_t epoch, std::int64_t epochRevision, TimePoint verifiedAt)
{
    if (m_steppedDown) {
        return;
    }
    m_owning = true;
    m_verifiedAt = verifiedAt;
    m_owner = m_self;
    m_owner->epoch = epoch;
    Event("term_won").add("epoch", epoch).add("revision", epochRevision);
    m_onWon({epoch, epochRevision});
}

awaitable<void> OwnerElection::renew()
{
    const auto sentAt = m_clock.now();
    const auto renewed = co_await m_store.renewLease(m_lease);
    if (!m_owning) {
        co_return;
    }
    logReachability("renewal", renewed.has_value(), renewed ? "" : renewed.error().reason);
    if (renewed && *renewed) {
        m_verifiedAt = sentAt;
    } else if (renewed) {
        endTerm("the owner's lease has expired");
    } else if (m_clock.now() - m_verifiedAt > m_times.ownerGrace) {
        endTerm("the store was unreachable for longer than the owner grace period");
    }
}

void OwnerElection::endTerm(std::string reason)
{
    if (!m_owning) {
        return;
    }
    m_owning = false;
    m_lease = 0;
    m_owner.reset();
    Event("term_lost").add("reason", reason);
    m_onLost(std::move(reason));
}

void OwnerElection::onOwnershipLost(std::string reason)
{
    endTerm(std::move(reason));
}

void OwnerElection::observeOwner(const Wire::OwnerRecord &owner)
{
    if (!isValid(owner) || owner.name == m_self.name || (m_owner && m_owner->epoch >= owner.epoch)) {
        return;
    }
    endTerm("another process owns epoch " + std::to_string(owner.epoch));
    m_owner = owner;
    Event("owner_heard").add("owner", owner.name).add("epoch", owner.epoch);
}

awaitable<void> OwnerElection::stepDown()
{
    m_steppedDown = true;
    const auto lease = m_lease;
    const bool owned = m_owning;
    endTerm("stopping");
    if (owned) {
        const auto ended = co_await m_store.endLease(lease);
        if (!ended) {
            Event("lease_not_ended").add("reason", ended.error().reason);
        }
    }
}

} // namespace Trefoilhoist::Jobs
