#include "storeservice.h"

#include "trefoilhoist/store/base64.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Trefoilhoist::Standin {

namespace {

const std::string keyPath = "/v1/kv/";
const std::string sessionPath = "/v1/session/";
constexpr std::size_t maxValueBytes = std::size_t{1} << 20U;
constexpr milliseconds defaultWait = seconds(300);
constexpr milliseconds defaultLockDelay = seconds(15);

std::optional<std::uint64_t> numberOf(const std::string &text)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && end == text.data() + text.size() && !text.empty() ? std::optional(n) : std::nullopt;
}

// Reads "10s", "1500ms" or "5m".
std::optional<milliseconds> durationOf(const std::string &text)
{
    std::size_t digits = 0;
    while (digits < text.size() && text[digits] >= '0' && text[digits] <= '9') {
        ++digits;
    }
    const auto n = numberOf(text.substr(0, digits));
    const std::string unit = text.substr(digits);
    if (!n) {
        return std::nullopt;
    }
    if (unit == "ms") {
        return milliseconds(*n);
    }
    if (unit == "s") {
        return seconds(*n);
    }
    return unit == "m" ? std::optional<milliseconds>(std::chrono::minutes(*n)) : std::nullopt;
}

std::string kindOf(const HttpRequest &request)
{
    if (request.path().rfind(sessionPath, 0) == 0) {
        const auto rest = request.path().substr(sessionPath.size());
        return "session-" + rest.substr(0, rest.find('/'));
    }
    if (request.method == "GET") {
        if (request.hasQuery("index")) {
            return "watch";
        }
        return request.hasQuery("recurse") ? "list" : "get";
    }
    for (const char *condition : {"acquire", "release"}) {
        if (request.hasQuery(condition)) {
            return condition;
        }
    }
    return request.method == "DELETE" ? "delete" : "put";
}

HttpResponse truth(bool value)
{
    return jsonResponse(200, value ? "true" : "false");
}

} // namespace

StoreService::StoreService(Asio::any_io_executor strand, const Clock &clock, std::uint64_t seed, std::string dataFile)
    : m_strand(std::move(strand)), m_clock(clock), m_random(seed), m_dataFile(std::move(dataFile))
{
    std::ifstream in(m_dataFile);
    if (!m_dataFile.empty() && in) {
        std::ostringstream buf;
        buf << in.rdbuf();
        m_state.load(buf.str(), m_clock.now());
    }
}

awaitable<HttpResponse> StoreService::handle(HttpRequest request)
{
    const auto path = request.path();
    if (path.rfind("/-/", 0) == 0) {
        co_return handleControl(request);
    }
    const bool known = path.rfind(keyPath, 0) == 0 || path.rfind(sessionPath, 0) == 0;
    if (!known) {
        co_return textResponse(404, "no such path\n");
    }
    const bool write = request.method != "GET";
    if (!admit(request, kindOf(request), write)) {
        co_return textResponse(429, "rate limit exceeded\n");
    }
    if (m_faults.slowMs > 0) {
        co_await sleepFor(milliseconds(m_faults.slowMs));
    }
    if (m_faults.outage) {
        co_return textResponse(500, "no cluster leader\n");
    }
    HttpResponse response;
    if (path.rfind(keyPath, 0) == 0) {
        response = co_await handleKey(request);
    } else {
        response = handleSession(request);
    }
    if (write && chance(m_faults.lostAnswers)) {
        co_await sleepFor(milliseconds(m_faults.lostAnswerStallMs));
        co_return textResponse(500, "rpc error: connection lost\n");
    }
    co_return response;
}

void StoreService::tick()
{
    if (m_state.expire(m_clock.now())) {
        changed();
    }
}

awaitable<HttpResponse> StoreService::handleKey(const HttpRequest &request)
{
    const auto key = urlDecode(request.path().substr(keyPath.size()));
    if (request.method == "GET") {
        co_return co_await read(request, key);
    }
    if (request.method == "PUT" || request.method == "DELETE") {
        co_return writeKey(request, key);
    }
    co_return textResponse(405, "use GET, PUT or DELETE\n");
}

awaitable<HttpResponse> StoreService::read(const HttpRequest &request, std::string key)
{
    const auto index = numberOf(request.query("index"));
    if (index && *index > 0 && !chance(m_faults.repeatedWatches)) {
        co_await waitForChange(key, *index, durationOf(request.query("wait")).value_or(defaultWait));
    }
    if (m_faults.outage) {
        co_return textResponse(500, "no cluster leader\n");
    }
    if (request.hasQuery("recurse")) {
        if (chance(m_faults.staleReads)) {
            co_return listing(m_state.staleList(key), 1);
        }
        co_return listing(m_state.list(key), m_state.indexOf(key));
    }
    const auto entry = m_state.get(key);
    co_return listing(entry ? std::vector{*entry} : std::vector<StoredEntry>{}, m_state.indexOf(key));
}

HttpResponse StoreService::writeKey(const HttpRequest &request, const std::string &key)
{
    PutCondition condition;
    condition.acquire = request.query("acquire");
    condition.release = request.query("release");
    if (request.hasQuery("cas")) {
        condition.cas = numberOf(request.query("cas"));
        if (!condition.cas) {
            return textResponse(400, "cas is not a number\n");
        }
    }
    if (key.empty() || request.body.size() > maxValueBytes) {
        return textResponse(request.body.size() > maxValueBytes ? 413 : 400, "no key, or a value above 1 MB\n");
    }
    const bool done = request.method == "DELETE" ? m_state.erase(key, condition.cas)
                                                 : m_state.put(key, request.body, condition, m_clock.now());
    if (done) {
        changed();
    }
    return truth(done);
}

HttpResponse StoreService::handleSession(const HttpRequest &request)
{
    const auto rest = request.path().substr(sessionPath.size());
    if (request.method != "PUT") {
        return textResponse(405, "use PUT\n");
    }
    const auto now = m_clock.now();
    if (rest == "create") {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        const auto ttl = body.is_object() ? durationOf(body.value("TTL", std::string())) : std::nullopt;
        if (!ttl) {
            return textResponse(400, "TTL is missing or unreadable\n");
        }
        const auto delay = durationOf(body.value("LockDelay", std::string())).value_or(defaultLockDelay);
        const auto id = m_state.createSession(*ttl, delay, now);
        changed();
        return jsonResponse(200, nlohmann::json{{"ID", id}}.dump());
    }
    const auto id = rest.substr(rest.find('/') + 1);
    if (rest.rfind("renew/", 0) == 0) {
        const bool renewed = m_state.renewSession(id, now);
        return renewed ? jsonResponse(200, nlohmann::json::array({{{"ID", id}}}).dump())
                       : textResponse(404, "session not found\n");
    }
    if (rest.rfind("destroy/", 0) == 0) {
        m_state.destroySession(id, now);
        changed();
        return truth(true);
    }
    return textResponse(404, "no such path\n");
}

HttpResponse StoreService::handleControl(const HttpRequest &request)
{
    const auto path = request.path();
    if (path == "/-/health") {
        return textResponse(200, "ok\n");
    }
    if (path == "/-/counts") {
        return counts();
    }
    if (path == "/-/faults" && request.method == "PUT") {
        return setFaults(request.body);
    }
    return textResponse(404, "no such path\n");
}

HttpResponse StoreService::setFaults(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return textResponse(400, "not a JSON object\n");
    }
    try {
        StoreFaults faults;
        faults.outage = json.value("outage", false);
        faults.slowMs = json.value("slowMs", 0);
        faults.lostAnswers = json.value("lostAnswers", 0.0);
        faults.lostAnswerStallMs = json.value("lostAnswerStallMs", 0);
        faults.staleReads = json.value("staleReads", 0.0);
        faults.repeatedWatches = json.value("repeatedWatches", 0.0);
        faults.maxWritesPerSecond = json.value("maxWritesPerSecond", 0);
        faults.maxReadsPerSecond = json.value("maxReadsPerSecond", 0);
        m_faults = faults;
        if (json.contains("seed")) {
            m_random.seed(json.at("seed").get<std::uint64_t>());
        }
        if (json.value("lapseSessions", false)) {
            m_state.lapseAll(m_clock.now());
        }
    } catch (const nlohmann::json::exception &e) {
        return textResponse(400, std::string(e.what()) + "\n");
    }
    changed();
    return textResponse(200, "ok\n");
}

HttpResponse StoreService::counts() const
{
    nlohmann::json byKind = nlohmann::json::object();
    std::uint64_t total = 0;
    for (const auto &[caller, kinds] : m_callsByCaller) {
        for (const auto &[kind, n] : kinds) {
            byKind[kind] = byKind.value(kind, std::uint64_t{0}) + n;
            total += n;
        }
    }
    const nlohmann::json json{
        {"total", total}, {"byKind", byKind}, {"byCaller", m_callsByCaller}, {"waitingWatches", m_waiting.size()}};
    return jsonResponse(200, json.dump());
}

awaitable<void> StoreService::waitForChange(const std::string &prefix, std::uint64_t index, Duration wait)
{
    const auto end = std::chrono::steady_clock::now() + wait;
    while (m_state.indexOf(prefix) <= index && !m_faults.outage && std::chrono::steady_clock::now() < end) {
        auto timer = std::make_shared<Asio::steady_timer>(m_strand, end);
        m_waiting.insert(timer);
        boost::system::error_code ec;
        co_await timer->async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        m_waiting.erase(timer);
    }
}

HttpResponse StoreService::listing(const std::vector<StoredEntry> &entries, std::uint64_t index) const
{
    auto json = nlohmann::json::array();
    for (const auto &entry : entries) {
        nlohmann::json item{{"Key", entry.key},
                            {"Value", base64Encode(entry.value)},
                            {"Flags", 0},
                            {"LockIndex", entry.lockIndex},
                            {"CreateIndex", entry.createIndex},
                            {"ModifyIndex", entry.modifyIndex}};
        if (!entry.session.empty()) {
            item["Session"] = entry.session;
        }
        json.push_back(item);
    }
    auto response = entries.empty() ? textResponse(404, "") : jsonResponse(200, json.dump());
    response.headers.set("X-Consul-Index", std::to_string(index));
    return response;
}

bool StoreService::admit(const HttpRequest &request, const std::string &kind, bool write)
{
    const auto caller = request.headers.get(callerHeader);
    ++m_callsByCaller[caller.empty() ? "unknown" : caller][kind];
    const auto now = m_clock.now();
    if (now - m_secondStart >= seconds(1)) {
        m_secondStart = now;
        m_writesThisSecond = 0;
        m_readsThisSecond = 0;
    }
    const int n = write ? ++m_writesThisSecond : ++m_readsThisSecond;
    const int limit = write ? m_faults.maxWritesPerSecond : m_faults.maxReadsPerSecond;
    return limit == 0 || n <= limit;
}

bool StoreService::chance(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

void StoreService::changed()
{
    if (!m_dataFile.empty()) {
        // A kill in the middle leaves the old file whole.
        const std::string fresh = m_dataFile + ".new";
        std::ofstream(fresh) << m_state.dump();
        std::error_code ec;
        std::filesystem::rename(fresh, m_dataFile, ec);
    }
    for (const auto &timer : m_waiting) {
        timer->cancel();
    }
}

} // namespace Trefoilhoist::Standin
