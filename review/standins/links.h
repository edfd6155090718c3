// The links of a site, through one process of the fault proxy.
#pragma once

#include "net.h"
#include "process.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace Review {

class Links
{
public:
    /// A link that listens at `listen` and leads to `target`. All are added before start().
    void add(const std::string &name, const Address &listen, const Address &target)
    {
        m_links[name] = {{"listen", listen.text()}, {"target", target.text()}, {"refusesWhileClosed", true}};
    }

    /// Starts the proxy. False if it doesn't answer.
    bool start(const std::string &program, const Address &control, const std::string &folder)
    {
        m_control = control;
        const auto settings = folder + "/links.json";
        std::ofstream(settings) << nlohmann::json{
            {"control", control.text()}, {"threads", proxyThreads}, {"links", m_links}};
        m_process = std::make_unique<Process>(program, settings, folder + "/links.log");
        constexpr int tries = 100;
        for (int i = 0; i < tries; ++i) {
            if (call(m_control, "GET", "/links/" + m_links.items().begin().key(), "", answerMs)) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }

    /// Replaces the faults of a link; an empty object heals it. False if the proxy doesn't answer.
    bool setFaults(const std::string &name, const nlohmann::json &faults)
    {
        const auto answer = call(m_control, "PUT", "/links/" + name, faults.dump(), answerMs);
        return answer && answer->status == 200;
    }

    /// The names of the links that begin with `prefix`.
    [[nodiscard]] std::vector<std::string> names(const std::string &prefix) const
    {
        std::vector<std::string> found;
        for (const auto &[name, link] : m_links.items()) {
            if (name.starts_with(prefix)) {
                found.push_back(name);
            }
        }
        return found;
    }

    void stop()
    {
        m_process.reset();
    }

private:
    static constexpr int proxyThreads = 2;
    static constexpr std::int64_t answerMs = 3000;

    nlohmann::json m_links = nlohmann::json::object();
    Address m_control;
    std::unique_ptr<Process> m_process;
};

} // namespace Review
