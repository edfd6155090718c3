#include "harness/eventqueue.h"
#include "harness/seeds.h"
#include "standins/store/storestate.h"
#include "trefoilhoist/config/configagent.h"
#include "trefoilhoist/config/configchange.h"
#include "trefoilhoist/config/configtable.h"
#include "trefoilhoist/config/configwriter.h"
#include "trefoilhoist/store/keys.h"
#include "trefoilhoist/store/storewatch.h"

#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <set>
#include <vector>

using namespace Trefoilhoist;
using Testing::EventQueue;

namespace {

constexpr int operatorCount = 5;
constexpr int changesEach = 12;
constexpr int processCount = 5;
constexpr milliseconds callTimeout(1000);
constexpr seconds faultsEnd(120);
constexpr seconds runEnd(180);
constexpr seconds operatorLimit(20);

struct HistorySettings {
    ConfigChangeGuards guards;
    /// Changes by nobody, to push write ids out of the history.
    bool crowd = false;
    /// Processes hear from peers; otherwise only by their own watch.
    bool peers = true;
};

// An operator's change with the times of its call and its outcome.
struct Change {
    ConfigChangeRequest request;
    TimePoint start;
    TimePoint end;
    /// What took effect after this was not seen by the author.
    TimePoint firstWrite;
    std::optional<ChangeOutcome> outcome;
};

// One accepted write as the store saw it.
struct Effect {
    ConfigSegment segment;
    TimePoint at;
};

// Racing operators and following processes around one store: delays, lost calls and answers, copies that arrive
// after their timeout, outages, stale and repeated watch answers, restarts.
class ConfigHistory
{
public:
    ConfigHistory(std::uint64_t seed, HistorySettings settings) : m_settings(settings), m_random(seed)
    {
        for (int i = 0; i < processCount; ++i) {
            m_processes.push_back(std::make_unique<Process>(seed * 100 + static_cast<std::uint64_t>(i)));
        }
    }

    void run()
    {
        for (int i = 0; i < operatorCount; ++i) {
            m_events.after(milliseconds(pick(0, 500)), [this, i] { nextChange(i, changesEach); });
        }
        for (auto &process : m_processes) {
            process->watches = process == m_processes[0] || process == m_processes[1];
            follow(*process, process->life);
            gossip(*process);
        }
        if (m_settings.crowd) {
            m_events.after(seconds(1), [this] { crowd(400); });
        }
        for (int at = 0; at < 4; ++at) {
            m_events.after(seconds(pick(1, 110)), [this] { outage(); });
        }
        m_events.runUntil(TimePoint{} + runEnd, [] {});
    }

    void checkOutcomes() const;
    void checkProcesses() const;

    int doubled = 0;
    int refusedWithEffect = 0;
    int overwritten = 0;
    int accepted = 0;
    int refused = 0;
    int unsettled = 0;
    int goneBack = 0;

    /// Processes that lack the newest version of a segment at the end.
    [[nodiscard]] int behindAtEnd() const;

    // Counts what broke, without failing: for runs with a mechanism switched off.
    void count();

private:
    struct Process {
        explicit Process(std::uint64_t seed) : watchSeed(seed)
        {
            restart();
        }

        void restart()
        {
            table = std::make_unique<ConfigTable>();
            agent = std::make_shared<ConfigAgent>(*table, nullptr, ConfigAgentOptions{});
            watch = std::make_unique<StoreWatch>(StoreWatchTimes{}, ++watchSeed);
            versions = table->versions();
            ++life;
        }

        std::unique_ptr<ConfigTable> table;
        std::shared_ptr<ConfigAgent> agent;
        std::unique_ptr<StoreWatch> watch;
        std::vector<std::int64_t> versions;
        std::uint64_t watchSeed;
        int life = 0;
        bool watches = false;
    };

    int pick(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }
    bool chance(int percent)
    {
        return pick(1, 100) <= percent;
    }
    [[nodiscard]] bool faulty() const
    {
        return m_events.now() < TimePoint{} + faultsEnd;
    }
    Duration delay()
    {
        return faulty() && chance(5) ? milliseconds(pick(500, 4000)) : milliseconds(pick(1, 30));
    }

    void nextChange(int author, int left);
    void drive(const std::shared_ptr<Change> &change,
               const std::shared_ptr<ConfigChange> &machine,
               ChangeAction action,
               const std::function<void()> &then);
    template <typename Value>
    void call(std::function<Value()> effect, bool write, std::function<void(StoreResult<Value>)> answer);
    std::optional<StoreEntry> readKey(const std::string &key);
    bool writeKey(int segment, const WriteSegment &write);
    void follow(Process &process, int life);
    void awaitChange(WatchCall watch, TimePoint end, const std::function<void(StoreResult<StoreListing>)> &answer);
    StoreListing listing();
    void gossip(Process &process);
    void observe(Process &process);
    void crowd(int left);
    void outage();
    [[nodiscard]] bool overwroteUnseen(const Change &change, std::int64_t version) const;

    HistorySettings m_settings;
    std::mt19937_64 m_random;
    EventQueue m_events;
    Standin::StoreState m_state;
    bool m_out = false;
    std::map<int, std::vector<Effect>> m_effects;
    std::vector<std::shared_ptr<Change>> m_changes;
    std::vector<std::unique_ptr<Process>> m_processes;
    int m_lastId = 0;
};

void ConfigHistory::nextChange(int author, int left)
{
    if (left == 0) {
        return;
    }
    static const std::vector<std::string> names{"counter", "quotes"};
    auto change = std::make_shared<Change>();
    auto &request = change->request;
    request.edit.kind = ObjectKind::Service;
    request.edit.name = names[static_cast<std::size_t>(pick(0, 1))];
    for (int i = pick(1, 2); i > 0; --i) {
        const auto key = "key" + std::to_string(pick(1, 4));
        request.edit.labels[key]
            = chance(15) ? std::nullopt : std::optional("v" + std::to_string(author) + "-" + std::to_string(left));
    }
    request.writeId = "w" + std::to_string(++m_lastId);
    request.author = "operator" + std::to_string(author);
    change->start = m_events.now();
    m_changes.push_back(change);
    auto machine = std::make_shared<ConfigChange>(request, m_settings.guards);
    drive(change, machine, machine->start(), [this, author, left] {
        m_events.after(milliseconds(pick(0, 3000)), [this, author, left] { nextChange(author, left - 1); });
    });
}

void ConfigHistory::drive(const std::shared_ptr<Change> &change,
                          const std::shared_ptr<ConfigChange> &machine,
                          ChangeAction action,
                          const std::function<void()> &then)
{
    if (m_events.now() > change->start + operatorLimit && !std::holds_alternative<ChangeOutcome>(action)) {
        action = machine->giveUp("the time is over");
    }
    if (const auto *outcome = std::get_if<ChangeOutcome>(&action)) {
        change->outcome = *outcome;
        change->end = m_events.now();
        then();
        return;
    }
    const int segment = configSegmentOf(change->request.edit.kind, change->request.edit.name);
    const auto again = [this, change, machine, then](const ChangeAction &next, bool failed) {
        m_events.after(failed ? milliseconds(pick(20, 200)) : milliseconds(0),
                       [this, change, machine, next, then] { drive(change, machine, next, then); });
    };
    if (const auto *write = std::get_if<WriteSegment>(&action)) {
        change->firstWrite = change->firstWrite == TimePoint{} ? m_events.now() : change->firstWrite;
        call<bool>([this, segment, write = *write] { return writeKey(segment, write); },
                   true,
                   [machine, again](const auto &result) { again(machine->written(result), !result); });
        return;
    }
    call<std::optional<StoreEntry>>([this, segment] { return readKey(configSegmentKey(segment)); },
                                    false,
                                    [machine, again](const auto &result) { again(machine->read(result), !result); });
}

template <typename Value>
void ConfigHistory::call(std::function<Value()> effect, bool write, std::function<void(StoreResult<Value>)> answer)
{
    auto done = std::make_shared<bool>(false);
    auto finish = [answer, done](StoreResult<Value> result) {
        if (!*done) {
            *done = true;
            answer(result);
        }
    };
    m_events.after(callTimeout, [finish, write] {
        finish(tl::unexpected(StoreError{write ? StoreFailure::Unknown : StoreFailure::NotDone, "no answer in time"}));
    });
    if (faulty() && chance(5)) {
        return;
    }
    m_events.after(delay(), [this, effect, finish] {
        if (m_out) {
            return;
        }
        const auto value = effect();
        if (!faulty() || !chance(15)) {
            m_events.after(delay(), [finish, value] { finish(value); });
        }
    });
}

std::optional<StoreEntry> ConfigHistory::readKey(const std::string &key)
{
    const auto stale = m_state.staleList(key);
    if (faulty() && chance(10) && !stale.empty()) {
        return StoreEntry{key, stale.front().value, stale.front().modifyIndex, 0, {}};
    }
    const auto entry = m_state.get(key);
    return entry ? std::optional(StoreEntry{key, entry->value, entry->modifyIndex, 0, {}}) : std::nullopt;
}

bool ConfigHistory::writeKey(int segment, const WriteSegment &write)
{
    if (!m_state.put(configSegmentKey(segment), write.value, {write.modifyIndex, "", ""}, m_events.now())) {
        return false;
    }
    const auto parsed = ConfigSegment::parse(write.value);
    if (!parsed) {
        ADD_FAILURE() << parsed.error();
        return true;
    }
    m_effects[segment].push_back({*parsed, m_events.now()});
    return true;
}

void ConfigHistory::follow(Process &process, int life)
{
    if (!process.watches) {
        return;
    }
    const auto next = process.watch->next();
    m_events.after(std::max<Duration>(next.notBefore - m_events.now(), Duration{}), [this, &process, life, next] {
        const auto sentAt = m_events.now();
        awaitChange(next, sentAt + next.wait, [this, &process, life, sentAt](const auto &result) {
            if (process.life != life) {
                return;
            }
            if (result) {
                for (const auto &entry : result->entries) {
                    const auto segment = ConfigSegment::parse(entry.value);
                    const int at = std::stoi(entry.key.substr(StoreKeys::configSegments.size()));
                    process.table->apply(at, segment->version, entry.value);
                }
            }
            process.watch->answered(result, sentAt, m_events.now());
            observe(process);
            follow(process, life);
        });
    });
}

void ConfigHistory::awaitChange(WatchCall watch,
                                TimePoint end,
                                const std::function<void(StoreResult<StoreListing>)> &answer)
{
    if (m_out || (faulty() && chance(2))) {
        m_events.after(callTimeout, [answer] {
            answer(tl::unexpected(StoreError{StoreFailure::NotDone, "the store is out"}));
        });
        return;
    }
    const bool repeated = faulty() && chance(1);
    if (watch.index == 0 || repeated || m_state.indexOf(StoreKeys::configSegments) > watch.index
        || m_events.now() >= end) {
        const auto now = listing();
        m_events.after(delay(), [answer, now] { answer(now); });
        return;
    }
    m_events.after(milliseconds(50), [this, watch, end, answer] { awaitChange(watch, end, answer); });
}

StoreListing ConfigHistory::listing()
{
    const bool stale = faulty() && chance(20);
    StoreListing found;
    found.index = stale ? 1 : m_state.indexOf(StoreKeys::configSegments);
    for (const auto &entry :
         stale ? m_state.staleList(StoreKeys::configSegments) : m_state.list(StoreKeys::configSegments)) {
        found.entries.push_back({entry.key, entry.value, entry.modifyIndex, 0, {}});
    }
    return found;
}

void ConfigHistory::gossip(Process &process)
{
    m_events.after(milliseconds(pick(500, 1500)), [this, &process] {
        auto &peer = *m_processes[static_cast<std::size_t>(pick(0, processCount - 1))];
        if (faulty() && chance(3)) {
            process.restart();
            follow(process, process.life);
        } else if (m_settings.peers && process.agent->behind(peer.agent->versions())) {
            // The peer's answer is on its way for a while; it may be old when it comes.
            const auto segments = peer.agent->segmentsNewerThan(process.agent->versions());
            m_events.after(delay(), [this, &process, segments] {
                process.agent->applySegments(segments);
                observe(process);
            });
        }
        gossip(process);
    });
}

void ConfigHistory::observe(Process &process)
{
    const auto now = process.table->versions();
    for (std::size_t i = 0; i < now.size(); ++i) {
        goneBack += now[i] < process.versions[i] ? 1 : 0;
    }
    process.versions = now;
}

void ConfigHistory::crowd(int left)
{
    if (left == 0) {
        return;
    }
    ConfigChangeRequest request;
    request.edit.kind = ObjectKind::Service;
    request.edit.name = "counter";
    request.edit.labels["crowd"] = std::to_string(left);
    request.writeId = "crowd" + std::to_string(left);
    const int segment = configSegmentOf(ObjectKind::Service, "counter");
    ConfigChange change(request, {});
    const auto entry = m_state.get(configSegmentKey(segment));
    const auto action = change.read(
        entry ? std::optional(StoreEntry{entry->key, entry->value, entry->modifyIndex, 0, {}}) : std::nullopt);
    writeKey(segment, std::get<WriteSegment>(action));
    m_events.after(milliseconds(pick(5, 15)), [this, left] { crowd(left - 1); });
}

void ConfigHistory::outage()
{
    m_out = true;
    m_events.after(seconds(pick(1, 15)), [this] { m_out = false; });
}

bool ConfigHistory::overwroteUnseen(const Change &change, std::int64_t version) const
{
    const auto &edit = change.request.edit;
    const auto &effects = m_effects.at(configSegmentOf(edit.kind, edit.name));
    return std::any_of(effects.begin(), effects.end(), [&](const Effect &effect) {
        const auto &record = effect.segment.history.back();
        const bool between = effect.at > change.firstWrite && record.version < version;
        return between && record.edit.name == edit.name
            && std::any_of(record.edit.labels.begin(), record.edit.labels.end(), [&](const auto &item) {
                   return edit.labels.count(item.first) != 0;
               });
    });
}

void ConfigHistory::count()
{
    std::set<std::string> known;
    for (const auto &[segment, effects] : m_effects) {
        for (const auto &effect : effects) {
            doubled += known.insert(effect.segment.history.back().writeId).second ? 0 : 1;
        }
    }
    for (const auto &change : m_changes) {
        if (!change->outcome) {
            continue;
        }
        const auto *taken = std::get_if<ChangeAccepted>(&*change->outcome);
        const bool wasRefused = std::holds_alternative<ChangeRefused>(*change->outcome);
        accepted += taken != nullptr ? 1 : 0;
        refused += wasRefused ? 1 : 0;
        unsettled += taken == nullptr && !wasRefused ? 1 : 0;
        refusedWithEffect += wasRefused && known.count(change->request.writeId) != 0 ? 1 : 0;
        overwritten += taken != nullptr && overwroteUnseen(*change, taken->version) ? 1 : 0;
    }
}

// Linearisable: the effects of a segment form one line of versions in which each accepted change stands exactly
// once, each refused one never, and every state is the one before plus the one edit.
void ConfigHistory::checkOutcomes() const
{
    std::map<std::string, std::pair<std::int64_t, TimePoint>> effectOf;
    for (const auto &[index, effects] : m_effects) {
        ConfigSegment model;
        for (const auto &effect : effects) {
            const auto &record = effect.segment.history.back();
            model.apply(record);
            EXPECT_EQ(effect.segment.text(), model.text());
            EXPECT_TRUE(effectOf.emplace(record.writeId, std::pair(record.version, effect.at)).second)
                << record.writeId << " took effect twice";
        }
    }
    for (const auto &change : m_changes) {
        ASSERT_TRUE(change->outcome) << change->request.writeId;
        const auto it = effectOf.find(change->request.writeId);
        if (const auto *taken = std::get_if<ChangeAccepted>(&*change->outcome)) {
            ASSERT_NE(it, effectOf.end()) << change->request.writeId << " was accepted without effect";
            EXPECT_EQ(taken->version, it->second.first);
            EXPECT_TRUE(change->start <= it->second.second && it->second.second <= change->end);
        } else if (std::holds_alternative<ChangeRefused>(*change->outcome)) {
            EXPECT_EQ(it, effectOf.end()) << change->request.writeId << " was refused but took effect";
        }
    }
}

int ConfigHistory::behindAtEnd() const
{
    return static_cast<int>(std::count_if(m_processes.begin(), m_processes.end(), [&](const auto &process) {
        const auto versions = process->table->versions();
        return std::any_of(m_effects.begin(), m_effects.end(), [&](const auto &item) {
            return versions[static_cast<std::size_t>(item.first)] < item.second.back().segment.version;
        });
    }));
}

void ConfigHistory::checkProcesses() const
{
    EXPECT_EQ(goneBack, 0);
    for (const auto &process : m_processes) {
        for (const auto &[segment, effects] : m_effects) {
            EXPECT_EQ(process->table->versions()[static_cast<std::size_t>(segment)], effects.back().segment.version);
            EXPECT_EQ(process->table->value(segment), effects.back().segment.text());
        }
    }
}

struct Broken {
    int doubled = 0;
    int refusedWithEffect = 0;
    int overwritten = 0;
};

Broken runMany(HistorySettings settings)
{
    Broken broken;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ConfigHistory history(seed, settings);
        history.run();
        history.count();
        broken.doubled += history.doubled;
        broken.refusedWithEffect += history.refusedWithEffect;
        broken.overwritten += history.overwritten;
    }
    return broken;
}

} // namespace

TEST(ConfigHistory_racingOperatorsUnderFaults, isLinearisableAndNeverGoesBack)
{
    int accepted = 0;
    int refused = 0;
    Testing::forEachSeed(
        20,
        [&](std::uint64_t seed) {
            HistorySettings settings;
            settings.crowd = seed % 3 == 0;
            ConfigHistory history(seed, settings);
            history.run();
            history.checkOutcomes();
            history.checkProcesses();
            history.count();
            EXPECT_EQ(history.overwritten, 0);
            accepted += history.accepted;
            refused += history.refused;
        },
        [] { return HasFailure(); });
    // Both outcomes are met often.
    EXPECT_GT(accepted, 100);
    EXPECT_GT(refused, 10);
    RecordProperty("accepted", accepted);
    RecordProperty("refused", refused);
}

TEST(ConfigHistory_withoutWriteIds, takesEffectAfterARefusal)
{
    HistorySettings settings;
    settings.guards.recogniseWriteIds = false;
    EXPECT_GT(runMany(settings).refusedWithEffect, 0);
}

TEST(ConfigHistory_withoutWriteIdsAndConflicts, appliesAChangeTwice)
{
    HistorySettings settings;
    settings.guards.recogniseWriteIds = false;
    settings.guards.refuseConflicts = false;
    EXPECT_GT(runMany(settings).doubled, 0);
}

TEST(ConfigHistory_withoutConflicts, overwritesWhatTheAuthorHasNotSeen)
{
    HistorySettings settings;
    settings.guards.refuseConflicts = false;
    EXPECT_GT(runMany(settings).overwritten, 0);
}

TEST(ConfigHistory_withoutPeers, leavesProcessesWithoutAWatchBehind)
{
    HistorySettings settings;
    settings.peers = false;
    ConfigHistory history(1, settings);
    history.run();
    EXPECT_EQ(history.behindAtEnd(), processCount - 2);
}
