#include "trefoilhoist/jobs/recordqueue.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// Each record needs a condition and a write; one condition is the owner's.
constexpr std::size_t recordsPerCommit = (maxCommitEntries - 1) / 2;

} // namespace

RecordQueue::RecordQueue(std::string ownerKey, std::int64_t ownerRevision)
    : m_ownerKey(std::move(ownerKey)), m_ownerRevision(ownerRevision)
{
}

void RecordQueue::know(const std::string &key, std::int64_t revision)
{
    m_entries[key].revision = revision;
}

void RecordQueue::want(const std::string &key, Entry &entry)
{
    if (!entry.wanted) {
        entry.wanted = true;
        if (!entry.inFlight) {
            m_wanted[++m_lastOrder] = key;
        }
    }
}

void RecordQueue::put(const std::string &key, std::string value, std::int64_t tag)
{
    auto &entry = m_entries[key];
    entry.value = std::move(value);
    entry.tag = tag;
    want(key, entry);
}

void RecordQueue::remove(const std::string &key)
{
    auto &entry = m_entries[key];
    entry.value.reset();
    entry.tag = 0;
    want(key, entry);
}

bool RecordQueue::surelyUnwritten(const std::string &key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() || (!it->second.inFlight && !it->second.uncertain && it->second.revision == 0);
}

bool RecordQueue::withdraw(const std::string &key)
{
    if (!surelyUnwritten(key)) {
        return false;
    }
    std::erase_if(m_wanted, [&](const auto &wanted) { return wanted.second == key; });
    m_entries.erase(key);
    return true;
}

std::optional<RecordBatch> RecordQueue::take()
{
    if (m_wanted.empty() || m_lost) {
        return std::nullopt;
    }
    RecordBatch batch;
    batch.commit.conditions.push_back({m_ownerKey, m_ownerRevision});
    while (!m_wanted.empty() && batch.keys.size() < recordsPerCommit) {
        const std::string key = m_wanted.begin()->second;
        m_wanted.erase(m_wanted.begin());
        auto &entry = m_entries[key];
        entry.inFlight = true;
        entry.wanted = false;
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

void RecordQueue::settle(const std::string &key, Entry &entry, std::vector<SettledRecord> &settled)
{
    settled.push_back({key, entry.sentTag, entry.sent.has_value()});
    entry.uncertain = false;
    if (entry.wanted) {
        m_wanted[++m_lastOrder] = key;
        return;
    }
    if (!entry.sent) {
        m_entries.erase(key);
        return;
    }
    // Only the revision is needed from here.
    entry.value = std::string();
    entry.sent = std::string();
}

// Finds out what became of a record whose condition did not hold, or that shared a commit with one.
void RecordQueue::resolve(const std::string &key, const StoredRecord *current, std::vector<SettledRecord> &settled)
{
    auto &entry = m_entries[key];
    entry.inFlight = false;
    const std::int64_t revision = current == nullptr ? 0 : current->revision;
    const bool moved = revision != entry.revision;
    entry.revision = revision;
    const std::optional<std::string> value = current == nullptr ? std::nullopt : std::optional(current->value);
    if (moved && value == entry.sent) {
        // An earlier sending of the same value took effect.
        settle(key, entry, settled);
        return;
    }
    if (!entry.wanted) {
        entry.wanted = true;
    }
    m_wanted[++m_lastOrder] = key;
}

std::vector<SettledRecord> RecordQueue::finished(const RecordBatch &batch, const CommitOutcome &outcome)
{
    std::vector<SettledRecord> settled;
    if (outcome.committed) {
        for (const auto &key : batch.keys) {
            auto &entry = m_entries[key];
            entry.inFlight = false;
            entry.revision = entry.sent ? outcome.revision : 0;
            settle(key, entry, settled);
        }
        return settled;
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
        resolve(key, currentOf(key), settled);
    }
    return settled;
}

void RecordQueue::failed(const RecordBatch &batch, StoreFailure failure)
{
    for (const auto &key : batch.keys) {
        auto &entry = m_entries[key];
        entry.inFlight = false;
        entry.wanted = true;
        if (failure == StoreFailure::Unknown) {
            entry.uncertain = true;
        }
        m_wanted[++m_lastOrder] = key;
    }
}

} // namespace Trefoilhoist::Jobs
