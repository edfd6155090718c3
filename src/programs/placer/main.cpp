#include "placer.h"

namespace {

using namespace Trefoilhoist;

const char *const schema = R"({
  "type": "object", "additionalProperties": false,
  "required": ["id", "listen", "store", "cell"],
  "properties": {
    "id": {"type": "string", "minLength": 1},
    "listen": {"type": "string"},
    "zone": {"type": "string"},
    "store": {"type": "array", "minItems": 1, "items": {"type": "string"}},
    "storeTimeoutMs": {"type": "integer", "minimum": 1},
    "cell": {"type": "string", "minLength": 1},
    "threads": {"type": "integer", "minimum": 1},
    "leaseMs": {"type": "integer", "minimum": 100},
    "syncMs": {"type": "integer", "minimum": 10},
    "outageGraceMs": {"type": "integer", "minimum": 0},
    "keepEndedMs": {"type": "integer", "minimum": 0},
    "checkpointTimeoutMs": {"type": "integer", "minimum": 1},
    "storeLeaseMs": {"type": "integer", "minimum": 1000},
    "heartbeatMs": {"type": "integer", "minimum": 10},
    "policy": {"type": "string", "enum": ["random-fit", "best-fit", "interference-aware"]},
    "weights": {"type": "object", "additionalProperties": false, "properties": {
      "tailLatency": {"type": "number", "minimum": 0},
      "throughput": {"type": "number", "minimum": 0},
      "evictions": {"type": "number", "minimum": 0}}},
    "seed": {"type": "integer", "minimum": 0}
  }
})";

// Above the store lease, so that running tasks outlive their owner's sudden death.
constexpr int defaultLeaseMs = 8000;
constexpr int defaultStoreLeaseMs = 5000;
constexpr int syncsPerLease = 5;
constexpr int renewalsPerStoreLease = 3;
/// A sync that takes longer than this share of the lease is repeated.
constexpr int syncTimeoutsPerLease = 4;

Endpoint endpointAt(Runtime &runtime, const std::string &place, const std::string &text)
{
    try {
        return endpointFromText(text);
    } catch (const std::exception &e) {
        runtime.failStart(place, e.what());
    }
}

Placer::PlacerSettings readSettings(Runtime &runtime)
{
    const auto &json = runtime.settings();
    const auto millis = [&](const char *key, std::int64_t fallback) {
        return Duration(milliseconds(json.value(key, fallback)));
    };
    Placer::PlacerSettings settings;
    settings.id = json.at("id");
    settings.listen = endpointAt(runtime, "/listen", json.at("listen"));
    settings.zone = ZoneId(json.value("zone", ""));
    for (const auto &it : json.at("store")) {
        settings.store.addresses.push_back(endpointAt(runtime, "/store", it));
    }
    settings.store.caller = "placer/" + settings.id;
    settings.store.timeout = millis("storeTimeoutMs", 2000);
    auto &owner = settings.owner;
    owner.owner = settings.id;
    owner.cell = json.at("cell");
    owner.lease = millis("leaseMs", defaultLeaseMs);
    owner.syncInterval = millis("syncMs", duration_cast<milliseconds>(owner.lease).count() / syncsPerLease);
    owner.retryInterval = std::min(owner.retryInterval, owner.syncInterval);
    owner.margin = std::max(owner.margin, owner.lease / 50);
    owner.outageGrace = millis("outageGraceMs", duration_cast<milliseconds>(owner.outageGrace).count());
    owner.keepEnded = millis("keepEndedMs", duration_cast<milliseconds>(owner.keepEnded).count());
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
