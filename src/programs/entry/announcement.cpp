#include "announcement.h"

#include "trefoilhoist/config/settings.h"

#include <nlohmann/json.hpp>

namespace Trefoilhoist {

namespace {

const char *const announcementSchema = R"({
  "type": "object",
  "required": ["id", "host", "port", "zone", "service", "slots", "incarnation", "sequence"],
  "properties": {
    "id": {"type": "string", "minLength": 1, "maxLength": 200},
    "host": {"type": "string", "minLength": 1},
    "port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "zone": {"type": "string"},
    "service": {"type": "string", "minLength": 1},
    "labels": {"type": "object", "additionalProperties": {"type": "string"}},
    "slots": {"type": "integer", "minimum": 1},
    "connections": {"type": "integer", "minimum": 1},
    "incarnation": {"type": "integer"},
    "sequence": {"type": "integer"},
    "leaving": {"type": "boolean"}
  }
})";

} // namespace

tl::expected<Announcement, std::string> announcementFromJson(const std::string &body)
{
    const auto json = checkSettings(body, announcementSchema, "announcement");
    if (!json) {
        return tl::unexpected(json.error().str());
    }
    Announcement announcement;
    auto &minion = announcement.minion;
    minion.id = MinionId(json->at("id").get<std::string>());
    minion.endpoint = {json->at("host").get<std::string>(), json->at("port").get<std::uint16_t>()};
    minion.zone = ZoneId(json->at("zone").get<std::string>());
    minion.service = ServiceId(json->at("service").get<std::string>());
    minion.labels = json->value("labels", Labels());
    minion.slots = json->at("slots").get<int>();
    minion.connections = json->value("connections", minion.slots);
    minion.incarnation = json->at("incarnation").get<std::int64_t>();
    minion.leaving = json->value("leaving", false);
    announcement.sequence = json->at("sequence").get<std::int64_t>();
    return announcement;
}

std::string minionsToJson(const std::vector<Wire::MinionRecord> &records)
{
    auto list = nlohmann::json::array();
    for (const auto &record : records) {
        list.push_back({{"id", record.id},
                        {"host", record.host},
                        {"port", record.port},
                        {"zone", record.availabilityZone},
                        {"service", record.serviceName},
                        {"labels", record.labels},
                        {"slots", record.slots},
                        {"connections", record.connections},
                        {"incarnation", record.incarnation},
                        {"sequence", record.sequence},
                        {"leaving", record.leaving},
                        {"gone", record.gone},
                        {"owner", record.owner},
                        {"ageMs", record.ageMs}});
    }
    return list.dump();
}

} // namespace Trefoilhoist
