#include "trefoilhoist/store/storelease.h"
#include "harness/eventqueue.h"
#include "harness/seeds.h"
#include "standins/store/storestate.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace Trefoilhoist;
using Testing::EventQueue;

namespace {

const std::string key = "trefoilhoist/cells/c1/owner";

StoreLeaseTimes leaseTimes()
{
    StoreLeaseTimes times;
    times.ttl = seconds(3);
    times.margin = milliseconds(100);
    times.renewEvery = seconds(1);
    times.retryEvery = milliseconds(200);
    return times;
}

// Several holders compete for one lock: slow and lost messages, pauses, clocks that drift, sessions that lapse
// at once.
class LeaseRace
{
public:
    /// With `earlyLapses` the store breaks its promise: only the fencing epochs hold then.
    LeaseRace(std::uint64_t seed, StoreLeaseGuards guards, bool earlyLapses = false)
        : m_random(seed), m_earlyLapses(earlyLapses)
    {
        for (int i = 0; i < 3; ++i) {
            m_holders.push_back(std::make_unique<Holder>(Holder{StoreLease(leaseTimes(), guards), {}, 1}));
            // Up to 2 % fast or slow; the margin is 3.3 % of the ttl.
            m_holders.back()->rate = 1 + (static_cast<double>(pick(0, 40)) - 20) / 1000;
        }
    }

    void run()
    {
        for (auto &holder : m_holders) {
            act(*holder);
        }
        for (int at = 0; at < 120000; at += 50) {
            m_events.after(milliseconds(at), [this] { m_state.expire(m_events.now()); });
        }
        m_events.runUntil(TimePoint{} + seconds(120), [this] { check(); });
    }

    int doubleHolds = 0;
    int holds = 0;
    int epochErrors = 0;
    [[nodiscard]] int epochsSeen() const
    {
        return static_cast<int>(m_sessionOfEpoch.size());
    }

private:
    struct Holder {
        StoreLease lease;
        TimePoint pausedUntil;
        double rate = 1;
    };

    int pick(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }
    bool chance(int percent)
    {
        return pick(1, 100) <= percent;
    }
    TimePoint localNow(const Holder &holder)
    {
        return TimePoint{}
        + Duration(static_cast<std::int64_t>(static_cast<double>(m_events.now().time_since_epoch().count())
                                             * holder.rate));
    }
    Duration delay()
    {
        return chance(5) ? milliseconds(pick(500, 4000)) : milliseconds(pick(1, 50));
    }

    // Runs `body` in the holder, after its pause when it is paused.
    void inHolder(Holder &holder, std::function<void()> body)
    {
        if (chance(2)) {
            holder.pausedUntil = m_events.now() + milliseconds(pick(100, 8000));
        }
        if (m_events.now() < holder.pausedUntil) {
            m_events.after(holder.pausedUntil - m_events.now(), std::move(body));
        } else {
            body();
        }
    }

    void act(Holder &holder)
    {
        const auto action = holder.lease.next(localNow(holder));
        if (const auto *wait = std::get_if<LeaseWait>(&action)) {
            const auto span = std::max<Duration>(wait->until - localNow(holder), milliseconds(1));
            m_events.after(span, [this, &holder] { inHolder(holder, [this, &holder] { act(holder); }); });
            return;
        }
        const auto sentAt = localNow(holder);
        if (std::holds_alternative<LeaseCreateSession>(action)) {
            call<std::string>(
                holder,
                [this] { return m_state.createSession(leaseTimes().ttl, Duration{}, m_events.now()); },
                [this, &holder, sentAt](auto result) {
                    holder.lease.sessionCreated(result, sentAt, localNow(holder));
                });
        } else if (const auto *acquire = std::get_if<LeaseAcquire>(&action)) {
            call<bool>(
                holder,
                [this, session = acquire->session] {
                    return m_state.put(key, "{}", {std::nullopt, session, ""}, m_events.now());
                },
                [this, &holder](auto result) { holder.lease.acquired(result, localNow(holder)); });
        } else if (const auto *renew = std::get_if<LeaseRenew>(&action)) {
            call<bool>(
                holder,
                [this, session = renew->session] { return m_state.renewSession(session, m_events.now()); },
                [this, &holder, sentAt](auto result) { holder.lease.renewed(result, sentAt, localNow(holder)); });
        } else {
            call<std::optional<StoreEntry>>(
                holder,
                [this]() -> std::optional<StoreEntry> {
                    const auto entry = m_state.get(key);
                    return entry ? std::optional(StoreEntry{
                               entry->key, entry->value, entry->modifyIndex, entry->lockIndex, entry->session})
                                 : std::nullopt;
                },
                [this, &holder](auto result) { holder.lease.keyRead(result, localNow(holder)); });
        }
    }

    // The request and the answer each take their time or get lost; the effect may come after the timeout.
    template <typename Value>
    void call(Holder &holder, std::function<Value()> effect, std::function<void(StoreResult<Value>)> answer)
    {
        auto done = std::make_shared<bool>(false);
        auto finish = [this, &holder, answer, done](StoreResult<Value> result) {
            inHolder(holder, [this, &holder, answer, done, result] {
                if (!*done) {
                    *done = true;
                    answer(result);
                    act(holder);
                }
            });
        };
        m_events.after(milliseconds(2500), [finish] {
            finish(tl::unexpected(StoreError{StoreFailure::Unknown, "no answer in time"}));
        });
        if (chance(4)) {
            return;
        }
        m_events.after(delay(), [this, effect, finish] {
            const auto value = effect();
            if (m_earlyLapses && chance(2)) {
                m_state.lapseAll(m_events.now());
            }
            if (!chance(8)) {
                m_events.after(delay(), [finish, value] { finish(value); });
            }
        });
    }

    void check()
    {
        m_state.expire(m_events.now());
        const auto entry = m_state.get(key);
        for (auto &holder : m_holders) {
            if (!holder->lease.heldSurely(localNow(*holder))) {
                continue;
            }
            ++holds;
            if (!entry || entry->session != holder->lease.session()) {
                ++doubleHolds;
            }
            // Each epoch belongs to one session.
            const auto [it, fresh] = m_sessionOfEpoch.emplace(holder->lease.epoch(), holder->lease.session());
            if (it->second != holder->lease.session()) {
                ++epochErrors;
            }
        }
    }

    std::mt19937_64 m_random;
    EventQueue m_events;
    Standin::StoreState m_state;
    std::vector<std::unique_ptr<Holder>> m_holders;
    bool m_earlyLapses = false;
    std::map<std::uint64_t, std::string> m_sessionOfEpoch;
};

int doubleHoldsOver(int seeds, StoreLeaseGuards guards)
{
    int found = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        LeaseRace race(static_cast<std::uint64_t>(seed), guards);
        race.run();
        found += race.doubleHolds;
    }
    return found;
}

} // namespace

TEST(StoreLease_racingHoldersWithPauses, oneSureHolderAtAnyMoment)
{
    int holds = 0;
    Testing::forEachSeed(
        60,
        [&](std::uint64_t seed) {
            LeaseRace race(seed, {});
            race.run();
            holds += race.holds;
            EXPECT_EQ(race.doubleHolds, 0);
            EXPECT_EQ(race.epochErrors, 0);
        },
        [] { return HasFailure(); });
    // The race is about something: the lock is held for much of the time.
    EXPECT_GT(holds, 1000);
}

TEST(StoreLease_storeThatLapsesEarly, epochsStillTellTheHolders)
{
    Testing::forEachSeed(
        30,
        [&](std::uint64_t seed) {
            LeaseRace race(seed, {}, true);
            race.run();
            EXPECT_EQ(race.epochErrors, 0);
            EXPECT_GT(race.epochsSeen(), 1);
        },
        [] { return HasFailure(); });
}

TEST(StoreLease_countedFromTheAnswer, hasTwoHolders)
{
    StoreLeaseGuards guards;
    guards.countFromSending = false;
    EXPECT_GT(doubleHoldsOver(60, guards), 0);
}

TEST(StoreLease_withoutLocalEnd, hasTwoHolders)
{
    StoreLeaseGuards guards;
    guards.endLocally = false;
    EXPECT_GT(doubleHoldsOver(20, guards), 0);
}
