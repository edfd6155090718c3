#include "trefoilhoist/jobs/jobscheduler.h"

#include "harness/seeds.h"
#include "trefoilhoist/jobs/orderfence.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace Trefoilhoist::Jobs {

namespace {

/// A start that was on its way when the end came is allowed for.
constexpr Duration longestHeldStart = milliseconds(1500);
constexpr std::int32_t workerCpuMilli = 4000;
constexpr int workerCount = 4;
constexpr int jobCount = 12;
constexpr int steps = 900;
constexpr Duration stepTime = milliseconds(50);

/// What a minion really runs.
struct RealRun {
    std::int64_t cpuMilli = 0;
    Duration left{};
};

struct HeldOrders {
    Wire::WorkerOrders orders;
    TimePoint at;
    bool answered = false;
};

/// A minion, its agent's gate, and what is on its way to them.
struct Node {
    std::string id;
    std::int64_t born = 1;
    std::map<RunKey, RealRun> runs;
    std::vector<Wire::EndedTask> ended;
    /// Ends that were still unnoted when the lease ran out: the task may have been started elsewhere since, rightly.
    std::set<std::int64_t> endedBeforeLapse;
    std::int64_t lastNumber = 0;
    std::int64_t fencingToken = 0;
    std::map<Wire::TaskRef, std::int64_t> barred;
    OrderFence gate;
    std::int64_t listings = 0;
    std::int64_t reports = 0;
    TimePoint holdUntil;
    TimePoint cutUntil;
    std::vector<HeldOrders> held;
};

/// Owners that come and go, workers that are cut off, crash and are born again under their id, orders that are lost or
/// carried out late, and records that become durable late; checks what callers are promised at each real start.
class SchedulerWorld
{
public:
    explicit SchedulerWorld(std::uint64_t seed) : m_random(seed)
    {
        for (int i = 0; i < workerCount; ++i) {
            Node node;
            node.id = "w" + std::to_string(i);
            m_nodes.push_back(std::move(node));
        }
        takeOver();
    }

    void play()
    {
        for (int i = 0; i < steps; ++i) {
            disturb();
            advance();
        }
        for (auto &node : m_nodes) {
            node.cutUntil = m_now;
        }
        m_calm = true;
        for (int i = 0; i < steps && !finished(); ++i) {
            advance();
        }
    }

    [[nodiscard]] const std::string &problem() const
    {
        return m_problem;
    }
    [[nodiscard]] bool finished() const
    {
        return static_cast<int>(m_specs.size()) == jobCount
            && std::all_of(m_specs.begin(), m_specs.end(), [&](const auto &it) {
                   const auto *job = m_owner->job(it.first);
                   return job != nullptr && job->phase() == JobPhase::Completed
                       && m_owner->recordedVersion(it.first) >= job->version();
               });
    }

private:
    bool chance(double p)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < p;
    }
    int upTo(int n)
    {
        return static_cast<int>(m_random() % static_cast<std::uint64_t>(n));
    }
    void fail(const std::string &what)
    {
        if (m_problem.empty()) {
            m_problem = what + " at " + std::to_string(m_now.time_since_epoch().count() / 1000) + " ms";
        }
    }

    void takeOver()
    {
        ++m_epoch;
        m_owner = std::make_unique<JobScheduler>(m_settings, m_epoch);
        for (const auto &[id, spec] : m_specs) {
            const auto it = m_progress.find(id);
            m_owner->restoreJob(spec, it == m_progress.end() ? std::nullopt : std::optional(it->second), m_now);
        }
        m_owner->restoreRoster(m_roster, m_now);
        m_unsaved.clear();
    }

    void submit()
    {
        Wire::JobSpec spec;
        spec.id = "job" + std::to_string(m_specs.size());
        spec.queue.serviceName = "s";
        spec.queue.maxAttempts = 50;
        spec.queue.stretch = 2;
        for (int i = 0; i <= upTo(3); ++i) {
            Wire::StepSpec step;
            step.count = 1 + upTo(4);
            step.cpuMilli = 500 + 500 * upTo(4);
            step.estimatedMs = 300;
            if (i > 0) {
                step.after = {i - 1};
            }
            spec.steps.push_back(step);
        }
        m_specs[spec.id] = spec;
        m_owner->submit(spec, m_now);
        m_owner->accept(spec.id);
    }

    void disturb()
    {
        if (static_cast<int>(m_specs.size()) < jobCount && chance(0.05)) {
            submit();
        }
        if (chance(0.01)) {
            takeOver();
        }
        auto &node = m_nodes[static_cast<std::size_t>(upTo(workerCount))];
        if (chance(0.01)) {
            node.cutUntil = m_now + milliseconds(upTo(9000));
        }
        if (chance(0.006)) {
            crash(node);
        }
    }

    Node &nodeOf(const std::string &id)
    {
        return *std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto &it) { return it.id == id; });
    }

    void crash(Node &node)
    {
        node.runs.clear();
        node.ended.clear();
        node.endedBeforeLapse.clear();
        node.barred.clear();
        node.lastNumber = 0;
        node.fencingToken = 0;
        ++node.born;
        node.gate.resetIncarnation();
    }

    void advance()
    {
        m_now += stepTime;
        for (auto &node : m_nodes) {
            work(node);
            carryOutHeld(node);
            if (m_now >= node.cutUntil) {
                list(node);
                report(node);
            }
        }
        for (const auto &planned : m_owner->plan(m_now, 0)) {
            deliver(nodeOf(planned.first), planned.second);
        }
        save();
    }

    void end(Node &node, const RunKey &key, EndKind how)
    {
        Wire::EndedTask row;
        row.number = ++node.lastNumber;
        row.task = key.task;
        row.run = key.run;
        row.how = static_cast<int>(how);
        node.ended.push_back(row);
        node.barred[key.task] = std::max(node.barred[key.task], key.run);
        node.runs.erase(key);
        if (how == EndKind::Done) {
            m_done.insert(key.task);
        }
    }

    void work(Node &node)
    {
        if (m_now > node.holdUntil) {
            for (const auto &it : node.ended) {
                node.endedBeforeLapse.insert(it.number);
            }
        }
        for (const auto &[key, run] : std::map<RunKey, RealRun>(node.runs)) {
            if (m_now > node.holdUntil) {
                end(node, key, EndKind::Lapsed);
            } else if ((node.runs[key].left -= stepTime) <= Duration{}) {
                end(node, key, chance(0.1) ? EndKind::Failed : EndKind::Done);
            }
        }
    }

    // The agent's listing: its epoch becomes the minion's fencing token, and what runs is held under the lease.
    void list(Node &node)
    {
        const auto owner = m_epoch;
        node.gate.adoptEpoch(owner);
        ++node.listings;
        node.fencingToken = std::max(node.fencingToken, node.gate.epoch());
        node.gate.observeMinionClock(m_now.time_since_epoch().count() / 1000 + 1, m_now);
        node.gate.confirmListing(node.gate.epoch());
        if (node.gate.extendHold(m_now)) {
            node.holdUntil = std::max(node.holdUntil, node.gate.leaseExpiry());
        }
        for (const auto &it : node.ended) {
            const bool done = static_cast<EndKind>(it.how) == EndKind::Done;
            if (it.number > node.gate.recordedEnds() || !done) {
                continue;
            }
            if (node.endedBeforeLapse.count(it.number) == 0) {
                m_noted.insert(it.task);
            } else {
                m_notedAfterLapse.emplace(it.task, m_now);
            }
        }
        std::erase_if(node.ended, [&](const auto &it) { return it.number <= node.gate.recordedEnds(); });
    }

    void report(Node &node)
    {
        Wire::WorkerReport report;
        report.worker.id = node.id;
        report.worker.born = node.born;
        report.worker.serviceName = "s";
        report.worker.cpuMilli = workerCpuMilli;
        report.worker.memoryMb = 1000;
        report.worker.agentHost = node.id;
        report.epoch = node.gate.epoch();
        report.listing = node.listings;
        report.number = ++node.reports;
        node.gate.trackReport(report.number, m_now);
        report.listed = node.gate.isListed();
        report.reachable = true;
        report.ended = node.ended;
        for (const auto &[key, run] : node.runs) {
            Wire::RunningTask row;
            row.task = key.task;
            row.run = key.run;
            report.running.push_back(row);
        }
        const auto reply = m_owner->report(report, true, m_now);
        if (const auto roster = m_owner->takeRoster()) {
            m_roster = *roster;
            m_owner->rosterRecorded(*roster);
        }
        if (m_calm || !chance(0.1)) {
            node.gate.applyReply(reply, m_now);
        }
    }

    void deliver(Node &node, const Wire::WorkerOrders &orders)
    {
        const bool cut = m_now < node.cutUntil;
        if (!m_calm && (cut || chance(0.1))) {
            // Lost, or held up and carried out later.
            m_owner->ordersDone(orders, std::nullopt, m_now);
            if (chance(0.5)) {
                node.held.push_back({orders, std::max(m_now, node.cutUntil) + milliseconds(upTo(6000)), true});
            }
            return;
        }
        const auto reply = carryOut(node, orders);
        if (!m_calm && chance(0.05)) {
            m_owner->ordersDone(orders, std::nullopt, m_now);
        } else {
            m_owner->ordersDone(orders, reply, m_now);
        }
    }

    void carryOutHeld(Node &node)
    {
        for (const auto &it : std::exchange(node.held, {})) {
            if (it.at <= m_now) {
                carryOut(node, it.orders);
            } else {
                node.held.push_back(it);
            }
        }
    }

    Wire::WorkerOrdersReply carryOut(Node &node, const Wire::WorkerOrders &orders)
    {
        Wire::WorkerOrdersReply reply;
        const bool passes = orders.born == node.born && node.gate.refusalReason(orders, m_now).empty();
        for (const auto &it : orders.stops) {
            reply.stops.push_back(static_cast<int>(passes ? stop(node, it) : OrderResult::Refused));
        }
        for (const auto &it : orders.starts) {
            const bool mayStart = passes && node.gate.startRefusalReason(orders, m_now).empty();
            reply.starts.push_back(static_cast<int>(mayStart ? start(node, it, orders.epoch) : OrderResult::Refused));
        }
        reply.listing = node.listings;
        return reply;
    }

    OrderResult stop(Node &node, const Wire::StopOrder &order)
    {
        node.barred[order.task] = std::max(node.barred[order.task], order.run);
        if (node.runs.count({order.task, order.run}) > 0) {
            end(node, {order.task, order.run}, EndKind::Stopped);
        }
        return OrderResult::Done;
    }

    OrderResult start(Node &node, const Wire::StartOrder &order, std::int64_t epoch)
    {
        const RunKey key{order.task, order.run};
        if (node.runs.count(key) > 0) {
            return OrderResult::Done;
        }
        const auto barred = node.barred.find(order.task);
        if (barred != node.barred.end() && order.run <= barred->second) {
            return OrderResult::Superseded;
        }
        if (epoch < node.fencingToken || m_now > node.gate.leaseExpiry()) {
            return OrderResult::Refused;
        }
        const auto &step = m_specs.at(order.task.job).steps[static_cast<std::size_t>(order.task.step)];
        check(node, key, step);
        node.runs[key] = {step.cpuMilli, milliseconds(200 + upTo(600))};
        node.holdUntil = std::max(node.holdUntil, node.gate.leaseExpiry());
        return OrderResult::Done;
    }

    void check(const Node &node, const RunKey &key, const Wire::StepSpec &step)
    {
        std::int64_t used = step.cpuMilli;
        for (const auto &[other, run] : node.runs) {
            used += run.cpuMilli;
        }
        if (used > workerCpuMilli) {
            fail("capacity of " + node.id + " passed by " + taskName(key.task));
        }
        for (const auto &other : m_nodes) {
            for (const auto &[running, run] : other.runs) {
                if (running.task == key.task && m_now <= other.holdUntil) {
                    fail(taskName(key.task) + " runs twice, on " + other.id + " and " + node.id);
                }
            }
        }
        if (m_noted.count(key.task) > 0) {
            fail(taskName(key.task) + " starts after its end was taken note of");
        }
        const auto late = m_notedAfterLapse.find(key.task);
        if (late != m_notedAfterLapse.end() && m_now - late->second > longestHeldStart) {
            fail(taskName(key.task) + " starts long after its end was taken note of");
        }
        for (const int earlier : step.after) {
            const auto &spec = m_specs.at(key.task.job);
            for (int i = 0; i < spec.steps[static_cast<std::size_t>(earlier)].count; ++i) {
                Wire::TaskRef before = key.task;
                before.step = earlier;
                before.index = i;
                if (m_done.count(before) == 0) {
                    fail(taskName(key.task) + " starts before " + taskName(before) + " has ended");
                }
            }
        }
    }

    // Records become durable late, newest first, as the queue of records writes them.
    void save()
    {
        for (const auto &id : m_owner->takeChanged()) {
            m_unsaved.insert(id);
        }
        for (const auto &id : std::set<std::string>(m_unsaved)) {
            if (m_calm || chance(0.3)) {
                const auto *job = m_owner->job(id);
                m_progress[id] = job->progress();
                m_owner->recorded(id, job->version());
                m_unsaved.erase(id);
            }
        }
    }

    std::mt19937_64 m_random;
    SchedulerSettings m_settings;
    std::vector<Node> m_nodes;
    std::unique_ptr<JobScheduler> m_owner;
    std::int64_t m_epoch = 0;
    TimePoint m_now{seconds(100)};
    bool m_calm = false;
    std::string m_problem;
    // What the store holds.
    std::map<std::string, Wire::JobSpec> m_specs;
    std::map<std::string, Wire::JobProgress> m_progress;
    std::set<std::string> m_unsaved;
    Wire::WorkerRoster m_roster;
    /// Tasks of which a run ended done, and those whose end was taken note of.
    std::set<Wire::TaskRef> m_done;
    /// Ends that were told only after their minion's lease had run out, and when they were taken note of.
    std::map<Wire::TaskRef, TimePoint> m_notedAfterLapse;
    std::set<Wire::TaskRef> m_noted;
};

} // namespace

TEST(SchedulerHistory, ownersWorkersAndOrdersFail_promisesHoldAndAllJobsEnd)
{
    Testing::forEachSeed(
        40,
        [](std::uint64_t seed) {
            SchedulerWorld world(seed);
            world.play();
            EXPECT_EQ(world.problem(), "") << "seed " << seed;
            EXPECT_TRUE(world.finished()) << "seed " << seed;
        },
        [] { return testing::Test::HasFailure(); });
}

} // namespace Trefoilhoist::Jobs
