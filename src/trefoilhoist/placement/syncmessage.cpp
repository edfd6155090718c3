#include "trefoilhoist/placement/syncmessage.h"

#include "trefoilhoist/placement/internal/json.h"

#include <array>

namespace Trefoilhoist {

using Json = nlohmann::json;

namespace {

using RunStateRow = std::pair<RunState, std::string_view>;
constexpr std::array<RunStateRow, 5> runStateNames{{{RunState::Running, "running"},
                                                    {RunState::Finished, "finished"},
                                                    {RunState::Failed, "failed"},
                                                    {RunState::Stopped, "stopped"},
                                                    {RunState::Lapsed, "lapsed"}}};

using RefusalRow = std::pair<RefusalReason, std::string_view>;
constexpr std::array<RefusalRow, 4> refusalNames{{{RefusalReason::Token, "token"},
                                                  {RefusalReason::SeenBefore, "seen-before"},
                                                  {RefusalReason::Capacity, "capacity"},
                                                  {RefusalReason::Leaving, "leaving"}}};

template <typename Table, typename Value>
std::string_view findName(const Table &table, Value value)
{
    for (const auto &[it, name] : table) {
        if (it == value) {
            return name;
        }
    }
    return "unknown";
}

template <typename Value, typename Table>
std::optional<Value> findValue(const Table &table, std::string_view name)
{
    for (const auto &[value, it] : table) {
        if (it == name) {
            return value;
        }
    }
    return std::nullopt;
}

Json refToJson(const RunRef &ref)
{
    return {{"task", ref.task.str()}, {"run", ref.run}};
}

RunRef refFromJson(const Json &json)
{
    return {TaskId(json.at("task").get<std::string>()), json.at("run").get<RunNumber>()};
}

Json startToJson(const StartOrder &order)
{
    Json json = Detail::resourcesToJson(order.reserve);
    json["task"] = order.task.str();
    json["job"] = order.job.str();
    json["run"] = order.run;
    json["checkpoint"] = order.checkpoint;
    json["runTimeMs"] = duration_cast<milliseconds>(order.runTime).count();
    json["class"] = order.batchClass;
    return json;
}

StartOrder startFromJson(const Json &json)
{
    StartOrder order;
    order.task = TaskId(json.at("task").get<std::string>());
    order.job = JobId(json.at("job").get<std::string>());
    order.run = json.at("run").get<RunNumber>();
    order.checkpoint = json.value("checkpoint", "");
    order.reserve = Detail::resourcesFromJson(json);
    order.runTime = milliseconds(json.value("runTimeMs", std::int64_t{0}));
    order.batchClass = json.value("class", "");
    return order;
}

Json reportToJson(const RunReport &report)
{
    Json json{{"task", report.task.str()},
              {"job", report.job.str()},
              {"run", report.run},
              {"state", runStateName(report.state)},
              {"reserved", Detail::resourcesToJson(report.reserved)},
              {"used", Detail::resourcesToJson(report.used)}};
    if (!report.checkpoint.empty()) {
        json["checkpoint"] = report.checkpoint;
        json["checkpoints"] = report.checkpoints;
    }
    if (report.throttle < 1.0) {
        json["throttle"] = report.throttle;
    }
    return json;
}

RunReport reportFromJson(const Json &json)
{
    RunReport report;
    report.task = TaskId(json.at("task").get<std::string>());
    report.job = JobId(json.at("job").get<std::string>());
    report.run = json.at("run").get<RunNumber>();
    const auto state = runStateFromName(json.at("state").get<std::string>());
    if (!state) {
        throw std::invalid_argument("unknown run state " + json.at("state").get<std::string>());
    }
    report.state = *state;
    report.checkpoint = json.value("checkpoint", "");
    report.checkpoints = json.value("checkpoints", std::int64_t{0});
    report.reserved = Detail::resourcesFromJson(json.at("reserved"));
    report.used = Detail::resourcesFromJson(json.value("used", Json::object()));
    report.throttle = json.value("throttle", 1.0);
    return report;
}

Json serviceToJson(const ServiceReport &report)
{
    return {{"service", report.service.str()},
            {"p99Us", report.p99.count()},
            {"requestsPerSecond", report.requestsPerSecond},
            {"ageMs", duration_cast<milliseconds>(report.age).count()}};
}

ServiceReport serviceFromJson(const Json &json)
{
    return {ServiceId(json.at("service").get<std::string>()),
            Duration(json.value("p99Us", std::int64_t{0})),
            json.value("requestsPerSecond", 0.0),
            milliseconds(json.value("ageMs", std::int64_t{0}))};
}

/// Parses `text` and returns the result of `read`, or the message of the exception that either of them threw.
template <typename Value, typename Read>
tl::expected<Value, std::string> parseJson(const std::string &text, Read read)
{
    try {
        return read(Json::parse(text));
    } catch (const std::exception &e) {
        return tl::unexpected(std::string(e.what()));
    }
}

} // namespace

std::string_view runStateName(RunState state)
{
    return findName(runStateNames, state);
}

std::optional<RunState> runStateFromName(std::string_view name)
{
    return findValue<RunState>(runStateNames, name);
}

std::string_view refusalReasonName(RefusalReason reason)
{
    return findName(refusalNames, reason);
}

std::optional<RefusalReason> refusalReasonFromName(std::string_view name)
{
    return findValue<RefusalReason>(refusalNames, name);
}

std::string syncRequestToJson(const SyncRequest &request)
{
    Json json{{"epoch", request.epoch},
              {"owner", request.owner},
              {"token", request.token},
              {"leaseMs", duration_cast<milliseconds>(request.lease).count()},
              {"since", request.appliedRevision}};
    for (const auto &it : request.start) {
        json["start"].push_back(startToJson(it));
    }
    for (const auto &it : request.throttle) {
        auto order = refToJson(it.ref);
        order["share"] = it.share;
        json["throttle"].push_back(std::move(order));
    }
    const auto putRefs = [&json](const char *key, const std::vector<RunRef> &refs) {
        for (const auto &it : refs) {
            json[key].push_back(refToJson(it));
        }
    };
    putRefs("checkpoint", request.checkpoint);
    putRefs("stop", request.stop);
    putRefs("durable", request.recordedRuns);
    return json.dump();
}

tl::expected<SyncRequest, std::string> syncRequestFromJson(const std::string &text)
{
    return parseJson<SyncRequest>(text, [](const Json &json) {
        SyncRequest request;
        request.epoch = json.at("epoch").get<std::int64_t>();
        request.owner = json.value("owner", "");
        request.token = json.at("token").get<std::int64_t>();
        request.lease = milliseconds(json.at("leaseMs").get<std::int64_t>());
        request.appliedRevision = json.value("since", std::int64_t{0});
        for (const auto &it : json.value("start", Json::array())) {
            request.start.push_back(startFromJson(it));
        }
        for (const auto &it : json.value("throttle", Json::array())) {
            request.throttle.push_back({refFromJson(it), it.at("share").get<double>()});
        }
        const auto readRefs = [&json](const char *key, std::vector<RunRef> &refs) {
            for (const auto &it : json.value(key, Json::array())) {
                refs.push_back(refFromJson(it));
            }
        };
        readRefs("checkpoint", request.checkpoint);
        readRefs("stop", request.stop);
        readRefs("durable", request.recordedRuns);
        return request;
    });
}

std::string syncAnswerToJson(const SyncAnswer &answer)
{
    Json json{{"worker", answer.worker.str()},
              {"incarnation", answer.incarnation},
              {"epoch", answer.epoch},
              {"token", answer.token},
              {"accepted", answer.accepted},
              {"revision", answer.revision},
              {"full", answer.full},
              {"runs", Json::array()}};
    for (const auto &it : answer.runs) {
        json["runs"].push_back(reportToJson(it));
    }
    for (const auto &it : answer.refused) {
        auto refusal = refToJson(it.ref);
        refusal["reason"] = refusalReasonName(it.reason);
        json["refused"].push_back(std::move(refusal));
    }
    for (const auto &it : answer.services) {
        json["services"].push_back(serviceToJson(it));
    }
    return json.dump();
}

tl::expected<SyncAnswer, std::string> syncAnswerFromJson(const std::string &text)
{
    return parseJson<SyncAnswer>(text, [](const Json &json) {
        SyncAnswer answer;
        answer.worker = WorkerId(json.at("worker").get<std::string>());
        answer.incarnation = json.at("incarnation").get<std::int64_t>();
        answer.epoch = json.at("epoch").get<std::int64_t>();
        answer.token = json.at("token").get<std::int64_t>();
        answer.accepted = json.at("accepted").get<bool>();
        answer.revision = json.at("revision").get<std::int64_t>();
        answer.full = json.at("full").get<bool>();
        for (const auto &it : json.value("runs", Json::array())) {
            answer.runs.push_back(reportFromJson(it));
        }
        for (const auto &it : json.value("refused", Json::array())) {
            const auto reason = refusalReasonFromName(it.at("reason").get<std::string>());
            if (!reason) {
                throw std::invalid_argument("unknown refusal " + it.at("reason").get<std::string>());
            }
            answer.refused.push_back({refFromJson(it), *reason});
        }
        for (const auto &it : json.value("services", Json::array())) {
            answer.services.push_back(serviceFromJson(it));
        }
        return answer;
    });
}

std::string announcementToJson(const WorkerAnnouncement &announcement)
{
    const auto &worker = announcement.worker;
    Json json = Detail::resourcesToJson(worker.capacity);
    json["id"] = worker.id.str();
    json["host"] = worker.endpoint.host;
    json["port"] = worker.endpoint.port;
    json["zone"] = worker.zone.str();
    json["rack"] = worker.rack.str();
    json["labels"] = worker.labels;
    json["incarnation"] = worker.incarnation;
    json["leaving"] = worker.leaving;
    json["services"] = Json::array();
    for (const auto &it : announcement.services) {
        Json service = Detail::resourcesToJson(it.reserved);
        service["service"] = it.service.str();
        json["services"].push_back(std::move(service));
    }
    return json.dump();
}

tl::expected<WorkerAnnouncement, std::string> announcementFromJson(const std::string &text)
{
    return parseJson<WorkerAnnouncement>(text, [](const Json &json) {
        WorkerAnnouncement announcement;
        auto &worker = announcement.worker;
        worker.id = WorkerId(json.at("id").get<std::string>());
        if (worker.id.empty()) {
            throw std::invalid_argument("/id is empty");
        }
        worker.endpoint = {json.at("host").get<std::string>(), json.at("port").get<std::uint16_t>()};
        worker.zone = ZoneId(json.value("zone", ""));
        worker.rack = RackId(json.value("rack", ""));
        worker.labels = json.value("labels", Labels{});
        worker.capacity = Detail::resourcesFromJson(json);
        if (!fits({}, worker.capacity)) {
            throw std::invalid_argument("a size is negative");
        }
        worker.incarnation = json.at("incarnation").get<std::int64_t>();
        worker.leaving = json.value("leaving", false);
        for (const auto &it : json.value("services", Json::array())) {
            announcement.services.push_back(
                {ServiceId(it.at("service").get<std::string>()), Detail::resourcesFromJson(it)});
        }
        return announcement;
    });
}

} // namespace Trefoilhoist
