// Stand-in for the platform's metadata store, as PROTOCOL.md describes it.
#pragma once

#include "net.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <memory>

namespace Review {

using Json = nlohmann::json;

inline std::string base64Encoded(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

inline std::string base64Decoded(const std::string &text)
{
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    unsigned group = 0;
    int bits = 0;
    for (const char it : text) {
        const auto value = digits.find(it);
        if (value == std::string::npos) {
            break;
        }
        group = group << 6U | static_cast<unsigned>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}

class Store
{
public:
    /// The time of an answer, in milliseconds. A slow store takes a multiple of it.
    static constexpr std::int64_t answerMs = 4;

    explicit Store(const Address &address)
        : m_server(std::make_unique<Server>(address, [this](const Request &request) { return serve(request); }))
    {
    }

    [[nodiscard]] bool listens() const
    {
        return m_server->listens();
    }

    void setSlowness(std::int64_t factor)
    {
        m_slowness = factor;
    }

    /// Writes as the operator.
    void put(const std::string &key, const std::string &value)
    {
        std::lock_guard lock(m_mutex);
        write(key, value, 0);
        m_changed.notify_all();
    }

    /// The value of the key; empty if there is none.
    [[nodiscard]] std::string value(const std::string &key)
    {
        std::lock_guard lock(m_mutex);
        expireLeases();
        const auto it = m_items.find(key);
        return it == m_items.end() ? std::string() : it->second.value;
    }

    void stop()
    {
        m_server->stop();
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
        SteadyClock::time_point until;
    };
    struct Event {
        std::string key;
        std::int64_t revision = 0;
        std::optional<Item> item;
    };

    static Json itemJson(const std::string &key, const Item &item)
    {
        return {{"key", key},
                {"value", base64Encoded(item.value)},
                {"revision", item.revision},
                {"created", item.created},
                {"lease", item.lease}};
    }

    void write(const std::string &key, const std::string &value, std::int64_t lease)
    {
        auto &item = m_items[key];
        item.value = value;
        item.revision = ++m_revision;
        item.created = item.created == 0 ? m_revision : item.created;
        item.lease = lease;
        m_events.push_back({key, m_revision, item});
    }

    void remove(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            m_events.push_back({key, ++m_revision, std::nullopt});
        }
    }

    void endLease(std::int64_t id)
    {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == id) {
                keys.push_back(key);
            }
        }
        for (const auto &key : keys) {
            remove(key);
        }
    }

    void expireLeases()
    {
        std::vector<std::int64_t> ended;
        for (const auto &[id, lease] : m_leases) {
            if (SteadyClock::now() > lease.until) {
                ended.push_back(id);
            }
        }
        for (const auto id : ended) {
            endLease(id);
        }
        if (!ended.empty()) {
            m_changed.notify_all();
        }
    }

    std::optional<Response> serve(const Request &request)
    {
        std::unique_lock lock(m_mutex);
        expireLeases();
        auto response = request.path == "/kv-watch" ? watch(request, lock) : answer(request);
        lock.unlock();
        sleepMs(answerMs * m_slowness);
        return response;
    }

    Response answer(const Request &request)
    {
        const Json body = request.body.empty() ? Json::object() : Json::parse(request.body);
        if (request.path == "/kv-key") {
            const auto key = request.query.at("key");
            const auto it = m_items.find(key);
            if (it == m_items.end()) {
                return {404, "{}"};
            }
            auto item = itemJson(key, it->second);
            item["storeRevision"] = m_revision;
            return {200, item.dump()};
        }
        if (request.path == "/kv-range") {
            return range(request);
        }
        if (request.path == "/kv-txn") {
            return commit(body);
        }
        if (request.path == "/kv-lease") {
            const auto id = ++m_lastLease;
            const auto ttlMs = std::max<std::int64_t>(1000, body.at("ttlMs").get<std::int64_t>());
            m_leases[id] = {ttlMs, SteadyClock::now() + std::chrono::milliseconds(ttlMs)};
            return {200, Json{{"lease", id}, {"ttlMs", ttlMs}}.dump()};
        }
        const auto slash = request.path.rfind('/');
        const auto id = std::stoll("0" + request.path.substr(slash + 1));
        const auto it = m_leases.find(id);
        if (it == m_leases.end()) {
            return {404, "{}"};
        }
        if (request.path.starts_with("/kv-keep/")) {
            it->second.until = SteadyClock::now() + std::chrono::milliseconds(it->second.ttlMs);
            return {200, Json{{"ttlMs", it->second.ttlMs}}.dump()};
        }
        endLease(id);
        m_changed.notify_all();
        return {200, "{}"};
    }

    Response range(const Request &request)
    {
        constexpr std::size_t maxItems = 500;
        const auto prefix = request.query.at("prefix");
        const auto after = request.query.count("after") > 0 ? request.query.at("after") : std::string();
        Json items = Json::array();
        bool more = false;
        for (auto it = m_items.lower_bound(prefix); it != m_items.end() && it->first.starts_with(prefix); ++it) {
            if (!after.empty() && it->first <= after) {
                continue;
            }
            if (items.size() >= maxItems) {
                more = true;
                break;
            }
            items.push_back(itemJson(it->first, it->second));
        }
        return {200, Json{{"items", items}, {"hasMore", more}, {"storeRevision", m_revision}}.dump()};
    }

    Response commit(const Json &body)
    {
        Json current = Json::array();
        bool holds = true;
        for (const auto &row : body.value("expect", Json::array())) {
            const auto key = row.at("key").get<std::string>();
            const auto it = m_items.find(key);
            holds = holds && (it == m_items.end() ? 0 : it->second.revision) == row.at("revision").get<std::int64_t>();
            if (it != m_items.end()) {
                current.push_back(itemJson(key, it->second));
            }
        }
        if (!holds) {
            return {412, Json{{"items", current}}.dump()};
        }
        for (const auto &row : body.value("writes", Json::array())) {
            const auto lease = row.value("lease", std::int64_t{0});
            if (lease != 0 && m_leases.count(lease) == 0) {
                return {404, "{}"};
            }
        }
        for (const auto &row : body.value("writes", Json::array())) {
            write(row.at("key"), base64Decoded(row.at("value")), row.value("lease", std::int64_t{0}));
        }
        for (const auto &key : body.value("remove", Json::array())) {
            remove(key);
        }
        m_changed.notify_all();
        return {200, Json{{"revision", m_revision}}.dump()};
    }

    std::optional<Response> watch(const Request &request, std::unique_lock<std::mutex> &lock)
    {
        const auto prefix = request.query.at("prefix");
        const auto after = std::stoll(request.query.at("after"));
        const auto until = SteadyClock::now() + std::chrono::milliseconds(std::stoll(request.query.at("waitMs")));
        while (true) {
            Json events = Json::array();
            for (const auto &event : m_events) {
                if (event.revision <= after || !event.key.starts_with(prefix)) {
                    continue;
                }
                events.push_back(event.item
                                     ? itemJson(event.key, *event.item)
                                     : Json{{"key", event.key}, {"revision", event.revision}, {"tombstone", true}});
            }
            if (!events.empty() || SteadyClock::now() >= until) {
                return Response{200, Json{{"events", events}, {"storeRevision", m_revision}}.dump()};
            }
            m_changed.wait_until(lock, std::min(until, SteadyClock::now() + std::chrono::milliseconds(50)));
            expireLeases();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<Event> m_events;
    std::int64_t m_revision = 100;
    std::int64_t m_lastLease = 0;
    std::atomic<std::int64_t> m_slowness = 1;
    std::unique_ptr<Server> m_server;
};

} // namespace Review
