#include "trefoilhoist/membership/minionrecord.h"

#include <xxhash.h>

#include <string>
#include <tuple>

namespace Trefoilhoist {

namespace {

auto orderingKey(const Wire::MinionRecord &record)
{
    return std::tie(record.incarnation, record.leaving, record.sequence, record.gone, record.owner);
}

void appendField(std::string &buf, const std::string &field)
{
    buf += std::to_string(field.size());
    buf += ':';
    buf += field;
}

void appendField(std::string &buf, std::int64_t field)
{
    buf += std::to_string(field);
    buf += ';';
}

} // namespace

bool isNewer(const Wire::MinionRecord &left, const Wire::MinionRecord &right)
{
    return orderingKey(right) < orderingKey(left);
}

std::uint64_t recordHash(const Wire::MinionRecord &record)
{
    std::string buf;
    buf.reserve(256);
    appendField(buf, record.id);
    appendField(buf, record.host);
    appendField(buf, record.port);
    appendField(buf, record.availabilityZone);
    appendField(buf, record.serviceName);
    for (const auto &[key, value] : record.labels) {
        appendField(buf, key);
        appendField(buf, value);
    }
    appendField(buf, record.slots);
    appendField(buf, record.connections);
    appendField(buf, record.incarnation);
    appendField(buf, record.sequence);
    appendField(buf, record.leaving ? 1 : 0);
    appendField(buf, record.owner);
    return XXH3_64bits(buf.data(), buf.size());
}

Wire::MinionRecord recordOf(const Minion &minion, std::int64_t sequence, const EntryId &owner)
{
    Wire::MinionRecord record;
    record.id = minion.id.str();
    record.host = minion.endpoint.host;
    record.port = minion.endpoint.port;
    record.availabilityZone = minion.zone.str();
    record.serviceName = minion.service.str();
    record.labels = minion.labels;
    record.slots = minion.slots;
    record.connections = minion.connections;
    record.incarnation = minion.incarnation;
    record.sequence = sequence;
    record.leaving = minion.leaving;
    record.owner = owner.str();
    return record;
}

Minion minionOf(const Wire::MinionRecord &record)
{
    Minion minion;
    minion.id = MinionId(record.id);
    minion.endpoint = Endpoint{record.host, static_cast<std::uint16_t>(record.port)};
    minion.zone = ZoneId(record.availabilityZone);
    minion.service = ServiceId(record.serviceName);
    minion.labels = record.labels;
    minion.slots = record.slots;
    minion.connections = record.connections;
    minion.incarnation = record.incarnation;
    minion.leaving = record.leaving;
    return minion;
}

bool sameContent(const Wire::MinionRecord &left, const Wire::MinionRecord &right)
{
    const auto content = [](const Wire::MinionRecord &r) {
        return std::tie(r.host,
                        r.port,
                        r.availabilityZone,
                        r.serviceName,
                        r.labels,
                        r.slots,
                        r.connections,
                        r.incarnation,
                        r.leaving,
                        r.gone);
    };
    return content(left) == content(right);
}

} // namespace Trefoilhoist
