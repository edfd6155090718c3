#include "trefoilhoist/jobs/recordqueue.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// Each record takes one condition and one write, and the owner's record takes one more condition.
constexpr std::size_t recordsPerCommit = (maxCommitEntries - 1) / 2;

} // namespace

RecordQueue::RecordQueue(std::string ownerKey, std::int64_t ownerRevision)
    : m_ownerKey(std::move(ownerKey)), m_ownerRevision(ownerRevision)
{
}

void RecordQueue::trackExisting(const std::string &key, std::int64_t revision)
{
    m_entries[key].revision = revision;
}

void RecordQueue::enqueue(const std::string &key, Entry &entry)
{
    if (!entry.pending) {
        entry.pending = true;
        if (!entry.inFlight) {
            m_pending[++m_lastSequence] = key;
        }
    }
}

void RecordQueue::put(const std::string &key, std::string value, std::int64_t tag)
{
    auto &entry = m_entries[key];
    entry.value = std::move(value);
    entry.tag = tag;
    enqueue(key, entry);
}

void RecordQueue::remove(const std::string &key)
{
    auto &entry = m_entries[key];
    entry.value.reset();
    entry.tag = 0;
    enqueue(key, entry);
}

bool RecordQueue::isKnownUnwritten(const std::string &key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() || (!it->second.inFlight && !it->second.unresolved && it->second.revision == 0);
}

bool RecordQueue::withdraw(const std::string &key)
{
    if (!isKnownUnwritten(key)) {
        return false;
    }
    std::erase_if(m_pending, [&](const auto &queued) { return queued.second == key; });
    m_entries.erase(key);
    return true;
}

std::optional<RecordBatch> RecordQueue::take()
{
    if (m_pending.empty() || m_lost) {
        return std::nullopt;
    }
    RecordBatch batch;
    batch.commit.conditions.push_back({m_ownerKey, m_ownerRevision});
    while (!m_pending.empty() && batch.keys.size() < recordsPerCommit) {
        const std::string key = m_pending.begin()->second;
        m_pending.erase(m_pending.begin());
        auto &entry = m_entries[key];
        entry.inFlight = true;
        entry.pending = false;
        entry.sent = entry.value;
        entry.sentTag = entry.tag;
        batch.commit.conditions.push_back({key, entry.revision});
        if (entry.value) {
            batch.commit.writes.push_back({key, *entry.value, 0});
        } else if (entry.revision != 0) {
            batch.commit.removals.push_back(key);
        }
        batch.keys.push_back(key);
    }
    return batch;
}

void RecordQueue::markResolved(const std::string &key, Entry &entry, std::vector<ResolvedRecord> &resolved)
{
    resolved.push_back({key, entry.sentTag, entry.sent.has_value()});
    entry.unresolved = false;
    if (entry.pending) {
        m_pending[++m_lastSequence] = key;
        return;
    }
    if (!entry.sent) {
        m_entries.erase(key);
        return;
    }
    // Only the revision is needed from now on. A string that an empty one is assigned to would keep its memory.
    entry.value.emplace();
    entry.sent.emplace();
}

// Compares a record of a rejected commit with the store: its own condition, or that of another record, did not hold.
void RecordQueue::reconcile(const std::string &key, const StoredRecord *current, std::vector<ResolvedRecord> &resolved)
{
    auto &entry = m_entries[key];
    entry.inFlight = false;
    const std::int64_t revision = current == nullptr ? 0 : current->revision;
    const bool moved = revision != entry.revision;
    entry.revision = revision;
    const std::optional<std::string> value = current == nullptr ? std::nullopt : std::optional(current->value);
    if (moved && value == entry.sent) {
        // An earlier write of the same value took effect.
        markResolved(key, entry, resolved);
        return;
    }
    if (!entry.pending) {
        entry.pending = true;
    }
    m_pending[++m_lastSequence] = key;
}

std::vector<ResolvedRecord> RecordQueue::applyOutcome(const RecordBatch &batch, const CommitOutcome &outcome)
{
    std::vector<ResolvedRecord> resolved;
    if (outcome.committed) {
        for (const auto &key : batch.keys) {
            auto &entry = m_entries[key];
            entry.inFlight = false;
            entry.revision = entry.sent ? outcome.revision : 0;
            markResolved(key, entry, resolved);
        }
        return resolved;
    }
    const auto currentOf = [&](const std::string &key) -> const StoredRecord * {
        const auto it = std::find_if(
            outcome.current.begin(), outcome.current.end(), [&](const auto &record) { return record.key == key; });
        return it == outcome.current.end() ? nullptr : &*it;
    };
    const auto *owner = currentOf(m_ownerKey);
    if (owner == nullptr || owner->revision != m_ownerRevision) {
        m_lost = true;
    }
    for (const auto &key : batch.keys) {
        reconcile(key, currentOf(key), resolved);
    }
    return resolved;
}

void RecordQueue::applyFailure(const RecordBatch &batch, StoreFailure failure)
{
    for (const auto &key : batch.keys) {
        auto &entry = m_entries[key];
        entry.inFlight = false;
        entry.pending = true;
        if (failure == StoreFailure::Unknown) {
            entry.unresolved = true;
        }
        m_pending[++m_lastSequence] = key;
    }
}

} // namespace Trefoilhoist::Jobs
