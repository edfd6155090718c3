#include "routingtrial.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace Trefoilhoist;
using namespace Trefoilhoist::Tools;

namespace {

const ServiceId lending("lending");

std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *const text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Makes random calls on one router. Checks that every request ends exactly once and that the limits hold. P5: a
/// request is not refused while it runs. P7: requests are sent only to listed minions.
class RouterHistory
{
public:
    RouterHistory(std::uint64_t seed, RoutingPolicy policy) : m_random(seed)
    {
        RouterSettings settings;
        settings.policy = policy;
        settings.maxQueued = maxQueued;
        settings.self = EntryId("entry-a");
        settings.zone = ZoneId("az-0");
        settings.seed = seed;
        m_router = std::make_unique<Router>(settings);
    }

    void run()
    {
        setMinions();
        for (int n = 0; n < 4000; ++n) {
            m_now += microseconds(randomBelow(2000));
            step();
            check();
        }
        drain();
    }

private:
    static constexpr int maxQueued = 20;

    int randomBelow(int n)
    {
        return static_cast<int>(m_random() % static_cast<std::uint64_t>(n));
    }

    void setMinions()
    {
        std::vector<Minion> minions;
        m_slots.clear();
        for (int n = 0; n < 6; ++n) {
            Minion minion;
            minion.id = MinionId("m" + std::to_string(n));
            minion.service = lending;
            minion.zone = ZoneId("az-" + std::to_string(n % 2));
            minion.slots = 1 + randomBelow(4);
            minion.connections = 16;
            minion.incarnation = 1 + randomBelow(3);
            minion.leaving = randomBelow(4) == 0;
            if (randomBelow(5) > 0) {
                minions.push_back(minion);
            }
            if (!minion.leaving && !minions.empty() && minions.back().id == minion.id) {
                m_slots[minion.id] = minion.slots;
            }
        }
        apply(m_router->setMinions(minions, m_now));
    }

    void step()
    {
        const int kind = randomBelow(100);
        if (kind < 50) {
            admit();
        } else if (kind < 90 && !m_running.empty()) {
            finish();
        } else if (kind < 92) {
            setMinions();
        } else if (kind < 95) {
            m_router->setPeerLoad(
                EntryId("entry-" + std::to_string(randomBelow(3))), {{MinionId("m0"), randomBelow(5)}}, m_now);
        } else if (kind < 97 && !m_waiting.empty()) {
            m_router->abandon(*m_waiting.begin());
            m_waiting.erase(m_waiting.begin());
        } else {
            apply(m_router->tick(m_now));
        }
    }

    void admit()
    {
        RouteRequest request;
        request.number = ++m_number;
        request.caller = CallerId("c" + std::to_string(randomBelow(4)));
        request.service = lending;
        request.deadline = m_now + milliseconds(randomBelow(300));
        request.idempotent = randomBelow(2) == 0;
        m_open.insert(request.number);
        const auto actions = m_router->admit(request, m_now);
        apply(actions);
        const auto actionsOfRequest = std::count_if(actions.begin(), actions.end(), [&](const RouteAction &action) {
            return std::visit([&](const auto &a) { return a.request == request.number; }, action);
        });
        EXPECT_EQ(actionsOfRequest, 1);
    }

    void finish()
    {
        auto it = m_running.begin();
        std::advance(it, randomBelow(static_cast<int>(m_running.size())));
        const auto [request, minion] = *it;
        m_running.erase(it);
        const auto end = static_cast<AttemptEnd>(randomBelow(6));
        if (end == AttemptEnd::Leaving) {
            m_leavingMinions.insert(minion);
        }
        const AttemptResult result{request, minion, end, milliseconds(1 + randomBelow(20))};
        apply(m_router->finishAttempt(result, m_now));
        EXPECT_TRUE(m_open.erase(request) == 1);
        // Reporting the same end again changes nothing.
        const auto before = m_router->inFlight();
        apply(m_router->finishAttempt(result, m_now));
        EXPECT_EQ(m_router->inFlight(), before);
    }

    void apply(const std::vector<RouteAction> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<Dispatch>(&action)) {
                EXPECT_TRUE(m_slots.contains(sent->minion.id)) << "P7: sent to an unlisted minion";
                EXPECT_TRUE(m_open.contains(sent->request));
                m_waiting.erase(sent->request);
                m_running.emplace(sent->request, sent->minion.id);
            } else if (const auto *refused = std::get_if<Refuse>(&action)) {
                EXPECT_EQ(m_open.erase(refused->request), 1U) << "refused twice or after its end";
                EXPECT_FALSE(m_running.contains(refused->request)) << "P5: refused while it runs";
                EXPECT_GT(refused->retryAfter, Duration{});
                m_waiting.erase(refused->request);
            } else {
                m_waiting.insert(std::get<Enqueued>(action).request);
            }
        }
    }

    void check()
    {
        EXPECT_LE(m_router->queued(), maxQueued);
        EXPECT_EQ(m_router->queued(), static_cast<int>(m_waiting.size()));
        std::map<MinionId, int> running;
        for (const auto &[request, minion] : m_running) {
            ++running[minion];
        }
        EXPECT_EQ(m_router->inFlight(), running);
    }

    void drain()
    {
        while (!m_running.empty()) {
            finish();
            check();
        }
        m_now += seconds(10);
        apply(m_router->tick(m_now));
        while (!m_running.empty()) {
            finish();
        }
        EXPECT_EQ(m_router->queued(), 0);
        EXPECT_TRUE(m_router->inFlight().empty());
    }

    std::mt19937_64 m_random;
    std::unique_ptr<Router> m_router;
    TimePoint m_now = TimePoint(seconds(1000));
    RequestNumber m_number = 0;
    std::map<MinionId, int> m_slots;
    std::set<MinionId> m_leavingMinions;
    std::set<RequestNumber> m_open;
    std::set<RequestNumber> m_waiting;
    std::map<RequestNumber, MinionId> m_running;
};

TrialSettings makeTrialSettings(double load, TrialFault fault = TrialFault::None)
{
    TrialSettings settings;
    settings.load = load;
    settings.fault = fault;
    settings.length = seconds(4);
    settings.seed = environmentNumber("TREFOILHOIST_SEED", 1);
    return settings;
}

double attemptsPerRequest(const TrialResult &result)
{
    return static_cast<double>(result.attempts) / static_cast<double>(result.requests);
}

// Returns the median over three seeds of the other callers' p99 in milliseconds, and the share of their requests that
// were refused.
std::pair<double, double> measureOtherCallers(TrialSettings settings)
{
    std::vector<double> p99;
    double refused = 0;
    double requests = 0;
    for (int n = 0; n < 3; ++n) {
        const auto result = runTrial(settings);
        p99.push_back(result.othersP99Ms);
        refused += static_cast<double>(result.othersRefused);
        requests += static_cast<double>(result.othersRequests);
        ++settings.seed;
    }
    std::sort(p99.begin(), p99.end());
    return {p99[1], refused / requests};
}

} // namespace

TEST(RouterHistory, randomCalls_endEveryRequestOnceWithinTheLimits)
{
    const auto first = environmentNumber("TREFOILHOIST_SEED", 1);
    const auto count = environmentNumber("TREFOILHOIST_SEEDS", 20);
    for (auto seed = first; seed < first + count && !testing::Test::HasFailure(); ++seed) {
        for (const auto policy : {RoutingPolicy::LeastInFlight, RoutingPolicy::PowerOfTwo, RoutingPolicy::FairShare}) {
            SCOPED_TRACE("TREFOILHOIST_SEED=" + std::to_string(seed));
            RouterHistory(seed, policy).run();
        }
    }
}

TEST(RouterTrial, callerAtTenTimesItsShare_raisesTheOthersLatencyByAtMostATenth)
{
    for (const double load : {0.5, 0.7}) {
        auto settings = makeTrialSettings(load);
        const auto [alone, aloneRefused] = measureOtherCallers(settings);
        settings.bigCaller = 10;
        const auto [withBigCaller, withBigCallerRefused] = measureOtherCallers(settings);
        std::cout << "load " << load << ": p99 " << alone << " ms without the big caller, " << withBigCaller
                  << " ms with it; refused " << aloneRefused << " and " << withBigCallerRefused << '\n';
        EXPECT_LE(withBigCaller, alone * 1.1);
        EXPECT_LE(withBigCallerRefused, aloneRefused + 0.01);
        settings.router.switches.fairQueue = false;
        settings.router.switches.callerReserve = false;
        const auto [unfair, unfairRefused] = measureOtherCallers(settings);
        std::cout << "  without fairness: p99 " << unfair << " ms, refused " << unfairRefused << '\n';
        EXPECT_TRUE(unfair > alone * 1.1 || unfairRefused > aloneRefused + 0.01);
    }
}

TEST(RouterTrial, zoneCutAtOverload_causesNoRetryStorm)
{
    for (const auto policy : {RoutingPolicy::LeastInFlight, RoutingPolicy::PowerOfTwo, RoutingPolicy::FairShare}) {
        auto settings = makeTrialSettings(1.2, TrialFault::ZoneCut);
        settings.router.policy = policy;
        settings.hedging = true;
        const double attempts = attemptsPerRequest(runTrial(settings));
        settings.router.switches.retryBudget = false;
        const double attemptsWithoutBudget = attemptsPerRequest(runTrial(settings));
        std::cout << routingPolicyName(policy) << ": " << attempts << " attempts per request, " << attemptsWithoutBudget
                  << " without the budget\n";
        EXPECT_LT(attempts, 1.2);
        if (policy == RoutingPolicy::LeastInFlight) {
            EXPECT_GT(attemptsWithoutBudget, 1.2);
        }
    }
}

TEST(RouterTrial, slowMinionWithoutEjection_raisesTailLatency)
{
    auto settings = makeTrialSettings(0.5, TrialFault::SlowMinion);
    const auto withEjection = runTrial(settings);
    settings.router.switches.ejection = false;
    const auto withoutEjection = runTrial(settings);
    std::cout << "p99.9 " << withEjection.p999Ms << " ms with ejection, " << withoutEjection.p999Ms
              << " ms without; lost " << withEjection.lost << " and " << withoutEjection.lost << '\n';
    EXPECT_LT(withEjection.p999Ms, withoutEjection.p999Ms * 0.8);
}
