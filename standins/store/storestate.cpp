#include "storestate.h"

#include "trefoilhoist/store/base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Trefoilhoist::Standin {

namespace {

using Entries = std::map<std::string, StoredEntry>;

std::vector<StoredEntry> underPrefix(const Entries &entries, const std::string &prefix)
{
    std::vector<StoredEntry> found;
    for (auto it = entries.lower_bound(prefix); it != entries.end() && it->first.rfind(prefix, 0) == 0; ++it) {
        found.push_back(it->second);
    }
    return found;
}

} // namespace

std::optional<StoredEntry> StoreState::get(const std::string &key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? std::nullopt : std::optional(it->second);
}

std::vector<StoredEntry> StoreState::list(const std::string &prefix) const
{
    return underPrefix(m_entries, prefix);
}

std::vector<StoredEntry> StoreState::staleList(const std::string &prefix) const
{
    return underPrefix(m_previous, prefix);
}

std::uint64_t StoreState::indexOf(const std::string &prefix) const
{
    std::uint64_t index = 1;
    for (auto it = m_entries.lower_bound(prefix); it != m_entries.end() && it->first.rfind(prefix, 0) == 0; ++it) {
        index = std::max(index, it->second.modifyIndex);
    }
    for (auto it = m_deleted.lower_bound(prefix); it != m_deleted.end() && it->first.rfind(prefix, 0) == 0; ++it) {
        index = std::max(index, it->second);
    }
    return index;
}

bool StoreState::put(const std::string &key, std::string value, const PutCondition &condition, TimePoint now)
{
    expire(now);
    const auto it = m_entries.find(key);
    const std::uint64_t current = it == m_entries.end() ? 0 : it->second.modifyIndex;
    const std::string holder = it == m_entries.end() ? std::string() : it->second.session;
    if (condition.cas && *condition.cas != current) {
        return false;
    }
    if (!condition.acquire.empty()) {
        const auto delay = m_lockedUntil.find(key);
        const bool delayed = delay != m_lockedUntil.end() && now < delay->second && holder.empty();
        if (m_sessions.count(condition.acquire) == 0 || delayed || (!holder.empty() && holder != condition.acquire)) {
            return false;
        }
    }
    if (!condition.release.empty() && holder != condition.release) {
        return false;
    }

    auto &entry = m_entries[key];
    if (current != 0) {
        m_previous[key] = entry;
    }
    entry.key = key;
    entry.value = std::move(value);
    if (!condition.acquire.empty() && holder.empty()) {
        entry.session = condition.acquire;
        ++entry.lockIndex;
    }
    if (!condition.release.empty()) {
        entry.session.clear();
    }
    write(entry);
    return true;
}

bool StoreState::erase(const std::string &key, std::optional<std::uint64_t> cas)
{
    const auto it = m_entries.find(key);
    if (cas && (it == m_entries.end() || it->second.modifyIndex != *cas)) {
        return false;
    }
    if (it != m_entries.end()) {
        m_deleted[key] = ++m_index;
        m_previous.erase(key);
        m_entries.erase(it);
    }
    return true;
}

std::string StoreState::createSession(Duration ttl, Duration lockDelay, TimePoint now)
{
    std::string id = "session-" + std::to_string(++m_lastSession);
    m_sessions[id] = {ttl, lockDelay, now + ttl};
    return id;
}

bool StoreState::renewSession(const std::string &id, TimePoint now)
{
    expire(now);
    const auto it = m_sessions.find(id);
    if (it == m_sessions.end()) {
        return false;
    }
    it->second.lapsesAt = now + it->second.ttl;
    return true;
}

void StoreState::destroySession(const std::string &id, TimePoint now)
{
    if (m_sessions.count(id) != 0) {
        m_sessions[id].lockDelay = Duration{};
        endSession(id, now);
    }
}

void StoreState::lapseAll(TimePoint now)
{
    while (!m_sessions.empty()) {
        endSession(m_sessions.begin()->first, now);
    }
}

bool StoreState::expire(TimePoint now)
{
    std::vector<std::string> lapsed;
    for (const auto &[id, session] : m_sessions) {
        if (session.lapsesAt <= now) {
            lapsed.push_back(id);
        }
    }
    for (const auto &id : lapsed) {
        endSession(id, now);
    }
    return !lapsed.empty();
}

std::string StoreState::dump() const
{
    nlohmann::json json{{"index", m_index}, {"lastSession", m_lastSession}};
    for (const auto &[key, entry] : m_entries) {
        json["entries"].push_back({{"key", key},
                                   {"value", base64Encode(entry.value)},
                                   {"create", entry.createIndex},
                                   {"modify", entry.modifyIndex},
                                   {"lock", entry.lockIndex},
                                   {"session", entry.session}});
    }
    for (const auto &[id, session] : m_sessions) {
        json["sessions"].push_back(
            {{"id", id}, {"ttlUs", session.ttl.count()}, {"lockDelayUs", session.lockDelay.count()}});
    }
    json["deleted"] = m_deleted;
    return json.dump();
}

void StoreState::load(const std::string &text, TimePoint now)
{
    const auto json = nlohmann::json::parse(text);
    m_index = json.at("index");
    m_lastSession = json.at("lastSession");
    m_deleted = json.at("deleted").get<std::map<std::string, std::uint64_t>>();
    for (const auto &item : json.value("entries", nlohmann::json::array())) {
        StoredEntry entry{item.at("key"),
                          base64Decode(item.at("value").get<std::string>()).value_or(""),
                          item.at("create"),
                          item.at("modify"),
                          item.at("lock"),
                          item.at("session")};
        m_entries[entry.key] = entry;
    }
    for (const auto &item : json.value("sessions", nlohmann::json::array())) {
        const Duration ttl(item.at("ttlUs").get<std::int64_t>());
        m_sessions[item.at("id")] = {ttl, Duration(item.at("lockDelayUs").get<std::int64_t>()), now + ttl};
    }
}

void StoreState::write(StoredEntry &entry)
{
    entry.modifyIndex = ++m_index;
    if (entry.createIndex == 0) {
        entry.createIndex = entry.modifyIndex;
    }
    m_deleted.erase(entry.key);
}

void StoreState::endSession(const std::string &id, TimePoint now)
{
    const auto lockDelay = m_sessions[id].lockDelay;
    m_sessions.erase(id);
    for (auto &[key, entry] : m_entries) {
        if (entry.session == id) {
            m_previous[key] = entry;
            entry.session.clear();
            m_lockedUntil[key] = now + lockDelay;
            write(entry);
        }
    }
}

} // namespace Trefoilhoist::Standin
