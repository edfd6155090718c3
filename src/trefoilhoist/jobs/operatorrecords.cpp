#include "trefoilhoist/jobs/operatorrecords.h"

#include "trefoilhoist/log/eventlog.h"

#include <utility>

namespace Trefoilhoist::Jobs {

OperatorRecords::OperatorRecords(const ConfigurationTranslator &translator) : m_translator(translator) { }

void OperatorRecords::replaceAll(const std::vector<StoredRecord> &records)
{
    std::set<std::string> zones;
    for (const auto &it : records) {
        if (it.key == m_translator.configurationKey()) {
            applyConfiguration(it);
        } else if (auto zone = m_translator.drainedZone(it.key)) {
            zones.insert(std::move(*zone));
        }
    }
    setDrainedZones(std::move(zones));
    m_complete = true;
}

void OperatorRecords::applyChanges(const std::vector<RecordChange> &changes)
{
    auto zones = m_drainedZones;
    const StoredRecord *configuration = nullptr;
    for (const auto &it : changes) {
        if (it.record.key == m_translator.configurationKey()) {
            configuration = it.removed ? configuration : &it.record;
        } else if (auto zone = m_translator.drainedZone(it.record.key)) {
            if (it.removed) {
                zones.erase(*zone);
            } else {
                zones.insert(std::move(*zone));
            }
        }
    }
    // Each version is complete, so only the newest is read. Large versions in quick succession cost a weak host much.
    if (configuration != nullptr) {
        applyConfiguration(*configuration);
    }
    setDrainedZones(std::move(zones));
}

void OperatorRecords::applyConfiguration(const StoredRecord &record)
{
    auto queues = m_translator.queues(record.value);
    if (!queues) {
        Event("configuration_unreadable").add("revision", record.revision).add("reason", queues.error());
        return;
    }
    if (queues->version() <= m_queues.version()) {
        return;
    }
    m_queues = std::move(*queues);
    Event("configuration_taken")
        .add("version", m_queues.version())
        .add("revision", record.revision)
        .add("queues", m_queues.size());
}

void OperatorRecords::setDrainedZones(std::set<std::string> zones)
{
    for (const auto &it : zones) {
        if (m_drainedZones.count(it) == 0) {
            Event("zone_drained").add("zone", it);
        }
    }
    for (const auto &it : m_drainedZones) {
        if (zones.count(it) == 0) {
            Event("zone_drain_ended").add("zone", it);
        }
    }
    m_drainedZones = std::move(zones);
}

} // namespace Trefoilhoist::Jobs
