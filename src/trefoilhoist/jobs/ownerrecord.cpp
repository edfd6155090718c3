#include "trefoilhoist/jobs/ownerrecord.h"

#include "trefoilhoist/log/eventlog.h"
#include "trefoilhoist/wire/message.h"

#include <limits>

namespace Trefoilhoist::Jobs {

bool isValid(const Wire::OwnerRecord &owner)
{
    return owner.epoch >= 0 && owner.epoch <= maxEpoch;
}

std::optional<Wire::OwnerRecord> readOwnerRecord(const StoredRecord &record)
{
    auto owner = Wire::decode<Wire::OwnerRecord>(record.value);
    if (!owner || !isValid(*owner)) {
        Event("record_unreadable").add("key", record.key).add("bytes", record.value.size());
        return std::nullopt;
    }
    return owner;
}

std::optional<Endpoint> endpointOf(const std::string &host, std::int32_t port)
{
    if (port <= 0 || port > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    return Endpoint{host, static_cast<std::uint16_t>(port)};
}

} // namespace Trefoilhoist::Jobs
