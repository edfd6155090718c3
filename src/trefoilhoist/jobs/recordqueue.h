#pragma once

#include "trefoilhoist/store/recordstore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// A record whose last requested write or removal is known to have taken effect.
struct ResolvedRecord {
    std::string key;
    /// The number that was given to put() with the recorded value.
    std::int64_t tag = 0;
    /// False if the record was removed.
    bool present = true;
};

/// Records that are written to the store in one commit.
struct RecordBatch {
    RecordCommit commit;
    std::vector<std::string> keys;
};

/// Queue of the records that the owner writes to the store. Only the newest value of a record is kept. Each write is
/// conditional on neither the record nor the owner having changed. A write without an answer may still take effect
/// later; the next write of the same record has the same condition, so that only one of the two can succeed. Not
/// thread-safe.
class RecordQueue
{
public:
    /// Every commit is conditional on the record `ownerKey` having the revision `ownerRevision`.
    RecordQueue(std::string ownerKey, std::int64_t ownerRevision);

    /// Tracks a record that already exists in the store.
    void trackExisting(const std::string &key, std::int64_t revision);
    /// Queues a write of `value`. Once it is recorded, `tag` is returned in a ResolvedRecord.
    void put(const std::string &key, std::string value, std::int64_t tag);
    /// Queues the removal of a record.
    void remove(const std::string &key);
    /// Cancels a record's first write. Returns false, and does nothing, if the write may have taken effect or may still
    /// do so.
    bool withdraw(const std::string &key);
    /// True if the record exists or may exist.
    [[nodiscard]] bool mayExist(const std::string &key) const
    {
        return m_entries.count(key) > 0;
    }
    /// True if no write of the record has happened, is in flight, or may still take effect.
    [[nodiscard]] bool isKnownUnwritten(const std::string &key) const;

    /// Returns the oldest pending records that are not in flight, or nothing if there are none.
    std::optional<RecordBatch> take();
    /// Applies the outcome of a commit and returns the records that it resolves. After a conflict over the owner's
    /// record, ownershipLost() is true.
    std::vector<ResolvedRecord> applyOutcome(const RecordBatch &batch, const CommitOutcome &outcome);
    /// Queues the records of a failed commit again.
    void applyFailure(const RecordBatch &batch, StoreFailure failure);
    /// True if another owner has written: no record of this queue can be written any more.
    [[nodiscard]] bool ownershipLost() const
    {
        return m_lost;
    }

private:
    struct Entry {
        std::int64_t revision = 0;
        /// The value to write; empty for a removal.
        std::optional<std::string> value;
        std::int64_t tag = 0;
        bool pending = false;
        bool inFlight = false;
        /// The value sent last, its tag, and whether the outcome of that write is not known.
        std::optional<std::string> sent;
        std::int64_t sentTag = 0;
        bool unresolved = false;
    };

    void enqueue(const std::string &key, Entry &entry);
    void markResolved(const std::string &key, Entry &entry, std::vector<ResolvedRecord> &resolved);
    void reconcile(const std::string &key, const StoredRecord *current, std::vector<ResolvedRecord> &resolved);

    std::string m_ownerKey;
    std::int64_t m_ownerRevision;
    std::map<std::string, Entry> m_entries;
    /// Pending records that are not in flight, in the order in which they were queued.
    std::map<std::int64_t, std::string> m_pending;
    std::int64_t m_lastSequence = 0;
    bool m_lost = false;
};

} // namespace Trefoilhoist::Jobs
