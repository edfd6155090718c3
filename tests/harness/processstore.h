#pragma once

#include "harness/memoryrecordstore.h"

#include <optional>

namespace Trefoilhoist {

/// One process's connection to a store that several processes share. Tests disturb it for this process alone.
class ProcessStore : public RecordStore
{
public:
    explicit ProcessStore(MemoryRecordStore &shared) : m_shared(shared) { }

    awaitable<StoreResult<std::optional<StoredRecord>>> read(std::string key) override;
    awaitable<StoreResult<RecordPage>> list(std::string prefix, std::string after) override;
    awaitable<StoreResult<RecordChanges>> watch(std::string prefix, std::int64_t revision, Duration wait) override;
    awaitable<StoreResult<CommitOutcome>> commit(RecordCommit commit) override;
    awaitable<StoreResult<std::int64_t>> openLease(Duration ttl) override;
    awaitable<StoreResult<bool>> renewLease(std::int64_t lease) override;
    awaitable<StoreResult<bool>> endLease(std::int64_t lease) override;

    /// Lets the store execute the write that it withheld, and take the later ones again.
    awaitable<void> executeWithheldJobWrite();
    [[nodiscard]] bool hasWithheldJobWrite() const
    {
        return m_withheld.has_value();
    }

    /// How long a write of a job's records takes.
    Duration jobWriteDelay{};
    /// The store refuses writes of a job's records, after `jobWriteDelay`.
    bool refusesJobWrites = false;
    /// The next write of a job's records gets no answer and is executed only when the test says so. Until then the
    /// store refuses all other such writes.
    bool withholdsJobWrites = false;
    /// Renewals of leases are not answered.
    bool stallsRenewals = false;
    /// The process finds no records of other dispatchers.
    bool hidesPeers = false;

private:
    MemoryRecordStore &m_shared;
    std::optional<RecordCommit> m_withheld;
};

} // namespace Trefoilhoist
