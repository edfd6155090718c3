#include "trefoilhoist/claims/claimholders.h"
#include "trefoilhoist/claims/claimrecovery.h"
#include "trefoilhoist/claims/claimround.h"
#include "trefoilhoist/claims/claimtable.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <set>

using namespace Trefoilhoist;

namespace {

// Timing of the simulated cluster. Callers stop repeating a request well within the retention.
constexpr Duration retention = seconds(120);
constexpr Duration requestDeadline = seconds(3);
constexpr Duration callerTimeout = seconds(4);
constexpr Duration faultsEnd = seconds(40);
constexpr int keysPerRun = 30;
constexpr int maxCallerAttempts = 6;
constexpr std::uint64_t seedsPerSwitch = 200;

ClaimSettings simulatedSettings()
{
    ClaimSettings settings;
    settings.retention = retention;
    return settings;
}

struct Findings {
    /// Keys that ran more than once.
    int ranTwice = 0;
    /// Attempts that ran although the caller received NotRun.
    int falseNotRun = 0;
    /// Replayed answers that don't come from a run of the key.
    int wrongReplays = 0;
    int ran = 0;
    int replayed = 0;
    int mayHaveRun = 0;
    int notRun = 0;

    [[nodiscard]] int violations() const
    {
        return ranTwice + falseNotRun + wrongReplays;
    }
};

// Runs entries with real claim tables, rounds and recoveries. The network, the minions and the callers are simulated.
class ClaimSimulation
{
public:
    ClaimSimulation(std::uint64_t seed, ClaimSwitches switches) : m_random(seed), m_switches(switches)
    {
        m_lossShare = pick(0, 2) * 0.05;
        const int count = pick(2, 5);
        m_entries.resize(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            m_ids.emplace_back("e" + std::to_string(i));
            start(i);
            // The simulated cluster has already been up for longer than the retention.
            m_entries[static_cast<std::size_t>(i)].table->setIntact();
        }
    }

    Findings run()
    {
        for (int k = 0; k < keysPerRun; ++k) {
            at(milliseconds(pick(0, 40'000)), [this, k] { sendFromCaller(k, 1, 0); });
        }
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            scheduleFault(static_cast<int>(i));
        }
        while (!m_events.empty()) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        for (const auto &[key, runs] : m_runs) {
            m_findings.ranTwice += runs.size() > 1 ? 1 : 0;
            for (const auto &run : runs) {
                m_findings.falseNotRun += m_refused.contains(run) ? 1 : 0;
            }
        }
        return m_findings;
    }

private:
    struct Event {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };
    struct Entry {
        std::unique_ptr<ClaimTable> table;
        std::unique_ptr<ClaimRecovery> recovery;
        int incarnation = 0;
        bool up = true;
        TimePoint frozenUntil{};
    };
    // One request of a caller, as one entry handles it.
    struct CallerRequest {
        int key = 0;
        int attempt = 1;
        int requestNumber = 0;
        int entry = 0;
        int incarnation = 0;
        TimePoint deadline{};
        bool answered = false;
    };
    struct ClaimCollection {
        std::shared_ptr<CallerRequest> request;
        ClaimTry claim;
        std::vector<int> holders;
        std::unique_ptr<ClaimRound> round;
        bool done = false;
    };

    int pick(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }
    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }
    void at(Duration after, std::function<void()> action)
    {
        m_events.push({m_now + after, ++m_order, std::move(action)});
    }

    // Runs the action only in the given incarnation of the entry. A frozen entry runs it after the freeze.
    void runOnEntry(int index, int incarnation, Duration after, std::function<void()> action)
    {
        at(after, [this, index, incarnation, action = std::move(action)] {
            auto &entry = m_entries[static_cast<std::size_t>(index)];
            if (!entry.up || entry.incarnation != incarnation) {
                return;
            }
            if (m_now < entry.frozenUntil) {
                runOnEntry(index, incarnation, entry.frozenUntil - m_now + microseconds(pick(0, 1000)), action);
                return;
            }
            action();
        });
    }

    Duration networkDelay()
    {
        return chance(0.06) ? Duration(milliseconds(pick(100, 2500))) : microseconds(pick(100, 3000));
    }

    // Sends a message to the incarnation that the entry has on arrival. Messages may be lost, delayed or duplicated.
    void send(int to, const std::function<void(Entry &)> &action)
    {
        const int copies = chance(m_lossShare) ? 0 : chance(0.05) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            at(networkDelay(), [this, to, action] {
                auto &entry = m_entries[static_cast<std::size_t>(to)];
                if (entry.up) {
                    runOnEntry(to, entry.incarnation, Duration{}, [this, to, action] {
                        action(m_entries[static_cast<std::size_t>(to)]);
                    });
                }
            });
        }
    }

    void start(int index)
    {
        auto &entry = m_entries[static_cast<std::size_t>(index)];
        entry.table = std::make_unique<ClaimTable>(simulatedSettings(), m_switches);
        entry.recovery = std::make_unique<ClaimRecovery>(m_entries.size() - 1, m_now, simulatedSettings(), m_switches);
        entry.up = true;
        ++entry.incarnation;
        if (entry.incarnation > 1) {
            runOnEntry(index, entry.incarnation, milliseconds(50), [this, index, incarnation = entry.incarnation] {
                recover(index, incarnation);
            });
        }
    }

    void recover(int index, int incarnation)
    {
        auto &entry = m_entries[static_cast<std::size_t>(index)];
        if (entry.recovery->intact(m_now)) {
            entry.table->setIntact();
            return;
        }
        std::size_t slot = 0;
        for (int peer = 0; entry.recovery->mayFetch(m_now) && peer < static_cast<int>(m_entries.size()); ++peer) {
            if (peer != index) {
                fetch(index, incarnation, peer, slot++);
            }
        }
        runOnEntry(index, incarnation, milliseconds(500), [this, index, incarnation] { recover(index, incarnation); });
    }

    void fetch(int index, int incarnation, int peer, std::size_t slot)
    {
        send(peer, [this, index, incarnation, slot](Entry &from) {
            const auto page = from.table->page("", std::size_t{1} << 20U, m_now);
            runOnEntry(index, incarnation, networkDelay(), [this, index, slot, page] {
                auto &entry = m_entries[static_cast<std::size_t>(index)];
                entry.table->merge(page.claims, m_now);
                entry.recovery->trackFetched(slot, page.intact);
            });
        });
    }

    void scheduleFault(int index)
    {
        at(milliseconds(pick(500, 15'000)), [this, index] {
            auto &entry = m_entries[static_cast<std::size_t>(index)];
            if (m_now > TimePoint(faultsEnd)) {
                return;
            }
            if (chance(0.5)) {
                entry.up = false;
                at(milliseconds(pick(10, 3000)), [this, index] { start(index); });
            } else {
                entry.frozenUntil = m_now + milliseconds(pick(100, 8000));
            }
            scheduleFault(index);
        });
    }

    void sendFromCaller(int key, int attempt, int sent)
    {
        if (sent >= maxCallerAttempts) {
            return;
        }
        auto request = std::make_shared<CallerRequest>();
        request->key = key;
        request->attempt = attempt;
        request->requestNumber = ++m_lastNumber;
        request->entry = pick(0, static_cast<int>(m_entries.size()) - 1);
        send(request->entry, [this, request](Entry &entry) {
            // The load balancer opens one connection, so a duplicated message is not a second request.
            if (request->incarnation == 0) {
                request->incarnation = entry.incarnation;
                request->deadline = m_now + requestDeadline;
                collect(request);
            }
        });
        at(callerTimeout, [this, request, sent] {
            if (!request->answered) {
                request->answered = true;
                sendFromCaller(request->key, request->attempt + 1, sent + 1);
            }
        });
        m_sent[request->requestNumber] = sent;
    }

    void answerCaller(const std::shared_ptr<CallerRequest> &request, Verdict verdict)
    {
        if (request->answered) {
            return;
        }
        request->answered = true;
        const int sent = m_sent[request->requestNumber];
        if (verdict == Verdict::Ran) {
            ++m_findings.ran;
            if (chance(0.3)) {
                at(milliseconds(pick(1, 500)),
                   [this, request] { sendFromCaller(request->key, request->attempt + 1, maxCallerAttempts - 1); });
            }
            return;
        }
        int next = request->attempt + 1;
        if (verdict == Verdict::NotRun) {
            ++m_findings.notRun;
            m_refused.insert(request->requestNumber);
            next = chance(0.5) ? request->attempt : next;
        } else {
            ++m_findings.mayHaveRun;
        }
        at(milliseconds(pick(1, 800)), [this, request, next, sent] { sendFromCaller(request->key, next, sent + 1); });
    }

    void collect(const std::shared_ptr<CallerRequest> &request)
    {
        auto collection = std::make_shared<ClaimCollection>();
        collection->request = request;
        collection->claim.key = {CallerId("kitchen"), ServiceId("lending"), "k" + std::to_string(request->key)};
        collection->claim.token = "t" + std::to_string(++m_lastToken);
        collection->claim.fingerprint = "f";
        collection->claim.attempt = request->attempt;
        for (const auto &id : claimHolders(collection->claim.key, m_ids)) {
            collection->holders.push_back(std::stoi(id.str().substr(1)));
        }
        collection->round = std::make_unique<ClaimRound>(
            request->attempt, collection->holders.size(), m_now, simulatedSettings(), m_switches);
        for (std::size_t i = 0; i < collection->holders.size(); ++i) {
            requestClaim(collection, i);
        }
        runOnEntry(request->entry, request->incarnation, simulatedSettings().collectTimeout, [this, collection] {
            collection->round->tick(m_now);
            applyDecision(collection);
        });
    }

    void requestClaim(const std::shared_ptr<ClaimCollection> &collection, std::size_t holder)
    {
        const auto reply = [this, collection, holder](Entry &entry) {
            const auto answer = entry.table->claim(collection->claim, m_now);
            runOnEntry(collection->request->entry,
                       collection->request->incarnation,
                       networkDelay(),
                       [this, collection, holder, answer] {
                           collection->round->answered(holder, answer, m_now);
                           applyDecision(collection);
                       });
        };
        send(collection->holders[holder], reply);
    }

    void applyDecision(const std::shared_ptr<ClaimCollection> &collection)
    {
        const auto &decision = collection->round->decision();
        if (collection->done || std::holds_alternative<ClaimWait>(decision)) {
            return;
        }
        collection->done = true;
        const auto &request = collection->request;
        if (std::holds_alternative<ClaimHeld>(decision)) {
            // The entry may freeze or stop between the claim and the dispatch.
            runOnEntry(request->entry, request->incarnation, microseconds(pick(0, 20'000)), [this, collection] {
                dispatch(collection);
            });
            return;
        }
        finish(collection, Verdict::NotRun, false, {});
        if (const auto *replay = std::get_if<ClaimReplay>(&decision)) {
            ++m_findings.replayed;
            const auto &runs = m_runs[request->key];
            const bool own = std::any_of(runs.begin(), runs.end(), [&](int run) {
                return replay->answer->response.body == std::to_string(run);
            });
            m_findings.wrongReplays += own ? 0 : 1;
            answerCaller(request, Verdict::Ran);
        } else if (const auto *denied = std::get_if<ClaimDenied>(&decision)) {
            answerCaller(request, denied->verdict);
        } else if (m_now < request->deadline) {
            runOnEntry(request->entry, request->incarnation, milliseconds(pick(20, 200)), [this, request] {
                collect(request);
            });
        } else {
            answerCaller(request, Verdict::MayHaveRun);
        }
    }

    void dispatch(const std::shared_ptr<ClaimCollection> &collection)
    {
        const auto &request = collection->request;
        if (m_now >= request->deadline || chance(0.2)) {
            finish(collection, Verdict::NotRun, true, {});
            answerCaller(request, Verdict::NotRun);
            return;
        }
        const bool lost = chance(0.15);
        if (!lost || chance(0.5)) {
            m_runs[request->key].push_back(request->requestNumber);
        }
        runOnEntry(request->entry, request->incarnation, milliseconds(pick(1, 300)), [this, collection, request, lost] {
            HttpResponse response;
            response.body = std::to_string(request->requestNumber);
            finish(collection, lost ? Verdict::MayHaveRun : Verdict::Ran, false, response);
            answerCaller(request, lost ? Verdict::MayHaveRun : Verdict::Ran);
        });
    }

    void finish(const std::shared_ptr<ClaimCollection> &collection,
                Verdict verdict,
                bool proven,
                const HttpResponse &response)
    {
        const ClaimEnd end{collection->claim, verdict, proven, response};
        for (const int holder : collection->holders) {
            send(holder, [this, end](Entry &entry) { entry.table->finish(end, m_now); });
        }
    }

    std::mt19937_64 m_random;
    ClaimSwitches m_switches;
    double m_lossShare = 0;
    TimePoint m_now{};
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<Entry> m_entries;
    std::vector<EntryId> m_ids;
    std::map<int, std::vector<int>> m_runs;
    std::set<int> m_refused;
    std::map<int, int> m_sent;
    int m_lastToken = 0;
    int m_lastNumber = 0;
    Findings m_findings;
};

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Returns the sum of the findings over many seeds. Prints the first seed with a violation.
Findings runSeeds(std::uint64_t first, std::uint64_t count, ClaimSwitches switches, bool stopAtViolation)
{
    Findings total;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const auto findings = ClaimSimulation(seed, switches).run();
        if (findings.violations() > 0 && total.violations() == 0) {
            std::cout << "first seed with a violation: " << seed << "\n";
        }
        total.ranTwice += findings.ranTwice;
        total.falseNotRun += findings.falseNotRun;
        total.wrongReplays += findings.wrongReplays;
        total.ran += findings.ran;
        total.replayed += findings.replayed;
        total.mayHaveRun += findings.mayHaveRun;
        total.notRun += findings.notRun;
        if (stopAtViolation && total.violations() > 0) {
            break;
        }
    }
    return total;
}

std::vector<EntryId> majorityOf(const std::vector<EntryId> &holders, std::uint64_t choice)
{
    auto picked = holders;
    std::mt19937_64 random(choice);
    std::shuffle(picked.begin(), picked.end(), random);
    picked.resize(claimQuorum(picked.size()));
    return picked;
}

bool haveCommonEntry(const std::vector<EntryId> &left, const std::vector<EntryId> &right)
{
    return std::any_of(left.begin(), left.end(), [&](const EntryId &entry) {
        return std::find(right.begin(), right.end(), entry) != right.end();
    });
}

} // namespace

TEST(Claims_lossDelayRestartFreeze_runAtMostOnce, holdsForEverySeed)
{
    const auto first = numberFromEnvironment("TREFOILHOIST_SEED", 1);
    const auto count = numberFromEnvironment("TREFOILHOIST_SEEDS", 100);
    std::cout << "seeds " << first << " to " << first + count - 1 << "\n";
    const auto findings = runSeeds(first, count, {}, false);
    std::cout << "ran=" << findings.ran << " replayed=" << findings.replayed << " mayHaveRun=" << findings.mayHaveRun
              << " notRun=" << findings.notRun << "\n";
    EXPECT_EQ(findings.ranTwice, 0);
    EXPECT_EQ(findings.falseNotRun, 0);
    EXPECT_EQ(findings.wrongReplays, 0);
    EXPECT_GT(findings.ran, 0);
    EXPECT_GT(findings.replayed, 0);
}

// A mechanism, and a seed shortly before one that shows a violation without it.
struct ClaimSwitchCase {
    const char *name;
    bool ClaimSwitches::*mechanism;
    std::uint64_t firstSeed;
};

class ClaimSwitchTest : public testing::TestWithParam<ClaimSwitchCase>
{
};

TEST_P(ClaimSwitchTest, mechanismOff_simulation_findsAViolation)
{
    ClaimSwitches switches;
    switches.*(GetParam().mechanism) = false;
    EXPECT_GT(runSeeds(GetParam().firstSeed, seedsPerSwitch, switches, true).violations(), 0);
}

INSTANTIATE_TEST_SUITE_P(Claims,
                         ClaimSwitchTest,
                         testing::Values(ClaimSwitchCase{"majority", &ClaimSwitches::majority, 1},
                                         ClaimSwitchCase{"vouching", &ClaimSwitches::vouching, 1},
                                         ClaimSwitchCase{"recoveryDelay", &ClaimSwitches::recoveryDelay, 1300},
                                         ClaimSwitchCase{"collectTimeout", &ClaimSwitches::collectTimeout, 170},
                                         ClaimSwitchCase{"provenOnly", &ClaimSwitches::provenOnly, 35},
                                         ClaimSwitchCase{"neverTakeOver", &ClaimSwitches::neverTakeOver, 1}),
                         [](const auto &info) { return std::string(info.param.name); });

TEST(ClaimHolders_listsThatDifferByOneEntry, anyTwoMajoritiesShareAHolder)
{
    EXPECT_TRUE(rc::check("lists that differ by one entry share a holder", [] {
        const auto size = *rc::gen::inRange(1, 40);
        std::vector<EntryId> list;
        list.reserve(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i) {
            list.emplace_back("e" + std::to_string(i));
        }
        auto longer = list;
        longer.emplace_back("new-" + std::to_string(*rc::gen::arbitrary<std::uint32_t>()));
        const ClaimKey key{CallerId("c"), ServiceId("s"), std::to_string(*rc::gen::arbitrary<std::uint64_t>())};
        const auto left = claimHolders(key, list);
        const auto right = claimHolders(key, longer);
        RC_ASSERT(haveCommonEntry(majorityOf(left, *rc::gen::arbitrary<std::uint64_t>()),
                                  majorityOf(right, *rc::gen::arbitrary<std::uint64_t>())));
    }));
}
