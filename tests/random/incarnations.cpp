// Three incarnations of one minion whose heartbeats are held up, and an agent that is restarted, against the scheduler.
#include "harness/schedulerfixture.h"
#include "harness/seeds.h"

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
constexpr int refusalsUntilGone = 3;
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
    bool listed = false;
    bool gone = false;
    int refusals = 0;
};

/// A minion that executes long-running tasks until it crashes or its hold expires.
struct Minion {
    std::optional<Incarnation> alive;
    std::set<RunKey> runs;
    TimePoint holdUntil;
};

class IncarnationSimulation
{
public:
    explicit IncarnationSimulation(std::uint64_t seed) : m_random(seed), m_sameId(chance(0.3))
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
        m_minion.alive = Incarnation{m_sameId ? "minion" : "minion" + std::to_string(m_started), m_started * 1000};
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
        const bool isEarlier = m_agent.known && from.born < m_agent.known->born && !m_agent.gone;
        if (isEarlier || m_agent.known == from) {
            return;
        }
        m_agent = {};
        m_agent.known = from;
    }

    void expire(Minion &minion)
    {
        if (m_now > minion.holdUntil) {
            minion.runs.clear();
        }
    }

    void callMinion()
    {
        if (!m_agent.known || m_agent.gone) {
            return;
        }
        if (m_minion.alive == m_agent.known) {
            m_agent.listed = true;
            m_agent.refusals = 0;
            return;
        }
        m_agent.refusals = m_minion.alive ? 0 : m_agent.refusals + 1;
        m_agent.gone = m_agent.refusals >= refusalsUntilGone;
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
        report.listed = m_agent.listed;
        report.gone = m_agent.gone;
        const bool answers = m_minion.alive == m_agent.known;
        report.reachable = answers;
        addRuns(report, m_minion, answers);
        const auto reply = send(report);
        if (answers && reply.leaseMs > 0) {
            m_minion.holdUntil = m_now + milliseconds(reply.leaseMs);
        }
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
            const bool reaches = forOther
                || (m_agent.known && m_minion.alive == m_agent.known && m_agent.known->id == worker
                    && m_agent.known->born == orders.born && m_now <= m_minion.holdUntil);
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
    std::string m_violation;
};

} // namespace

// A heartbeat that was held up reached a restarted agent; the tasks of the living minion were started elsewhere, too.
TEST(IncarnationSimulationTest, heartbeatsAreHeldUpAndTheAgentIsRestarted_noTaskRunsTwice)
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
