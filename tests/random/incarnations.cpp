// Three incarnations of one minion whose heartbeats are held up, whose connections are refused while it lives, and an
// agent that is restarted, against the scheduler and the agent's order fence.
#include "harness/schedulerfixture.h"
#include "harness/seeds.h"
#include "trefoilhoist/jobs/orderfence.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

namespace {

constexpr int seedCount = 200;
constexpr int steps = 600;
constexpr Duration stepTime = milliseconds(50);
constexpr int incarnations = 3;
constexpr int jobCount = 3;
/// Connections of a living minion are refused for at most this many steps.
constexpr int maxRefusalSteps = 160;
constexpr int stepsBetweenHeartbeats = 20;
/// A heartbeat is held up for at most this many steps.
constexpr int maxHoldUpSteps = 120;

/// An incarnation of the minion as a heartbeat describes it.
struct Incarnation {
    std::string id;
    std::int64_t born = 0;

    bool operator==(const Incarnation &other) const
    {
        return id == other.id && born == other.born;
    }
};

struct Heartbeat {
    Incarnation from;
    int arrivesAt = 0;
};

/// The agent's process: what it believes of its minion.
struct AgentProcess {
    std::optional<Incarnation> known;
    OrderFence fence;
    /// A hold that an earlier process granted may last for the longest hold from then on.
    TimePoint knownSince;
    bool reachable = false;
};

/// A minion that executes long-running tasks until it crashes or its hold expires.
struct Minion {
    std::optional<Incarnation> alive;
    std::set<RunKey> runs;
    TimePoint holdUntil;
    /// The path from its agent refuses connections before this step.
    int refusesUntil = 0;
};

class IncarnationSimulation
{
public:
    explicit IncarnationSimulation(std::uint64_t seed)
        : m_random(seed), m_sameId(chance(0.3)), m_clockIsSetBack(chance(0.3))
    {
        startIncarnation();
        m_other.alive = Incarnation{"other", 1};
        for (int i = 0; i < jobCount; ++i) {
            auto step = stepOf(1, 500);
            step.longRunning = true;
            const auto spec = jobOf("job" + std::to_string(i), {step});
            m_scheduler.submit(spec, m_now);
            m_scheduler.accept(spec.id);
        }
    }

    void simulate()
    {
        for (m_step = 0; m_step < steps && m_violation.empty(); ++m_step) {
            m_now += stepTime;
            injectFaults();
            deliverHeartbeats();
            expire(m_minion);
            callMinion();
            report();
            reportOther();
            execute();
        }
    }

    [[nodiscard]] const std::string &violation() const
    {
        return m_violation;
    }
    /// True if every task runs at the end.
    [[nodiscard]] bool allRun() const
    {
        return m_minion.runs.size() + m_other.runs.size() == jobCount;
    }

private:
    bool chance(double p)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < p;
    }
    int randomBelow(int limit)
    {
        return std::uniform_int_distribution<>(0, limit - 1)(m_random);
    }

    void startIncarnation()
    {
        ++m_started;
        const auto born = 1000 * (m_clockIsSetBack ? incarnations + 1 - m_started : m_started);
        m_minion.alive = Incarnation{m_sameId ? "minion" : "minion" + std::to_string(m_started), born};
        m_minion.holdUntil = TimePoint{};
    }

    void injectFaults()
    {
        // The last steps are calm.
        if (m_step > steps - 2 * maxHoldUpSteps) {
            if (!m_minion.alive) {
                startIncarnation();
            }
            return;
        }
        if (m_minion.alive && m_started < incarnations && chance(0.01)) {
            m_minion = {};
        } else if (!m_minion.alive && chance(0.1)) {
            startIncarnation();
        }
        if (chance(0.02)) {
            m_agent = {};
        }
        if (m_step > m_minion.refusesUntil && chance(0.02)) {
            m_minion.refusesUntil = m_step + randomBelow(maxRefusalSteps);
        }
    }

    void deliverHeartbeats()
    {
        if (m_minion.alive && m_step % stepsBetweenHeartbeats == 0) {
            const int delay = chance(0.4) ? randomBelow(maxHoldUpSteps) : 0;
            m_heartbeats.push_back({*m_minion.alive, m_step + delay});
            if (chance(0.1)) {
                m_heartbeats.push_back({*m_minion.alive, m_step + randomBelow(maxHoldUpSteps)});
            }
        }
        std::shuffle(m_heartbeats.begin(), m_heartbeats.end(), m_random);
        for (const auto &it : m_heartbeats) {
            if (it.arrivesAt <= m_step) {
                receive(it.from);
            }
        }
        std::erase_if(m_heartbeats, [&](const auto &it) { return it.arrivesAt <= m_step; });
    }

    // As AgentServer does it.
    void receive(const Incarnation &from)
    {
        const bool minionIsGone = m_agent.fence.isStopped() || m_agent.fence.isReplaced();
        const bool isEarlier = m_agent.known && from.born < m_agent.known->born && !minionIsGone;
        if (isEarlier || m_agent.known == from) {
            return;
        }
        m_agent = {};
        m_agent.known = from;
        m_agent.knownSince = m_now;
        m_agent.fence.adoptEpoch(epoch);
        m_agent.fence.resetForNewIncarnation(from.born);
    }

    void expire(Minion &minion)
    {
        if (m_now > minion.holdUntil) {
            minion.runs.clear();
        }
    }

    /// True if the agent's calls reach the incarnation that it knows.
    [[nodiscard]] bool isReached() const
    {
        return m_agent.known && m_minion.alive == m_agent.known && m_step >= m_minion.refusesUntil;
    }

    // As AgentServer does it.
    void callMinion()
    {
        if (!m_agent.known) {
            return;
        }
        auto &fence = m_agent.fence;
        m_agent.reachable = isReached();
        if (!m_agent.reachable) {
            const bool otherAnswers = m_minion.alive && m_minion.alive->id == m_agent.known->id
                && !(*m_minion.alive == *m_agent.known) && m_step >= m_minion.refusesUntil;
            if (otherAnswers) {
                fence.markReplaced();
            }
            if (m_now > fence.holdExpiry() && m_now > m_agent.knownSince + HoldLimits().longest) {
                fence.markStopped();
            }
            return;
        }
        extendHold();
        fence.observeMinionClock(duration_cast<milliseconds>(m_now.time_since_epoch()).count(), m_now);
        fence.confirmListing(epoch);
        if (fence.mustLapse(m_now)) {
            m_minion.runs.clear();
        }
    }

    /// False if the minion may keep nothing for longer than before.
    bool extendHold()
    {
        const auto until = m_agent.fence.extendHold(m_now);
        if (until) {
            m_minion.holdUntil = std::max(m_minion.holdUntil, TimePoint(milliseconds(*until)));
        }
        return until.has_value();
    }

    Wire::WorkerReport reportOf(const Incarnation &worker, const std::string &agent)
    {
        Wire::WorkerReport report;
        report.worker.id = worker.id;
        report.worker.born = worker.born;
        report.worker.serviceName = "desk";
        report.worker.cpuMilli = workerCpuMilli;
        report.worker.memoryMb = workerMemoryMb;
        report.worker.agentHost = agent;
        report.worker.agentPort = 1;
        report.epoch = epoch;
        report.number = ++m_reports;
        report.listing = ++m_listings;
        return report;
    }

    void report()
    {
        if (!m_agent.known) {
            return;
        }
        auto report = reportOf(*m_agent.known, "agent");
        report.listed = m_agent.fence.isListed();
        report.gone = m_agent.fence.isStopped();
        report.lapsedTerm = m_agent.fence.lapsedTerm();
        report.reachable = m_agent.reachable;
        if (!m_agent.reachable) {
            report.listing = m_lastListing;
        } else {
            m_lastListing = report.listing;
        }
        addRuns(report, m_minion, m_agent.reachable);
        m_agent.fence.trackReport(report.number, m_now);
        m_agent.fence.applyReply(send(report), m_now);
    }

    void reportOther()
    {
        auto report = reportOf(*m_other.alive, "other");
        report.listed = true;
        report.reachable = true;
        addRuns(report, m_other, true);
        send(report);
        m_other.holdUntil = TimePoint::max();
    }

    static void addRuns(Wire::WorkerReport &report, const Minion &minion, bool answers)
    {
        if (!answers) {
            return;
        }
        for (const auto &key : minion.runs) {
            Wire::RunningTask row;
            row.task = key.task;
            row.run = key.run;
            report.running.push_back(row);
        }
    }

    Wire::WorkerReportReply send(const Wire::WorkerReport &report)
    {
        auto reply = m_scheduler.handleReport(report, true, m_now);
        if (const auto roster = m_scheduler.takeChangedRoster()) {
            m_scheduler.markRosterRecorded(*roster);
        }
        for (const auto &id : m_scheduler.takeChangedJobs()) {
            m_scheduler.markProgressRecorded(id, m_scheduler.job(id)->version());
        }
        return reply;
    }

    void execute()
    {
        for (const auto &[worker, orders] : m_scheduler.plan(m_now, wallMs, true)) {
            const bool forOther = worker == "other";
            auto &minion = forOther ? m_other : m_minion;
            const bool reaches = forOther || (isAddressee(orders) && isReached() && extendHold());
            Wire::WorkerOrdersReply reply;
            reply.listing = m_listings;
            for (const auto &it : orders.starts) {
                if (reaches) {
                    checkStart(it, minion);
                    minion.runs.insert({it.task, it.run});
                }
                reply.starts.push_back(static_cast<int>(reaches ? OrderResult::Done : OrderResult::Refused));
            }
            for (const auto &it : orders.stops) {
                if (reaches) {
                    minion.runs.erase({it.task, it.run});
                }
                reply.stops.push_back(static_cast<int>(reaches ? OrderResult::Done : OrderResult::Refused));
            }
            m_scheduler.handleOrderResults(orders, reply, m_now);
        }
    }

    [[nodiscard]] bool isAddressee(const Wire::WorkerOrders &orders) const
    {
        return m_agent.known && m_agent.known->id == orders.worker && m_agent.known->born == orders.born
            && m_agent.fence.refusalReason(orders, m_now).empty();
    }

    void checkStart(const Wire::StartOrder &order, const Minion &on)
    {
        for (const auto *minion : {&m_minion, &m_other}) {
            const bool runs = std::any_of(
                minion->runs.begin(), minion->runs.end(), [&](const auto &it) { return it.task == order.task; });
            if (runs && minion != &on) {
                m_violation = taskName(order.task) + " runs twice in step " + std::to_string(m_step);
            }
        }
    }

    std::mt19937_64 m_random;
    /// The incarnations have one id.
    bool m_sameId;
    /// Each incarnation has an earlier start time than the one before.
    bool m_clockIsSetBack;
    JobScheduler m_scheduler{SchedulerSettings{}, epoch};
    TimePoint m_now{seconds(100)};
    int m_step = 0;
    std::int64_t m_started = 0;
    Minion m_minion;
    Minion m_other;
    AgentProcess m_agent;
    std::vector<Heartbeat> m_heartbeats;
    std::int64_t m_reports = 0;
    std::int64_t m_listings = 0;
    std::int64_t m_lastListing = 0;
    std::string m_violation;
};

} // namespace

// A heartbeat that was held up reached a restarted agent, or refused connections counted as the minion's end; the tasks
// of the living minion were started elsewhere, too.
TEST(IncarnationSimulationTest, heartbeatsAreHeldUpConnectionsRefusedAndTheAgentRestarted_noTaskRunsTwice)
{
    Testing::forEachSeed(
        seedCount,
        [](std::uint64_t seed) {
            IncarnationSimulation simulation(seed);
            simulation.simulate();
            EXPECT_EQ(simulation.violation(), "") << "seed " << seed;
            EXPECT_TRUE(simulation.allRun()) << "seed " << seed;
        },
        [] { return testing::Test::HasFailure(); });
}

} // namespace Trefoilhoist::Jobs
