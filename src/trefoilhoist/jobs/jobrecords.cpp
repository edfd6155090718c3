#include "trefoilhoist/jobs/jobrecords.h"

#include "trefoilhoist/jobs/recordkeys.h"
#include "trefoilhoist/wire/message.h"

namespace Trefoilhoist::Jobs {

JobRecords::JobRecords(std::int64_t epochRevision) : m_queue(epochRecordKey, epochRevision) { }

void JobRecords::know(const std::string &key, std::int64_t revision)
{
    m_queue.trackExisting(key, revision);
}

void JobRecords::knowFinal(const std::string &job)
{
    if (m_queue.mayExist(specKey(job))) {
        m_queue.remove(specKey(job));
    }
}

void JobRecords::submit(const Wire::JobSpec &spec)
{
    m_queue.put(specKey(spec.id), Wire::encode(spec), 0);
}

bool JobRecords::withdraw(const std::string &job)
{
    return m_queue.withdraw(specKey(job));
}

bool JobRecords::surelyUnsubmitted(const std::string &job) const
{
    return m_queue.isKnownUnwritten(specKey(job));
}

void JobRecords::putProgress(const Job &job)
{
    m_queue.put(progressKey(job.id()), Wire::encode(job.progress()), job.version());
    if (!job.active()) {
        m_ending[job.id()] = job.version();
    }
}

void JobRecords::putRoster(const Wire::WorkerRoster &roster)
{
    m_queue.put(rosterKey, Wire::encode(roster), ++m_rosterVersion);
}

bool JobRecords::forget(const std::string &job)
{
    if (m_queue.mayExist(specKey(job))) {
        return false;
    }
    m_queue.remove(progressKey(job));
    return true;
}

SettledJobs JobRecords::finished(const RecordBatch &batch, const CommitOutcome &outcome)
{
    SettledJobs settled;
    for (const auto &it : m_queue.applyOutcome(batch, outcome)) {
        if (it.key == rosterKey) {
            settled.roster = it.tag == m_rosterVersion;
            continue;
        }
        const auto name = jobRecordFrom(it.key);
        if (name.isSpec) {
            if (it.present) {
                settled.accepted.push_back(name.job);
            }
            continue;
        }
        settled.progress[name.job] = it.tag;
        const auto ending = m_ending.find(name.job);
        if (ending != m_ending.end() && it.tag >= ending->second) {
            m_ending.erase(ending);
            m_queue.remove(specKey(name.job));
        }
    }
    return settled;
}

} // namespace Trefoilhoist::Jobs
