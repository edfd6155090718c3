#include "workerserver.h"

namespace {

using namespace Trefoilhoist;

const char *const schema = R"({
  "type": "object", "additionalProperties": false,
  "required": ["id", "listen", "zone", "milliCpu", "memoryMb", "placers"],
  "properties": {
    "id": {"description": "name of the worker", "type": "string", "minLength": 1},
    "listen": {"description": "address of the worker", "type": "string"},
    "advertise": {"description": "address to announce when it differs", "type": "string"},
    "zone": {"description": "availability zone", "type": "string"},
    "rack": {"description": "rack of the worker", "type": "string"},
    "labels": {"description": "labels to announce", "type": "object", "additionalProperties": {"type": "string"}},
    "milliCpu": {"description": "processors, in thousandths of one", "type": "integer", "minimum": 1},
    "memoryMb": {"description": "memory", "type": "integer", "minimum": 1},
    "accelerators": {"description": "accelerators", "type": "integer", "minimum": 0},
    "placers": {"description": "placers to announce to", "type": "array", "items": {"type": "string"}},
    "services": {"description": "services beside the batch work, with what they reserve", "type": "array", "items": {
      "type": "object", "additionalProperties": false, "required": ["service"],
      "properties": {
        "service": {"description": "name of the service", "type": "string"},
        "milliCpu": {"description": "processors, in thousandths of one", "type": "integer", "minimum": 0},
        "memoryMb": {"description": "memory", "type": "integer", "minimum": 0},
        "p99Us": {"description": "its latency when undisturbed", "type": "integer", "minimum": 0},
        "sensitivity": {"description": "how much a full worker slows it", "type": "number", "minimum": 0}}}},
    "heartbeatMs": {"description": "time between announcements", "type": "integer", "minimum": 1},
    "leaveGraceMs": {"description": "how long a stopping worker still runs", "type": "integer", "minimum": 0},
    "checkpointEveryMs": {"description": "time between own checkpoints", "type": "integer", "minimum": 1},
    "checkpointMs": {"description": "time that a checkpoint takes", "type": "integer", "minimum": 0},
    "usageLagMs": {"description": "lag of the reported usage", "type": "integer", "minimum": 0},
    "failEverything": {"description": "every task fails", "type": "boolean"},
    "speed": {"description": "how fast tasks run", "type": "number", "minimum": 0},
    "usageFactor": {"description": "used over declared size", "type": "number", "minimum": 0},
    "noise": {"description": "noise of reported usage", "type": "number", "minimum": 0, "maximum": 1},
    "threads": {"description": "threads of the pool", "type": "integer", "minimum": 1},
    "seed": {"description": "seed of noise", "type": "integer", "minimum": 0}
  }
})";

Duration millis(const nlohmann::json &json, const char *key, Duration fallback)
{
    return milliseconds(json.value(key, duration_cast<milliseconds>(fallback).count()));
}

Worker readWorker(const nlohmann::json &json)
{
    Worker worker;
    worker.id = WorkerId(json.at("id"));
    worker.zone = ZoneId(json.at("zone"));
    worker.rack = RackId(json.value("rack", ""));
    worker.labels = json.value("labels", Labels{});
    worker.capacity = {json.at("milliCpu"), json.at("memoryMb"), json.value("accelerators", std::int64_t{0})};
    if (json.contains("advertise")) {
        worker.endpoint = endpointFromText(json.at("advertise"));
    }
    return worker;
}

StandIns::WorkerSettings readSettings(const nlohmann::json &json)
{
    StandIns::WorkerSettings settings;
    settings.worker = readWorker(json);
    settings.listen = endpointFromText(json.at("listen"));
    for (const auto &placer : json.at("placers")) {
        settings.placers.push_back(endpointFromText(placer));
    }
    for (const auto &it : json.value("services", nlohmann::json::array())) {
        StandIns::HostedService service;
        service.share.service = ServiceId(it.at("service"));
        service.share.reserved.milliCpu = it.value("milliCpu", std::int64_t{0});
        service.share.reserved.memoryMb = it.value("memoryMb", std::int64_t{0});
        service.p99 = Duration(it.value("p99Us", service.p99.count()));
        service.sensitivity = it.value("sensitivity", 0.0);
        settings.services.push_back(service);
    }
    settings.heartbeat = millis(json, "heartbeatMs", settings.heartbeat);
    settings.leaveGrace = millis(json, "leaveGraceMs", settings.leaveGrace);
    settings.checkpointEvery = millis(json, "checkpointEveryMs", settings.checkpointEvery);
    settings.checkpointTime = millis(json, "checkpointMs", settings.checkpointTime);
    settings.usageLag = millis(json, "usageLagMs", settings.usageLag);
    settings.failEverything = json.value("failEverything", false);
    settings.speed = json.value("speed", settings.speed);
    settings.usageFactor = json.value("usageFactor", settings.usageFactor);
    settings.noise = json.value("noise", settings.noise);
    settings.seed = json.value("seed", settings.seed);
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo info{"standin-worker", "A worker whose tasks are timers; for tests and trials", schema};
    return runProgram(argc, argv, info, [](Runtime &runtime) {
        auto *server = new StandIns::WorkerServer(runtime, readSettings(runtime.settings()));
        const auto bound = server->start();
        if (!bound) {
            runtime.failStart("/listen", bound.error());
        }
        runtime.onStop([server] { return server->stop(); });
        runtime.ready("http=" + bound->str());
    });
}
