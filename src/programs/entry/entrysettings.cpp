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

// "host:port" or "id@host:port".
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
        throw std::invalid_argument("/claims/retentionMs: less than twice limits.maxDeadlineMs");
    }
}

const char *const schemaText = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["listen", "peerListen", "id", "zone"],
  "properties": {
    "listen": {"type": "string"},
    "peerListen": {"type": "string"},
    "id": {"type": "string", "minLength": 1},
    "zone": {"type": "string", "minLength": 1},
    "peers": {"type": "array", "items": {"type": "string"}},
    "store": {"type": "string"},
    "cell": {"type": "string", "minLength": 1},
    "placers": {"type": "array", "items": {"type": "string"}},
    "threads": {"type": "integer", "minimum": 1, "maximum": 64},
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "maxBodyBytes": {"type": "integer", "minimum": 1},
        "maxHeaderBytes": {"type": "integer", "minimum": 256},
        "requestTimeoutMs": {"type": "integer", "minimum": 1},
        "idleTimeoutMs": {"type": "integer", "minimum": 1},
        "maxConnections": {"type": "integer", "minimum": 1},
        "defaultDeadlineMs": {"type": "integer", "minimum": 1},
        "maxDeadlineMs": {"type": "integer", "minimum": 1},
        "connectTimeoutMs": {"type": "integer", "minimum": 1},
        "maxAnswerBytes": {"type": "integer", "minimum": 1},
        "maxAttempts": {"type": "integer", "minimum": 1}
      }
    },
    "routing": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "policy": {"enum": ["least-in-flight", "power-of-two", "fair-share"]},
        "maxQueued": {"type": "integer", "minimum": 0},
        "retryBudget": {"type": "number", "minimum": 0, "maximum": 1},
        "maxEjected": {"type": "number", "minimum": 0, "maximum": 1},
        "hedging": {"type": "boolean"},
        "seed": {"type": "integer", "minimum": 0}
      }
    },
    "membership": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "heartbeatMs": {"type": "integer", "minimum": 1},
        "livenessMs": {"type": "integer", "minimum": 1}
      }
    },
    "claims": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "retentionMs": {"type": "integer", "minimum": 1},
        "collectTimeoutMs": {"type": "integer", "minimum": 1},
        "maxClaims": {"type": "integer", "minimum": 1},
        "maxAnswerBytes": {"type": "integer", "minimum": 0},
        "maxTotalAnswerBytes": {"type": "integer", "minimum": 0}
      }
    },
    "stop": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "graceMs": {"type": "integer", "minimum": 0},
        "drainMs": {"type": "integer", "minimum": 0}
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
    out.membership.heartbeat = millisecondsOf(membership, "heartbeatMs", out.membership.heartbeat);
    out.membership.liveness = millisecondsOf(membership, "livenessMs", out.membership.liveness);
    readClaims(settings.value("claims", Json::object()), out);
    const auto stop = settings.value("stop", Json::object());
    out.stop.grace = millisecondsOf(stop, "graceMs", out.stop.grace);
    out.stop.drain = millisecondsOf(stop, "drainMs", out.stop.drain);
    return out;
}

} // namespace Trefoilhoist
