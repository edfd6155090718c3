#include "placer.h"
#include "trefoilhoist/net/programsettings.h"

namespace {

using namespace Trefoilhoist;

const char *const schema = R"({
  "type": "object", "additionalProperties": false,
  "required": ["id", "listen", "store", "cell"],
  "properties": {
    "id": {"description": "name of this placer", "type": "string", "minLength": 1},
    "listen": {"description": "where workers and operators reach this placer", "type": "string"},
    "zone": {"description": "availability zone of this placer, for its log", "type": "string"},
    "store": {"description": "addresses of the store", "type": "array", "minItems": 1, "items": {"type": "string"}},
    "storeTimeoutMs": {"description": "time for one call to the store", "type": "integer", "minimum": 1},
    "cell": {"description": "cell that this placer may own", "type": "string", "minLength": 1},
    "threads": {"description": "threads of the pool", "type": "integer", "minimum": 1},
    "leaseMs": {"description": "lease of a worker; the same on all placers of a cell", "type": "integer", "minimum": 100},
    "syncMs": {"description": "time between two syncs with a worker", "type": "integer", "minimum": 10},
    "outageGraceMs": {"description": "how long running tasks are renewed without the store; the same on all placers of a cell", "type": "integer", "minimum": 0},
    "keepEndedMs": {"description": "how long an ended job is remembered", "type": "integer", "minimum": 0},
    "checkpointTimeoutMs": {"description": "time for a checkpoint before a task is stopped without one", "type": "integer", "minimum": 1},
    "storeLeaseMs": {"description": "lease of the cell's owner in the store", "type": "integer", "minimum": 1000},
    "heartbeatMs": {"description": "interval at which workers are asked to announce themselves", "type": "integer", "minimum": 10},
    "policy": {"description": "placement policy", "type": "string", "enum": ["random-fit", "best-fit", "interference-aware"]},
    "weights": {"description": "weights of the placement criteria, unless labels override them", "type": "object", "additionalProperties": false, "properties": {
      "tailLatency": {"description": "weight of tail latency", "type": "number", "minimum": 0},
      "throughput": {"description": "weight of finished batch work", "type": "number", "minimum": 0},
      "evictions": {"description": "weight of evictions", "type": "number", "minimum": 0}}},
    "seed": {"description": "seed of random choices", "type": "integer", "minimum": 0}
  }
})";

// Longer than the store lease, so that running tasks survive a crash of their owner until another placer takes over.
constexpr int defaultLeaseMs = 8000;
constexpr int defaultStoreLeaseMs = 5000;
constexpr int syncsPerLease = 5;
constexpr int renewalsPerStoreLease = 3;
/// A sync times out after the lease divided by this, and is then retried.
constexpr int syncTimeoutsPerLease = 4;

Placer::PlacerSettings readSettings(Runtime &runtime)
{
    const auto &json = runtime.settings();
    const auto millis = [&](const char *key, std::int64_t fallback) {
        return Duration(milliseconds(json.value(key, fallback)));
    };
    Placer::PlacerSettings settings;
    settings.id = json.at("id");
    settings.listen = endpointAt(runtime, "listen");
    settings.zone = ZoneId(json.value("zone", ""));
    for (const auto &it : json.at("store")) {
        settings.store.addresses.push_back(endpointFromSetting(runtime, "/store", it));
    }
    settings.store.caller = "placer/" + settings.id;
    settings.store.timeout = millis("storeTimeoutMs", 2000);
    auto &owner = settings.owner;
    owner.owner = settings.id;
    owner.cell = json.at("cell");
    owner.lease = millis("leaseMs", defaultLeaseMs);
    owner.syncInterval = millis("syncMs", duration_cast<milliseconds>(owner.lease).count() / syncsPerLease);
    owner.retryInterval = std::min(owner.retryInterval, owner.syncInterval);
    owner.clockMargin = std::max(owner.clockMargin, owner.lease / 50);
    owner.outageGrace = millis("outageGraceMs", duration_cast<milliseconds>(owner.outageGrace).count());
    owner.endedJobRetention = millis("keepEndedMs", duration_cast<milliseconds>(owner.endedJobRetention).count());
    owner.checkpointTimeout
        = millis("checkpointTimeoutMs", duration_cast<milliseconds>(owner.checkpointTimeout).count());
    settings.syncTimeout = owner.lease / syncTimeoutsPerLease;
    settings.heartbeat = millis("heartbeatMs", 1000);
    settings.lease.ttl = millis("storeLeaseMs", defaultStoreLeaseMs);
    settings.lease.renewEvery = settings.lease.ttl / renewalsPerStoreLease;
    const auto kind = policyKindFromName(json.value("policy", "interference-aware"));
    settings.policy = kind.value_or(PolicyKind::InterferenceAware);
    const auto weights = json.value("weights", nlohmann::json::object());
    settings.weights
        = {weights.value("tailLatency", 1.0), weights.value("throughput", 1.0), weights.value("evictions", 1.0)};
    settings.seed = json.value("seed", std::uint64_t{1});
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo info{"trefoilhoist-placer", "Owns a cell of workers and places batch tasks on them", schema};
    return runProgram(argc, argv, info, [](Runtime &runtime) {
        auto *server = new Placer::PlacerServer(runtime, readSettings(runtime));
        const auto bound = server->start();
        if (!bound) {
            runtime.failStart("/listen", bound.error());
        }
        runtime.onStop([server] { return server->stop(); });
        runtime.ready("http=" + bound->str());
    });
}
