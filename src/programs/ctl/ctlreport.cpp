#include "ctlreport.h"

#include <algorithm>
#include <ctime>
#include <iostream>

namespace Trefoilhoist::Ctl {

namespace {

using Json = nlohmann::ordered_json;
using Row = std::vector<std::string>;

std::string timeText(std::int64_t atMs)
{
    const std::time_t at = atMs / 1000;
    std::tm parts{};
    gmtime_r(&at, &parts);
    std::string text(20, '\0');
    text.resize(std::strftime(text.data(), text.size() + 1, "%Y-%m-%dT%H:%M:%SZ", &parts));
    return text;
}

std::string valueText(const nlohmann::ordered_json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (!value.is_object()) {
        return value.is_null() ? "-" : value.dump();
    }
    // Labels are printed as they are written on the command line.
    std::string text;
    for (const auto &[key, item] : value.items()) {
        text += (text.empty() ? "" : " ") + key + (item.is_null() ? "-" : "=" + valueText(item));
    }
    return text;
}

void printTable(const nlohmann::ordered_json &rows)
{
    std::vector<Row> lines(1);
    for (const auto &[key, value] : rows.front().items()) {
        lines.front().push_back(key);
    }
    for (const auto &row : rows) {
        Row line;
        for (const auto &key : lines.front()) {
            line.push_back(row.contains(key) ? valueText(row.at(key)) : "-");
        }
        lines.push_back(std::move(line));
    }
    for (const auto &line : lines) {
        std::string text;
        for (std::size_t i = 0; i < line.size(); ++i) {
            std::size_t width = 0;
            for (const auto &other : lines) {
                width = std::max(width, other[i].size());
            }
            const bool last = i + 1 == line.size();
            text += line[i] + (last ? "" : std::string(width - line[i].size() + 2, ' '));
        }
        std::cout << text << '\n';
    }
}

} // namespace

Report problemReport(int code, std::string problem)
{
    return {code, nlohmann::ordered_json(), std::move(problem)};
}

Report rowsReport()
{
    return {0, Json::array(), {}};
}

std::string objectText(ObjectKind kind, const std::string &name)
{
    return std::string(objectKindName(kind)) + "/" + name;
}

Json editsJson(const ConfigEdit &edit)
{
    Json json = Json::object();
    for (const auto *edits : {&edit.labels, &edit.selectors}) {
        for (const auto &[key, value] : *edits) {
            json[key] = value ? Json(*value) : Json();
        }
    }
    return json;
}

Json recordJson(const ConfigRecord &record)
{
    return {{"object", objectText(record.edit.kind, record.edit.name)},
            {"version", record.version},
            {"author", record.author},
            {"at", timeText(record.atMs)},
            {"writeId", record.writeId},
            {"change", editsJson(record.edit)}};
}

int print(const Report &report, bool asJson)
{
    if (!report.problem.empty()) {
        std::cerr << "trefoilhoist-ctl: " << report.problem << '\n';
    }
    if (asJson && !report.json.is_null()) {
        std::cout << report.json.dump(2) << '\n';
    } else if (report.json.is_array() && !report.json.empty()) {
        printTable(report.json);
    } else if (report.json.is_object()) {
        for (const auto &[key, value] : report.json.items()) {
            std::cout << key << ": " << valueText(value) << '\n';
        }
    }
    return report.code;
}

} // namespace Trefoilhoist::Ctl
