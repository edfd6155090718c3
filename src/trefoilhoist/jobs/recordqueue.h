#pragma once

#include "trefoilhoist/store/recordstore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// A record that is now as asked for.
struct ResolvedRecord {
    std::string key;
    /// The tag of the value that is recorded.
    std::int64_t tag = 0;
    /// False: the record is gone.
    bool present = true;
};

/// Some records on their way to the store together.
struct RecordBatch {
    RecordCommit commit;
    std::vector<std::string> keys;
};

/// Values that the owner wants recorded, newest wins, each written under the condition that neither the record
/// nor the owner has changed. An unanswered write may take effect late: the next write of the same record shares
/// its condition, so that only one of the two can. Not thread-safe.
class RecordQueue
{
public:
    /// Every commit is conditional on the record `ownerKey` being of `ownerRevision`.
    RecordQueue(std::string ownerKey, std::int64_t ownerRevision);

    /// A record that exists already.
    void trackExisting(const std::string &key, std::int64_t revision);
    /// Wants `value` recorded; `tag` comes back once it is.
    void put(const std::string &key, std::string value, std::int64_t tag);
    void remove(const std::string &key);
    /// Takes back a first write that has surely not happened; false when it may have.
    bool withdraw(const std::string &key);
    /// The record exists, or may exist.
    [[nodiscard]] bool mayExist(const std::string &key) const
    {
        return m_entries.count(key) > 0;
    }
    /// No writing of the record has happened, is on its way, or may still happen.
    [[nodiscard]] bool isKnownUnwritten(const std::string &key) const;

    /// The oldest wanted records that are not on their way; nothing when there are none.
    std::optional<RecordBatch> take();
    /// What is settled by the outcome. A conflict over the owner's record is told by lost().
    std::vector<ResolvedRecord> applyOutcome(const RecordBatch &batch, const CommitOutcome &outcome);
    void failed(const RecordBatch &batch, StoreFailure failure);
    /// Another owner has written: nothing of this queue can be recorded any more.
    [[nodiscard]] bool lost() const
    {
        return m_lost;
    }

private:
    struct Entry {
        std::int64_t revision = 0;
        /// Empty: to be removed.
        std::optional<std::string> value;
        std::int64_t tag = 0;
        bool pending = false;
        bool inFlight = false;
        /// What was sent last, and whether an answer to it is missing.
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
    /// Wanted and not on their way, in the order of wanting.
    std::map<std::int64_t, std::string> m_pending;
    std::int64_t m_lastSequence = 0;
    bool m_lost = false;
};

} // namespace Trefoilhoist::Jobs
