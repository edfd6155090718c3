// The platform's metadata store, as its page describes it. Each node has an address of its own, so that the store can
// refuse some nodes and serve the others.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <random>
#include <vector>

namespace Review {

using Json = nlohmann::json;

inline std::string base64(const std::string &bytes)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = bits << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k <= bytes.size() ? digits[bits >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

inline std::string queryOf(const Request &request, const std::string &name)
{
    const auto query = request.target.find('?');
    if (query == std::string::npos) {
        return {};
    }
    std::size_t at = query + 1;
    while (at < request.target.size()) {
        auto end = request.target.find('&', at);
        end = end == std::string::npos ? request.target.size() : end;
        const auto part = request.target.substr(at, end - at);
        if (part.rfind(name + "=", 0) == 0) {
            std::string out;
            for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    out += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    out += part[i];
                }
            }
            return out;
        }
        at = end + 1;
    }
    return {};
}

enum class StoreFault { None, Busy, Many, Reset, Silent };

class Store
{
public:
    Store()
    {
        std::thread([this] {
            while (true) {
                sleepMs(10);
                std::lock_guard lock(m_mutex);
                endLeases([](const Lease &it) { return steadyMs() >= it.endsAt; });
            }
        }).detach();
    }

    /// Opens an address for one node.
    void serve(const std::string &node, int port)
    {
        m_servers[node] = std::make_unique<Server>(port, [this, node](const Request &it) { return answer(node, it); });
    }

    void setFault(const std::string &node, StoreFault fault)
    {
        {
            std::lock_guard lock(m_mutex);
            m_faults[node] = fault;
        }
        m_changed.notify_all();
        if (fault != StoreFault::None) {
            m_servers.at(node)->reset();
        }
    }

    /// Share of writes that are done and not answered, and whether they are done seconds later.
    void setLost(double share, bool late)
    {
        std::lock_guard lock(m_mutex);
        m_lostShare = share;
        m_lostLate = late;
    }

    /// Each call takes this long on its way there, and its answer as long on its way back.
    void setDelay(std::int64_t ms)
    {
        m_delayMs = ms;
    }

    /// Removes the keys of all leases that this node has opened.
    void revoke(const std::string &node)
    {
        std::lock_guard lock(m_mutex);
        endLeases([&](const Lease &it) { return it.node == node; });
    }

    void operatorPut(const std::string &key, const std::string &value)
    {
        std::lock_guard lock(m_mutex);
        ++m_revision;
        put(key, base64(value), 0);
        m_changed.notify_all();
    }

    /// Number of commits that were refused because a value was too large.
    [[nodiscard]] int tooLarge() const
    {
        return m_tooLarge;
    }

    [[nodiscard]] std::string rawValue(const std::string &key)
    {
        std::lock_guard lock(m_mutex);
        const auto it = m_items.find(key);
        return it == m_items.end() ? "" : it->second.value;
    }

    [[nodiscard]] std::vector<std::string> keys(const std::string &prefix)
    {
        std::lock_guard lock(m_mutex);
        std::vector<std::string> found;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) == 0) {
                found.push_back(key);
            }
        }
        return found;
    }

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Lease {
        std::int64_t ttlMs = 0;
        std::int64_t endsAt = 0;
        std::string node;
    };
    struct Change {
        std::string key;
        Json row;
        std::int64_t revision = 0;
    };

    static Json rowOf(const std::string &key, const Item &item)
    {
        return {{"key", key},
                {"value", item.value},
                {"revision", item.revision},
                {"created", item.created},
                {"lease", item.lease}};
    }

    void put(const std::string &key, const std::string &value, std::int64_t lease)
    {
        auto &item = m_items[key];
        item.value = value;
        item.revision = m_revision;
        item.created = item.created == 0 ? m_revision : item.created;
        item.lease = lease;
        m_history.push_back({key, rowOf(key, item), m_revision});
    }

    void erase(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            m_history.push_back({key, {{"key", key}, {"revision", m_revision}, {"tombstone", true}}, m_revision});
        }
    }

    template <typename Ends>
    void endLeases(Ends ends)
    {
        for (auto it = m_leases.begin(); it != m_leases.end();) {
            if (!ends(it->second)) {
                ++it;
                continue;
            }
            std::vector<std::string> gone;
            for (const auto &[key, item] : m_items) {
                if (item.lease == it->first) {
                    gone.push_back(key);
                }
            }
            if (!gone.empty()) {
                ++m_revision;
                for (const auto &key : gone) {
                    erase(key);
                }
                m_changed.notify_all();
            }
            it = m_leases.erase(it);
        }
    }

    Response answer(const std::string &node, const Request &request)
    {
        sleepMs(m_delayMs);
        const auto response = answerAtOnce(node, request);
        sleepMs(m_delayMs);
        return response;
    }

    Response answerAtOnce(const std::string &node, const Request &request)
    {
        std::unique_lock lock(m_mutex);
        const auto path = request.path();
        const auto fault = m_faults[node];
        if (fault == StoreFault::Silent) {
            m_changed.wait_for(lock, std::chrono::seconds(30), [&] { return m_faults[node] != StoreFault::Silent; });
            return {0, ""};
        }
        if (fault == StoreFault::Reset) {
            return {0, ""};
        }
        if (fault != StoreFault::None) {
            return {fault == StoreFault::Busy ? 503 : 429, "{}"};
        }
        if (path == "/kv-txn" && m_lostShare > 0 && m_random() % 1000 < m_lostShare * 1000) {
            if (!m_lostLate) {
                commit(Json::parse(request.body));
            } else {
                const auto wait = 1000 + static_cast<std::int64_t>(m_random() % 5000);
                std::thread([this, body = Json::parse(request.body), wait] {
                    sleepMs(wait);
                    std::lock_guard inner(m_mutex);
                    commit(body);
                }).detach();
            }
            lock.unlock();
            sleepMs(1500);
            return {0, ""};
        }
        if (path == "/kv-key") {
            const auto key = queryOf(request, "key");
            const auto it = m_items.find(key);
            if (it == m_items.end()) {
                return {404, Json{{"storeRevision", m_revision}}.dump()};
            }
            auto row = rowOf(key, it->second);
            row["storeRevision"] = m_revision;
            return {200, row.dump()};
        }
        if (path == "/kv-range") {
            return range(queryOf(request, "prefix"), queryOf(request, "after"));
        }
        if (path == "/kv-watch") {
            return watch(lock, node, request);
        }
        if (path == "/kv-txn") {
            return commit(Json::parse(request.body));
        }
        if (path == "/kv-lease") {
            const auto ttl = Json::parse(request.body).at("ttlMs").get<std::int64_t>();
            const auto id = ++m_lastLease;
            m_leases[id] = {ttl, steadyMs() + ttl, node};
            return {200, Json{{"lease", id}, {"ttlMs", ttl}}.dump()};
        }
        const auto id = path.substr(path.rfind('/') + 1);
        const auto lease = m_leases.find(std::stoll(id));
        if (path.rfind("/kv-keep/", 0) == 0) {
            if (lease == m_leases.end()) {
                return {404, "{}"};
            }
            lease->second.endsAt = steadyMs() + lease->second.ttlMs;
            return {200, Json{{"ttlMs", lease->second.ttlMs}}.dump()};
        }
        if (path.rfind("/kv-lease-end/", 0) == 0) {
            const bool known = lease != m_leases.end();
            const auto ended = known ? lease->first : 0;
            if (known) {
                lease->second.endsAt = 0;
            }
            static_cast<void>(ended);
            endLeases([](const Lease &it) { return it.endsAt == 0; });
            return {known ? 200 : 404, "{}"};
        }
        return {404, "{}"};
    }

    Response range(const std::string &prefix, const std::string &after)
    {
        constexpr std::size_t maxItems = 500;
        constexpr std::size_t maxBytes = 1'000'000;
        Json items = Json::array();
        std::size_t bytes = 0;
        bool more = false;
        for (auto it = m_items.lower_bound(prefix); it != m_items.end() && it->first.rfind(prefix, 0) == 0; ++it) {
            if (!after.empty() && it->first <= after) {
                continue;
            }
            if (items.size() >= maxItems || bytes > maxBytes) {
                more = true;
                break;
            }
            items.push_back(rowOf(it->first, it->second));
            bytes += it->second.value.size();
        }
        return {200, Json{{"items", items}, {"hasMore", more}, {"storeRevision", m_revision}}.dump()};
    }

    Response watch(std::unique_lock<std::mutex> &lock, const std::string &node, const Request &request)
    {
        const auto prefix = queryOf(request, "prefix");
        const auto after = std::stoll(queryOf(request, "after"));
        const auto waitMs = std::stoll(queryOf(request, "waitMs"));
        Json events = Json::array();
        const auto collect = [&] {
            for (auto it = m_history.rbegin(); it != m_history.rend() && it->revision > after; ++it) {
                if (it->key.rfind(prefix, 0) == 0) {
                    events.insert(events.begin(), it->row);
                }
            }
            return !events.empty() || m_faults[node] != StoreFault::None;
        };
        m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
        if (m_faults[node] != StoreFault::None) {
            return {0, ""};
        }
        return {200, Json{{"events", events}, {"storeRevision", m_revision}}.dump()};
    }

    Response commit(const Json &body)
    {
        Json current = Json::array();
        bool holds = true;
        for (const auto &it : body.value("expect", Json::array())) {
            const auto item = m_items.find(it.at("key").get<std::string>());
            const auto revision = item == m_items.end() ? 0 : item->second.revision;
            holds = holds && revision == it.at("revision").get<std::int64_t>();
            if (item != m_items.end()) {
                current.push_back(rowOf(item->first, item->second));
            }
        }
        if (!holds) {
            return {412, Json{{"items", current}}.dump()};
        }
        // The largest value that the store takes, in bytes before the encoding as text.
        constexpr std::size_t valueBytes = 1'048'576;
        for (const auto &it : body.value("writes", Json::array())) {
            if (it.at("value").get_ref<const std::string &>().size() / 4 * 3 > valueBytes + 2) {
                ++m_tooLarge;
                return {400, Json{{"error", "a value is larger than valueBytes"}}.dump()};
            }
            const auto lease = it.value("lease", std::int64_t{0});
            if (lease != 0 && m_leases.count(lease) == 0) {
                return {404, "{}"};
            }
        }
        ++m_revision;
        for (const auto &it : body.value("writes", Json::array())) {
            put(it.at("key"), it.at("value"), it.value("lease", std::int64_t{0}));
        }
        for (const auto &it : body.value("remove", Json::array())) {
            erase(it.get<std::string>());
        }
        m_changed.notify_all();
        return {200, Json{{"revision", m_revision}}.dump()};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::int64_t, Lease> m_leases;
    std::vector<Change> m_history;
    std::int64_t m_revision = 100;
    std::int64_t m_lastLease = 1000;
    std::map<std::string, StoreFault> m_faults;
    std::atomic<std::int64_t> m_delayMs = 2;
    std::atomic<int> m_tooLarge = 0;
    double m_lostShare = 0;
    bool m_lostLate = false;
    std::mt19937_64 m_random{1};
    std::map<std::string, std::unique_ptr<Server>> m_servers;
};

} // namespace Review
