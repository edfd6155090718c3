#pragma once

#include "trefoilhoist/jobs/minioninterface.h"
#include "trefoilhoist/jobs/orderfence.h"
#include "trefoilhoist/jobs/startedruns.h"
#include "trefoilhoist/jobs/throttlecontrol.h"
#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/net/httpserver.h"
#include "trefoilhoist/net/memorybudget.h"
#include "trefoilhoist/net/program.h"
#include "trefoilhoist/net/waiters.h"
#include "trefoilhoist/store/recordstore.h"
#include "trefoilhoist/wire/peerclient.h"
#include "trefoilhoist/wire/peerserver.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Trefoilhoist::Agent {

struct AgentSettings {
    std::string name;
    /// The endpoint to which the minion on this machine sends its heartbeats.
    Endpoint heartbeats;
    Endpoint peers;
    /// Where the owner reaches this agent, if not at `peers`.
    std::optional<Endpoint> advertise;
    Endpoint metrics;
    /// The memory of the host for this process.
    std::size_t memoryBytes = 128'000'000;
    /// For how long a minion keeps its runs after the agent has last extended the hold, which is the time until which
    /// the minion may keep them.
    Jobs::HoldLimits hold;
    /// For this time the agent takes rows of a listing that it can't read for possible runs of the owner.
    Duration unreadableRowsPatience = seconds(5);
    /// How long the hold of a minion that doesn't answer is still extended. One that is only slow answers some call
    /// within this time.
    Duration maxMinionSilence = seconds(3);
};

/// The parsed message of the minion, a heartbeat or a permanent departure, or the reason why it can't be parsed.
struct MinionNotice {
    std::optional<Jobs::MinionHeartbeat> heartbeat;
    std::string departedId;
    /// Unix milliseconds of the start of the departed minion; 0 if it is not known.
    std::int64_t departedBornMs = 0;
    std::string parseError;
};

struct Adapters {
    std::unique_ptr<RecordStore> store;
    std::unique_ptr<Jobs::MinionInterface> minion;
    std::function<MinionNotice(const HttpRequest &)> parseNotice;
};

/// Server beside one minion. Lets the minion keep its runs only for the lease that the owner grants, executes the
/// owner's orders, reports running and ended tasks, and throttles best-effort tasks. Used on one thread.
class AgentServer
{
public:
    AgentServer(Runtime &runtime, AgentSettings settings, Adapters adapters);

    std::optional<StartProblem> start();
    awaitable<void> stop();

private:
    awaitable<HttpResponse> serveMetrics();
    awaitable<HttpResponse> serveMinion(HttpRequest request);
    awaitable<std::optional<Wire::Envelope>> servePeer(Wire::Envelope envelope);
    void applyHeartbeat(Jobs::MinionHeartbeat heartbeat);
    /// Uses a heartbeat of the present incarnation; false if a later one has overtaken it.
    bool updateMinion(Jobs::MinionHeartbeat heartbeat);
    /// Uses the first heartbeat of another incarnation; false if that is an earlier one.
    bool adoptIncarnation(Jobs::MinionHeartbeat heartbeat);
    /// Uses the heartbeat of another incarnation that arrived while the present one still answered.
    void adoptAnnounced();
    /// Notes that the minion is about to end; false if that is not the present one. Its hold is no longer extended.
    bool handleDeparture(const std::string &id, std::int64_t bornMs);
    /// Stops what the minion runs, and returns when the owner has heard that it is over, or after some time.
    awaitable<void> emptyMinion();
    /// Returns when the owner has heard that a minion that leaves or can't be reached is gone, which it can only once
    /// the hold has expired, or when that took too long.
    awaitable<void> reportEndOfMinion();
    /// True if the owner has heard that the minion, which leaves, runs nothing.
    [[nodiscard]] bool isReportedEmpty() const;
    /// Forgets the minion that left, as it has ended or can hold nothing any more.
    void finishDeparture();
    /// True if the last hold that an agent's process can have extended has expired. `answered`: the minion has just
    /// told its own clock, by which it must have expired too.
    [[nodiscard]] bool holdHasExpired(TimePoint now, bool answered) const;

    // Orders.
    awaitable<Wire::WorkerOrdersReply> executeOrders(Wire::WorkerOrders orders);
    awaitable<void> executeStarts(std::shared_ptr<Wire::WorkerOrders> orders,
                                  std::shared_ptr<Wire::WorkerOrdersReply> reply,
                                  std::shared_ptr<std::size_t> next);
    awaitable<int> startRun(const Wire::WorkerOrders &orders, std::size_t index);
    void adoptOwner(std::int64_t epoch, const Endpoint &owner);

    // Runs of the minion.
    awaitable<void> listLoop();
    awaitable<void> listOnce();
    void applyListing(const Jobs::MinionListing &listing, std::int64_t number, std::int64_t epoch);
    /// Stops what the minion still runs though the owner has given it up, or though the minion leaves.
    void stopUnwantedRuns(const std::vector<Wire::RunningTask> &running);
    /// Orders these runs to stop, but for those that were ordered lately.
    void stopRuns(const std::vector<Wire::RunningTask> &running);
    awaitable<void> stopRun(Wire::TaskRef task, std::int64_t run);
    void observeEndNumbers(const Jobs::MinionListing &listing);
    /// Judges the rows that can't be read; false if they may be the owner's runs, so that the hold must expire.
    bool judgeUnreadableRows(Jobs::MinionListing &listing);
    void skipRows(const std::vector<Jobs::UnreadableRow> &rows, const char *reason);
    void observeMinionClock(std::int64_t clockMs);
    void logOtherIncarnation(const Jobs::MinionListing &listing, std::int64_t acknowledged) const;
    /// `answered`: the present incarnation has answered, but its listing can't be used.
    void handleMissingListing(const Jobs::MinionError &error, bool answered);
    void listingFailed(const Jobs::MinionError &error, bool answered);
    /// Keeps the account of a crash of the minion until an owner has recorded it.
    void noteCrash();
    /// Forgets the account of a crash of the present incarnation, which has answered since.
    void withdrawCrash();
    awaitable<void> throttle(Jobs::RunThrottle order);
    [[nodiscard]] Jobs::MinionTarget target() const;
    /// Until when the minion may keep its runs, by its clock; nothing if the hold must not be extended: the minion may
    /// not be there any more, and its tasks can start elsewhere only when the hold has expired.
    [[nodiscard]] std::optional<std::int64_t> extendHold(TimePoint now);
    /// True if the hold may be extended, as far as the minion's presence decides it.
    [[nodiscard]] bool mayExtendHold(TimePoint now) const;
    /// Lets the minion keep its runs until the next process of this agent extends the hold.
    awaitable<void> extendHoldForRestart();

    // The owner.
    awaitable<void> reportLoop();
    awaitable<void> reportOnce();
    /// Uses the owner's answer to a report about the present incarnation.
    void applyReply(const Wire::WorkerReport &sent, const Wire::WorkerReportReply &reply, TimePoint sentAt);
    awaitable<void> findOwner();
    [[nodiscard]] Wire::WorkerReport report() const;

    Runtime &m_runtime;
    AgentSettings m_settings;
    Adapters m_adapters;
    MetricsRegistry m_metrics;
    /// Shared by all ports.
    MemoryBudget m_memory;
    HttpServer m_heartbeats;
    HttpServer m_metricsServer;
    PeerServer m_peers;

    std::optional<Jobs::MinionHeartbeat> m_minion;
    /// A heartbeat of another incarnation that arrived while the present one answered. It counts once that one doesn't.
    std::optional<Jobs::MinionHeartbeat> m_announced;
    /// The last listing that was asked for before it arrived.
    std::int64_t m_announcedAtListing = 0;
    /// The minion has said that it leaves, and may still run tasks.
    bool m_leaving = false;
    /// The owner has answered the last report, which said that the minion is gone.
    bool m_endReported = false;
    /// The first listing that showed no run after that.
    std::optional<std::int64_t> m_emptyListing;
    /// The last listing that the owner has answered a report of.
    std::int64_t m_reportedListing = 0;
    /// Id and start time of the minion that departed last.
    std::string m_departedId;
    std::int64_t m_departedStartMs = -1;
    Jobs::OrderFence m_fence;
    Jobs::ThrottleControl m_throttle;
    std::int64_t m_orderSets = 0;
    std::int64_t m_listings = 0;
    std::int64_t m_lastListing = 0;
    bool m_reachable = false;
    /// The last call to the minion found no open port. Such a call has not extended the hold.
    bool m_refusesConnections = false;
    /// The highest number of an ended task that the minion's incarnation has listed.
    std::int64_t m_lastListedEnd = 0;
    /// This process knew an earlier minion, so that it has seen all ends of the present incarnation.
    bool m_knownSinceStart = false;
    /// The highest number of an ended task that has been sent to the owner.
    std::int64_t m_lastReportedEnd = 0;
    std::int64_t m_reports = 0;
    std::vector<Wire::RunningTask> m_running;
    std::vector<Wire::EndedTask> m_ended;
    /// The minion may have more ended tasks than it listed.
    bool m_lacksEnds = false;
    /// Rows of the last listing that can't be read and are known to be no runs of the owner.
    std::set<std::string> m_skippedRows;
    /// Since when listings have had rows that can't be read and may be runs of the owner.
    std::optional<TimePoint> m_unreadableRowsSince;
    /// The minion's hold is not extended, so that everything that the owner has started there ends.
    bool m_holdWithheld = false;
    Jobs::StartedRuns m_runs;
    /// When the first of the failed listings since the last successful one ended.
    std::optional<TimePoint> m_unreachableSince;
    /// The crash of the present incarnation is accounted for.
    bool m_crashNoted = false;
    /// Crashes that no owner has recorded yet, the oldest first.
    std::deque<Wire::CrashReport> m_crashes;

    Endpoint m_owner;
    std::unique_ptr<PeerClient> m_ownerClient;
    TimePoint m_lastOwnerContact;
    /// The epoch whose owner has received all interference estimates, each for a pair of a serving and a best-effort
    /// image.
    std::int64_t m_pairsReportedEpoch = 0;
    TimePoint m_startedAt;
    Waiters m_waiters;
    bool m_reportDue = false;
    bool m_stopping = false;
};

} // namespace Trefoilhoist::Agent
