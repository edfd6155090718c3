#include "trefoilhoist/jobs/jobscheduler.h"

#include "harness/seeds.h"
#include "trefoilhoist/jobs/orderfence.h"
#include "trefoilhoist/jobs/startedruns.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace Trefoilhoist::Jobs {

namespace {

/// A start order that was in flight when the task's end was acknowledged may still take effect for this long.
constexpr Duration maxStartDelay = milliseconds(1500);
constexpr std::int32_t workerCpuMilli = 4000;
constexpr int workerCount = 4;
constexpr int jobCount = 12;
/// A task that crashes its minions may start less often than this after the third crash.
constexpr int startsAfterThreeCrashes = 3;
constexpr int crashesUntilLimited = 3;
constexpr int steps = 900;
constexpr int seedCount = 40;
constexpr Duration stepTime = milliseconds(50);
/// An agent gives up a report, and an owner its orders, after this time without an answer.
constexpr Duration reportTimeout = milliseconds(900);
constexpr Duration orderTimeout = milliseconds(1500);

/// A call to a minion without an answer may be executed later than this only by chance.
constexpr Duration maxCallDelay = milliseconds(6000);
/// A restarted minion sends its first heartbeat within this time.
constexpr Duration maxHeartbeatDelay = milliseconds(1500);
/// Minimum time between the starts of two incarnations of a minion, in milliseconds.
constexpr std::int64_t minRestartMs = 300;

/// A run that a simulated minion executes.
struct MinionRun {
    std::int64_t cpuMilli = 0;
    Duration left{};
    /// Crashes the minion instead of ending.
    bool deadly = false;
};

/// Orders that arrive late.
struct DelayedOrders {
    Wire::WorkerOrders orders;
    TimePoint at;
};

/// How an owner's process keeps up with its work.
enum class OwnerSpeed {
    /// Reports and answers are handled in the step in which they arrive.
    Prompt,
    /// They wait in a queue, at times for seconds, while plans go on: the host's processor is saturated.
    Slow,
};

/// An agent's call to its minion.
struct MinionCall {
    std::int64_t fencingToken = 0;
    /// The incarnation to which the agent believes to speak.
    std::int64_t born = 0;
    TimePoint holdUntil;
    /// A listing, unless it is a start or a stop.
    std::optional<Wire::StartOrder> start;
    std::optional<Wire::StopOrder> stop;
    std::int64_t endsToDrop = 0;
};

/// A call that got no answer and is executed late.
struct DelayedCall {
    MinionCall call;
    TimePoint at;
};

/// What makes minions crash.
struct CrashCauses {
    /// Minions also crash without a cause in what they run.
    bool machinesFail = true;
    /// Share of the jobs with a task that crashes each minion on which it starts.
    double deadlyShare = 0;
};

/// Something that arrived at an owner's process.
struct InboxItem {
    TimePoint handledAt;
    std::function<void()> handle;
};

/// One process that owns the scheduling, or still believes so.
struct OwnerProcess {
    std::unique_ptr<JobScheduler> scheduler;
    /// When another process took over; nothing while this one is the owner.
    std::optional<TimePoint> replacedAt;
    /// After a takeover, this process acts on for so long.
    Duration actsOnFor{};
    /// What has arrived but is not handled yet, in the order of arrival.
    std::deque<InboxItem> inbox;
    /// How long an arrival waits until it is handled.
    Duration lag{};
};

/// A simulated minion, its agent, and the delayed orders and calls to them.
struct Node {
    std::string id;
    // The minion. It restarts at once after a crash, under the same id.
    std::int64_t born = 1;
    std::map<RunKey, MinionRun> runs;
    std::vector<Wire::EndedTask> ended;
    /// Ends that were not acknowledged when the lease expired. Such a task may correctly have been started elsewhere
    /// since then.
    std::set<std::int64_t> endedBeforeExpiry;
    std::int64_t lastNumber = 0;
    std::int64_t fencingToken = 0;
    std::map<Wire::TaskRef, std::int64_t> lastBlockedRun;
    TimePoint holdUntil;
    std::vector<DelayedCall> delayedCalls;
    std::optional<MinionCall> lastListingCall;
    // The agent. It learns of a crash by the next incarnation's heartbeat, or when that one answers.
    std::int64_t knownBorn = 1;
    TimePoint crashedAt;
    TimePoint heartbeatAt;
    OrderFence gate;
    StartedRuns accounts;
    /// Crashes that the agent still reports.
    std::vector<Wire::CrashReport> crashes;
    std::int64_t listings = 0;
    std::int64_t lastListing = 0;
    std::vector<Wire::RunningTask> listedRuns;
    std::vector<Wire::EndedTask> listedEnds;
    std::int64_t reports = 0;
    TimePoint cutOffUntil;
    std::vector<DelayedOrders> delayed;
    /// The report that the agent waits for an answer to was sent at this time.
    std::optional<TimePoint> reportSentAt;
};

/// Simulates changes of ownership after which the earlier owner acts on for a while, owners that are slow to handle
/// what arrives, workers that are cut off or crash and restart under the same id before their agents know, orders and
/// calls to minions that are lost or executed late, and records that become durable late. Each start on a minion is
/// checked against the scheduler's guarantees.
class SchedulerSimulation
{
public:
    SchedulerSimulation(std::uint64_t seed, OwnerSpeed speed, CrashCauses causes)
        : m_random(seed), m_speed(speed), m_causes(causes)
    {
        for (int i = 0; i < workerCount; ++i) {
            Node node;
            node.id = "w" + std::to_string(i);
            m_nodes.push_back(std::move(node));
        }
        takeOver();
    }

    void simulate()
    {
        for (int i = 0; i < steps; ++i) {
            injectFaults();
            advance();
        }
        for (auto &node : m_nodes) {
            node.cutOffUntil = m_now;
        }
        m_faultsStopped = true;
        m_owner->lag = Duration{};
        for (int i = 0; i < steps && !finished(); ++i) {
            advance();
        }
    }

    [[nodiscard]] const std::string &violation() const
    {
        return m_violation;
    }
    [[nodiscard]] bool finished() const
    {
        return static_cast<int>(m_specs.size()) == jobCount
            && std::all_of(m_specs.begin(), m_specs.end(), [&](const auto &it) {
                   const auto &scheduler = *m_owner->scheduler;
                   const auto *job = scheduler.job(it.first);
                   const bool givenUp = m_deadly.count(it.first) > 0 || m_givenUp.count(it.first) > 0;
                   return job != nullptr && job->phase() == (givenUp ? JobPhase::Failed : JobPhase::Completed)
                       && scheduler.recordedVersion(it.first) >= job->version();
               });
    }

private:
    bool chance(double p)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < p;
    }
    static int toMilliseconds(Duration duration)
    {
        return static_cast<int>(duration_cast<milliseconds>(duration).count());
    }
    int randomBelow(int n)
    {
        return static_cast<int>(m_random() % static_cast<std::uint64_t>(n));
    }
    void reportViolation(const std::string &what)
    {
        if (m_violation.empty()) {
            m_violation = what + " at " + std::to_string(m_now.time_since_epoch().count() / 1000) + " ms";
        }
    }

    void takeOver()
    {
        if (m_owner) {
            m_owner->replacedAt = m_now;
            m_owner->actsOnFor = milliseconds(randomBelow(2500));
            m_replaced.push_back(std::move(m_owner));
        }
        ++m_epoch;
        m_owner = std::make_shared<OwnerProcess>();
        m_owner->scheduler = std::make_unique<JobScheduler>(m_settings, m_epoch);
        auto &scheduler = *m_owner->scheduler;
        for (const auto &[id, spec] : m_specs) {
            const auto it = m_progress.find(id);
            scheduler.restoreJob(
                spec, it == m_progress.end() ? std::nullopt : std::optional(it->second), m_now, wallMs());
        }
        scheduler.restoreRoster(m_roster, m_now);
        m_unrecorded.clear();
    }

    [[nodiscard]] std::int64_t wallMs() const
    {
        return duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    }

    /// The process that an agent of this epoch talks to; null if it has gone.
    std::shared_ptr<OwnerProcess> ownerOf(std::int64_t epoch)
    {
        if (m_owner->scheduler->epoch() == epoch) {
            return m_owner;
        }
        const auto it = std::find_if(m_replaced.begin(), m_replaced.end(), [&](const auto &owner) {
            return owner->scheduler->epoch() == epoch;
        });
        return it == m_replaced.end() ? nullptr : *it;
    }

    [[nodiscard]] bool mayGrant(const OwnerProcess &owner) const
    {
        return !owner.replacedAt || m_now - *owner.replacedAt <= m_settings.grantGrace;
    }

    void arrive(OwnerProcess &owner, std::function<void()> handle)
    {
        const auto last = owner.inbox.empty() ? m_now : owner.inbox.back().handledAt;
        owner.inbox.push_back({std::max(last, m_now + owner.lag), std::move(handle)});
    }

    /// Lets the process handle what has arrived and waited long enough, and plan.
    void work(OwnerProcess &owner)
    {
        while (!owner.inbox.empty() && m_now >= owner.inbox.front().handledAt) {
            const auto handle = std::move(owner.inbox.front().handle);
            owner.inbox.pop_front();
            handle();
        }
        if (m_speed == OwnerSpeed::Slow && chance(0.02)) {
            owner.lag = m_faultsStopped ? Duration{} : milliseconds(randomBelow(4000));
        }
        for (const auto &planned : owner.scheduler->plan(m_now, wallMs(), !owner.replacedAt)) {
            deliver(owner, nodeOf(planned.first), planned.second);
        }
    }

    void submit()
    {
        Wire::JobSpec spec;
        spec.id = "job" + std::to_string(m_specs.size());
        spec.queue.serviceName = "s";
        spec.queue.maxAttempts = 50;
        spec.queue.stretch = 2;
        spec.acceptedAtMs = wallMs();
        for (int i = 0; i <= randomBelow(3); ++i) {
            Wire::StepSpec step;
            step.count = 1 + randomBelow(4);
            step.cpuMilli = 500 + 500 * randomBelow(4);
            step.estimatedMs = 300;
            if (i > 0) {
                step.after = {i - 1};
            }
            spec.steps.push_back(step);
        }
        m_specs[spec.id] = spec;
        if (chance(m_causes.deadlyShare)) {
            const int step = randomBelow(static_cast<int>(spec.steps.size()));
            const int count = spec.steps[static_cast<std::size_t>(step)].count;
            m_deadly[spec.id]
                = taskRef(spec.id, 0, static_cast<std::size_t>(step), static_cast<std::size_t>(randomBelow(count)));
        }
        m_owner->scheduler->submit(spec, m_now);
        m_owner->scheduler->accept(spec.id);
    }

    void injectFaults()
    {
        if (static_cast<int>(m_specs.size()) < jobCount && chance(0.05)) {
            submit();
        }
        if (chance(0.01)) {
            takeOver();
        }
        auto &node = m_nodes[static_cast<std::size_t>(randomBelow(workerCount))];
        if (chance(0.01)) {
            node.cutOffUntil = m_now + milliseconds(randomBelow(9000));
        }
        if (m_causes.machinesFail && chance(0.006)) {
            crash(node);
        }
    }

    Node &nodeOf(const std::string &id)
    {
        return *std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto &it) { return it.id == id; });
    }

    void crash(Node &node)
    {
        for (const auto &it : node.runs) {
            ++m_failuresUnder[it.first.task];
        }
        if (node.born == node.knownBorn) {
            node.crashedAt = m_now;
            node.heartbeatAt = m_now + milliseconds(randomBelow(toMilliseconds(maxHeartbeatDelay)));
        }
        if (node.lastListingCall && !m_faultsStopped && chance(0.5)) {
            // The call was on its way when the minion crashed.
            node.delayedCalls.push_back({*node.lastListingCall, m_now + milliseconds(randomBelow(3000))});
        }
        node.runs.clear();
        node.ended.clear();
        node.endedBeforeExpiry.clear();
        node.lastBlockedRun.clear();
        node.lastNumber = 0;
        node.fencingToken = 0;
        node.holdUntil = TimePoint{};
        node.born = std::max(wallMs(), node.born + minRestartMs);
    }

    // The agent keeps an account of what the earlier incarnation ran, unless its process ended as well.
    // Returns true if the agent learns of a new incarnation.
    bool receiveHeartbeat(Node &node)
    {
        if (node.born == node.knownBorn || m_now < node.heartbeatAt) {
            return false;
        }
        Wire::CrashReport account;
        account.worker = node.id;
        account.born = node.knownBorn;
        account.runs = node.accounts.runsAt(node.crashedAt);
        node.accounts.resetForNewIncarnation(true);
        if (m_faultsStopped || !chance(0.1)) {
            node.crashes.push_back(account);
        } else {
            node.crashes.clear();
            node.accounts = {};
        }
        node.listedRuns.clear();
        node.listedEnds.clear();
        node.knownBorn = node.born;
        node.gate.resetForNewIncarnation(node.born);
        return true;
    }

    void advance()
    {
        m_now += stepTime;
        for (auto &node : m_nodes) {
            advanceRuns(node);
            const bool restarted = receiveHeartbeat(node);
            executeDelayed(node);
            if (m_now >= node.cutOffUntil) {
                if (restarted && chance(0.5)) {
                    report(node);
                }
                list(node);
                report(node);
            }
        }
        std::erase_if(m_replaced, [&](const auto &it) { return m_now > *it->replacedAt + it->actsOnFor; });
        for (const auto &it : std::vector(m_replaced)) {
            work(*it);
        }
        work(*m_owner);
        recordProgress();
    }

    void end(Node &node, const RunKey &key, EndKind how)
    {
        Wire::EndedTask row;
        row.number = ++node.lastNumber;
        row.task = key.task;
        row.run = key.run;
        row.how = static_cast<int>(how);
        node.ended.push_back(row);
        node.lastBlockedRun[key.task] = std::max(node.lastBlockedRun[key.task], key.run);
        node.runs.erase(key);
        if (how == EndKind::Done) {
            m_done.insert(key.task);
        }
    }

    // True if a run has crashed the minion.
    bool crashByRun(Node &node)
    {
        const auto cause = std::find_if(node.runs.begin(), node.runs.end(), [&](const auto &it) {
            return it.second.deadly && m_now <= node.holdUntil;
        });
        if (cause == node.runs.end()) {
            return false;
        }
        ++m_crashesUnder[cause->first.task];
        crash(node);
        return true;
    }

    void advanceRuns(Node &node)
    {
        if (crashByRun(node)) {
            return;
        }
        if (m_now > node.holdUntil) {
            for (const auto &it : node.ended) {
                node.endedBeforeExpiry.insert(it.number);
            }
        }
        for (const auto &[key, run] : std::map<RunKey, MinionRun>(node.runs)) {
            if (m_now > node.holdUntil) {
                end(node, key, EndKind::Lapsed);
            } else if ((node.runs[key].left -= stepTime) <= Duration{}) {
                end(node, key, chance(0.1) ? EndKind::Failed : EndKind::Done);
            }
        }
    }

    // The agent requests a listing: the lease extends the minion's hold on its runs.
    void list(Node &node)
    {
        // An agent hears of a new owner from its greeting, or when the earlier one no longer answers.
        if (m_faultsStopped || chance(0.2) || ownerOf(node.gate.epoch()) == nullptr) {
            node.gate.adoptEpoch(m_epoch);
        }
        ++node.listings;
        auto call = callTo(node);
        call.endsToDrop = node.gate.endsToDrop();
        if (node.gate.extendHold(m_now)) {
            call.holdUntil = node.gate.leaseExpiry();
        }
        node.lastListingCall = call;
        if (isUnanswered(node, call) || !answerListing(node, call)) {
            return;
        }
        if (node.born != node.knownBorn) {
            node.gate.markReplaced();
            return;
        }
        node.gate.confirmDropped(call.endsToDrop);
        node.gate.observeMinionClock(m_now.time_since_epoch().count() / 1000 + 1, m_now);
        node.gate.confirmListing(node.gate.epoch());
        node.lastListing = node.listings;
        node.listedRuns = runningRows(node);
        node.listedEnds = node.ended;
        MinionListing listing;
        listing.running = node.listedRuns;
        listing.ended = node.listedEnds;
        node.accounts.applyListing(listing, m_now);
    }

    static MinionCall callTo(const Node &node)
    {
        MinionCall call;
        call.fencingToken = node.gate.fencingToken();
        call.born = node.knownBorn;
        return call;
    }

    // Lets some calls get no answer; the minion executes them at once, later, or never.
    bool isUnanswered(Node &node, const MinionCall &call)
    {
        if (m_faultsStopped || !chance(0.03)) {
            return false;
        }
        if (chance(0.3)) {
            executeCall(node, call);
        } else if (chance(0.6)) {
            node.delayedCalls.push_back({call, m_now + milliseconds(randomBelow(toMilliseconds(maxCallDelay)))});
        }
        return true;
    }

    OrderResult executeCall(Node &node, const MinionCall &call)
    {
        if (call.start) {
            return answerStart(node, call);
        }
        if (call.stop) {
            return answerStop(node, call);
        }
        return answerListing(node, call) ? OrderResult::Done : OrderResult::Refused;
    }

    // False if the minion has seen a higher fencing token.
    static bool admits(Node &node, const MinionCall &call)
    {
        if (call.fencingToken < node.fencingToken) {
            return false;
        }
        node.fencingToken = call.fencingToken;
        return true;
    }

    // Deadlines are on the clock of an incarnation, which starts anew with each: for the next one, they are far off.
    [[nodiscard]] TimePoint holdOf(const Node &node, const MinionCall &call) const
    {
        const bool otherIncarnation = call.born != node.born && call.holdUntil != TimePoint{};
        return otherIncarnation ? m_now + m_settings.workerLease : call.holdUntil;
    }

    bool answerListing(Node &node, const MinionCall &call)
    {
        if (!admits(node, call)) {
            return false;
        }
        node.holdUntil = std::max(node.holdUntil, holdOf(node, call));
        for (const auto &it : node.ended) {
            const bool done = static_cast<EndKind>(it.how) == EndKind::Done;
            if (it.number > call.endsToDrop || !done) {
                continue;
            }
            if (node.endedBeforeExpiry.count(it.number) == 0) {
                m_acknowledged.insert(it.task);
            } else {
                m_acknowledgedAfterExpiry.emplace(it.task, m_now);
            }
        }
        std::erase_if(node.ended, [&](const auto &it) { return it.number <= call.endsToDrop; });
        return true;
    }

    static std::vector<Wire::RunningTask> runningRows(const Node &node)
    {
        std::vector<Wire::RunningTask> rows;
        for (const auto &[key, run] : node.runs) {
            Wire::RunningTask row;
            row.task = key.task;
            row.run = key.run;
            rows.push_back(row);
        }
        return rows;
    }

    void report(Node &node)
    {
        if (node.reportSentAt && m_now - *node.reportSentAt < reportTimeout) {
            return;
        }
        const auto owner = ownerOf(node.gate.epoch());
        if (owner == nullptr) {
            return;
        }
        Wire::WorkerReport report;
        report.worker.id = node.id;
        report.worker.born = node.knownBorn;
        report.worker.serviceName = "s";
        report.worker.cpuMilli = workerCpuMilli;
        report.worker.memoryMb = 1000;
        report.worker.agentHost = node.id;
        report.epoch = node.gate.epoch();
        report.listing = node.lastListing;
        report.number = ++node.reports;
        node.gate.trackReport(report.number, m_now);
        report.listed = node.gate.isListed();
        report.reachable = true;
        report.ended = node.listedEnds;
        report.running = node.listedRuns;
        report.crashes = node.crashes;
        node.reportSentAt = m_now;
        arrive(*owner, [this, &node, process = owner.get(), report, sentAt = m_now] {
            handleReport(*process, node, report, sentAt);
        });
    }

    void handleReport(OwnerProcess &owner, Node &node, const Wire::WorkerReport &report, TimePoint sentAt)
    {
        const auto reply = owner.scheduler->handleReport(report, mayGrant(owner), m_now);
        if (const auto roster = owner.scheduler->takeChangedRoster(); roster && !owner.replacedAt) {
            m_roster = *roster;
            owner.scheduler->markRosterRecorded(*roster);
        }
        const bool stillWaits = node.reportSentAt == sentAt && m_now - sentAt < reportTimeout;
        if (stillWaits && report.worker.born == node.knownBorn && (m_faultsStopped || !chance(0.1))) {
            node.gate.applyReply(reply, sentAt);
            std::erase_if(node.crashes, [&](const auto &it) {
                return std::count(reply.recordedCrashes.begin(), reply.recordedCrashes.end(), it.born) > 0;
            });
        }
        if (node.reportSentAt == sentAt) {
            node.reportSentAt.reset();
        }
    }

    void deliver(OwnerProcess &owner, Node &node, const Wire::WorkerOrders &orders)
    {
        const bool cut = m_now < node.cutOffUntil;
        std::optional<Wire::WorkerOrdersReply> reply;
        if (!m_faultsStopped && (cut || chance(0.1))) {
            // The orders are lost, or delayed and executed later.
            if (chance(0.5)) {
                node.delayed.push_back({orders, std::max(m_now, node.cutOffUntil) + milliseconds(randomBelow(6000))});
            }
        } else {
            reply = execute(node, orders);
            if (!m_faultsStopped && chance(0.05)) {
                reply.reset();
            }
        }
        arrive(owner, [this, process = &owner, orders, reply, sentAt = m_now] {
            const bool inTime = m_now - sentAt < orderTimeout;
            process->scheduler->handleOrderResults(orders, inTime ? reply : std::nullopt, m_now);
        });
    }

    void executeDelayed(Node &node)
    {
        for (const auto &it : std::exchange(node.delayedCalls, {})) {
            if (it.at > m_now) {
                node.delayedCalls.push_back(it);
            } else if (it.call.born == node.born || node.fencingToken > it.call.fencingToken) {
                // An incarnation that was never called can't know that a call was meant for an earlier one.
                executeCall(node, it.call);
            }
        }
        for (const auto &it : std::exchange(node.delayed, {})) {
            if (it.at <= m_now) {
                execute(node, it.orders);
            } else {
                node.delayed.push_back(it);
            }
        }
    }

    Wire::WorkerOrdersReply execute(Node &node, const Wire::WorkerOrders &orders)
    {
        Wire::WorkerOrdersReply reply;
        const bool isAdmitted = orders.born == node.knownBorn && node.gate.refusalReason(orders, m_now).empty();
        for (const auto &it : orders.stops) {
            if (isAdmitted) {
                node.accounts.addStop({it.task, it.run}, m_now);
            }
            reply.stops.push_back(static_cast<int>(isAdmitted ? stop(node, it) : OrderResult::Refused));
        }
        for (const auto &it : orders.starts) {
            const bool mayStart = isAdmitted && node.gate.startRefusalReason(orders, m_now).empty();
            if (!mayStart) {
                reply.starts.push_back(static_cast<int>(OrderResult::Refused));
                continue;
            }
            if (const auto known = node.accounts.knownResult({it.task, it.run})) {
                reply.starts.push_back(static_cast<int>(*known));
                continue;
            }
            node.accounts.addStart({it.task, it.run}, m_now);
            const auto result = start(node, it);
            node.accounts.applyStartResult({it.task, it.run}, result);
            reply.starts.push_back(static_cast<int>(result));
        }
        reply.listing = node.listings;
        return reply;
    }

    OrderResult stop(Node &node, const Wire::StopOrder &order)
    {
        auto call = callTo(node);
        call.stop = order;
        return isUnanswered(node, call) ? OrderResult::Unknown : answerStop(node, call);
    }

    OrderResult answerStop(Node &node, const MinionCall &call)
    {
        if (!admits(node, call)) {
            return OrderResult::Refused;
        }
        const auto &order = *call.stop;
        node.lastBlockedRun[order.task] = std::max(node.lastBlockedRun[order.task], order.run);
        if (node.runs.count({order.task, order.run}) > 0) {
            end(node, {order.task, order.run}, EndKind::Stopped);
        }
        return OrderResult::Done;
    }

    OrderResult start(Node &node, const Wire::StartOrder &order)
    {
        auto call = callTo(node);
        call.start = order;
        call.holdUntil = node.gate.leaseExpiry();
        return isUnanswered(node, call) ? OrderResult::Unknown : answerStart(node, call);
    }

    OrderResult answerStart(Node &node, const MinionCall &call)
    {
        const bool isBusy = !m_faultsStopped && chance(0.1);
        if (isBusy || !admits(node, call)) {
            return OrderResult::Refused;
        }
        const auto &order = *call.start;
        const RunKey key{order.task, order.run};
        if (node.runs.count(key) > 0) {
            return OrderResult::Done;
        }
        const auto lastBlockedRun = node.lastBlockedRun.find(order.task);
        if (lastBlockedRun != node.lastBlockedRun.end() && order.run <= lastBlockedRun->second) {
            return OrderResult::Superseded;
        }
        const auto holdUntil = holdOf(node, call);
        if (m_now > holdUntil) {
            return OrderResult::Refused;
        }
        const auto &step = m_specs.at(order.task.job).steps[static_cast<std::size_t>(order.task.step)];
        checkStart(node, key, step);
        countStartAfterCrashes(key);
        // Some runs outlast the leases of the workers that are cut off.
        const Duration duration = milliseconds(chance(0.2) ? 1000 + randomBelow(8000) : 200 + randomBelow(600));
        const auto deadly = m_deadly.find(key.task.job);
        node.runs[key] = {step.cpuMilli, duration, deadly != m_deadly.end() && deadly->second == key.task};
        node.holdUntil = std::max(node.holdUntil, holdUntil);
        return OrderResult::Done;
    }

    void countStartAfterCrashes(const RunKey &key)
    {
        if (m_crashesUnder[key.task] >= crashesUntilLimited
            && ++m_startsAfterCrashes[key.task] >= startsAfterThreeCrashes) {
            reportViolation(taskName(key.task) + " starts on and on, though it crashes its minions");
        }
    }

    void checkStart(const Node &node, const RunKey &key, const Wire::StepSpec &step)
    {
        std::int64_t used = step.cpuMilli;
        for (const auto &[other, run] : node.runs) {
            used += run.cpuMilli;
        }
        if (used > workerCpuMilli) {
            reportViolation("capacity of " + node.id + " exceeded by " + taskName(key.task));
        }
        for (const auto &other : m_nodes) {
            for (const auto &[running, run] : other.runs) {
                if (running.task == key.task && m_now <= other.holdUntil) {
                    reportViolation(taskName(key.task) + " runs twice, on " + other.id + " and " + node.id);
                }
            }
        }
        if (m_acknowledged.count(key.task) > 0) {
            reportViolation(taskName(key.task) + " starts after its end was acknowledged");
        }
        const auto late = m_acknowledgedAfterExpiry.find(key.task);
        if (late != m_acknowledgedAfterExpiry.end() && m_now - late->second > maxStartDelay) {
            reportViolation(taskName(key.task) + " starts long after its end was acknowledged");
        }
        for (const int earlier : step.after) {
            const auto &spec = m_specs.at(key.task.job);
            for (int i = 0; i < spec.steps[static_cast<std::size_t>(earlier)].count; ++i) {
                Wire::TaskRef before = key.task;
                before.step = earlier;
                before.index = i;
                if (m_done.count(before) == 0) {
                    reportViolation(taskName(key.task) + " starts before " + taskName(before) + " has ended");
                }
            }
        }
    }

    // A sound task may be given up only if minions have failed under it several times.
    void checkGivenUp(const std::string &id)
    {
        m_givenUp.insert(id);
        const bool minionsFailed = std::any_of(m_failuresUnder.begin(), m_failuresUnder.end(), [&](const auto &it) {
            return it.first.job == id && it.second > 1;
        });
        if (!m_causes.machinesFail || !minionsFailed) {
            reportViolation(id + " is given up, though it crashes no minion");
        }
    }

    // Records become durable late and with the latest progress, as RecordQueue writes them.
    void recordProgress()
    {
        auto &scheduler = *m_owner->scheduler;
        for (const auto &id : scheduler.takeChangedJobs()) {
            m_unrecorded.insert(id);
        }
        for (const auto &id : std::set<std::string>(m_unrecorded)) {
            if (m_faultsStopped || chance(0.3)) {
                const auto *job = scheduler.job(id);
                if (job->phase() == JobPhase::Failed && m_deadly.count(id) == 0) {
                    checkGivenUp(id);
                }
                m_progress[id] = job->progress();
                scheduler.markProgressRecorded(id, job->version());
                m_unrecorded.erase(id);
            }
        }
    }

    std::mt19937_64 m_random;
    SchedulerSettings m_settings;
    std::vector<Node> m_nodes;
    OwnerSpeed m_speed;
    CrashCauses m_causes;
    std::shared_ptr<OwnerProcess> m_owner;
    /// Earlier owners that do not know yet that they were replaced.
    std::vector<std::shared_ptr<OwnerProcess>> m_replaced;
    std::int64_t m_epoch = 0;
    TimePoint m_now{seconds(100)};
    bool m_faultsStopped = false;
    std::string m_violation;
    // Contents of the store.
    std::map<std::string, Wire::JobSpec> m_specs;
    std::map<std::string, Wire::JobProgress> m_progress;
    std::set<std::string> m_unrecorded;
    Wire::WorkerRoster m_roster;
    /// The task that crashes its minions, by job.
    std::map<std::string, Wire::TaskRef> m_deadly;
    std::map<Wire::TaskRef, int> m_crashesUnder;
    /// Crashes of minions with a run of the task, whatever the cause.
    std::map<Wire::TaskRef, int> m_failuresUnder;
    /// Sound jobs that the scheduler has given up.
    std::set<std::string> m_givenUp;
    /// Starts of a task after the third crash under it.
    std::map<Wire::TaskRef, int> m_startsAfterCrashes;
    /// Tasks of which a run ended successfully.
    std::set<Wire::TaskRef> m_done;
    /// Tasks whose end was reported only after the lease of their minion had expired, with the time of its
    /// acknowledgement.
    std::map<Wire::TaskRef, TimePoint> m_acknowledgedAfterExpiry;
    /// Tasks whose end was acknowledged without such an expiry.
    std::set<Wire::TaskRef> m_acknowledged;
};

} // namespace

class JobSchedulerSimulation : public testing::TestWithParam<OwnerSpeed>
{
protected:
    static void simulateSeeds(CrashCauses causes)
    {
        Testing::forEachSeed(
            seedCount,
            [&](std::uint64_t seed) {
                SchedulerSimulation simulation(seed, GetParam(), causes);
                simulation.simulate();
                EXPECT_EQ(simulation.violation(), "") << "seed " << seed;
                EXPECT_TRUE(simulation.finished()) << "seed " << seed;
            },
            [] { return testing::Test::HasFailure(); });
    }
};

TEST_P(JobSchedulerSimulation, ownersWorkersAndOrdersFail_guaranteesHoldAndAllJobsEnd)
{
    simulateSeeds({true, 0});
}

// A task that crashes its minions went on from one to the next, as a crash left no end to count.
TEST_P(JobSchedulerSimulation, tasksCrashMinionsBesideAllFaults_areGivenUpInTime)
{
    simulateSeeds({true, 0.2});
}

TEST_P(JobSchedulerSimulation, tasksAloneCrashMinions_soundTasksAreNeverGivenUp)
{
    simulateSeeds({false, 0.4});
}

INSTANTIATE_TEST_SUITE_P(ownerSpeeds,
                         JobSchedulerSimulation,
                         testing::Values(OwnerSpeed::Prompt, OwnerSpeed::Slow),
                         [](const auto &info) { return info.param == OwnerSpeed::Prompt ? "prompt" : "slow"; });

} // namespace Trefoilhoist::Jobs
