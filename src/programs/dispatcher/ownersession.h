#pragma once

#include "trefoilhoist/jobs/intakecontrol.h"
#include "trefoilhoist/jobs/jobrecords.h"
#include "trefoilhoist/jobs/jobscheduler.h"
#include "trefoilhoist/jobs/operatorrecords.h"
#include "trefoilhoist/jobs/ownerelection.h"
#include "trefoilhoist/jobs/planpacer.h"
#include "trefoilhoist/jobs/storereachability.h"
#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/net/waiters.h"
#include "trefoilhoist/wire/peerclients.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Trefoilhoist::Dispatcher {

/// Retry delay for callers, unless the answer needs another one.
inline constexpr std::int64_t defaultRetryAfterMs = 1000;
[[nodiscard]] Wire::JobAnswer answerOf(Jobs::JobOutcome outcome, std::int64_t retryAfterMs = defaultRetryAfterMs);

/// Resources that a session shares with its process.
struct SessionContext {
    Asio::any_io_executor executor;
    const Clock &clock;
    RecordStore &store;
    MetricsRegistry &metrics;
    std::string name;
    std::int64_t incarnation = 0;
    /// The endpoint at which agents and other dispatchers reach this process.
    Endpoint self;
    Jobs::SchedulerSettings scheduler;
    /// How long the store keeps the owner's record after a renewal; no other process takes over before.
    Duration leaseTtl{};
    /// Returns when the store last confirmed that this process owns the scheduling.
    std::function<TimePoint()> verifiedAt;
    /// Called when another process has become the owner of the scheduling.
    std::function<void(std::string reason)> onOwnershipLost;
};

/// One term of owning the scheduling: loads the records, answers callers' requests and agents' reports, records what
/// must be durable, and sends orders. Used on one thread, through a shared pointer that its coroutines hold.
class OwnerSession : public std::enable_shared_from_this<OwnerSession>
{
public:
    OwnerSession(SessionContext context, Jobs::OwnerTerm term);

    void start();
    /// Ends all coroutines soon. Requests in progress get the outcome `Unresolved`.
    void close();
    /// True once the records are loaded.
    [[nodiscard]] bool ready() const
    {
        return m_ready;
    }
    void useOperatorRecords(const Jobs::OperatorRecords &operators);

    awaitable<Wire::JobAnswer> submit(Wire::JobSpec spec, Duration timeout);
    awaitable<Wire::JobAnswer> cancel(std::string id, Duration timeout);
    /// Waits for the recording of a pending submission; for an unknown job, until the store confirms this owner.
    awaitable<Wire::JobAnswer> queryJob(std::string id, Duration timeout);
    [[nodiscard]] Wire::JobAnswer queryQueue(const std::string &queue) const;
    Wire::WorkerReportReply report(const Wire::WorkerReport &report);

private:
    /// Job records of earlier owners, by job id.
    struct LoadedJobs {
        std::map<std::string, Wire::JobSpec> specs;
        std::map<std::string, Wire::JobProgress> progress;
        std::string lastKey;
    };
    awaitable<bool> load();
    awaitable<bool> loadJobs();
    void applyPage(const RecordPage &page, LoadedJobs &loaded);
    void restoreJobs(LoadedJobs &loaded);
    awaitable<bool> loadRoster();
    void notifyAgents(const Wire::WorkerRoster &roster);
    awaitable<void> recordLoop();
    awaitable<void> tickLoop();
    void applyResolved(const Jobs::CommittedRecords &records);
    void wakeUnrecorded(const Jobs::RecordBatch &batch);
    /// True if a query that was received at this time can be answered: nothing of the job is being recorded, and no
    /// other owner can have accepted it before.
    [[nodiscard]] bool canAnswer(const std::string &id, TimePoint receivedAt) const;
    [[nodiscard]] Wire::JobAnswer stateOf(const Jobs::Job &job) const;
    void queueChanges();
    void startRecording();
    void forgetExpired();
    void requestPlan();
    void plan();
    awaitable<void> send(Wire::WorkerOrders orders, Endpoint agent);
    awaitable<void> announceLoop();
    [[nodiscard]] std::vector<Endpoint> peersOf(const RecordPage &page) const;
    [[nodiscard]] bool isVerified(Duration within) const;
    /// Returns the refusal of a request that takes a new record, if none can be written in time. Logs it as `event`.
    [[nodiscard]] std::optional<Wire::JobAnswer>
    refuseNewRecord(const char *event, const std::string &id, TimePoint now);
    /// The answer to a submission that is not recorded; nothing if it is, or is being recorded.
    std::optional<Wire::JobAnswer> answerWithoutRecording(Jobs::SubmissionState state, const std::string &id);
    /// The answer to a job whose long-running tasks don't fit.
    Wire::JobAnswer refuseForRoom(const std::string &id);
    /// Returns the refusal of a request for which there is no memory. Logs it as `event`.
    [[nodiscard]] Wire::JobAnswer refuseForMemory(const char *event, const std::string &id);

    SessionContext m_context;
    Jobs::OwnerTerm m_term;
    Jobs::JobScheduler m_scheduler;
    Jobs::JobRecords m_records;
    // The roster that was last queued for the store.
    Wire::WorkerRoster m_inFlightRoster;
    Waiters m_waiters;
    Waiters m_recordWaiters;
    PeerClients m_peers;
    bool m_ready = false;
    bool m_closed = false;
    bool m_planRequested = false;
    /// Jobs whose progress is queued for recording at the next tick, so that the changes of many reports take one
    /// write.
    std::set<std::string> m_changedJobs;
    Asio::steady_timer m_planTimer;
    Jobs::PlanPacer m_planPacer;
    Jobs::IntakeControl m_intake;
    Jobs::StoreReachability m_storeReachability;
};

} // namespace Trefoilhoist::Dispatcher
