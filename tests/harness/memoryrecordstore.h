#pragma once

#include "trefoilhoist/store/recordstore.h"

#include <map>
#include <set>

namespace Trefoilhoist {

/// A record store in memory. Tests end leases by hand, let it fail, and lose answers.
class MemoryRecordStore : public RecordStore
{
public:
    awaitable<StoreResult<std::optional<StoredRecord>>> read(std::string key) override;
    awaitable<StoreResult<RecordPage>> list(std::string prefix, std::string after) override;
    awaitable<StoreResult<RecordChanges>> watch(std::string prefix, std::int64_t revision, Duration wait) override;
    awaitable<StoreResult<CommitOutcome>> commit(RecordCommit commit) override;
    awaitable<StoreResult<std::int64_t>> openLease(Duration ttl) override;
    awaitable<StoreResult<bool>> renewLease(std::int64_t lease) override;
    awaitable<StoreResult<bool>> endLease(std::int64_t lease) override;

    /// Ends all leases, as the store does when nobody renews them.
    void endLeases();
    /// Every call fails and does nothing.
    bool down = false;
    /// The next commit takes effect and gets no answer.
    bool loseNextAnswer = false;

private:
    struct Record {
        StoredRecord stored;
        std::int64_t lease = 0;
    };
    void remove(std::int64_t lease);

    std::map<std::string, Record> m_records;
    std::set<std::int64_t> m_leases;
    std::int64_t m_revision = 10;
    std::int64_t m_lastLease = 0;
};

} // namespace Trefoilhoist
