#pragma once

#include "trefoilhoist/store/storeclient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist {

/// One record as the store holds it.
struct StoredRecord {
    std::string key;
    std::string value;
    /// The store's revision at the record's last change.
    std::int64_t revision = 0;
};

struct RecordPage {
    std::vector<StoredRecord> records;
    bool more = false;
    /// The store's revision when the page was read.
    std::int64_t revision = 0;
};

/// One change that a watch tells: a record as written, or a key that was removed.
struct RecordChange {
    StoredRecord record;
    bool removed = false;
};

struct RecordChanges {
    std::vector<RecordChange> changes;
    /// Where the next watch goes on.
    std::int64_t revision = 0;
    /// The history since the asked revision is gone: read everything again.
    bool historyLost = false;
};

/// Must hold for a commit: the record's revision; 0 when it must not exist.
struct RecordCondition {
    std::string key;
    std::int64_t revision = 0;
};

struct RecordWrite {
    std::string key;
    std::string value;
    /// The record goes when this lease ends; 0: it stays.
    std::int64_t lease = 0;
};

/// All or nothing.
struct RecordCommit {
    std::vector<RecordCondition> conditions;
    std::vector<RecordWrite> writes;
    std::vector<std::string> removals;
};

struct CommitOutcome {
    bool committed = false;
    std::int64_t revision = 0;
    /// When not committed: the records that the conditions name, those that exist.
    std::vector<StoredRecord> current;
    /// When not committed: the lease of a write has ended.
    bool leaseEnded = false;
};

/// Conditions, writes and removals of one commit.
inline constexpr std::size_t maxCommitEntries = 32;

/// How long a wait for changes lasts, and how much later its answer may come: a connection may go silent without
/// notice, and what is waited for must be in force within two seconds.
inline constexpr Duration watchWait = milliseconds(900);
inline constexpr Duration watchSlack = milliseconds(500);

/// A store of records with transactions over several keys, leases and watches. Calls never throw.
class RecordStore
{
public:
    virtual ~RecordStore() = default;

    virtual awaitable<StoreResult<std::optional<StoredRecord>>> read(std::string key) = 0;
    /// One page of the records under `prefix` behind the key `after`.
    virtual awaitable<StoreResult<RecordPage>> list(std::string prefix, std::string after) = 0;
    /// Waits up to `wait` for changes under `prefix` behind `revision`.
    virtual awaitable<StoreResult<RecordChanges>> watch(std::string prefix, std::int64_t revision, Duration wait) = 0;
    virtual awaitable<StoreResult<CommitOutcome>> commit(RecordCommit commit) = 0;
    virtual awaitable<StoreResult<std::int64_t>> openLease(Duration ttl) = 0;
    /// False when the lease has ended.
    virtual awaitable<StoreResult<bool>> renewLease(std::int64_t lease) = 0;
    virtual awaitable<StoreResult<bool>> endLease(std::int64_t lease) = 0;
};

} // namespace Trefoilhoist
