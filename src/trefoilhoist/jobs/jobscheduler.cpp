#include "trefoilhoist/jobs/jobscheduler.h"
#include "trefoilhoist/jobs/servingadmission.h"

#include <algorithm>
#include <utility>

namespace Trefoilhoist::Jobs {

namespace {

/// Cancels of unknown jobs get one part in so many of the memory for jobs, so that there is room for submissions.
constexpr std::int64_t unknownCancelsPart = 8;

} // namespace

JobScheduler::JobScheduler(SchedulerSettings settings, std::int64_t epoch)
    : m_settings(settings)
    , m_epoch(epoch)
    , m_memory(settings.jobMemoryBytes)
    , m_unknownCancels(settings.jobMemoryBytes / unknownCancelsPart)
    , m_rackWaits(settings.remoteRunMultiplier)
{
}

JobScheduler::Entry *JobScheduler::find(const std::string &id)
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

JobScheduler::Entry *JobScheduler::findForRun(const Wire::TaskRef &task)
{
    auto *entry = find(task.job);
    if (entry != nullptr && entry->job.openStartedOccurrence(task.occurrence)) {
        m_jobsToRefresh.insert(task.job);
    }
    return entry;
}

void JobScheduler::restoreJob(Wire::JobSpec spec,
                              const std::optional<Wire::JobProgress> &progress,
                              TimePoint now,
                              std::int64_t wallMs)
{
    // The age of the job is known only from wall clocks, which may differ slightly between hosts.
    const Duration age = milliseconds(std::max<std::int64_t>(0, wallMs - spec.acceptedAtMs));
    const std::string id = spec.id;
    Entry entry{Job(std::move(spec), now - age), true, true, 0};
    if (progress) {
        entry.job.restore(*progress);
    }
    releaseMemory(entry);
    updateMemory(entry);
    const bool stillActive = entry.job.isActive();
    m_jobs.insert_or_assign(id, std::move(entry));
    if (stillActive) {
        m_active.insert(id);
        m_jobsToRefresh.insert(id);
    }
}

void JobScheduler::restoreRoster(const Wire::WorkerRoster &roster, TimePoint now)
{
    for (const auto &it : roster.workers) {
        m_roster[agentName(it)] = it;
        m_recordedRoster.insert(agentName(it));
        m_unreported.insert(agentName(it));
    }
    m_reportDeadline = now + m_settings.grantGrace + m_settings.workerLease + m_settings.leaseSlack;
}

void JobScheduler::restoreUnknownRoster(TimePoint now)
{
    restoreRoster({}, now);
    m_unreported.insert(unknownAgents);
    // The next roster replaces the record.
    m_rosterChanged = true;
}

SubmissionState JobScheduler::submit(const Wire::JobSpec &spec, TimePoint now)
{
    if (const auto *known = find(spec.id)) {
        if (known->job.isNeverSubmitted()) {
            return SubmissionState::CancelledBefore;
        }
        return known->accepted ? SubmissionState::Known : SubmissionState::Pending;
    }
    const auto bytes = JobMemory::submissionBytes(spec);
    if (!m_memory.hasRoomFor(bytes)) {
        return SubmissionState::NoMemory;
    }
    if (m_settings.servingAdmission && !hasRoomFor(spec)) {
        return SubmissionState::NoRoom;
    }
    m_jobs.emplace(spec.id, Entry{Job(spec, now), false, false, 0, 0, bytes});
    m_memory.replace(0, bytes);
    return SubmissionState::New;
}

bool JobScheduler::hasRoomFor(const Wire::JobSpec &spec) const
{
    const bool hasLongRunning
        = std::any_of(spec.steps.begin(), spec.steps.end(), [](const auto &it) { return it.longRunning; });
    if (!hasLongRunning || !m_unreported.empty() || m_workers.empty()) {
        // Workers that have not reported yet may have room.
        return true;
    }
    ServingAdmission admission;
    for (const auto &[id, worker] : m_workers) {
        if (worker.info.serviceName == spec.queue.serviceName && !worker.draining && !worker.zoneDrained) {
            admission.addWorker(worker);
        }
    }
    for (const auto &[id, entry] : m_jobs) {
        if (entry.job.isActive() && serviceOf(entry.job) == spec.queue.serviceName) {
            admission.addWaiting(entry.job);
        }
    }
    return admission.admits(spec);
}

void JobScheduler::accept(const std::string &id)
{
    auto *entry = find(id);
    if (entry == nullptr || entry->accepted) {
        return;
    }
    entry->accepted = true;
    updateMemory(*entry);
    if (entry->job.isActive()) {
        m_active.insert(id);
        m_jobsToRefresh.insert(id);
    }
}

void JobScheduler::withdraw(const std::string &id)
{
    const auto *entry = find(id);
    if (entry != nullptr && !entry->accepted && entry->job.isActive()) {
        erase(id);
    }
}

const Job *JobScheduler::job(const std::string &id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() || !it->second.accepted ? nullptr : &it->second.job;
}

const Job *JobScheduler::jobToRecord(const std::string &id) const
{
    const auto it = m_jobs.find(id);
    const bool found = it != m_jobs.end() && (it->second.accepted || !it->second.job.isActive());
    return found ? &it->second.job : nullptr;
}

void JobScheduler::cancel(const std::string &id, TimePoint now)
{
    auto *entry = find(id);
    if (entry == nullptr) {
        addNeverSubmitted(id, now);
        return;
    }
    if (!entry->job.isActive()) {
        return;
    }
    entry->job.cancel(wallMilliseconds());
    markChanged(id);
    stopRuns(*entry, now);
}

bool JobScheduler::mayCancel(const std::string &id) const
{
    return knows(id) || (m_unknownCancels.hasRoomFor(unknownCancelBytes) && m_memory.hasRoomFor(unknownCancelBytes));
}

void JobScheduler::addNeverSubmitted(const std::string &id, TimePoint now)
{
    Wire::JobSpec spec;
    spec.id = id;
    auto &entry = m_jobs.emplace(id, Entry{Job(std::move(spec), now), false, false, 0}).first->second;
    entry.job.cancelUnsubmitted(wallMilliseconds());
    updateMemory(entry);
    markChanged(id);
}

std::int64_t JobScheduler::waitingJobs(const std::string &queue) const
{
    return std::count_if(m_active.begin(), m_active.end(), [&](const auto &id) {
        const auto &job = m_jobs.at(id).job;
        return job.spec().queue.name == queue && !job.hasStarted();
    });
}

void JobScheduler::markChanged(const std::string &id)
{
    m_changedJobs.insert(id);
    m_jobsToRefresh.insert(id);
}

std::set<std::string> JobScheduler::takeChangedJobs()
{
    return std::exchange(m_changedJobs, {});
}

void JobScheduler::markProgressRecorded(const std::string &id, std::int64_t version)
{
    auto *entry = find(id);
    if (entry == nullptr || version <= entry->recordedVersion) {
        return;
    }
    entry->recordedVersion = version;
    // The record of a cancel takes the place of that of the submission.
    accept(id);
    acknowledgeEndsOf(id);
}

std::int64_t JobScheduler::recordedVersion(const std::string &id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? 0 : it->second.recordedVersion;
}

std::vector<std::string> JobScheduler::expiredJobs(std::int64_t wallMs) const
{
    std::vector<std::string> ids;
    for (const auto &[id, entry] : m_jobs) {
        const bool isRecorded = entry.recordedVersion >= entry.job.version();
        if (!entry.job.isActive() && isRecorded && entry.job.endedAtMs() + m_settings.keepEndedMs < wallMs) {
            ids.push_back(id);
        }
    }
    return ids;
}

void JobScheduler::removeJob(const std::string &id)
{
    m_active.erase(id);
    erase(id);
    acknowledgeEndsOf(id);
}

std::optional<Wire::WorkerRoster> JobScheduler::takeChangedRoster()
{
    // The next owner must not take a roster for whole while there may be agents that are not in it.
    if (!m_rosterChanged || m_unreported.count(unknownAgents) != 0) {
        return std::nullopt;
    }
    m_rosterChanged = false;
    Wire::WorkerRoster roster;
    for (const auto &[name, worker] : m_roster) {
        roster.workers.push_back(worker);
    }
    return roster;
}

void JobScheduler::markRosterRecorded(const Wire::WorkerRoster &roster)
{
    m_recordedRoster.clear();
    for (const auto &it : roster.workers) {
        // The record without an agent that was removed since is still to be written.
        if (m_roster.count(agentName(it)) > 0) {
            m_recordedRoster.insert(agentName(it));
        }
    }
    for (auto &[id, worker] : m_workers) {
        worker.inRecordedRoster = m_recordedRoster.count(agentName(worker.info)) > 0;
    }
}

bool JobScheduler::isDrained(const std::string &zone) const
{
    return m_drainedZones.count(zone) > 0;
}

void JobScheduler::setDrainedZones(std::set<std::string> zones)
{
    m_drainedZones = std::move(zones);
    for (auto &[id, worker] : m_workers) {
        worker.zoneDrained = isDrained(worker.info.zone);
        // Starts that got no answer must not be sent again.
        worker.mayNeedOrders = true;
    }
}

void JobScheduler::stopRuns(Entry &entry, TimePoint now)
{
    for (auto &[number, occurrence] : entry.job.occurrences()) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::size_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
                for (const auto &run : occurrence.steps[step].tasks[index].activeRuns) {
                    const auto worker = m_workers.find(run.worker);
                    if (worker != m_workers.end()) {
                        const auto ref = taskRef(entry.job.id(), number, step, index);
                        requestStop(worker->second, {ref, run.run}, now);
                    }
                }
            }
        }
    }
}

void JobScheduler::releaseMemory(Entry &entry)
{
    if (entry.job.isActive()) {
        return;
    }
    for (const auto &[number, occurrence] : entry.job.occurrences()) {
        for (const auto &step : occurrence.steps) {
            for (const auto &task : step.tasks) {
                if (!task.activeRuns.empty()) {
                    return;
                }
            }
        }
    }
    entry.job.releaseMemory();
}

void JobScheduler::updateMemory(Entry &entry)
{
    const auto bytes = JobMemory::recordedBytes(entry.job);
    setMemory(entry, bytes);
}

void JobScheduler::setMemory(Entry &entry, std::int64_t bytes)
{
    m_memory.replace(entry.memoryBytes, bytes);
    if (entry.job.isNeverSubmitted()) {
        m_unknownCancels.replace(entry.memoryBytes, bytes);
    }
    entry.memoryBytes = bytes;
}

void JobScheduler::erase(const std::string &id)
{
    const auto it = m_jobs.find(id);
    if (it != m_jobs.end()) {
        setMemory(it->second, 0);
        m_jobs.erase(it);
    }
}

} // namespace Trefoilhoist::Jobs
