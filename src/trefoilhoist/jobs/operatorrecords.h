#pragma once

#include "trefoilhoist/jobs/callertranslator.h"
#include "trefoilhoist/jobs/queuetable.h"
#include "trefoilhoist/store/recordstore.h"

#include <set>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// What operators have recorded in the store: the configuration of queues, and the availability zones that are drained.
///
/// The configuration never goes back to an earlier version. Not thread-safe.
class OperatorRecords
{
public:
    /// `translator` must outlive this object.
    explicit OperatorRecords(const ConfigurationTranslator &translator);

    /// Replaces everything by the records of a complete read.
    void replaceAll(const std::vector<StoredRecord> &records);
    /// Applies changes in the order in which they were made.
    void applyChanges(const std::vector<RecordChange> &changes);

    /// False until the first complete read: a drain could be in force that is not known yet.
    [[nodiscard]] bool isComplete() const
    {
        return m_complete;
    }
    [[nodiscard]] const QueueTable &queues() const
    {
        return m_queues;
    }
    [[nodiscard]] const std::set<std::string> &drainedZones() const
    {
        return m_drainedZones;
    }

private:
    void applyConfiguration(const StoredRecord &record);
    void setDrainedZones(std::set<std::string> zones);

    const ConfigurationTranslator &m_translator;
    bool m_complete = false;
    QueueTable m_queues;
    std::set<std::string> m_drainedZones;
};

} // namespace Trefoilhoist::Jobs
