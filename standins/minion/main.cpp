#include "minionserver.h"

namespace {

using namespace Trefoilhoist;

const char *const schema = R"({
  "type": "object", "additionalProperties": false,
  "required": ["id", "listen", "zone", "service", "entries"],
  "properties": {
    "id": {"description": "name of the minion", "type": "string", "minLength": 1},
    "listen": {"description": "address of the minion", "type": "string"},
    "advertise": {"description": "address to announce when it differs, for example behind the fault proxy", "type": "string"},
    "zone": {"description": "availability zone", "type": "string"},
    "service": {"description": "service that it is an instance of", "type": "string"},
    "labels": {"description": "labels to announce", "type": "object", "additionalProperties": {"type": "string"}},
    "slots": {"description": "requests served at once", "type": "integer", "minimum": 1},
    "connections": {"description": "connections taken at once", "type": "integer", "minimum": 1},
    "entries": {"description": "entries to announce to", "type": "array", "items": {"type": "string"}},
    "medianServiceMs": {"description": "median service time", "type": "number", "minimum": 0.001},
    "sigma": {"description": "spread of the log-normal service time", "type": "number", "minimum": 0},
    "heartbeatMs": {"description": "time between announcements", "type": "integer", "minimum": 1},
    "leaveGraceMs": {"description": "how long a stopping minion still serves", "type": "integer", "minimum": 0},
    "threads": {"description": "threads of the pool", "type": "integer", "minimum": 1},
    "seed": {"description": "seed of service times", "type": "integer", "minimum": 0}
  }
})";

constexpr int defaultSlots = 8;
constexpr int defaultConnections = 64;

StandIns::MinionSettings readSettings(const nlohmann::json &json)
{
    StandIns::MinionSettings settings;
    settings.minion.id = MinionId(json.at("id"));
    settings.minion.zone = ZoneId(json.at("zone"));
    settings.minion.service = ServiceId(json.at("service"));
    settings.minion.labels = json.value("labels", Labels{});
    settings.minion.slots = json.value("slots", defaultSlots);
    settings.minion.connections = json.value("connections", defaultConnections);
    settings.listen = endpointFromText(json.at("listen"));
    if (json.contains("advertise")) {
        settings.minion.endpoint = endpointFromText(json.at("advertise"));
    }
    for (const auto &entry : json.at("entries")) {
        settings.entries.push_back(endpointFromText(entry));
    }
    settings.medianServiceMs = json.value("medianServiceMs", settings.medianServiceMs);
    settings.sigma = json.value("sigma", settings.sigma);
    settings.heartbeat = milliseconds(json.value("heartbeatMs", 500));
    settings.leaveGrace = milliseconds(json.value("leaveGraceMs", 3000));
    settings.seed = json.value("seed", settings.seed);
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo info{"standin-minion", "A minion that serves requests in slots; for tests and trials", schema};
    return runProgram(argc, argv, info, [](Runtime &runtime) {
        auto *server = new StandIns::MinionServer(runtime, readSettings(runtime.settings()));
        const auto bound = server->start();
        if (!bound) {
            runtime.failStart("/listen", bound.error());
        }
        runtime.onStop([server] { return server->stop(); });
        runtime.ready("http=" + bound->str());
    });
}
