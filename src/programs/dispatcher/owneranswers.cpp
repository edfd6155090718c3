// The owner's answers to callers and agents.
#include "ownersession.h"

#include "trefoilhoist/jobs/servingadmission.h"
#include "trefoilhoist/log/eventlog.h"

namespace Trefoilhoist::Dispatcher {

namespace {

using Jobs::JobOutcome;
using Jobs::JobPhase;

constexpr Duration verificationPollInterval = milliseconds(20);
/// Store outages last for seconds and callers retry only a few times, so callers are told to retry later than usual.
constexpr std::int64_t outageRetryAfterMs = 2000;
/// Jobs leave the memory only when they have ended and were kept for a while.
constexpr std::int64_t memoryRetryAfterMs = 5000;

// Returns the estimated CPU time of one occurrence.
double coreSeconds(const Wire::JobSpec &spec)
{
    constexpr double milliCpuMsPerCoreSecond = 1e6;
    double sum = 0;
    for (const auto &it : spec.steps) {
        sum += static_cast<double>(it.count) * it.cpuMilli * static_cast<double>(it.estimatedMs)
            / milliCpuMsPerCoreSecond;
    }
    return sum;
}

} // namespace

Wire::JobAnswer answerOf(JobOutcome outcome, std::int64_t retryAfterMs)
{
    Wire::JobAnswer answer;
    answer.outcome = static_cast<int>(outcome);
    answer.retryAfterMs = retryAfterMs;
    return answer;
}

std::optional<Wire::JobAnswer> OwnerSession::refuseNewRecord(const char *event, const std::string &id, TimePoint now)
{
    if (m_storeReachability.isUnreachable(now)) {
        Event(event).add("job", id).add("epoch", m_term.epoch).add("reason", "the store is unreachable");
        return answerOf(JobOutcome::Refused, outageRetryAfterMs);
    }
    const auto retryAfter = m_intake.retryAfter(now);
    if (!retryAfter) {
        return std::nullopt;
    }
    Event(event)
        .add("job", id)
        .add("epoch", m_term.epoch)
        .add("reason", "the owner is behind with its work")
        .add("lagMs", duration_cast<milliseconds>(m_intake.lag(now)).count());
    return answerOf(JobOutcome::Refused, duration_cast<milliseconds>(*retryAfter).count());
}

Wire::JobAnswer OwnerSession::refuseForMemory(const char *event, const std::string &id)
{
    Event(event)
        .add("job", id)
        .add("epoch", m_term.epoch)
        .add("reason", "the memory for jobs is used up")
        .add("usedBytes", m_scheduler.memoryBytes());
    m_context.metrics.counter("trefoilhoist_refused_memory").add();
    return answerOf(JobOutcome::Refused, memoryRetryAfterMs);
}

Wire::JobAnswer OwnerSession::refuseForRoom(const std::string &id)
{
    const auto retryAfter = Jobs::ServingAdmission::retryAfter(id);
    Event("job_refused")
        .add("job", id)
        .add("epoch", m_term.epoch)
        .add("reason", "no room for its long-running tasks")
        .add("retryAfterMs", duration_cast<milliseconds>(retryAfter).count());
    m_context.metrics.counter("trefoilhoist_refused_no_room").add();
    return answerOf(JobOutcome::Refused, duration_cast<milliseconds>(retryAfter).count());
}

std::optional<Wire::JobAnswer> OwnerSession::answerWithoutRecording(Jobs::SubmissionState state, const std::string &id)
{
    switch (state) {
    case Jobs::SubmissionState::Known:
        Event("job_repeated").add("job", id).add("epoch", m_term.epoch);
        return answerOf(JobOutcome::Ok);
    case Jobs::SubmissionState::CancelledBefore:
        Event("job_refused").add("job", id).add("epoch", m_term.epoch).add("reason", "cancelled before it arrived");
        return answerOf(JobOutcome::Refused);
    case Jobs::SubmissionState::NoMemory:
        return refuseForMemory("job_refused", id);
    case Jobs::SubmissionState::NoRoom:
        return refuseForRoom(id);
    case Jobs::SubmissionState::New:
    case Jobs::SubmissionState::Pending:
        break;
    }
    return std::nullopt;
}

awaitable<Wire::JobAnswer> OwnerSession::submit(Wire::JobSpec spec, Duration timeout)
{
    const auto self = shared_from_this();
    const auto receivedAt = m_context.clock.now();
    const std::string id = spec.id;
    const auto submissionState = m_scheduler.submit(spec, receivedAt);
    if (const auto answer = answerWithoutRecording(submissionState, id)) {
        co_return *answer;
    }
    if (submissionState == Jobs::SubmissionState::New) {
        if (const auto refusal = refuseNewRecord("job_refused", id, receivedAt)) {
            m_scheduler.withdraw(id);
            co_return *refusal;
        }
        m_records.submit(spec);
        startRecording();
    }
    // Not needed for the answer, for which many callers may wait.
    spec.payload = {};
    spec.payload.shrink_to_fit();
    co_await m_waiters.wait(id, timeout);
    const auto waited = m_context.clock.now() - receivedAt;
    if (m_closed) {
        co_return answerOf(JobOutcome::Unresolved);
    }
    if (m_scheduler.job(id) != nullptr) {
        m_context.metrics.latency("trefoilhoist_job_record").record(waited, m_context.clock.now());
        Event("job_accepted")
            .add("job", id)
            .add("queue", spec.queue.name)
            .add("steps", spec.steps.size())
            .add("tasks", Jobs::taskCount(spec))
            .add("coreSeconds", coreSeconds(spec))
            .add("image", spec.steps.front().image)
            .add("longRunning", spec.steps.front().longRunning)
            .add("usesIdleCpu", spec.steps.front().usesIdleCpu)
            .add("epoch", m_term.epoch)
            .add("recordMs", duration_cast<milliseconds>(waited).count());
        co_return answerOf(JobOutcome::Ok);
    }
    const bool withdrawn = m_records.withdraw(id);
    if (withdrawn) {
        m_scheduler.withdraw(id);
        m_waiters.notify(id);
    }
    Event(withdrawn ? "job_refused" : "job_unsettled")
        .add("job", id)
        .add("epoch", m_term.epoch)
        .add("reason", "the store did not confirm the record")
        .add("waitedMs", duration_cast<milliseconds>(waited).count());
    co_return answerOf(withdrawn ? JobOutcome::Refused : JobOutcome::Unresolved);
}

awaitable<Wire::JobAnswer> OwnerSession::cancel(std::string id, Duration timeout)
{
    const auto self = shared_from_this();
    const auto receivedAt = m_context.clock.now();
    if (!m_scheduler.mayCancel(id)) {
        co_return refuseForMemory("cancel_refused", id);
    }
    if (!m_scheduler.knows(id)) {
        if (const auto refusal = refuseNewRecord("cancel_refused", id, receivedAt)) {
            co_return *refusal;
        }
    }
    const bool accepted = m_scheduler.job(id) != nullptr;
    m_scheduler.cancel(id, receivedAt);
    const auto *job = m_scheduler.jobToRecord(id);
    const auto version = job->version();
    const bool neverSubmitted = job->isNeverSubmitted();
    queueChanges();
    requestPlan();
    const auto until = receivedAt + timeout;
    while (!m_closed && m_scheduler.recordedVersion(id) < version && m_context.clock.now() < until) {
        co_await m_waiters.wait(id, until - m_context.clock.now());
    }
    const bool recorded = !m_closed && m_scheduler.recordedVersion(id) >= version;
    Event("job_cancelled")
        .add("job", id)
        .add("epoch", m_term.epoch)
        .add("accepted", accepted)
        .add("neverSubmitted", neverSubmitted)
        .add("recorded", recorded);
    if (recorded) {
        co_return answerOf(neverSubmitted ? JobOutcome::Unknown : JobOutcome::Ok);
    }
    // A cancel is idempotent: the next owner carries it out again.
    co_return answerOf(m_closed ? JobOutcome::NotOwner : JobOutcome::Unresolved);
}

// A job that this owner doesn't know could be one of the next owner's, unless the store has confirmed this one since.
bool OwnerSession::canAnswer(const std::string &id, TimePoint receivedAt) const
{
    const bool known = m_scheduler.knows(id);
    const bool beingRecorded = known && m_scheduler.job(id) == nullptr;
    return !beingRecorded && (known || m_context.verifiedAt() >= receivedAt);
}

awaitable<Wire::JobAnswer> OwnerSession::queryJob(std::string id, Duration timeout)
{
    const auto self = shared_from_this();
    const auto receivedAt = m_context.clock.now();
    const auto until = receivedAt + timeout;
    while (!m_closed && !canAnswer(id, receivedAt) && isVerified(m_context.leaseTtl) && m_context.clock.now() < until) {
        co_await m_waiters.wait(id, verificationPollInterval);
    }
    if (m_closed) {
        co_return answerOf(JobOutcome::NotOwner);
    }
    if (!canAnswer(id, receivedAt)) {
        co_return answerOf(JobOutcome::Unresolved);
    }
    const auto *job = m_scheduler.job(id);
    co_return job == nullptr || job->isNeverSubmitted() ? answerOf(JobOutcome::Unknown) : stateOf(*job);
}

Wire::JobAnswer OwnerSession::stateOf(const Jobs::Job &job) const
{
    auto answer = answerOf(JobOutcome::Ok);
    auto phase = job.phase();
    if (isFinal(phase) && m_scheduler.recordedVersion(job.id()) < job.version()) {
        // A final phase is not reported before it is recorded.
        phase = JobPhase::Running;
    }
    answer.phase = static_cast<int>(phase);
    return answer;
}

Wire::JobAnswer OwnerSession::queryQueue(const std::string &queue) const
{
    auto answer = answerOf(JobOutcome::Ok);
    answer.waiting = m_scheduler.waitingJobs(queue);
    return answer;
}

Wire::WorkerReportReply OwnerSession::report(const Wire::WorkerReport &report)
{
    if (report.epoch > m_term.epoch) {
        m_context.onOwnershipLost("an agent has orders of epoch " + std::to_string(report.epoch));
        return {};
    }
    auto reply = m_scheduler.handleReport(report, isVerified(m_context.scheduler.grantGrace), m_context.clock.now());
    queueChanges();
    requestPlan();
    return reply;
}

} // namespace Trefoilhoist::Dispatcher
