#include "harness/memoryrecordstore.h"

namespace Trefoilhoist {

namespace {

tl::unexpected<StoreError> refused()
{
    return tl::unexpected(StoreError{StoreFailure::NotDone, "the store is down"});
}

} // namespace

awaitable<StoreResult<std::optional<StoredRecord>>> MemoryRecordStore::read(std::string key)
{
    if (down) {
        co_return refused();
    }
    const auto it = m_records.find(key);
    co_return it == m_records.end() ? std::nullopt : std::optional(it->second.stored);
}

awaitable<StoreResult<RecordPage>> MemoryRecordStore::list(std::string prefix, std::string after)
{
    if (down) {
        co_return refused();
    }
    RecordPage page;
    page.revision = m_revision;
    for (const auto &[key, record] : m_records) {
        if (key.starts_with(prefix) && key > after) {
            page.records.push_back(record.stored);
        }
    }
    co_return page;
}

awaitable<StoreResult<RecordChanges>> MemoryRecordStore::watch(std::string, std::int64_t revision, Duration wait)
{
    const auto poll = milliseconds(1);
    for (Duration waited{}; waited < wait && !down && m_revision == revision; waited += poll) {
        co_await sleepFor(poll);
    }
    if (down) {
        co_return refused();
    }
    RecordChanges changes;
    changes.revision = m_revision;
    co_return changes;
}

awaitable<StoreResult<CommitOutcome>> MemoryRecordStore::commit(RecordCommit commit)
{
    if (down) {
        co_return refused();
    }
    CommitOutcome outcome;
    bool holds = true;
    for (const auto &it : commit.conditions) {
        const auto found = m_records.find(it.key);
        if (found != m_records.end()) {
            outcome.current.push_back(found->second.stored);
        }
        holds = holds && (found == m_records.end() ? 0 : found->second.stored.revision) == it.revision;
    }
    if (!holds) {
        co_return outcome;
    }
    ++m_revision;
    for (const auto &it : commit.writes) {
        m_records[it.key] = {{it.key, it.value, m_revision}, it.lease};
    }
    for (const auto &it : commit.removals) {
        m_records.erase(it);
    }
    if (loseNextAnswer) {
        loseNextAnswer = false;
        co_return tl::unexpected(StoreError{StoreFailure::Unknown, "no answer"});
    }
    outcome.committed = true;
    outcome.revision = m_revision;
    co_return outcome;
}

awaitable<StoreResult<std::int64_t>> MemoryRecordStore::openLease(Duration)
{
    if (down) {
        co_return refused();
    }
    m_leases.insert(++m_lastLease);
    co_return m_lastLease;
}

awaitable<StoreResult<bool>> MemoryRecordStore::renewLease(std::int64_t lease)
{
    if (down) {
        co_return refused();
    }
    co_return m_leases.count(lease) > 0;
}

awaitable<StoreResult<bool>> MemoryRecordStore::endLease(std::int64_t lease)
{
    if (down) {
        co_return refused();
    }
    const bool known = m_leases.erase(lease) > 0;
    remove(lease);
    co_return known;
}

void MemoryRecordStore::endLeases()
{
    for (const auto lease : std::exchange(m_leases, {})) {
        remove(lease);
    }
}

void MemoryRecordStore::remove(std::int64_t lease)
{
    if (std::erase_if(m_records, [&](const auto &it) { return it.second.lease == lease; }) > 0) {
        ++m_revision;
    }
}

} // namespace Trefoilhoist
