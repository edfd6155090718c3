#pragma once

#include "trefoilhoist/jobs/jobrecords.h"
#include "trefoilhoist/jobs/jobscheduler.h"
#include "trefoilhoist/jobs/ownerelection.h"
#include "trefoilhoist/jobs/storereachability.h"
#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/net/waiters.h"
#include "trefoilhoist/wire/peerclients.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Trefoilhoist::Dispatcher {

/// Callers who are not told otherwise come back after this.
inline constexpr std::int64_t defaultRetryAfterMs = 1000;
[[nodiscard]] Wire::JobAnswer answerOf(Jobs::JobOutcome outcome, std::int64_t retryAfterMs = defaultRetryAfterMs);

/// What a session shares with its process.
struct SessionContext {
    Asio::any_io_executor executor;
    const Clock &clock;
    RecordStore &store;
    MetricsRegistry &metrics;
    std::string name;
    std::int64_t incarnation = 0;
    /// Where agents and other dispatchers reach this process.
    Endpoint self;
    Jobs::SchedulerSettings scheduler;
    /// When the store last confirmed that this process owns the scheduling.
    std::function<TimePoint()> verifiedAt;
    /// Tells that another process owns the scheduling now.
    std::function<void(std::string reason)> ownershipLost;
};

/// One term of owning the scheduling: loads what is recorded, takes callers' questions and agents' reports, records
/// what must last, and sends orders. Used on one thread, through a shared pointer that its coroutines hold.
class OwnerSession : public std::enable_shared_from_this<OwnerSession>
{
public:
    OwnerSession(SessionContext context, Jobs::OwnerTerm term, Jobs::QueueTable queues);

    void start();
    /// Ends all coroutines soon; questions in progress are answered as unsettled.
    void close();
    /// The records are loaded.
    [[nodiscard]] bool ready() const
    {
        return m_ready;
    }
    void setQueues(Jobs::QueueTable queues);

    awaitable<Wire::JobAnswer> submit(Wire::JobSpec spec, Duration patience);
    awaitable<Wire::JobAnswer> cancel(std::string id, Duration patience);
    [[nodiscard]] Wire::JobAnswer queryJob(const std::string &id) const;
    [[nodiscard]] Wire::JobAnswer queryQueue(const std::string &queue) const;
    Wire::WorkerReportReply report(const Wire::WorkerReport &report);

private:
    /// What an earlier owner recorded of jobs, by id.
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
    void applyResolved(const Jobs::SettledJobs &records);
    void wakeUnrecorded(const Jobs::RecordBatch &batch);
    void queueChanges();
    void startRecording();
    void forgetExpired();
    void requestPlan();
    void plan();
    awaitable<void> send(Wire::WorkerOrders orders, Endpoint agent);
    awaitable<void> announceLoop();
    [[nodiscard]] std::vector<Endpoint> peersOf(const RecordPage &page) const;
    [[nodiscard]] bool isVerified(Duration within) const;

    SessionContext m_context;
    Jobs::OwnerTerm m_term;
    Jobs::JobScheduler m_scheduler;
    Jobs::JobRecords m_records;
    // The roster on its way to the store.
    Wire::WorkerRoster m_inFlightRoster;
    Waiters m_waiters;
    Waiters m_recordWaiters;
    PeerClients m_peers;
    bool m_ready = false;
    bool m_closed = false;
    bool m_planRequested = false;
    /// Changes wait for the next tick to be recorded.
    bool m_changesPending = false;
    Jobs::StoreReachability m_storeReachability;
};

} // namespace Trefoilhoist::Dispatcher
