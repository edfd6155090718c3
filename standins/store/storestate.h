#pragma once

#include "trefoilhoist/world/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Standin {

/// One key of the store.
struct StoredEntry {
    std::string key;
    std::string value;
    std::uint64_t createIndex = 0;
    std::uint64_t modifyIndex = 0;
    std::uint64_t lockIndex = 0;
    std::string session;
};

/// Conditions of a put; at most one is used.
struct PutCondition {
    /// The modify index that the key must have; 0 means that it must not exist.
    std::optional<std::uint64_t> cas;
    std::string acquire;
    std::string release;
};

/// A store after the model of Consul's KV: one index that rises with each effect, compare-and-swap on a key's
/// modify index, sessions that lapse. Not thread-safe.
class StoreState
{
public:
    [[nodiscard]] std::optional<StoredEntry> get(const std::string &key) const;
    [[nodiscard]] std::vector<StoredEntry> list(const std::string &prefix) const;
    /// The entries as they were before the last write of each: what a stale replica answers.
    [[nodiscard]] std::vector<StoredEntry> staleList(const std::string &prefix) const;
    /// The index of the last change under `prefix`, deletions included; at least 1.
    [[nodiscard]] std::uint64_t indexOf(const std::string &prefix) const;

    /// True when the put took effect.
    bool put(const std::string &key, std::string value, const PutCondition &condition, TimePoint now);
    /// True unless `cas` is given and differs from the key's modify index.
    bool erase(const std::string &key, std::optional<std::uint64_t> cas);

    std::string createSession(Duration ttl, Duration lockDelay, TimePoint now);
    /// False when the session has lapsed.
    bool renewSession(const std::string &id, TimePoint now);
    void destroySession(const std::string &id, TimePoint now);
    /// Ends every session at once, as a store that lost its timers would.
    void lapseAll(TimePoint now);
    /// Ends the sessions whose time is over and frees their locks. True when one ended.
    bool expire(TimePoint now);

    /// The state as JSON, without the times of sessions; they start anew in load().
    [[nodiscard]] std::string dump() const;
    void load(const std::string &json, TimePoint now);

private:
    struct Session {
        Duration ttl{};
        Duration lockDelay{};
        TimePoint lapsesAt;
    };

    void write(StoredEntry &entry);
    void endSession(const std::string &id, TimePoint now);

    std::uint64_t m_index = 1;
    std::uint64_t m_lastSession = 0;
    std::map<std::string, StoredEntry> m_entries;
    std::map<std::string, StoredEntry> m_previous;
    std::map<std::string, std::uint64_t> m_deleted;
    std::map<std::string, Session> m_sessions;
    std::map<std::string, TimePoint> m_lockedUntil;
};

} // namespace Trefoilhoist::Standin
