#include "trefoilhoist/routing/router.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace Trefoilhoist;

namespace {

const ServiceId lending("lending");

Minion makeMinion(int n, int slots = 8, const std::string &zone = "az-1")
{
    Minion minion;
    minion.id = MinionId("m" + std::to_string(n));
    minion.endpoint = Endpoint{"127.0.1." + std::to_string(n), 8080};
    minion.zone = ZoneId(zone);
    minion.service = lending;
    minion.slots = slots;
    minion.connections = 64;
    minion.incarnation = 1;
    return minion;
}

template <typename Kind>
std::vector<Kind> actionsOf(const std::vector<RouteAction> &actions)
{
    std::vector<Kind> found;
    for (const auto &action : actions) {
        if (const auto *it = std::get_if<Kind>(&action)) {
            found.push_back(*it);
        }
    }
    return found;
}

class RouterTest : public testing::TestWithParam<RoutingPolicy>
{
protected:
    void start(const std::vector<Minion> &minions, RouterSettings settings = {})
    {
        settings.self = EntryId("entry-a");
        settings.zone = ZoneId("az-1");
        m_router = std::make_unique<Router>(settings);
        (void)m_router->setMinions(minions, m_now);
    }

    RouteRequest request(const std::string &caller = "buyer", Duration deadline = seconds(10))
    {
        RouteRequest routeRequest;
        routeRequest.number = ++m_number;
        routeRequest.caller = CallerId(caller);
        routeRequest.service = lending;
        routeRequest.deadline = m_now + deadline;
        routeRequest.idempotent = true;
        return routeRequest;
    }

    std::vector<RouteAction> admit(const std::string &caller = "buyer", Duration deadline = seconds(10))
    {
        return m_router->admit(request(caller, deadline), m_now);
    }

    std::vector<RouteAction>
    finish(const Dispatch &sent, AttemptEnd end = AttemptEnd::Answered, Duration latency = milliseconds(10))
    {
        return m_router->finishAttempt({sent.request, sent.minion.id, end, latency}, m_now);
    }

    // Admits `count` requests and returns those that are dispatched at once.
    std::vector<Dispatch> admitMany(int count, const std::string &caller = "buyer")
    {
        std::vector<Dispatch> sent;
        for (int n = 0; n < count; ++n) {
            const auto found = actionsOf<Dispatch>(admit(caller));
            sent.insert(sent.end(), found.begin(), found.end());
        }
        return sent;
    }

    // Serves `count` requests one after the other. `endOf` returns how an attempt on a minion ends and its latency.
    // Returns the minions that were used.
    template <typename EndOf>
    std::set<MinionId> serve(int count, EndOf endOf)
    {
        std::set<MinionId> used;
        for (int n = 0; n < count; ++n) {
            m_now += milliseconds(5);
            for (const auto &sent : actionsOf<Dispatch>(admit())) {
                used.insert(sent.minion.id);
                const auto [end, latency] = endOf(sent.minion.id);
                (void)finish(sent, end, latency);
            }
        }
        return used;
    }

    TimePoint m_now = TimePoint(seconds(1000));
    RequestNumber m_number = 0;
    std::unique_ptr<Router> m_router;
};

std::pair<AttemptEnd, Duration> answered(const MinionId & /*minion*/)
{
    return {AttemptEnd::Answered, milliseconds(10)};
}

} // namespace

TEST_P(RouterTest, slots_areNotExceededByThisEntry)
{
    RouterSettings settings;
    settings.policy = GetParam();
    start({makeMinion(1, 3), makeMinion(2, 2)}, settings);
    const auto sent = admitMany(10);
    const auto load = m_router->inFlight();
    EXPECT_LE(load.at(MinionId("m1")), 3);
    EXPECT_LE(load.at(MinionId("m2")), 2);
    EXPECT_EQ(m_router->queued(), 10 - static_cast<int>(sent.size()));
    EXPECT_GE(sent.size(), 3U);
}

TEST_P(RouterTest, finishedAttempt_freesTheSlotOnceAndDispatchesTheNext)
{
    RouterSettings settings;
    settings.policy = GetParam();
    start({makeMinion(1, 2)}, settings);
    const auto sent = admitMany(6);
    ASSERT_FALSE(sent.empty());
    const auto queued = m_router->queued();
    EXPECT_EQ(actionsOf<Dispatch>(finish(sent.front())).size(), 1U);
    EXPECT_TRUE(finish(sent.front()).empty());
    EXPECT_EQ(m_router->queued(), queued - 1);
    EXPECT_LE(m_router->inFlight().at(MinionId("m1")), 2);
}

INSTANTIATE_TEST_SUITE_P(Policies,
                         RouterTest,
                         testing::Values(RoutingPolicy::LeastInFlight,
                                         RoutingPolicy::PowerOfTwo,
                                         RoutingPolicy::FairShare),
                         [](const auto &row) {
                             std::string name(routingPolicyName(row.param));
                             std::erase(name, '-');
                             return name;
                         });

using RouterLimitsTest = RouterTest;

TEST_F(RouterLimitsTest, peerLoad_countsAgainstTheSlotsUntilItExpires)
{
    RouterSettings settings;
    settings.policy = RoutingPolicy::PowerOfTwo;
    start({makeMinion(1, 4)}, settings);
    m_router->setPeerLoad(EntryId("entry-b"), {{MinionId("m1"), 3}}, m_now);
    EXPECT_EQ(admitMany(4).size(), 1U);
    m_now += seconds(4);
    EXPECT_EQ(actionsOf<Dispatch>(m_router->tick(m_now)).size(), 3U);
}

TEST_F(RouterLimitsTest, removedPeer_holdsNoSlots)
{
    RouterSettings settings;
    settings.policy = RoutingPolicy::PowerOfTwo;
    start({makeMinion(1, 4)}, settings);
    m_router->setPeerLoad(EntryId("entry-b"), {{MinionId("m1"), 4}}, m_now);
    EXPECT_EQ(admitMany(1).size(), 0U);
    m_router->removePeer(EntryId("entry-b"));
    EXPECT_EQ(actionsOf<Dispatch>(m_router->tick(m_now)).size(), 1U);
}

TEST_F(RouterLimitsTest, peersWithZeroOrNegativeReports_areRemovedWithoutEffect)
{
    start({makeMinion(1, 4)});
    m_router->setPeerLoad(EntryId("entry-b"), {{MinionId("m1"), 0}}, m_now);
    m_router->setPeerLoad(EntryId("entry-c"), {{MinionId("m1"), -5}}, m_now);
    m_router->removePeer(EntryId("entry-b"));
    m_router->removePeer(EntryId("entry-c"));
    EXPECT_EQ(admitMany(4).size(), 4U);
}

TEST_F(RouterLimitsTest, connections_areDividedBetweenTheEntries)
{
    start({makeMinion(1)});
    EXPECT_EQ(m_router->connectionLimit(MinionId("m1")), 64);
    for (const char *peer : {"entry-b", "entry-c", "entry-d"}) {
        m_router->setPeerLoad(EntryId(peer), {}, m_now);
    }
    EXPECT_EQ(m_router->connectionLimit(MinionId("m1")), 16);
}

TEST_F(RouterLimitsTest, unknownService_isRefusedAtOnce)
{
    start({});
    const auto refused = actionsOf<Refuse>(admit());
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_GT(refused.front().retryAfter, Duration{});
    EXPECT_FALSE(m_router->consumeRetryBudget(lending, m_now));
}

TEST_F(RouterLimitsTest, fullQueue_refusesTheCallerWithTheMostWaitingRequests)
{
    RouterSettings settings;
    settings.maxQueued = 10;
    start({makeMinion(1, 1)}, settings);
    admitMany(11, "big");
    ASSERT_EQ(m_router->queued(), 10);
    EXPECT_EQ(actionsOf<Refuse>(admit("big")).size(), 1U);
    const auto actions = admit("small");
    ASSERT_EQ(actionsOf<Enqueued>(actions).size(), 1U);
    EXPECT_EQ(actionsOf<Enqueued>(actions).front().request, m_number);
    ASSERT_EQ(actionsOf<Refuse>(actions).size(), 1U);
    EXPECT_EQ(actionsOf<Refuse>(actions).front().request, 11U);
}

TEST_F(RouterLimitsTest, waitingRequest_pastItsDeadline_isRefusedAndNeverSent)
{
    for (const bool deadlines : {true, false}) {
        RouterSettings settings;
        settings.switches.deadlines = deadlines;
        start({makeMinion(1, 1)}, settings);
        const auto sent = admitMany(1);
        admit("buyer", milliseconds(100));
        m_now += milliseconds(200);
        EXPECT_EQ(actionsOf<Refuse>(m_router->tick(m_now)).size(), deadlines ? 1U : 0U);
        EXPECT_EQ(actionsOf<Dispatch>(finish(sent.front())).size(), deadlines ? 0U : 1U);
    }
}

TEST_F(RouterLimitsTest, requestWhoseDeadlineCannotBeMet_isRefusedInsteadOfQueued)
{
    RouterSettings settings;
    settings.maxQueueWait = 100;
    start({makeMinion(1, 1)}, settings);
    serve(50, [](const MinionId &) { return std::pair(AttemptEnd::Answered, Duration(milliseconds(100))); });
    admitMany(5);
    EXPECT_EQ(actionsOf<Refuse>(admit("buyer", milliseconds(300))).size(), 1U);
    EXPECT_EQ(actionsOf<Enqueued>(admit("buyer", milliseconds(2000))).size(), 1U);
}

TEST_F(RouterLimitsTest, lostFirstAttempt_doesNotBlockRequestsWithShorterDeadlines)
{
    start({makeMinion(1), makeMinion(2)});
    (void)finish(admitMany(1).front(), AttemptEnd::Lost, seconds(2));
    (void)finish(admitMany(1).front(), AttemptEnd::Answered, seconds(2));
    m_now += seconds(1);
    EXPECT_EQ(actionsOf<Dispatch>(admit("buyer", milliseconds(500))).size(), 1U);
}

TEST_F(RouterLimitsTest, abandonedRequest_isNeverSent)
{
    start({makeMinion(1, 1)});
    const auto sent = admitMany(1);
    admit();
    m_router->abandon(m_number);
    EXPECT_EQ(m_router->queued(), 0);
    EXPECT_TRUE(finish(sent.front()).empty());
}

TEST_F(RouterLimitsTest, queuedCallers_areServedRoundRobin)
{
    start({makeMinion(1, 1)});
    const auto sent = admitMany(1, "big");
    admitMany(5, "big");
    admit("small");
    const auto small = m_number;
    const auto first = actionsOf<Dispatch>(finish(sent.front()));
    ASSERT_EQ(first.size(), 1U);
    const auto second = actionsOf<Dispatch>(finish(first.front()));
    ASSERT_EQ(second.size(), 1U);
    EXPECT_TRUE(first.front().request == small || second.front().request == small);
}

TEST_F(RouterLimitsTest, callerOverItsShare_leavesSlotsToOthers)
{
    RouterSettings settings;
    settings.policy = RoutingPolicy::LeastInFlight;
    start({makeMinion(1, 10), makeMinion(2, 10)}, settings);
    admitMany(1, "small");
    EXPECT_EQ(admitMany(30, "big").size(), 16U);
    EXPECT_EQ(admitMany(2, "small").size(), 2U);
}

TEST_F(RouterLimitsTest, ownZone_isPreferredWhileItHasFreeSlots)
{
    start({makeMinion(1, 8, "az-1"), makeMinion(2, 8, "az-2")});
    int local = 0;
    for (const auto &sent : admitMany(6)) {
        local += sent.minion.id == MinionId("m1") ? 1 : 0;
    }
    EXPECT_EQ(local, 6);
    EXPECT_EQ(admitMany(10).size(), 10U);
}

TEST_F(RouterLimitsTest, slotLimit_growsWithAnswersAndFallsToTheShareAfterRefusals)
{
    RouterSettings settings;
    settings.retryBudget = 1;
    start({makeMinion(1, 8)}, settings);
    for (const char *peer : {"entry-b", "entry-c", "entry-d"}) {
        m_router->setPeerLoad(EntryId(peer), {}, m_now);
    }
    auto sent = admitMany(8);
    const auto share = sent.size();
    EXPECT_LT(share, 8U);
    for (int n = 0; n < 400; ++n) {
        const auto waiting = actionsOf<Dispatch>(finish(sent.front()));
        sent.erase(sent.begin());
        sent.insert(sent.end(), waiting.begin(), waiting.end());
        m_now += milliseconds(1);
        const auto more = admitMany(8 - static_cast<int>(sent.size()));
        sent.insert(sent.end(), more.begin(), more.end());
    }
    EXPECT_GT(m_router->inFlight().at(MinionId("m1")), static_cast<int>(share));
    for (const auto &refused : sent) {
        (void)finish(refused, AttemptEnd::Refused, milliseconds(1));
    }
    m_now += seconds(1);
    (void)m_router->tick(m_now);
    admitMany(8);
    EXPECT_EQ(m_router->inFlight().at(MinionId("m1")), static_cast<int>(share));
}

TEST_F(RouterLimitsTest, waitLongerThanMaxQueueWait_isRefusedAtOnce)
{
    start({makeMinion(1, 1)});
    serve(50, answered);
    EXPECT_EQ(admitMany(1).size(), 1U);
    EXPECT_EQ(actionsOf<Enqueued>(admit()).size(), 1U);
    EXPECT_EQ(actionsOf<Refuse>(admit()).size(), 1U);
}

using RouterFailureTest = RouterTest;

TEST_F(RouterFailureTest, leavingMinion_receivesNothingUntilItRestarts)
{
    start({makeMinion(1), makeMinion(2)});
    serve(20, [](const MinionId &id) {
        return std::pair(id == MinionId("m1") ? AttemptEnd::Leaving : AttemptEnd::Answered, Duration(milliseconds(5)));
    });
    (void)m_router->setMinions({makeMinion(1), makeMinion(2)}, m_now);
    EXPECT_FALSE(serve(100, answered).contains(MinionId("m1")));
    auto restarted = makeMinion(1);
    restarted.incarnation = 2;
    (void)m_router->setMinions({restarted, makeMinion(2)}, m_now);
    EXPECT_TRUE(serve(100, answered).contains(MinionId("m1")));
}

TEST_F(RouterFailureTest, refusingMinion_isPaused)
{
    start({makeMinion(1), makeMinion(2)});
    auto sent = admitMany(1);
    (void)finish(sent.front(), AttemptEnd::Refused, milliseconds(1));
    for (const auto &next : admitMany(6)) {
        EXPECT_NE(next.minion.id, sent.front().minion.id);
    }
}

TEST_F(RouterFailureTest, failingMinion_isEjectedProbedAndRestored)
{
    start({makeMinion(1), makeMinion(2), makeMinion(3)});
    const MinionId bad("m1");
    serve(200, [&](const MinionId &id) {
        return std::pair(id == bad ? AttemptEnd::Lost : AttemptEnd::Answered, Duration(milliseconds(10)));
    });
    ASSERT_EQ(m_router->ejected(), std::vector<MinionId>{bad});
    m_now += seconds(40);
    serve(10, answered);
    EXPECT_TRUE(m_router->ejected().empty());
}

TEST_F(RouterFailureTest, slowMinion_isEjected)
{
    start({makeMinion(1), makeMinion(2), makeMinion(3), makeMinion(4)});
    serve(400, [](const MinionId &id) {
        return std::pair(AttemptEnd::Answered, Duration(milliseconds(id == MinionId("m2") ? 200 : 10)));
    });
    EXPECT_EQ(m_router->ejected(), std::vector<MinionId>{MinionId("m2")});
}

TEST_F(RouterFailureTest, ejectedMinions_stayWithinMaxEjected)
{
    start({makeMinion(1), makeMinion(2), makeMinion(3), makeMinion(4), makeMinion(5), makeMinion(6)});
    const auto used = serve(500, [](const MinionId &) { return std::pair(AttemptEnd::Lost, Duration(seconds(1))); });
    EXPECT_EQ(m_router->ejected().size(), 2U);
    EXPECT_EQ(used.size(), 6U);
}

TEST_F(RouterFailureTest, retries_areLimitedToAShareOfFirstAttempts)
{
    start({makeMinion(1, 1000)});
    admitMany(1000);
    int taken = 0;
    for (int n = 0; n < 1000; ++n) {
        taken += m_router->consumeRetryBudget(lending, m_now) ? 1 : 0;
    }
    EXPECT_GE(taken, 10);
    EXPECT_LE(taken, 20);
}

TEST_F(RouterFailureTest, hedge_isSentToAnotherMinionOrRefused)
{
    start({makeMinion(1, 1), makeMinion(2, 1)});
    auto hedge = request();
    const auto first = actionsOf<Dispatch>(m_router->admit(hedge, m_now));
    ASSERT_EQ(first.size(), 1U);
    hedge.attempt = 2;
    hedge.hedge = true;
    hedge.tried = {first.front().minion.id};
    const auto second = actionsOf<Dispatch>(m_router->admit(hedge, m_now));
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second.front().minion.id, first.front().minion.id);
    hedge.number = ++m_number;
    EXPECT_EQ(actionsOf<Refuse>(m_router->admit(hedge, m_now)).size(), 1U);
    // Both attempts have the same request number; each frees only its own slot.
    (void)finish(first.front());
    EXPECT_FALSE(m_router->inFlight().contains(first.front().minion.id));
    EXPECT_EQ(m_router->inFlight().at(second.front().minion.id), 1);
}

TEST_F(RouterFailureTest, hedgeDelay_liesInTheTailOfTheLatencies)
{
    start({makeMinion(1), makeMinion(2)});
    EXPECT_FALSE(m_router->hedgeDelay(lending, m_now).has_value());
    int n = 0;
    serve(1000, [&](const MinionId &) {
        return std::pair(AttemptEnd::Answered, Duration(milliseconds(++n % 50 == 0 ? 100 : 10)));
    });
    const auto delay = m_router->hedgeDelay(lending, m_now);
    ASSERT_TRUE(delay.has_value());
    EXPECT_GT(*delay, milliseconds(10));
    EXPECT_LT(*delay, milliseconds(110));
}
