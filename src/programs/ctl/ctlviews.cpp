#include "ctlviews.h"

#include "ctlinforce.h"

#include "trefoilhoist/config/labelkeys.h"
#include "trefoilhoist/net/program.h"
#include "trefoilhoist/store/keys.h"

#include <algorithm>

namespace Trefoilhoist::Ctl {

namespace {

using Json = nlohmann::ordered_json;

bool sameObject(const ConfigRecord &record, const ObjectName &object)
{
    return record.edit.kind == object.kind && record.edit.name == object.name;
}

// Parses the object named by the first argument, if there is an argument.
tl::expected<std::optional<ObjectName>, std::string> parseOptionalObject(const Options &options)
{
    if (options.arguments.empty()) {
        return std::optional<ObjectName>();
    }
    auto object = parseObjectName(options.arguments.front());
    if (!object) {
        return tl::unexpected(object.error());
    }
    return std::optional(*object);
}

// Reports the objects of the wanted kind and name; all objects if nothing is named.
Report objectsReport(const StoredSegments &segments, const std::optional<ObjectName> &wanted)
{
    std::map<std::string, Json> rows;
    for (const auto &segment : segments) {
        for (const auto &object : segment.objects) {
            const bool kindFits = !wanted || wanted->kind == object.kind;
            const bool nameFits = !wanted || wanted->name.empty() || wanted->name == object.name;
            if (kindFits && nameFits) {
                const auto text = objectText(object.kind, object.name);
                rows[text] = {{"object", text},
                              {"version", segment.version},
                              {"labels", object.labels},
                              {"selectors", object.selectors}};
            }
        }
    }
    auto report = rowsReport();
    for (auto &[text, row] : rows) {
        report.json.push_back(std::move(row));
    }
    return report;
}

// Reports the latest value of each label and selector that changed after `version`.
Report objectDiff(const ConfigSegment &segment, const ObjectName &object, std::int64_t version)
{
    if (!segment.history.empty() && segment.history.front().version > version + 1) {
        return problemReport(exitFailed,
                             "the history reaches back to version " + std::to_string(segment.history.front().version)
                                 + " only");
    }
    std::map<std::string, Json> rows;
    for (const auto &record : segment.history) {
        if (record.version <= version || !sameObject(record, object)) {
            continue;
        }
        const auto edits = editsJson(record.edit);
        for (const auto &[key, value] : edits.items()) {
            rows[key] = {{"key", key}, {"value", value}, {"version", record.version}, {"author", record.author}};
        }
    }
    auto report = rowsReport();
    for (auto &[key, row] : rows) {
        report.json.push_back(std::move(row));
    }
    return report;
}

} // namespace

awaitable<Report> getCommand(Session &session)
{
    const auto wanted = parseOptionalObject(session.options());
    if (!wanted) {
        co_return problemReport(exitBadSettings, wanted.error());
    }
    const auto segments = co_await session.readSegments();
    if (!segments) {
        co_return problemReport(exitFailed, segments.error());
    }
    co_return objectsReport(*segments, *wanted);
}

awaitable<Report> historyCommand(Session &session)
{
    const auto wanted = parseOptionalObject(session.options());
    if (!wanted) {
        co_return problemReport(exitBadSettings, wanted.error());
    }
    const auto segments = co_await session.readSegments();
    if (!segments) {
        co_return problemReport(exitFailed, segments.error());
    }
    std::vector<ConfigRecord> records;
    for (const auto &segment : *segments) {
        std::copy_if(segment.history.begin(),
                     segment.history.end(),
                     std::back_inserter(records),
                     [&](const ConfigRecord &record) { return !*wanted || sameObject(record, **wanted); });
    }
    // Versions count per segment, so changes of different segments are ordered by their authors' clocks.
    std::stable_sort(records.begin(), records.end(), [](const auto &a, const auto &b) { return a.atMs < b.atMs; });
    auto report = rowsReport();
    for (const auto &record : records) {
        report.json.push_back(recordJson(record));
    }
    co_return report;
}

awaitable<Report> diffCommand(Session &session)
{
    const auto &arguments = session.options().arguments;
    const auto segments = co_await session.readSegments();
    if (!segments) {
        co_return problemReport(exitFailed, segments.error());
    }
    if (arguments.empty()) {
        co_return co_await pendingChanges(session, *segments);
    }
    const auto object = parseObjectName(arguments.front());
    const bool versioned = arguments.size() == 2 && !arguments[1].empty()
        && arguments[1].find_first_not_of("0123456789") == std::string::npos;
    if (!object || !versioned) {
        co_return problemReport(exitBadSettings, object ? "usage: diff [KIND/NAME VERSION]" : object.error());
    }
    const auto segment = static_cast<std::size_t>(configSegmentOf(object->kind, object->name));
    co_return objectDiff((*segments)[segment], *object, std::stoll(arguments[1]));
}

awaitable<Report> jobsCommand(Session &session)
{
    const auto &arguments = session.options().arguments;
    const std::string path = arguments.empty() ? "/-/tasks" : "/-/jobs/" + urlEncode(arguments.front());
    std::string lastError = "jobs needs the address of a placer or an entry, for example --process 127.0.0.1:8080";
    std::optional<nlohmann::json> best;
    for (const auto &process : session.options().processes) {
        auto json = co_await session.fetchJson(process, path);
        if (!json) {
            lastError = json.error();
            continue;
        }
        // The answer of the cell's owner takes precedence over that of a process that does not own the cell.
        const bool owning = json->value("owning", true);
        if (!best || owning) {
            best = std::move(*json);
        }
        if (owning) {
            break;
        }
    }
    if (!best) {
        co_return problemReport(exitFailed, lastError);
    }
    auto report = rowsReport();
    report.json = Json::parse(best->dump());
    if (report.json.contains("tasks")) {
        report.json = Json(report.json.at("tasks"));
    }
    co_return report;
}

awaitable<Report> ownersCommand(Session &session)
{
    if (session.options().arguments.empty()) {
        co_return problemReport(exitBadSettings, "usage: owners CELL...");
    }
    auto report = rowsReport();
    for (const auto &cell : session.options().arguments) {
        const auto entry = co_await session.store().get(StoreKeys::cellLease(cell));
        if (!entry) {
            co_return problemReport(exitFailed, "the store can't be read: " + entry.error().reason);
        }
        Json row{{"cell", cell}, {"state", "never owned"}, {"owner", Json()}, {"epoch", 0}};
        if (*entry) {
            const auto value = Json::parse((*entry)->value, nullptr, false);
            const bool named = value.is_object() && value.contains("owner");
            row["state"] = (*entry)->session.empty() ? "free" : "owned";
            row["owner"] = named ? value.at("owner") : Json();
            row["epoch"] = (*entry)->lockIndex;
        }
        report.json.push_back(std::move(row));
    }
    co_return report;
}

awaitable<Report> keysCommand(Session & /*session*/)
{
    auto report = rowsReport();
    for (const auto &row : labelKeys()) {
        report.json.push_back({{"kind", objectKindName(row.kind)},
                               {"key", row.key},
                               {"value", labelTypeName(row.type)},
                               {"meaning", row.meaning}});
    }
    for (const auto &row : selectorKeys()) {
        report.json.push_back(
            {{"kind", objectKindName(row.kind)}, {"key", row.key}, {"value", "selector"}, {"meaning", row.meaning}});
    }
    co_return report;
}

} // namespace Trefoilhoist::Ctl
