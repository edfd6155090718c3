#include "trefoilhoist/membership/membershiptable.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>

using namespace Trefoilhoist;

namespace {

constexpr int entryCount = 4;
constexpr int minionCount = 8;
constexpr Duration step = milliseconds(100);
/// Messages are repeated up to this long after they were sent. The protocol tolerates delays as long as a chain of them
/// stays below the difference between the tombstone retention and the orphan timeout.
constexpr Duration maxReplayDelay = seconds(8);

MembershipTimes shortTimes()
{
    MembershipTimes times;
    times.tombstoneRetention = seconds(60);
    times.orphanTimeout = seconds(30);
    return times;
}

/// The actual state of a minion.
struct SimulatedMinion {
    std::int64_t incarnation = 1;
    std::int64_t sequence = 0;
    bool leaving = false;
    bool alive = true;
    int entry = 0;
};

struct Message {
    TimePoint at;
    int from = 0;
    int to = 0;
    std::vector<Wire::MinionRecord> records;
    std::vector<std::int64_t> digest;
    std::optional<Announcement> announcement;
};

using Rank = std::tuple<std::int64_t, bool, std::int64_t, bool>;

/// Simulates several tables, minions that start, leave and stop, and a network that loses, repeats, delays and reorders
/// messages.
class MembershipSimulation
{
public:
    MembershipSimulation(std::uint64_t seed, MembershipSwitches switches) : m_random(seed), m_switches(switches)
    {
        for (int n = 0; n < entryCount; ++n) {
            start(n);
        }
        m_minions.resize(minionCount);
        for (auto &minion : m_minions) {
            minion.entry = randomBelow(entryCount);
        }
    }

    // Returns the first violated property, or nothing.
    std::optional<std::string> run()
    {
        for (int n = 0; n < 1500 && m_violation.empty(); ++n) {
            injectFaults();
            advance();
        }
        stopFaults();
        for (int n = 0; n < 30 && m_violation.empty(); ++n) {
            advance();
        }
        if (m_violation.empty()) {
            checkLeaving();
        }
        for (int n = 0; n < 170 && m_violation.empty(); ++n) {
            advance();
        }
        if (m_violation.empty()) {
            checkConverged();
        }
        return m_violation.empty() ? std::nullopt : std::optional(m_violation);
    }

private:
    int randomBelow(int n)
    {
        return static_cast<int>(m_random() % static_cast<std::uint64_t>(n));
    }
    bool chance(double p)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < p;
    }
    static EntryId entryId(int n)
    {
        return EntryId("entry-" + std::to_string(n));
    }
    static MinionId minionId(std::size_t n)
    {
        return MinionId("m" + std::to_string(n));
    }

    void start(int n)
    {
        m_tables[n] = std::make_unique<MembershipTable>(entryId(n), shortTimes(), m_switches);
        m_tables[n]->expire(m_now);
        m_lastEndings[n].clear();
        m_frozenUntil[n] = TimePoint{};
        // A new process has new sockets, so messages that were queued for the old one are lost.
        std::erase_if(m_queue, [n](const Message &message) { return message.to == n; });
    }

    [[nodiscard]] bool isUp(int n) const
    {
        return m_now >= m_frozenUntil[n];
    }

    [[nodiscard]] bool isCutOff(int one, int two) const
    {
        return m_cutLinks.contains({std::min(one, two), std::max(one, two)});
    }

    void injectFaults()
    {
        if (chance(0.004)) {
            start(randomBelow(entryCount));
        }
        if (chance(0.004)) {
            m_frozenUntil[randomBelow(entryCount)] = m_now + seconds(chance(0.3) ? 75 : 5);
        }
        if (chance(0.01)) {
            const int one = randomBelow(entryCount);
            const int two = randomBelow(entryCount);
            const std::pair<int, int> link{std::min(one, two), std::max(one, two)};
            if (!m_cutLinks.erase(link)) {
                m_cutLinks.insert(link);
            }
        }
        auto &minion = m_minions[static_cast<std::size_t>(randomBelow(minionCount))];
        if (chance(0.01)) {
            minion.leaving = minion.alive;
        }
        if (chance(0.01)) {
            minion.alive = false;
        }
        if (chance(0.02) && (!minion.alive || minion.leaving)) {
            minion = SimulatedMinion{minion.incarnation + 1, 0, false, true, randomBelow(entryCount)};
        }
        if (chance(0.2) && !m_archive.empty()) {
            auto message = m_archive[static_cast<std::size_t>(randomBelow(static_cast<int>(m_archive.size())))];
            message.to = randomBelow(entryCount);
            message.at = m_now;
            m_queue.push_back(message);
        }
    }

    void stopFaults()
    {
        m_cutLinks.clear();
        m_frozenUntil.fill(TimePoint{});
        m_faulty = false;
    }

    void send(Message message)
    {
        message.at = m_now + step;
        if (!m_faulty) {
            m_queue.push_back(message);
            return;
        }
        if (isCutOff(message.from, message.to) || chance(0.15)) {
            return;
        }
        const int copies = chance(0.1) ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            message.at = m_now + step * (1 + (chance(0.3) ? randomBelow(20) : 0));
            m_queue.push_back(message);
        }
        m_archive.push_back(message);
    }

    void advance()
    {
        m_now += step;
        ++m_ticks;
        while (!m_archive.empty() && m_archive.front().at < m_now - maxReplayDelay) {
            m_archive.pop_front();
        }
        announce();
        deliver();
        for (int n = 0; n < entryCount; ++n) {
            if (isUp(n)) {
                act(n);
                checkNeverReverts(n);
            }
        }
    }

    void announce()
    {
        for (std::size_t n = 0; n < m_minions.size(); ++n) {
            auto &minion = m_minions[n];
            if (!minion.alive || (m_ticks + static_cast<int>(n)) % 5 != 0) {
                continue;
            }
            if (!isUp(minion.entry) || (m_faulty && chance(0.02))) {
                minion.entry = randomBelow(entryCount);
            }
            Message message;
            message.from = message.to = minion.entry;
            message.announcement = announcementOf(n);
            send(message);
        }
    }

    Announcement announcementOf(std::size_t n)
    {
        auto &minion = m_minions[n];
        Announcement result;
        result.minion.id = minionId(n);
        result.minion.endpoint = Endpoint{"127.0.1.1", static_cast<std::uint16_t>(8000 + n)};
        result.minion.service = ServiceId("lending");
        result.minion.slots = 8;
        result.minion.connections = 64;
        result.minion.incarnation = minion.incarnation;
        result.minion.leaving = minion.leaving;
        result.sequence = ++minion.sequence;
        return result;
    }

    void deliver()
    {
        // Handling a digest sends more messages, which are due later.
        std::deque<Message> waiting;
        std::swap(waiting, m_queue);
        for (auto &message : waiting) {
            if (message.at > m_now || !isUp(message.to)) {
                m_queue.push_back(std::move(message));
                continue;
            }
            receive(message);
        }
    }

    void receive(const Message &message)
    {
        auto &table = *m_tables[message.to];
        if (message.announcement) {
            table.applyAnnouncement(*message.announcement, m_now);
            return;
        }
        table.applyOwnerDigest(entryId(message.from), message.digest, m_now);
        table.apply(message.records, m_now);
        if (!message.digest.empty()) {
            Message answer;
            answer.from = message.to;
            answer.to = message.from;
            answer.records = table.recordsIn(table.differingBuckets(message.digest), m_now);
            send(answer);
        }
    }

    void act(int n)
    {
        auto &table = *m_tables[n];
        table.expire(m_now);
        const auto delta = table.takeDelta(m_now);
        for (int peer = 0; peer < entryCount; ++peer) {
            if (peer == n) {
                continue;
            }
            Message message;
            message.from = n;
            message.to = peer;
            message.records = delta;
            if (m_ticks % 10 == 0) {
                message.digest = table.digest();
            }
            if (!message.records.empty() || !message.digest.empty()) {
                send(message);
            }
        }
    }

    // Once a table knew a minion as leaving or gone, an older update must never make the minion available again, even
    // after the table has removed its record.
    void checkNeverReverts(int n)
    {
        for (const auto &record : m_tables[n]->records(m_now)) {
            const Rank rank{record.incarnation, record.leaving, record.sequence, record.gone};
            auto &last = m_lastEndings[n][record.id];
            if (rank < last && !record.gone && !record.leaving) {
                m_violation = "table " + std::to_string(n) + " reverted to an older record of " + record.id;
            }
            if (record.gone || record.leaving) {
                last = std::max(last, rank);
            }
        }
    }

    void checkLeaving()
    {
        for (int n = 0; n < entryCount; ++n) {
            for (const auto &minion : m_tables[n]->available()) {
                const auto &truth = m_minions.at(std::stoul(minion.id.str().substr(1)));
                if (truth.leaving && truth.alive && minion.incarnation <= truth.incarnation) {
                    m_violation = "table " + std::to_string(n) + " offers the leaving minion " + minion.id.str();
                }
            }
        }
    }

    void checkConverged()
    {
        std::set<std::string> wanted;
        for (std::size_t n = 0; n < m_minions.size(); ++n) {
            if (m_minions[n].alive && !m_minions[n].leaving) {
                wanted.insert(minionId(n).str() + "/" + std::to_string(m_minions[n].incarnation));
            }
        }
        for (int n = 0; n < entryCount && m_violation.empty(); ++n) {
            std::set<std::string> found;
            for (const auto &minion : m_tables[n]->available()) {
                found.insert(minion.id.str() + "/" + std::to_string(minion.incarnation));
            }
            if (found != wanted) {
                m_violation = "table " + std::to_string(n) + " doesn't list exactly the available minions";
            } else if (m_tables[n]->digest() != m_tables[0]->digest()) {
                m_violation = "table " + std::to_string(n) + " has a different digest than table 0";
            }
        }
    }

    std::mt19937_64 m_random;
    MembershipSwitches m_switches;
    TimePoint m_now = TimePoint(seconds(1000));
    int m_ticks = 0;
    bool m_faulty = true;
    std::array<std::unique_ptr<MembershipTable>, entryCount> m_tables;
    std::array<std::map<std::string, Rank>, entryCount> m_lastEndings;
    std::array<TimePoint, entryCount> m_frozenUntil{};
    std::set<std::pair<int, int>> m_cutLinks;
    std::vector<SimulatedMinion> m_minions;
    std::deque<Message> m_queue;
    std::deque<Message> m_archive;
    std::string m_violation;
};

std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *const text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Runs simulations until one finds a violation. Returns its seed and the violated property, or nothing.
std::optional<std::string> firstViolation(MembershipSwitches switches)
{
    const auto first = environmentNumber("TREFOILHOIST_SEED", 1);
    const auto count = environmentNumber("TREFOILHOIST_SEEDS", 60);
    for (auto seed = first; seed < first + count; ++seed) {
        if (const auto violation = MembershipSimulation(seed, switches).run()) {
            return "TREFOILHOIST_SEED=" + std::to_string(seed) + ": " + *violation;
        }
    }
    return std::nullopt;
}

struct SwitchCase {
    const char *name;
    bool MembershipSwitches::*mechanism;
};

class MembershipSwitchedOff : public testing::TestWithParam<SwitchCase>
{
};

} // namespace

TEST(MembershipHistory, lostRepeatedReorderedUpdates_convergesAndNeverReverts)
{
    EXPECT_EQ(firstViolation({}), std::nullopt);
}

TEST_P(MembershipSwitchedOff, mechanismOff_simulation_violatesAProperty)
{
    MembershipSwitches switches;
    switches.*GetParam().mechanism = false;
    const auto violation = firstViolation(switches);
    ASSERT_TRUE(violation.has_value());
    std::cout << *violation << '\n';
}

INSTANTIATE_TEST_SUITE_P(Each,
                         MembershipSwitchedOff,
                         testing::Values(SwitchCase{"orderUpdates", &MembershipSwitches::orderUpdates},
                                         SwitchCase{"keepTombstones", &MembershipSwitches::keepTombstones},
                                         SwitchCase{"rejectStale", &MembershipSwitches::rejectStale},
                                         SwitchCase{"republishOverStale", &MembershipSwitches::republishOverStale}),
                         [](const auto &row) { return std::string(row.param.name); });
