#include "trefoilhoist/placement/jobstore.h"

#include "trefoilhoist/config/selector.h"
#include "trefoilhoist/placement/internal/json.h"
#include "trefoilhoist/store/keys.h"

#include <xxhash.h>

#include <charconv>

namespace Trefoilhoist {

using Json = nlohmann::json;

namespace {

constexpr std::size_t maxIdBytes = 200;
constexpr std::size_t maxTasksPerJob = 5000;
constexpr std::int64_t maxSize = std::int64_t{1} << 40;

std::string readId(const Json &json, const char *key)
{
    auto id = json.at(key).get<std::string>();
    if (id.empty() || id.size() > maxIdBytes) {
        throw std::invalid_argument("/" + std::string(key) + " must have 1 to 200 bytes");
    }
    return id;
}

void checkSize(std::int64_t value, const std::string &task)
{
    if (value < 0 || value > maxSize) {
        throw std::invalid_argument("task " + task + ": a size or time is negative or too large");
    }
}

void checkSelector(const std::string &path, const std::string &selector)
{
    const auto parsed = Selector::parse(selector);
    if (!parsed) {
        throw std::invalid_argument(path + ", column " + std::to_string(parsed.error().column) + ": "
                                    + parsed.error().reason);
    }
    if (const auto reason = parsed->contradiction(); !reason.empty()) {
        throw std::invalid_argument(path + " can never match: " + reason);
    }
}

Task taskFromJson(const Json &json, const JobId &job)
{
    Task task;
    const auto name = readId(json, "id");
    task.id = TaskId(job.str() + "/" + name);
    task.job = job;
    task.declared = Detail::resourcesFromJson(json);
    const auto runTime = json.value("runTimeMs", std::int64_t{0});
    for (const auto value : {task.declared.milliCpu, task.declared.memoryMb, task.declared.accelerators, runTime}) {
        checkSize(value, name);
    }
    task.declaredRunTime = milliseconds(runTime);
    return task;
}

Json taskToJson(const Task &task)
{
    Json json = Detail::resourcesToJson(task.declared);
    json["id"] = task.id.str().substr(task.job.str().size() + 1);
    json["runTimeMs"] = duration_cast<milliseconds>(task.declaredRunTime).count();
    return json;
}

Job jobFromJson(const Json &json)
{
    Job job;
    job.id = JobId(readId(json, "id"));
    job.team = TeamId(json.value("team", ""));
    job.batchClass = json.value("class", "");
    job.urgent = json.value("urgent", false);
    job.labels = json.value("labels", Labels{});
    job.where = json.value("where", "");
    job.beside = json.value("beside", "");
    job.yieldRank = json.value("yieldRank", 0);
    const auto &tasks = json.at("tasks");
    if (!tasks.is_array() || tasks.empty() || tasks.size() > maxTasksPerJob) {
        throw std::invalid_argument("/tasks must have 1 to 5000 elements");
    }
    std::set<TaskId> ids;
    for (const auto &it : tasks) {
        job.tasks.push_back(taskFromJson(it, job.id));
        if (!ids.insert(job.tasks.back().id).second) {
            throw std::invalid_argument("task " + job.tasks.back().id.str() + " is named twice");
        }
    }
    return job;
}

Json storedJobToJson(const StoredJob &stored)
{
    const auto &job = stored.job;
    Json json{{"id", job.id.str()},
              {"team", job.team.str()},
              {"class", job.batchClass},
              {"urgent", job.urgent},
              {"labels", job.labels},
              {"where", job.where},
              {"beside", job.beside},
              {"yieldRank", job.yieldRank},
              {"tasks", Json::array()}};
    for (const auto &it : job.tasks) {
        json["tasks"].push_back(taskToJson(it));
    }
    if (!stored.nonce.empty()) {
        json["nonce"] = stored.nonce;
    }
    if (stored.cancelled) {
        json["cancelled"] = true;
    }
    return json;
}

Json recordToJson(const JobRecord &record)
{
    Json json{{"nonce", record.nonce}};
    if (!record.failure.empty()) {
        json["failure"] = record.failure;
    }
    for (const auto &[task, run] : record.done) {
        json["done"][task.str()] = run;
    }
    for (const auto &[task, it] : record.checkpoints) {
        json["checkpoints"][task.str()] = {{"run", it.run}, {"checkpoint", it.checkpoint}};
    }
    return json;
}

JobRecord recordFromJson(const Json &json)
{
    JobRecord record;
    record.nonce = json.value("nonce", "");
    record.failure = json.value("failure", "");
    const auto done = json.value("done", Json::object());
    for (const auto &it : done.items()) {
        record.done[TaskId(it.key())] = it.value().get<RunNumber>();
    }
    const auto checkpoints = json.value("checkpoints", Json::object());
    for (const auto &it : checkpoints.items()) {
        record.checkpoints[TaskId(it.key())]
            = {it.value().at("run").get<RunNumber>(), it.value().value("checkpoint", "")};
    }
    return record;
}

/// Parses a stored value. An empty text stands for a key that does not exist and gives an empty value.
template <typename Value, typename Read>
tl::expected<Value, std::string> parseStoredValue(const std::string &text, Read read)
{
    try {
        return text.empty() ? Value{} : read(Json::parse(text));
    } catch (const std::exception &e) {
        return tl::unexpected(std::string(e.what()));
    }
}

} // namespace

int jobSegmentOf(const JobId &job)
{
    return static_cast<int>(XXH64(job.str().data(), job.str().size(), 0) % jobSegmentCount);
}

std::string jobSegmentKey(const std::string &cell, int segment)
{
    return StoreKeys::cellJobs(cell) + std::to_string(segment);
}

std::string recordSegmentKey(const std::string &cell, int segment)
{
    return StoreKeys::cellRecords(cell) + std::to_string(segment);
}

std::optional<int> segmentOfKey(const std::string &key)
{
    const auto slash = key.rfind('/');
    int segment = -1;
    const char *end = key.data() + key.size();
    const char *begin = slash == std::string::npos ? end : key.data() + slash + 1;
    const auto [stop, ec] = std::from_chars(begin, end, segment);
    if (ec != std::errc() || stop != end || segment < 0 || segment >= jobSegmentCount) {
        return std::nullopt;
    }
    return segment;
}

tl::expected<Job, std::string> jobFromRequest(const std::string &text)
{
    try {
        auto job = jobFromJson(Json::parse(text));
        checkSelector("/where", job.where);
        checkSelector("/beside", job.beside);
        return job;
    } catch (const std::exception &e) {
        return tl::unexpected(std::string(e.what()));
    }
}

std::string jobToJson(const StoredJob &job)
{
    return storedJobToJson(job).dump();
}

bool isSameJob(const Job &left, const Job &right)
{
    return storedJobToJson({left, {}, false}) == storedJobToJson({right, {}, false});
}

std::string jobSegmentToJson(const JobSegment &segment, const std::string &writeId)
{
    Json json{{"writeId", writeId}, {"jobs", Json::object()}};
    for (const auto &[id, job] : segment) {
        json["jobs"][id.str()] = storedJobToJson(job);
    }
    return json.dump();
}

tl::expected<JobSegment, std::string> jobSegmentFromJson(const std::string &text)
{
    return parseStoredValue<JobSegment>(text, [](const Json &json) {
        JobSegment segment;
        for (const auto &it : json.at("jobs").items()) {
            StoredJob stored{jobFromJson(it.value()), it.value().value("nonce", ""), false};
            stored.cancelled = it.value().value("cancelled", false);
            segment.emplace(JobId(it.key()), std::move(stored));
        }
        return segment;
    });
}

std::string recordSegmentToJson(const RecordSegment &segment, const std::string &writeId)
{
    Json json{{"writeId", writeId}, {"epoch", segment.epoch}, {"jobs", Json::object()}};
    for (const auto &[id, record] : segment.jobs) {
        json["jobs"][id.str()] = recordToJson(record);
    }
    return json.dump();
}

tl::expected<RecordSegment, std::string> recordSegmentFromJson(const std::string &text)
{
    return parseStoredValue<RecordSegment>(text, [](const Json &json) {
        RecordSegment segment;
        segment.epoch = json.at("epoch").get<std::int64_t>();
        for (const auto &it : json.at("jobs").items()) {
            segment.jobs.emplace(JobId(it.key()), recordFromJson(it.value()));
        }
        return segment;
    });
}

std::string rosterToJson(const std::set<WorkerId> &roster, const std::string &writeId)
{
    Json json{{"writeId", writeId}, {"workers", Json::array()}};
    for (const auto &it : roster) {
        json["workers"].push_back(it.str());
    }
    return json.dump();
}

tl::expected<std::set<WorkerId>, std::string> rosterFromJson(const std::string &text)
{
    return parseStoredValue<std::set<WorkerId>>(text, [](const Json &json) {
        std::set<WorkerId> roster;
        for (const auto &it : json.at("workers")) {
            roster.insert(WorkerId(it.get<std::string>()));
        }
        return roster;
    });
}

} // namespace Trefoilhoist
