// A small deployment on loopback: the store, dispatchers and agents as processes of their own, and minions.
#pragma once

#include "links.h"
#include "minion.h"
#include "process.h"

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <stdexcept>

namespace Review {

/// Run-time multiplier away from the rack, as told to the dispatchers. The stand-ins do not apply it.
constexpr double remoteMultiplier = 2;

struct SidePlan {
    std::int64_t cpu = 4000;
    std::string rack = "r1-1";
};

struct SitePlan {
    int fronts = 2;
    std::vector<SidePlan> sides;
    /// Where the programs of the product lie.
    std::string bin = "target/bin";
    /// The program that is started as each minion, with its plan as settings. Empty: minions are threads.
    std::string minionProgram;
    /// The fault proxy through which all links of the site lead. Empty: there is none.
    std::string proxyProgram;
    /// A library that is preloaded into the processes of a host and shifts their time of day. Empty: there is none.
    std::string clockLibrary;
    std::int64_t workerLeaseMs = 6000;
};

struct Side {
    std::string name;
    MinionPlan plan;
    std::unique_ptr<Process> agent;
    std::unique_ptr<Minion> minion;
    /// The minion, where it is a process of its own.
    std::unique_ptr<Process> minionProcess;
};

struct Front {
    std::string name;
    Address callers;
    Address readiness;
    std::unique_ptr<Process> dispatcher;
};

/// A queue of the configuration.
inline const std::string queueHost = "counter.example";
inline const std::string queuePrefix = "/lending/";
inline const std::string serviceName = "svc-lending";

class Site
{
public:
    Site(const SitePlan &plan, Record &record) : m_plan(plan), m_record(record), m_log(record)
    {
        char folder[] = "/tmp/trefoilhoist-review-XXXXXX";
        m_folder = mkdtemp(folder);
        m_network = 1 + getpid() % 250;
        m_storeAddress = nextAddress();
        m_store = std::make_unique<Store>(m_storeAddress);
        m_store->put("op/config", configuration().dump());
        for (int i = 0; i < plan.fronts; ++i) {
            addFront(i);
        }
        for (std::size_t i = 0; i < plan.sides.size(); ++i) {
            addSide(i, plan.sides[i]);
        }
        if (!plan.proxyProgram.empty() && !m_links.start(plan.proxyProgram, nextAddress(), m_folder)) {
            throw std::runtime_error("the fault proxy does not answer");
        }
        startPrograms();
    }

    ~Site()
    {
        for (auto &it : m_sides) {
            it.minion.reset();
            it.minionProcess.reset();
            it.agent.reset();
        }
        m_fronts.clear();
        m_links.stop();
        m_store->stop();
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(m_folder);
        } else {
            std::printf("logs of the programs: %s\n", m_folder.c_str());
        }
    }

    /// True once a dispatcher answers and a short job has ended.
    bool waitUntilServing(std::int64_t timeoutMs)
    {
        const auto until = m_record.now() + timeoutMs;
        bool submitted = false;
        while (m_record.now() < until) {
            if (!submitted) {
                const auto answer = send("POST", "00000000000000ff", shortJob(), 1000);
                submitted = answer && answer->status == 200;
            } else if (stateOf("00000000000000ff") == "completed") {
                return true;
            }
            sleepMs(200);
        }
        return false;
    }

    /// Sends a caller's request about a job to a dispatcher, and records it and its answer. `leaveAfterMs`: the caller
    /// closes the connection after this time.
    std::optional<Response> send(const std::string &method,
                                 const std::string &job,
                                 const std::string &body,
                                 std::int64_t leaveAfterMs,
                                 int front = 0)
    {
        const std::string headers = "Host: " + queueHost + "\r\nX-Deadline-Milliseconds: 3000\r\n";
        m_record.add("client", method + " " + job + " sent to front " + std::to_string(front));
        auto answer = call(m_fronts.at(static_cast<std::size_t>(front)).callers,
                           method,
                           queuePrefix + job,
                           body,
                           leaveAfterMs,
                           headers);
        m_record.add("client",
                     method + " " + job
                         + (answer ? " answered " + std::to_string(answer->status) + " " + answer->body
                                   : " without an answer; the client leaves"));
        return answer;
    }

    std::string stateOf(const std::string &job)
    {
        const auto answer = send("GET", job, "", 1000);
        if (!answer || answer->status != 200) {
            return "";
        }
        return Json::parse(answer->body).value("state", "");
    }

    /// The number that a question for the queue gives; -1 without an answer.
    std::int64_t waiting()
    {
        const auto answer = send("GET", "", "", 1000);
        return answer && answer->status == 200 ? Json::parse(answer->body).value("waiting", std::int64_t{-1}) : -1;
    }

    /// A new life of the minion at its old address, under `id`.
    void startMinion(Side &side, const std::string &id)
    {
        side.plan.id = id;
        if (m_plan.minionProgram.empty()) {
            side.minion = std::make_unique<Minion>(side.plan, m_log, m_record);
            return;
        }
        const auto name = m_folder + "/minion-" + std::to_string(++m_minions);
        auto settings = json(side.plan);
        settings["record"] = name + ".txt";
        settings["startedAtNs"] = m_record.startedAt().time_since_epoch().count();
        std::ofstream(name + ".json") << settings;
        side.minionProcess = std::make_unique<Process>(
            m_plan.minionProgram, name + ".json", name + ".log", clockEnvironment(side.name));
        m_minionRecords.push_back(name + ".txt");
    }

    /// Shifts the time of day of all processes of a side or front, those that run and later ones.
    void shiftClock(const std::string &host, std::int64_t ms)
    {
        const int fd = open(clockFile(host).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
        if (fd < 0 || pwrite(fd, &ms, sizeof(ms), 0) != sizeof(ms)) {
            m_record.add("site", "the clock of " + host + " can't be shifted");
        }
        close(fd);
    }

    /// The number of the front that owns the scheduling, as the store shows it to anybody; -1 if none does.
    int owner()
    {
        const auto record = m_store->value("lead/owner");
        for (std::size_t i = 0; i < m_fronts.size(); ++i) {
            if (record.find(m_fronts[i].name) != std::string::npos) {
                return static_cast<int>(i);
            }
        }
        return -1;
    }

    [[nodiscard]] const std::string &folder() const
    {
        return m_folder;
    }
    /// The records of all minions that were processes of their own.
    [[nodiscard]] const std::vector<std::string> &minionRecords() const
    {
        return m_minionRecords;
    }

    Links &links()
    {
        return m_links;
    }
    Store &store()
    {
        return *m_store;
    }
    std::vector<Side> &sides()
    {
        return m_sides;
    }
    std::vector<Front> &fronts()
    {
        return m_fronts;
    }
    RunLog &runs()
    {
        return m_log;
    }

    static std::string shortJob()
    {
        return Json{{"specification", "ms=100"},
                    {"steps", {{{"count", 1}, {"cpu", 100}, {"memoryRequestMb", 64}, {"estimatedMs", 100}}}}}
            .dump();
    }

private:
    std::string nextIp()
    {
        ++m_hosts;
        return "127." + std::to_string(m_network) + "." + std::to_string(1 + m_hosts / 250) + "."
            + std::to_string(1 + m_hosts % 250);
    }

    Address nextAddress()
    {
        const auto ip = nextIp();
        return {ip, nextPort(ip)};
    }

    /// A port that is free on `ip`, and was not given out before.
    int nextPort(const std::string &ip)
    {
        int port = freePort(ip);
        while (!m_ports.insert(port).second) {
            port = freePort(ip);
        }
        return port;
    }

    /// Where the link to `target` is reached; `target` itself where there is no proxy.
    Address linkTo(const Address &target, const std::string &name)
    {
        if (m_plan.proxyProgram.empty()) {
            return target;
        }
        Address listen{target.ip, nextPort(target.ip)};
        m_links.add(name, listen, target);
        return listen;
    }

    /// The link from a program to the store, on the address of the program.
    Address linkToStore(const std::string &ip, const std::string &program)
    {
        if (m_plan.proxyProgram.empty()) {
            return m_storeAddress;
        }
        Address listen{ip, nextPort(ip)};
        m_links.add("store-" + program, listen, m_storeAddress);
        return listen;
    }

    void startPrograms()
    {
        for (auto &it : m_fronts) {
            shiftClock(it.name, 0);
            it.dispatcher = start("trefoilhoist-dispatcher", it.name);
        }
        for (std::size_t i = 0; i < m_sides.size(); ++i) {
            shiftClock(m_sides[i].name, 0);
            m_sides[i].agent = start("trefoilhoist-agent", m_sides[i].name);
            startMinion(m_sides[i], "i-" + std::to_string(i + 1) + "a");
        }
    }

    [[nodiscard]] std::unique_ptr<Process> start(const std::string &program, const std::string &name) const
    {
        const auto path = m_folder + "/" + name;
        return std::make_unique<Process>(
            m_plan.bin + "/" + program, path + ".json", path + ".log", clockEnvironment(name));
    }

    [[nodiscard]] std::string clockFile(const std::string &host) const
    {
        return m_folder + "/" + host + ".clock";
    }

    [[nodiscard]] Process::Environment clockEnvironment(const std::string &host) const
    {
        if (m_plan.clockLibrary.empty()) {
            return {};
        }
        return {{"LD_PRELOAD", m_plan.clockLibrary}, {"SOAK_CLOCK_FILE", clockFile(host)}};
    }

    static Json configuration()
    {
        Json route = {{"name", "r-lending"},
                      {"host", queueHost},
                      {"prefix", queuePrefix},
                      {"kind", "unsafe"},
                      {"timeoutMs", 3000},
                      {"targetLatencyMs", 250},
                      {"priority", 0},
                      {"service", serviceName},
                      {"maxAttempts", 4},
                      {"stretch", 1.5}};
        Json service = {{"name", serviceName},
                        {"healthPath", "/health"},
                        {"maxConnections", 64},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"enforcesCapacity", false},
                        {"spare", false}};
        Json limits = {
            {"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
        return {{"version", 3}, {"routes", {route}}, {"services", {service}}, {"limits", limits}};
    }

    /// Fills a template of the deploy folder in, as DEPLOY.md tells; only plain placeholders are used there.
    void writeSettings(const std::string &templatePath,
                       const std::string &name,
                       const std::map<std::string, Json> &values,
                       const Address &advertised)
    {
        std::ifstream in(templatePath);
        std::stringstream buffer;
        buffer << in.rdbuf();
        const std::string text = buffer.str();
        const std::regex placeholder(R"(\{\{([A-Za-z.0-9]+)(\|json)?\}\})");
        std::string out;
        auto last = text.cbegin();
        for (std::sregex_iterator it(text.cbegin(), text.cend(), placeholder), end; it != end; ++it) {
            out.append(last, text.cbegin() + it->position());
            const auto value = values.find((*it)[1]);
            if (value != values.end()) {
                const bool asJson = (*it)[2].matched || !value->second.is_string();
                out += asJson ? value->second.dump() : value->second.get<std::string>();
            }
            last = text.cbegin() + it->position() + it->length();
        }
        out.append(last, text.cend());
        auto settings = Json::parse(out, nullptr, true, true);
        settings["advertise"] = advertised.text();
        std::ofstream(m_folder + "/" + name + ".json") << settings;
    }

    void addFront(int number)
    {
        Front front;
        front.name = "front-" + std::to_string(number + 1);
        const auto ip = nextIp();
        front.callers = {ip, nextPort(ip)};
        front.readiness = {ip, nextPort(ip)};
        const Address peers{ip, nextPort(ip)};
        writeSettings("deploy/dispatcher.json.in",
                      front.name,
                      {{"nodeName", front.name},
                       {"ipAddress", ip},
                       {"listenAddresses.front", front.callers.text()},
                       {"listenAddresses.ready", front.readiness.text()},
                       {"internalPortRange.0", peers.port},
                       {"internalPortRange.1", nextPort(ip)},
                       {"platform.address", linkToStore(ip, front.name).text()},
                       {"limits.processorShare", 0.25},
                       {"limits.linkMbps", 1000.0},
                       {"limits.memoryMb", 260},
                       {"bounds.maxHoldMs", m_plan.workerLeaseMs},
                       {"bounds.remoteMultiplier", remoteMultiplier}},
                      linkTo(peers, "reports-" + front.name));
        m_fronts.push_back(std::move(front));
    }

    void addSide(std::size_t number, const SidePlan &plan)
    {
        Side side;
        side.name = "side-" + std::to_string(number + 1);
        const auto ip = nextIp();
        side.plan.service = serviceName;
        side.plan.zone = "zone-a";
        side.plan.cpu = plan.cpu;
        side.plan.maxHoldMs = m_plan.workerLeaseMs;
        side.plan.recordsHeartbeats = !m_plan.minionProgram.empty();
        side.plan.labels = {"a", plan.rack};
        const Address heartbeats{ip, nextPort(ip)};
        const Address peers{ip, nextPort(ip)};
        side.plan.control = linkTo(heartbeats, "heartbeats-" + side.name);
        side.plan.app = {ip, nextPort(ip)};
        side.plan.advertised = linkTo(side.plan.app, "minion-" + side.name);
        writeSettings("deploy/agent.json.in",
                      side.name,
                      {{"nodeName", side.name},
                       {"ipAddress", ip},
                       {"listenAddresses.control", heartbeats.text()},
                       {"internalPortRange.0", peers.port},
                       {"internalPortRange.1", nextPort(ip)},
                       {"platform.address", linkToStore(ip, side.name).text()},
                       {"limits.memoryMb", 128},
                       {"bounds.maxHoldMs", m_plan.workerLeaseMs}},
                      linkTo(peers, "orders-" + side.name));
        m_sides.push_back(std::move(side));
    }

    SitePlan m_plan;
    Record &m_record;
    RunLog m_log;
    std::string m_folder;
    int m_minions = 0;
    std::vector<std::string> m_minionRecords;
    int m_network = 1;
    int m_hosts = 0;
    std::set<int> m_ports;
    Address m_storeAddress;
    std::unique_ptr<Store> m_store;
    Links m_links;
    std::vector<Front> m_fronts;
    std::vector<Side> m_sides;
};

} // namespace Review
