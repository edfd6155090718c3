#include "faultlink.h"

#include "trefoilhoist/net/httpserver.h"
#include "trefoilhoist/net/program.h"

#include <map>

namespace {

using namespace Trefoilhoist;
using StandIns::ClosedTarget;
using StandIns::FaultLink;
using StandIns::LinkFaults;

const char *const schema = R"({
  "type": "object", "additionalProperties": false,
  "required": ["control", "links"],
  "properties": {
    "control": {"description": "address where faults are switched", "type": "string"},
    "threads": {"description": "threads of the pool", "type": "integer", "minimum": 1},
    "links": {"description": "links by name", "type": "object", "additionalProperties": {
      "type": "object", "additionalProperties": false, "required": ["listen", "target"],
      "properties": {"listen": {"type": "string"}, "target": {"description": "where it leads", "type": "string"},
        "refusesWhileClosed": {"description": "refuse connections while nobody listens at the target", "type": "boolean"}}}}
  }
})";

using Links = std::map<std::string, std::shared_ptr<FaultLink>>;

LinkFaults faultsFromJson(const nlohmann::json &json)
{
    LinkFaults faults;
    faults.cut = json.value("cut", false);
    faults.refuse = json.value("refuse", false);
    faults.reset = json.value("reset", false);
    faults.silent = json.value("silent", false);
    faults.silentRequests = json.value("silentRequests", false);
    faults.silentAnswers = json.value("silentAnswers", false);
    faults.connectDelay = milliseconds(json.value("connectDelayMs", 0));
    faults.requestDelay = milliseconds(json.value("requestDelayMs", 0));
    faults.answerDelay = milliseconds(json.value("answerDelayMs", 0));
    faults.truncateAnswersAfter = json.value("truncateAnswersAfter", std::int64_t{0});
    faults.duplicateAnswers = json.value("duplicateAnswers", false);
    faults.crossAnswers = json.value("crossAnswers", false);
    faults.dropAnswers = json.value("dropAnswers", false);
    return faults;
}

std::string statusOf(const FaultLink &link)
{
    return nlohmann::json{{"connections", link.connections()}, {"bytes", link.bytes()}}.dump();
}

// PUT /links/NAME replaces the link's faults (an empty object heals it); GET shows its counts.
HttpResponse control(const Links &links, const HttpRequest &request)
{
    const std::string prefix = "/links/";
    const auto path = request.path();
    const auto it = path.rfind(prefix, 0) == 0 ? links.find(path.substr(prefix.size())) : links.end();
    if (it == links.end()) {
        return textResponse(404, "no link \"" + path + "\"\n");
    }
    if (request.method == "GET") {
        return jsonResponse(200, statusOf(*it->second));
    }
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (request.method != "PUT" || !json.is_object()) {
        return textResponse(400, "PUT a JSON object of faults\n");
    }
    try {
        it->second->setFaults(faultsFromJson(json));
    } catch (const nlohmann::json::exception &e) {
        return textResponse(400, std::string(e.what()) + "\n");
    }
    return jsonResponse(200, statusOf(*it->second));
}

void start(Runtime &runtime)
{
    auto links = std::make_shared<Links>();
    std::string fields;
    for (const auto &[name, link] : runtime.settings().at("links").items()) {
        const bool refuses = link.value("refusesWhileClosed", false);
        auto made = std::make_shared<FaultLink>(runtime.executor(),
                                                endpointFromText(link.at("listen")),
                                                endpointFromText(link.at("target")),
                                                refuses ? ClosedTarget::Refuse : ClosedTarget::Accept);
        const auto bound = made->start();
        if (!bound) {
            runtime.failStart("/links/" + name + "/listen", bound.error());
        }
        fields += " " + name + "=" + bound->str();
        (*links)[name] = made;
    }
    auto *server = new HttpServer(runtime.executor(), {}, [links](HttpRequest request) -> awaitable<HttpResponse> {
        co_return control(*links, request);
    });
    const auto address = endpointFromText(runtime.settings().at("control"));
    const auto port = server->listen(address);
    if (!port) {
        runtime.failStart("/control", port.error());
    }
    runtime.ready("control=" + Endpoint{address.host, *port}.str() + fields);
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo info{"standin-faultproxy", "Forwards TCP connections with faults that tests switch on", schema};
    return runProgram(argc, argv, info, start);
}
