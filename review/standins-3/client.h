// What the scripts of the cases have in common: their setting, a client, and their end.
#pragma once

#include "site.h"

#include <cstdlib>
#include <iostream>

namespace Review {

/// False if the script has to leave the disruption out.
inline bool isTroubled()
{
    const char *setting = std::getenv("TROUBLE");
    return setting == nullptr || std::string(setting) != "0";
}

/// Ends all processes and the script. The threads of the stand-ins go on until here.
[[noreturn]] inline void finish(Site &site, int code)
{
    site.sides.clear();
    site.dispatchers.clear();
    site.removeTemporary();
    std::cout.flush();
    _exit(code);
}

class Client
{
public:
    Client(Site &site, Record &record) : m_site(site), m_record(record) { }

    Response ask(const std::string &method, const std::string &id, const std::string &body = "")
    {
        const Headers headers = {{"Host", "jobs.example"}, {"X-Deadline-Milliseconds", "3000"}};
        return call(m_site.dispatchers.back().callers, method, "/q/" + id, headers, body, 3000);
    }

    /// Hands a job of one step in; true if it is accepted.
    bool submit(const std::string &id, const Json &step, const Json &work)
    {
        const Json spec = {{"name", id}, {"steps", {work}}};
        const Json body = {{"specification", spec.dump()}, {"steps", {step}}};
        const auto answer = ask("POST", id, body.dump());
        m_record.add({{"what", "submit"}, {"job", id}, {"status", answer.status}});
        return answer.status == 200;
    }

    std::string stateOf(const std::string &id)
    {
        const auto answer = ask("GET", id);
        return answer.status == 200 ? Json::parse(answer.body).at("state").get<std::string>()
                                    : "status " + std::to_string(answer.status);
    }

private:
    Site &m_site;
    Record &m_record;
};

} // namespace Review
