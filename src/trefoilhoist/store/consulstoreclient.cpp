#include "trefoilhoist/store/consulstoreclient.h"

#include "trefoilhoist/store/base64.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <charconv>

namespace Trefoilhoist {

namespace {

const std::string keyPath = "/v1/kv/";
const std::string sessionPath = "/v1/session/";
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusServerError = 500;
// A listing carries many values of up to a megabyte, each a third longer in base64.
constexpr std::size_t maxAnswerBytes = std::size_t{128} << 20U;

using Answer = StoreResult<HttpResponse>;

std::string keyTarget(const std::string &key)
{
    // Slashes part the path; everything else is encoded.
    std::string target = keyPath;
    std::size_t from = 0;
    while (from <= key.size()) {
        const auto slash = std::min(key.find('/', from), key.size());
        target += urlEncode(std::string_view(key).substr(from, slash - from));
        if (slash < key.size()) {
            target += '/';
        }
        from = slash + 1;
    }
    return target;
}

tl::unexpected<StoreError> unreadable(const char *what, StoreFailure failure)
{
    return tl::unexpected(StoreError{failure, std::string("the store's answer is not ") + what});
}

std::uint64_t indexOf(const HttpResponse &response)
{
    const auto text = response.headers.get("X-Consul-Index");
    std::uint64_t index = 0;
    std::from_chars(text.data(), text.data() + text.size(), index);
    return index;
}

StoreResult<StoreListing> listingOf(const Answer &answer)
{
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    StoreListing listing;
    listing.index = indexOf(*answer);
    if (answer->status == statusNotFound) {
        return listing;
    }
    try {
        for (const auto &item : nlohmann::json::parse(answer->body)) {
            StoreEntry entry;
            entry.key = item.at("Key");
            entry.modifyIndex = item.at("ModifyIndex");
            entry.lockIndex = item.value("LockIndex", std::uint64_t{0});
            entry.session = item.value("Session", std::string());
            // Consul gives null for an empty value.
            const auto &value = item.at("Value");
            const auto bytes = base64Decode(value.is_null() ? std::string() : value.get<std::string>());
            if (!bytes) {
                return unreadable("base64", StoreFailure::NotDone);
            }
            entry.value = *bytes;
            listing.entries.push_back(std::move(entry));
        }
    } catch (const nlohmann::json::exception &) {
        return unreadable("a listing", StoreFailure::NotDone);
    }
    return listing;
}

StoreResult<bool> truthOf(const Answer &answer)
{
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->body.rfind("true", 0) == 0) {
        return true;
    }
    if (answer->body.rfind("false", 0) == 0) {
        return false;
    }
    return unreadable("true or false", StoreFailure::Unknown);
}

} // namespace

struct ConsulStoreClient::State {
    HttpClient http;
    ConsulStoreOptions options;
    std::atomic<std::size_t> current = 0;

    State(const Asio::any_io_executor &executor, ConsulStoreOptions given) : http(executor), options(std::move(given))
    {
    }

    // Tries each address at most once while calls have no effect; reads never have one.
    static awaitable<Answer>
    call(std::shared_ptr<State> state, std::string method, std::string target, std::string body, Duration extra)
    {
        StoreError error{StoreFailure::NotDone, "no store address is set"};
        for (std::size_t n = 0; n < state->options.addresses.size(); ++n) {
            const std::size_t at = state->current.load() % state->options.addresses.size();
            auto answer = co_await callAddress(state, state->options.addresses[at], method, target, body, extra);
            if (answer) {
                co_return answer;
            }
            error = answer.error();
            state->current = at + 1;
            if (error.failure == StoreFailure::Unknown) {
                break;
            }
        }
        co_return tl::unexpected(error);
    }

    static awaitable<Answer> callAddress(std::shared_ptr<State> state,
                                         Endpoint address,
                                         std::string method,
                                         std::string target,
                                         std::string body,
                                         Duration extra)
    {
        HttpCallOptions options;
        options.timeout = state->options.timeout + extra;
        options.connectTimeout = state->options.connectTimeout;
        options.maxBodyBytes = maxAnswerBytes;
        const bool write = method != "GET";
        HttpRequest request{std::move(method), std::move(target), {}, std::move(body)};
        request.headers.set(callerHeader, state->options.caller);
        const auto result = co_await state->http.call(std::move(address), std::move(request), options);
        if (!result) {
            const bool unknown = write && result.error().verdict != Verdict::NotRun;
            co_return tl::unexpected(
                StoreError{unknown ? StoreFailure::Unknown : StoreFailure::NotDone, result.error().reason});
        }
        if (result->status == statusOk || result->status == statusNotFound) {
            co_return *result;
        }
        // A server error can come after the effect; a refusal (4xx) can't.
        const bool unknown = write && result->status >= statusServerError;
        co_return tl::unexpected(StoreError{unknown ? StoreFailure::Unknown : StoreFailure::NotDone,
                                            "the store answered " + std::to_string(result->status)});
    }
};

ConsulStoreClient::ConsulStoreClient(const Asio::any_io_executor &executor, ConsulStoreOptions options)
    : m_state(std::make_shared<State>(executor, std::move(options)))
{
}

ConsulStoreClient::~ConsulStoreClient() = default;

awaitable<StoreResult<std::optional<StoreEntry>>> ConsulStoreClient::get(std::string key)
{
    const auto listing = listingOf(co_await State::call(m_state, "GET", keyTarget(key), std::string(), Duration{}));
    if (!listing) {
        co_return tl::unexpected(listing.error());
    }
    if (listing->entries.empty()) {
        co_return std::optional<StoreEntry>();
    }
    co_return std::optional(listing->entries.front());
}

awaitable<StoreResult<StoreListing>> ConsulStoreClient::list(std::string prefix)
{
    co_return listingOf(
        co_await State::call(m_state, "GET", keyTarget(prefix) + "?recurse", std::string(), Duration{}));
}

awaitable<StoreResult<StoreListing>> ConsulStoreClient::watch(std::string prefix, std::uint64_t index, Duration wait)
{
    const auto target = keyTarget(prefix) + "?recurse&index=" + std::to_string(index)
        + "&wait=" + std::to_string(duration_cast<milliseconds>(wait).count()) + "ms";
    co_return listingOf(co_await State::call(m_state, "GET", target, std::string(), wait));
}

awaitable<StoreResult<bool>>
ConsulStoreClient::compareAndSet(std::string key, std::string value, std::uint64_t modifyIndex)
{
    const auto target = keyTarget(key) + "?cas=" + std::to_string(modifyIndex);
    co_return truthOf(co_await State::call(m_state, "PUT", target, std::move(value), Duration{}));
}

awaitable<StoreResult<bool>> ConsulStoreClient::compareAndDelete(std::string key, std::uint64_t modifyIndex)
{
    const auto target = keyTarget(key) + "?cas=" + std::to_string(modifyIndex);
    co_return truthOf(co_await State::call(m_state, "DELETE", target, std::string(), Duration{}));
}

awaitable<StoreResult<std::string>> ConsulStoreClient::createSession(Duration ttl)
{
    const auto ms = std::to_string(duration_cast<milliseconds>(ttl).count()) + "ms";
    // The holder's local bound ends before the session does, so the lock needs no delay.
    const nlohmann::json body{
        {"Name", m_state->options.caller}, {"TTL", ms}, {"LockDelay", "0s"}, {"Behavior", "release"}};
    const auto answer = co_await State::call(m_state, "PUT", sessionPath + "create", body.dump(), Duration{});
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    const auto json = nlohmann::json::parse(answer->body, nullptr, false);
    if (!json.is_object() || !json.contains("ID") || !json.at("ID").is_string()) {
        co_return unreadable("a session", StoreFailure::Unknown);
    }
    co_return json.at("ID").get<std::string>();
}

awaitable<StoreResult<bool>> ConsulStoreClient::renewSession(std::string session)
{
    const auto answer
        = co_await State::call(m_state, "PUT", sessionPath + "renew/" + urlEncode(session), std::string(), Duration{});
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    co_return answer->status == statusOk;
}

awaitable<StoreResult<bool>> ConsulStoreClient::destroySession(std::string session)
{
    co_return truthOf(
        co_await State::call(m_state, "PUT", sessionPath + "destroy/" + urlEncode(session), std::string(), Duration{}));
}

awaitable<StoreResult<bool>> ConsulStoreClient::acquire(std::string key, std::string value, std::string session)
{
    const auto target = keyTarget(key) + "?acquire=" + urlEncode(session);
    co_return truthOf(co_await State::call(m_state, "PUT", target, std::move(value), Duration{}));
}

awaitable<StoreResult<bool>> ConsulStoreClient::release(std::string key, std::string session)
{
    const auto target = keyTarget(key) + "?release=" + urlEncode(session);
    co_return truthOf(co_await State::call(m_state, "PUT", target, std::string(), Duration{}));
}

} // namespace Trefoilhoist
