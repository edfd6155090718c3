// A minion as a process of its own: its settings are the first argument, and it appends what it does to a file.
#include "minion.h"

#include <csignal>
#include <unistd.h>

using namespace Review;

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    const auto json = Json::parse(argv[1]);
    MinionSettings settings;
    settings.id = json.at("id");
    settings.service = json.at("service");
    settings.port = json.at("port");
    settings.agentPort = json.at("agentPort");
    settings.labels = json.at("labels").get<std::vector<std::string>>();
    settings.maxHoldMs = json.at("maxHoldMs");
    Record record(argv[2]);
    Shared shared;
    const Minion minion(settings, record, shared);
    pause();
    return 0;
}
