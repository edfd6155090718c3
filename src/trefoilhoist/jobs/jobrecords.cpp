#include "trefoilhoist/jobs/jobrecords.h"

#include "trefoilhoist/jobs/recordkeys.h"
#include "trefoilhoist/wire/message.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

constexpr std::int32_t maxTasksOfStep = 100'000;
constexpr std::int32_t maxOccurrences = 100'000;
constexpr std::int64_t maxMs = std::int64_t{1} << 53U;

bool isWithin(std::int64_t value, std::int64_t least, std::int64_t most)
{
    return value >= least && value <= most;
}

bool isValid(const Wire::StepSpec &step, std::size_t number)
{
    const auto isEarlier = [&](std::int32_t it) {
        return it >= 0 && static_cast<std::size_t>(it) < number;
    };
    return isWithin(step.count, 1, maxTasksOfStep) && std::all_of(step.after.begin(), step.after.end(), isEarlier);
}

} // namespace

std::optional<Wire::JobSpec> readSpec(const StoredRecord &record, const std::string &job)
{
    auto spec = Wire::decode<Wire::JobSpec>(record.value);
    bool valid = spec && spec->id == job && !spec->steps.empty() && isWithin(spec->occurrences, 0, maxOccurrences)
        && isWithin(spec->acceptedAtMs, 0, maxMs);
    for (std::size_t i = 0; valid && i < spec->steps.size(); ++i) {
        valid = isValid(spec->steps[i], i);
    }
    return valid ? std::move(spec) : std::nullopt;
}

std::optional<Wire::JobProgress> readProgress(const StoredRecord &record)
{
    auto progress = Wire::decode<Wire::JobProgress>(record.value);
    const auto isValidOccurrence = [](const auto &it) {
        return isWithin(it.first, 0, maxOccurrences);
    };
    const bool valid = progress && isWithin(progress->phase, 0, static_cast<std::int64_t>(jobPhaseNames.size()) - 1)
        && std::all_of(progress->occurrences.begin(), progress->occurrences.end(), isValidOccurrence);
    return valid ? std::move(progress) : std::nullopt;
}

JobRecords::JobRecords(std::int64_t epochRevision) : m_queue(epochRecordKey, epochRevision) { }

void JobRecords::trackExisting(const std::string &key, std::int64_t revision)
{
    m_queue.trackExisting(key, revision);
}

void JobRecords::trackExistingFinalJob(const std::string &job)
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

bool JobRecords::isKnownUnsubmitted(const std::string &job) const
{
    return m_queue.isKnownUnwritten(specKey(job));
}

void JobRecords::putProgress(const Job &job)
{
    m_queue.put(progressKey(job.id()), Wire::encode(job.progress()), job.version());
    if (!job.isActive()) {
        m_pendingFinalProgress[job.id()] = job.version();
    }
}

void JobRecords::putRoster(const Wire::WorkerRoster &roster)
{
    m_queue.put(rosterKey, Wire::encode(roster), ++m_rosterVersion);
}

bool JobRecords::removeRecords(const std::string &job)
{
    if (m_queue.mayExist(specKey(job))) {
        return false;
    }
    const auto [it, isNew] = m_submissionAbsent.emplace(job, false);
    if (isNew) {
        // The removal of a record that is not known to exist holds only if it doesn't.
        m_queue.remove(specKey(job));
    }
    if (!it->second) {
        return false;
    }
    m_submissionAbsent.erase(it);
    m_queue.remove(progressKey(job));
    return true;
}

CommittedRecords JobRecords::applyOutcome(const RecordBatch &batch, const CommitOutcome &outcome)
{
    CommittedRecords committed;
    for (const auto &it : m_queue.applyOutcome(batch, outcome)) {
        if (it.key == rosterKey) {
            committed.roster = it.tag == m_rosterVersion;
            continue;
        }
        const auto name = parseJobRecordKey(it.key);
        if (name.isSpec) {
            if (it.present) {
                committed.accepted.push_back(name.job);
            } else if (const auto removed = m_submissionAbsent.find(name.job); removed != m_submissionAbsent.end()) {
                removed->second = true;
            }
            continue;
        }
        committed.progress[name.job] = it.tag;
        const auto finalProgress = m_pendingFinalProgress.find(name.job);
        if (finalProgress != m_pendingFinalProgress.end() && it.tag >= finalProgress->second) {
            m_pendingFinalProgress.erase(finalProgress);
            m_queue.remove(specKey(name.job));
        }
    }
    return committed;
}

} // namespace Trefoilhoist::Jobs
