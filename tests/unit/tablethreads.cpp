#include "trefoilhoist/config/configsegment.h"
#include "trefoilhoist/config/configtable.h"
#include "trefoilhoist/internal/rankedmutex.h"
#include "trefoilhoist/membership/membershiptable.h"
#include "trefoilhoist/metrics/burntable.h"
#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/routing/router.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

using namespace Trefoilhoist;

namespace {

constexpr int rounds = 300;

// Runs each body `rounds` times on its own thread and passes the number of the round.
void runTogether(const std::vector<std::function<void(int)>> &bodies)
{
    std::vector<std::thread> threads;
    threads.reserve(bodies.size());
    for (const auto &body : bodies) {
        threads.emplace_back([&body] {
            for (int i = 0; i < rounds; ++i) {
                body(i);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

Minion minionNumber(int number)
{
    Minion minion;
    minion.id = MinionId("m" + std::to_string(number));
    minion.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
    minion.zone = ZoneId("a");
    minion.service = ServiceId("lending");
    minion.slots = 8;
    minion.connections = 64;
    return minion;
}

std::string segmentAt(std::int64_t version)
{
    ConfigSegment segment;
    segment.version = version - 1;
    segment.apply(ConfigRecord{});
    return segment.text();
}

TimePoint at(int round)
{
    return TimePoint(milliseconds(1000 + round));
}

} // namespace

TEST(SharedTables_membership, usedByManyThreads_staysConsistent)
{
    MembershipTable table(EntryId("e1"), {});
    runTogether({[&](int i) {
                     table.applyAnnouncement({minionNumber(i % 20), i}, at(i));
                 },
                 [&](int i) { (void)table.takeDelta(at(i)); },
                 [&](int i) { table.expire(at(i)); },
                 [&](int) { (void)table.available(); },
                 [&](int i) {
                     (void)table.recordsIn(table.differingBuckets({}), at(i));
                 }});
    EXPECT_EQ(table.available().size(), 20);
}

TEST(SharedTables_router, usedByManyThreads_freesEverySlot)
{
    Router router({});
    (void)router.setMinions({minionNumber(0), minionNumber(1), minionNumber(2), minionNumber(3)}, at(0));
    std::atomic<RequestNumber> number = 0;
    const auto work = [&](int i) {
        RouteRequest request;
        request.number = ++number;
        request.caller = CallerId("c");
        request.service = ServiceId("lending");
        request.deadline = at(i) + seconds(10);
        auto actions = router.admit(request, at(i));
        // The thread that receives a dispatch finishes it, which may dispatch another request.
        while (!actions.empty()) {
            std::vector<RouteAction> next;
            for (const auto &action : actions) {
                if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
                    const auto more = router.finishAttempt(
                        {dispatch->request, dispatch->minion.id, AttemptEnd::Answered, milliseconds(1)}, at(i));
                    next.insert(next.end(), more.begin(), more.end());
                }
            }
            actions = std::move(next);
        }
    };
    runTogether({work,
                 work,
                 work,
                 [&](int i) { (void)router.tick(at(i)); },
                 [&](int) {
                     (void)router.inFlight();
                 }});
    for (const auto &[minion, count] : router.inFlight()) {
        EXPECT_EQ(count, 0) << minion;
    }
}

TEST(SharedTables_configAndMetrics, usedByManyThreads_stayConsistent)
{
    ConfigTable config;
    Clock clock;
    MetricsRegistry metrics(clock);
    BurnTable burn;
    runTogether({[&](int i) { (void)config.apply(i % configSegmentCount, i + 1, segmentAt(i + 1)); },
                 [&](int) { (void)config.versions(); },
                 [&](int) { (void)config.all(ObjectKind::Service); },
                 [&](int i) {
                     metrics.counter("requests", {{"minion", std::to_string(i % 3)}}).add();
                     metrics.latency("latency").record(milliseconds(i), clock.now());
                 },
                 [&](int) { (void)metrics.exposition(); },
                 [&](int i) {
                     burn.record({ServiceId("s"), CallerId("c"), MinionId("m"), true, milliseconds(1)}, at(i));
                 },
                 [&](int i) {
                     (void)burn.json(at(i));
                 }});
    EXPECT_NE(metrics.exposition().find("latency_count 300"), std::string::npos);
}

TEST(LockOrderDeathTest, lowerRankTakenSecond_endsTheProcess)
{
#ifdef TREFOILHOIST_CHECK_LOCKS
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    const auto takeInWrongOrder = [] {
        Detail::RankedMutex slots(Detail::LockRank::Slots);
        Detail::RankedMutex config(Detail::LockRank::Config);
        std::lock_guard first(slots);
        std::lock_guard second(config);
    };
    EXPECT_DEATH(takeInWrongOrder(), "lock order");
#else
    GTEST_SKIP() << "built without TREFOILHOIST_CHECK_LOCKS";
#endif
}
