#pragma once

#include "harness/process.h"
#include "idl/gen/messages_types.h"
#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/world/world.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Trefoilhoist::Testing {

using CallResult = tl::expected<HttpResponse, CallError>;

/// What a site consists of. Every process gets a loopback address of its own.
struct SitePlan {
    int entries = 2;
    int minions = 2;
    bool store = false;
    std::string service = "lending";
    int slots = 8;
    double medianServiceMs = 2;
    /// Merged into the store's, each entry's and each minion's settings.
    nlohmann::json storeSettings = nlohmann::json::object();
    nlohmann::json entrySettings = nlohmann::json::object();
    nlohmann::json minionSettings = nlohmann::json::object();
};

/// A small site of real processes: a store, entries, minions, and a fault proxy on the links between them.
///
/// Links that take faults: "minion-<k>" (all entries to minion k), "peer-<i>-<j>" (entry i to entry j),
/// "store-<i>" (entry i to the store). Indices count from 0.
class Site
{
public:
    explicit Site(SitePlan plan);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    [[nodiscard]] Process &entry(int index);
    [[nodiscard]] Process &minion(int index);
    [[nodiscard]] Endpoint entryAddress(int index) const;
    [[nodiscard]] Endpoint minionAddress(int index) const;
    /// Where tests reach the store without faults.
    [[nodiscard]] Endpoint storeAddress() const;

    /// Starts a process again on its old address, after it has ended or been killed.
    void restartEntry(int index);
    void restartMinion(int index);
    void restartStore();
    [[nodiscard]] Process &store();

    /// Replaces the faults of a link; an empty object heals it.
    void setFaults(const std::string &link, const nlohmann::json &faults);
    /// Cuts or heals both directions between two entries.
    void cutEntries(int left, int right, bool cut);

    /// Waits until an entry has `count` minions that are neither leaving nor gone.
    [[nodiscard]] bool waitForMinions(int entry, int count);
    [[nodiscard]] nlohmann::json minionsOf(int entry);

    /// Sends a request and waits for its end.
    CallResult call(const Endpoint &to, HttpRequest request, Duration timeout = seconds(10));
    /// Sends a request without waiting.
    std::future<CallResult> callLater(const Endpoint &to, HttpRequest request, Duration timeout = seconds(10));
    /// Sends a message to an entry, as a peer does but not through the fault proxy, and waits for the answer.
    tl::expected<Wire::Envelope, CallError> callAsPeer(int entry, Wire::MessageKind kind, const std::string &payload);
    /// A caller's request to the site's service with a Request-Id that minions count by.
    [[nodiscard]] HttpRequest
    serviceRequest(const std::string &method, const std::string &requestId, const std::string &body = {}) const;

    /// How often the request ran, over all minions that can be asked.
    [[nodiscard]] int executionsOf(const std::string &requestId);
    /// Requests that minion `index` has run since its start.
    [[nodiscard]] int executionsOn(int index);
    void setMinionFaults(int index, const nlohmann::json &faults);

    /// The value of a metric's first line that starts with `name`, or -1.
    [[nodiscard]] double metric(int entry, const std::string &name);

    /// The executor of the site's own calls, for load runs.
    [[nodiscard]] Asio::any_io_executor executor();

private:
    struct Node {
        Endpoint http;
        Endpoint peer;
        std::unique_ptr<Process> process;
    };

    void startProcesses();
    void stopThreads();
    void reserveAddresses();
    void startProxy();
    void startStore();
    void startEntry(int index);
    void startMinion(int index);
    [[nodiscard]] nlohmann::json executions(int index);

    SitePlan m_plan;
    Asio::io_context m_context;
    std::unique_ptr<HttpClient> m_client;
    std::shared_ptr<void> m_keepRunning;
    std::vector<std::thread> m_threads;
    Node m_store;
    std::vector<Node> m_entries;
    std::vector<Node> m_minions;
    std::unique_ptr<Process> m_proxy;
    std::map<std::string, std::string> m_links;
};

} // namespace Trefoilhoist::Testing
