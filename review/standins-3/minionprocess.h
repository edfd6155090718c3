// Starts minions as processes, and reads what they have written.
#pragma once

#include "site.h"

namespace Review {

class MinionProcess
{
public:
    MinionProcess(const MinionSettings &settings, std::string record, const std::string &log)
        : m_record(std::move(record))
        , m_process({"target/review-3/minion",
                     Json{{"id", settings.id},
                          {"service", settings.service},
                          {"port", settings.port},
                          {"agentPort", settings.agentPort},
                          {"labels", settings.labels},
                          {"maxHoldMs", settings.maxHoldMs}}
                         .dump(),
                     m_record},
                    log)
    {
        m_process.start();
    }

    void kill()
    {
        m_process.kill(SIGKILL);
    }

    [[nodiscard]] std::vector<Json> rows() const
    {
        std::vector<Json> rows;
        std::ifstream in(m_record);
        for (std::string line; std::getline(in, line);) {
            const auto row = Json::parse(line, nullptr, false);
            if (!row.is_discarded()) {
                rows.push_back(row);
            }
        }
        return rows;
    }

private:
    std::string m_record;
    Process m_process;
};

} // namespace Review
