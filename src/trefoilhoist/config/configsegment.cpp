#include "trefoilhoist/config/configsegment.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Trefoilhoist {

namespace {

nlohmann::json editsJson(const LabelEdits &edits)
{
    auto json = nlohmann::json::object();
    for (const auto &[key, value] : edits) {
        json[key] = value ? nlohmann::json(*value) : nlohmann::json();
    }
    return json;
}

LabelEdits editsFrom(const nlohmann::json &json)
{
    LabelEdits edits;
    for (const auto &[key, value] : json.items()) {
        edits[key] = value.is_null() ? std::nullopt : std::optional(value.get<std::string>());
    }
    return edits;
}

ObjectKind kindFrom(const nlohmann::json &json)
{
    const auto kind = objectKindFromName(json.at("kind").get<std::string>());
    if (!kind) {
        throw std::invalid_argument("unknown kind \"" + json.at("kind").get<std::string>() + "\"");
    }
    return *kind;
}

nlohmann::json recordJson(const ConfigRecord &record)
{
    return {{"writeId", record.writeId},
            {"version", record.version},
            {"author", record.author},
            {"atMs", record.atMs},
            {"kind", objectKindName(record.edit.kind)},
            {"name", record.edit.name},
            {"labels", editsJson(record.edit.labels)},
            {"selectors", editsJson(record.edit.selectors)}};
}

ConfigRecord recordFrom(const nlohmann::json &json)
{
    ConfigRecord record;
    record.writeId = json.at("writeId");
    record.version = json.at("version");
    record.author = json.at("author");
    record.atMs = json.at("atMs");
    record.edit = {kindFrom(json), json.at("name"), editsFrom(json.at("labels")), editsFrom(json.at("selectors"))};
    return record;
}

void applyEdits(Labels &labels, const LabelEdits &edits)
{
    for (const auto &[key, value] : edits) {
        if (value) {
            labels[key] = *value;
        } else {
            labels.erase(key);
        }
    }
}

} // namespace

const ConfigObject *ConfigSegment::find(ObjectKind kind, const std::string &name) const
{
    const auto it = std::find_if(objects.begin(), objects.end(), [&](const ConfigObject &object) {
        return object.kind == kind && object.name == name;
    });
    return it == objects.end() ? nullptr : &*it;
}

void ConfigSegment::apply(const ConfigRecord &record)
{
    auto it = std::find_if(objects.begin(), objects.end(), [&](const ConfigObject &object) {
        return object.kind == record.edit.kind && object.name == record.edit.name;
    });
    if (it == objects.end()) {
        it = objects.insert(objects.end(), ConfigObject{record.edit.kind, record.edit.name, {}, {}});
    }
    applyEdits(it->labels, record.edit.labels);
    applyEdits(it->selectors, record.edit.selectors);
    if (it->labels.empty() && it->selectors.empty()) {
        objects.erase(it);
    }
    version += 1;
    history.push_back(record);
    history.back().version = version;
    if (history.size() > configHistoryLength) {
        history.erase(history.begin());
    }
}

std::string ConfigSegment::text() const
{
    auto items = nlohmann::json::array();
    for (const auto &object : objects) {
        items.push_back({{"kind", objectKindName(object.kind)},
                         {"name", object.name},
                         {"labels", object.labels},
                         {"selectors", object.selectors}});
    }
    auto records = nlohmann::json::array();
    for (const auto &record : history) {
        records.push_back(recordJson(record));
    }
    const nlohmann::json json{{"version", version},
                              {"writeId", history.empty() ? std::string() : history.back().writeId},
                              {"objects", items},
                              {"history", records}};
    return json.dump();
}

tl::expected<ConfigSegment, std::string> ConfigSegment::parse(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        ConfigSegment segment;
        segment.version = json.at("version");
        for (const auto &item : json.at("objects")) {
            segment.objects.push_back({kindFrom(item), item.at("name"), item.at("labels"), item.at("selectors")});
        }
        for (const auto &item : json.at("history")) {
            segment.history.push_back(recordFrom(item));
        }
        if (segment.version < 1 || segment.history.empty()) {
            return tl::unexpected(std::string("the version is below 1 or the history is empty"));
        }
        std::int64_t expected = segment.version - static_cast<std::int64_t>(segment.history.size());
        for (const auto &record : segment.history) {
            if (record.version != ++expected) {
                return tl::unexpected(std::string("the history's versions are not consecutive up to the segment's"));
            }
        }
        return segment;
    } catch (const std::exception &e) {
        return tl::unexpected(std::string(e.what()));
    }
}

} // namespace Trefoilhoist
