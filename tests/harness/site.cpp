#include "harness/site.h"

#include "trefoilhoist/net/program.h"
#include "trefoilhoist/wire/peerclient.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

#include <stdexcept>
#include <thread>

namespace Trefoilhoist::Testing {

namespace {

using Json = nlohmann::json;
using Tcp = Asio::ip::tcp;

constexpr int clientThreads = 2;
constexpr int firstEntryHost = 10;
constexpr int firstMinionHost = 40;
constexpr int proxyHost = 2;
constexpr int storeHost = 3;

// A loopback host of this test process: tests that run side by side don't share ports.
std::string hostOf(int number)
{
    const int pid = getpid();
    return "127." + std::to_string(1 + (pid / 250) % 250) + "." + std::to_string(1 + pid % 250) + "."
        + std::to_string(number);
}

// Chooses ports that are free now and stay the same over restarts of their process. Each is bound until all are chosen,
// so that no port of a host is chosen twice.
class FreePorts
{
public:
    Endpoint choose(int host)
    {
        m_bound.emplace_back(m_context, Tcp::endpoint(Asio::ip::make_address(hostOf(host)), 0));
        return {hostOf(host), m_bound.back().local_endpoint().port()};
    }

private:
    Asio::io_context m_context;
    std::vector<Tcp::acceptor> m_bound;
};

} // namespace

Site::Site(SitePlan plan) : m_plan(std::move(plan))
{
    using Guard = Asio::executor_work_guard<Asio::io_context::executor_type>;
    m_keepRunning = std::make_shared<Guard>(m_context.get_executor());
    m_client = std::make_unique<HttpClient>(m_context.get_executor());
    for (int i = 0; i < clientThreads; ++i) {
        m_threads.emplace_back([this] { m_context.run(); });
    }
    try {
        startProcesses();
    } catch (...) {
        stopThreads();
        throw;
    }
}

Site::~Site()
{
    stopThreads();
}

void Site::stopThreads()
{
    m_context.stop();
    for (auto &thread : m_threads) {
        thread.join();
    }
}

void Site::startProcesses()
{
    reserveAddresses();
    if (m_plan.store) {
        startStore();
    }
    startProxy();
    for (int i = 0; i < m_plan.entries; ++i) {
        startEntry(i);
    }
    for (int i = 0; i < m_plan.minions; ++i) {
        startMinion(i);
    }
    for (int i = 0; i < m_plan.entries; ++i) {
        if (!waitForMinions(i, m_plan.minions)) {
            throw std::runtime_error("entry " + std::to_string(i) + " does not know all minions");
        }
    }
}

void Site::reserveAddresses()
{
    FreePorts ports;
    m_store.http = ports.choose(storeHost);
    for (int i = 0; i < m_plan.entries; ++i) {
        Node node;
        node.http = ports.choose(firstEntryHost + i);
        node.peer = ports.choose(firstEntryHost + i);
        m_entries.push_back(std::move(node));
    }
    for (int i = 0; i < m_plan.minions; ++i) {
        Node node;
        node.http = ports.choose(firstMinionHost + i);
        m_minions.push_back(std::move(node));
    }
}

void Site::startProxy()
{
    const auto any = hostOf(proxyHost) + ":0";
    auto links = Json::object();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        for (std::size_t j = 0; j < m_entries.size(); ++j) {
            if (i != j) {
                links["peer-" + std::to_string(i) + "-" + std::to_string(j)]
                    = {{"listen", any}, {"target", m_entries[j].peer.str()}};
            }
        }
        links["store-" + std::to_string(i)] = {{"listen", any}, {"target", m_store.http.str()}};
    }
    for (std::size_t k = 0; k < m_minions.size(); ++k) {
        links["minion-" + std::to_string(k)] = {{"listen", any}, {"target", m_minions[k].http.str()}};
    }
    m_proxy = Process::start("standin-faultproxy", Json{{"control", any}, {"links", links}}.dump());
    m_links = m_proxy->waitReady();
}

void Site::startStore()
{
    Json settings{{"listen", m_store.http.str()}};
    settings.merge_patch(m_plan.storeSettings);
    m_store.process = Process::start("standin-store", settings.dump());
    m_store.process->waitReady();
}

void Site::startEntry(int index)
{
    auto &node = m_entries.at(static_cast<std::size_t>(index));
    auto peers = Json::array();
    for (int j = 0; j < m_plan.entries; ++j) {
        if (j != index) {
            peers.push_back(m_links.at("peer-" + std::to_string(index) + "-" + std::to_string(j)));
        }
    }
    Json settings{{"id", "e" + std::to_string(index)},
                  {"zone", "z" + std::to_string(index % 2)},
                  {"listen", node.http.str()},
                  {"peerListen", node.peer.str()},
                  {"peers", peers},
                  {"stop", {{"graceMs", 500}}}};
    if (m_plan.store) {
        settings["store"] = m_links.at("store-" + std::to_string(index));
    }
    settings.merge_patch(m_plan.entrySettings);
    node.process = Process::start("trefoilhoist-entry", settings.dump());
    node.process->waitReady();
}

void Site::startMinion(int index)
{
    auto &node = m_minions.at(static_cast<std::size_t>(index));
    auto entries = Json::array();
    for (const auto &entry : m_entries) {
        entries.push_back(entry.http.str());
    }
    Json settings{{"id", "m" + std::to_string(index)},
                  {"zone", "z" + std::to_string(index % 2)},
                  {"listen", node.http.str()},
                  {"advertise", m_links.at("minion-" + std::to_string(index))},
                  {"service", m_plan.service},
                  {"slots", m_plan.slots},
                  {"medianServiceMs", m_plan.medianServiceMs},
                  {"heartbeatMs", 200},
                  {"seed", index},
                  {"entries", entries}};
    settings.merge_patch(m_plan.minionSettings);
    node.process = Process::start("standin-minion", settings.dump());
    node.process->waitReady();
}

Process &Site::entry(int index)
{
    return *m_entries.at(static_cast<std::size_t>(index)).process;
}

Process &Site::minion(int index)
{
    return *m_minions.at(static_cast<std::size_t>(index)).process;
}

Process &Site::store()
{
    return *m_store.process;
}

Endpoint Site::entryAddress(int index) const
{
    return m_entries.at(static_cast<std::size_t>(index)).http;
}

Endpoint Site::minionAddress(int index) const
{
    return m_minions.at(static_cast<std::size_t>(index)).http;
}

Endpoint Site::storeAddress() const
{
    return m_store.http;
}

void Site::restartEntry(int index)
{
    m_entries.at(static_cast<std::size_t>(index)).process.reset();
    startEntry(index);
}

void Site::restartMinion(int index)
{
    m_minions.at(static_cast<std::size_t>(index)).process.reset();
    startMinion(index);
}

void Site::restartStore()
{
    m_store.process.reset();
    startStore();
}

void Site::setFaults(const std::string &link, const Json &faults)
{
    const auto result
        = call(endpointFromText(m_links.at("control")), HttpRequest{"PUT", "/links/" + link, {}, faults.dump()});
    if (!result || result->status != 200) {
        throw std::runtime_error("cannot set the faults of " + link);
    }
}

void Site::cutEntries(int left, int right, bool cut)
{
    const Json faults = cut ? Json{{"cut", true}} : Json::object();
    setFaults("peer-" + std::to_string(left) + "-" + std::to_string(right), faults);
    setFaults("peer-" + std::to_string(right) + "-" + std::to_string(left), faults);
}

Json Site::minionsOf(int entry)
{
    const auto result = call(entryAddress(entry), HttpRequest{"GET", "/-/minions", {}, {}});
    return result ? Json::parse(result->body, nullptr, false) : Json::array();
}

bool Site::waitForMinions(int entry, int count)
{
    return eventually([&] {
        int present = 0;
        for (const auto &minion : minionsOf(entry)) {
            present += minion.at("gone") || minion.at("leaving") ? 0 : 1;
        }
        return present == count;
    });
}

std::future<CallResult> Site::callLater(const Endpoint &to, HttpRequest request, Duration timeout)
{
    auto promise = std::make_shared<std::promise<CallResult>>();
    spawn(m_context.get_executor(),
          "test call",
          [this, promise, to, request = std::move(request), timeout]() -> awaitable<void> {
              HttpCallOptions options;
              options.timeout = timeout;
              options.freshConnection = true;
              promise->set_value(co_await m_client->call(to, request, options));
          });
    return promise->get_future();
}

CallResult Site::call(const Endpoint &to, HttpRequest request, Duration timeout)
{
    return callLater(to, std::move(request), timeout).get();
}

tl::expected<Wire::Envelope, CallError> Site::callAsPeer(int entry, Wire::MessageKind kind, const std::string &payload)
{
    using Result = tl::expected<Wire::Envelope, CallError>;
    const auto &to = m_entries.at(static_cast<std::size_t>(entry)).peer;
    auto client = std::make_shared<PeerClient>(m_context.get_executor(), "test", 1, to);
    auto promise = std::make_shared<std::promise<Result>>();
    spawn(m_context.get_executor(), "test peer call", [client, promise, kind, payload]() -> awaitable<void> {
        promise->set_value(co_await client->call(kind, payload, seconds(2)));
    });
    return promise->get_future().get();
}

HttpRequest Site::serviceRequest(const std::string &method, const std::string &requestId, const std::string &body) const
{
    HttpRequest request{method, "/services/" + m_plan.service + "/" + requestId, {}, body};
    request.headers.set("Request-Id", requestId);
    request.headers.set(callerHeader, "kitchen");
    return request;
}

Json Site::executions(int index)
{
    const auto result = call(minionAddress(index), HttpRequest{"GET", "/-/executions", {}, {}}, seconds(2));
    return result ? Json::parse(result->body, nullptr, false) : Json::object();
}

int Site::executionsOf(const std::string &requestId)
{
    int count = 0;
    for (int i = 0; i < m_plan.minions; ++i) {
        const auto found = executions(i);
        if (found.contains("executions")) {
            count += found.at("executions").value(requestId, 0);
        }
    }
    return count;
}

int Site::executionsOn(int index)
{
    int count = 0;
    const auto found = executions(index);
    if (found.contains("executions")) {
        for (const auto &[id, times] : found.at("executions").items()) {
            count += times.get<int>();
        }
    }
    return count;
}

void Site::setMinionFaults(int index, const Json &faults)
{
    const auto result = call(minionAddress(index), HttpRequest{"POST", "/-/faults", {}, faults.dump()});
    if (!result || result->status != 200) {
        throw std::runtime_error("cannot set faults of minion " + std::to_string(index));
    }
}

double Site::metric(int entry, const std::string &name)
{
    const auto result = call(entryAddress(entry), HttpRequest{"GET", "/-/metrics", {}, {}});
    if (!result) {
        return -1;
    }
    const auto at = result->body.find("\n" + name);
    if (at == std::string::npos) {
        return -1;
    }
    const auto end = result->body.find('\n', at + 1);
    const auto line = result->body.substr(at + 1, end - at - 1);
    return std::stod(line.substr(line.rfind(' ') + 1));
}

Asio::any_io_executor Site::executor()
{
    return m_context.get_executor();
}

} // namespace Trefoilhoist::Testing
