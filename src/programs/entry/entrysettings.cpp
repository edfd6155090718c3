#include "entrysettings.h"

#include "trefoilhoist/net/program.h"

#include <stdexcept>

namespace Trefoilhoist {

namespace {

using Json = nlohmann::json;

Endpoint endpointAt(const std::string &place, const std::string &text)
{
    try {
        return endpointFromText(text);
    } catch (const std::exception &e) {
        throw std::invalid_argument(place + ": " + e.what());
    }
}

// Parses "host:port" or "id@host:port".
PeerAddress peerAt(const std::string &place, const std::string &text)
{
    const auto at = text.find('@');
    if (at == std::string::npos) {
        return {EntryId(), endpointAt(place, text)};
    }
    return {EntryId(text.substr(0, at)), endpointAt(place, text.substr(at + 1))};
}

Duration millisecondsOf(const Json &object, const char *key, Duration fallback)
{
    const auto it = object.find(key);
    return it == object.end() ? fallback : Duration(milliseconds(it->get<std::int64_t>()));
}

void readLimits(const Json &limits, EntrySettings &out)
{
    out.http.maxBodyBytes = limits.value("maxBodyBytes", out.http.maxBodyBytes);
    out.http.maxHeaderBytes = limits.value("maxHeaderBytes", out.http.maxHeaderBytes);
    out.http.requestTimeout = millisecondsOf(limits, "requestTimeoutMs", out.http.requestTimeout);
    out.http.idleTimeout = millisecondsOf(limits, "idleTimeoutMs", out.http.idleTimeout);
    out.http.maxConnections = limits.value("maxConnections", out.http.maxConnections);
    out.requests.defaultDeadline = millisecondsOf(limits, "defaultDeadlineMs", out.requests.defaultDeadline);
    out.requests.maxDeadline = millisecondsOf(limits, "maxDeadlineMs", out.requests.maxDeadline);
    out.requests.connectTimeout = millisecondsOf(limits, "connectTimeoutMs", out.requests.connectTimeout);
    out.requests.maxAnswerBytes = limits.value("maxAnswerBytes", out.requests.maxAnswerBytes);
    out.requests.maxAttempts = limits.value("maxAttempts", out.requests.maxAttempts);
}

void readRouting(const Json &routing, EntrySettings &out)
{
    auto &to = out.routing;
    to.policy = routingPolicyFromName(routing.value("policy", std::string())).value_or(to.policy);
    to.self = out.id;
    to.maxQueued = routing.value("maxQueued", to.maxQueued);
    to.retryBudget = routing.value("retryBudget", to.retryBudget);
    to.maxEjected = routing.value("maxEjected", to.maxEjected);
    to.seed = routing.value("seed", to.seed);
    out.requests.hedging = routing.value("hedging", out.requests.hedging);
    to.zone = out.zone;
}

void readClaims(const Json &claims, EntrySettings &out)
{
    auto &to = out.claims;
    to.retention = millisecondsOf(claims, "retentionMs", to.retention);
    to.collectTimeout = millisecondsOf(claims, "collectTimeoutMs", to.collectTimeout);
    to.maxClaims = claims.value("maxClaims", to.maxClaims);
    to.maxAnswerBytes = claims.value("maxAnswerBytes", to.maxAnswerBytes);
    to.maxTotalAnswerBytes = claims.value("maxTotalAnswerBytes", to.maxTotalAnswerBytes);
    if (to.retention < 2 * (out.requests.maxDeadline + to.collectTimeout)) {
        throw std::invalid_argument(
            "/claims/retentionMs: must be at least twice the sum of limits.maxDeadlineMs and claims.collectTimeoutMs");
    }
}

const char *const schemaText = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["listen", "peerListen", "id", "zone"],
  "properties": {
    "listen": {"description": "where callers, minions and operators reach this entry", "type": "string"},
    "peerListen": {"description": "where other entries reach this entry", "type": "string"},
    "id": {"description": "name of this entry; no two have the same", "type": "string", "minLength": 1},
    "zone": {"description": "availability zone of this entry", "type": "string", "minLength": 1},
    "peers": {"description": "peerListen addresses of the other entries", "type": "array", "items": {"type": "string"}},
    "store": {"description": "address of the store; without one, jobs are refused and the configuration comes from peers", "type": "string"},
    "cell": {"description": "cell that jobs go to", "type": "string", "minLength": 1},
    "placers": {"description": "addresses of the placers", "type": "array", "items": {"type": "string"}},
    "threads": {"description": "threads of the pool", "type": "integer", "minimum": 1, "maximum": 64},
    "limits": {
      "description": "bounds on requests",
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "maxBodyBytes": {"description": "largest request body", "type": "integer", "minimum": 1},
        "maxHeaderBytes": {"description": "largest request header", "type": "integer", "minimum": 256},
        "requestTimeoutMs": {"description": "time to receive a complete request", "type": "integer", "minimum": 1},
        "idleTimeoutMs": {"description": "an idle connection is closed after this", "type": "integer", "minimum": 1},
        "maxConnections": {"description": "connections of callers at once", "type": "integer", "minimum": 1},
        "defaultDeadlineMs": {"description": "deadline of a request that gives none", "type": "integer", "minimum": 1},
        "maxDeadlineMs": {"description": "longest deadline that a request may give", "type": "integer", "minimum": 1},
        "connectTimeoutMs": {"description": "time to connect to a minion", "type": "integer", "minimum": 1},
        "maxAnswerBytes": {"description": "largest answer of a minion", "type": "integer", "minimum": 1},
        "maxAttempts": {"description": "first attempt and retries together", "type": "integer", "minimum": 1}
      }
    },
    "routing": {
      "description": "how requests are routed",
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "policy": {"description": "how requests are spread over minions", "type": "string", "enum": ["least-in-flight", "power-of-two", "fair-share"]},
        "maxQueued": {"description": "requests waiting per service", "type": "integer", "minimum": 0},
        "retryBudget": {"description": "retries and hedges as a share of first attempts", "type": "number", "minimum": 0, "maximum": 1},
        "maxEjected": {"description": "largest share of the minions of a service that is ejected at once", "type": "number", "minimum": 0, "maximum": 1},
        "hedging": {"description": "allow a second, concurrent attempt for a slow idempotent request", "type": "boolean"},
        "seed": {"description": "seed of random choices", "type": "integer", "minimum": 0}
      }
    },
    "membership": {
      "description": "times of the membership protocol",
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "heartbeatMs": {"description": "interval at which minions are asked to announce themselves", "type": "integer", "minimum": 1},
        "livenessMs": {"description": "a minion is removed after this long without contact", "type": "integer", "minimum": 1}
      }
    },
    "claims": {
      "description": "bounds on at-most-once claims",
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "retentionMs": {"description": "how long a key is remembered after its last change", "type": "integer", "minimum": 1},
        "collectTimeoutMs": {"description": "time for the holders of a key to grant it", "type": "integer", "minimum": 1},
        "maxClaims": {"description": "keys remembered at once", "type": "integer", "minimum": 1},
        "maxAnswerBytes": {"description": "largest answer kept for a replay", "type": "integer", "minimum": 0},
        "maxTotalAnswerBytes": {"description": "all kept answers together", "type": "integer", "minimum": 0}
      }
    },
    "stop": {
      "description": "the graceful stop",
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "graceMs": {"description": "how long a stopping entry still accepts requests after its health check reports unready", "type": "integer", "minimum": 0},
        "drainMs": {"description": "how long requests in flight may take to finish after the grace", "type": "integer", "minimum": 0}
      }
    }
  }
})";

} // namespace

const std::string &entrySettingsSchema()
{
    static const std::string schema = schemaText;
    return schema;
}

EntrySettings entrySettingsFrom(const nlohmann::json &settings)
{
    EntrySettings out;
    out.id = EntryId(settings.at("id").get<std::string>());
    out.zone = ZoneId(settings.at("zone").get<std::string>());
    out.listen = endpointAt("/listen", settings.at("listen"));
    out.peerListen = endpointAt("/peerListen", settings.at("peerListen"));
    int index = 0;
    for (const auto &peer : settings.value("peers", Json::array())) {
        out.peers.push_back(peerAt("/peers/" + std::to_string(index++), peer));
    }
    if (settings.contains("store")) {
        out.store = endpointAt("/store", settings.at("store"));
    }
    out.cell = settings.value("cell", std::string("cell-1"));
    index = 0;
    for (const auto &placer : settings.value("placers", Json::array())) {
        out.placers.push_back(endpointAt("/placers/" + std::to_string(index++), placer));
    }
    readLimits(settings.value("limits", Json::object()), out);
    readRouting(settings.value("routing", Json::object()), out);
    const auto membership = settings.value("membership", Json::object());
    out.membership.heartbeatInterval = millisecondsOf(membership, "heartbeatMs", out.membership.heartbeatInterval);
    out.membership.livenessTimeout = millisecondsOf(membership, "livenessMs", out.membership.livenessTimeout);
    readClaims(settings.value("claims", Json::object()), out);
    const auto stop = settings.value("stop", Json::object());
    out.stop.grace = millisecondsOf(stop, "graceMs", out.stop.grace);
    out.stop.drain = millisecondsOf(stop, "drainMs", out.stop.drain);
    return out;
}

} // namespace Trefoilhoist
