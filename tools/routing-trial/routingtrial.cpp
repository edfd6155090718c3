#include "routingtrial.h"

#include "eventqueue.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

namespace Trefoilhoist::Tools {

namespace {

constexpr Duration sameZone = microseconds(250);
constexpr Duration crossZone = microseconds(1500);
constexpr Duration toClient = milliseconds(1);
constexpr Duration connectTimeout = milliseconds(200);
constexpr Duration tickInterval = milliseconds(20);
constexpr double slowFactor = 10;
const ServiceId service("lending");

constexpr std::array<std::pair<TrialFault, std::string_view>, 4> faultNames{{
    {TrialFault::None, "none"},
    {TrialFault::SlowMinion, "slow-minion"},
    {TrialFault::EntryKilled, "entry-killed"},
    {TrialFault::ZoneCut, "zone-cut"},
}};

struct FakeMinion {
    Minion minion;
    int zone = 0;
    int running = 0;
    double factor = 1;
};

struct FakeEntry {
    EntryId id;
    std::unique_ptr<Router> router;
    int zone = 0;
    bool up = true;
};

/// One request on its way.
struct Flight {
    RouteRequest request;
    int caller = 0;
    int entry = 0;
    int attempts = 0;
    TimePoint arrived{};
    /// Attempts that run now, by minion index.
    std::vector<std::pair<int, TimePoint>> running;
    bool counted = false;
};

class Trial
{
public:
    explicit Trial(const TrialSettings &settings);
    TrialResult run();

private:
    void addMinions();
    void addEntries();
    void handle(const Event &event);
    void arrive();
    void atMinion(const Event &event);
    void served(const Event &event);
    void attemptEnded(const Event &event);
    void hedgeDue(const Event &event);
    void deadline(const Event &event);
    void gossip(const Event &event);
    void breakSomething();

    void act(int entry, const std::vector<RouteAction> &actions);
    void dispatch(int entry, const Dispatch &sent);
    void retryOrFail(Flight &flight, AttemptEnd end);
    void answer(Flight &flight);
    void refuse(Flight &flight);
    void lose(Flight &flight);
    void forget(RequestNumber number);

    [[nodiscard]] bool isCut(int zone, int otherZone) const;
    [[nodiscard]] static Duration distance(int zone, int otherZone);
    Duration serviceTime(double factor);
    int pickEntry();
    int pickCaller();
    [[nodiscard]] double quantile(std::vector<double> &latencies, double q) const;

    TrialSettings m_settings;
    std::mt19937_64 m_random;
    std::lognormal_distribution<double> m_service;
    std::exponential_distribution<double> m_gap;
    std::vector<FakeMinion> m_minions;
    std::vector<FakeEntry> m_entries;
    std::unordered_map<std::string, int> m_minionIndex;
    std::unordered_map<RequestNumber, Flight> m_flights;
    EventQueue m_events;
    TimePoint m_now = TimePoint(seconds(1000));
    TimePoint m_start = m_now;
    TimePoint m_end = m_now;
    RequestNumber m_number = 0;
    int m_cutZone = -1;
    TrialResult m_result;
    std::vector<double> m_latencies;
    std::vector<double> m_othersLatencies;
};

Trial::Trial(const TrialSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_service(std::log(settings.medianServiceMs), settings.sigma)
    , m_end(m_start + settings.warmUp + settings.length)
{
    const double meanMs = settings.medianServiceMs * std::exp(settings.sigma * settings.sigma / 2);
    const double capacity = settings.minions * settings.slots * 1000.0 / meanMs;
    const double big = (settings.callers - 1 + settings.bigCaller) / settings.callers;
    m_gap = std::exponential_distribution<double>(capacity * settings.load * big);
    addMinions();
    addEntries();
}

void Trial::addMinions()
{
    for (int n = 0; n < m_settings.minions; ++n) {
        FakeMinion fake;
        fake.zone = n % m_settings.zones;
        fake.minion.id = MinionId("m" + std::to_string(n));
        fake.minion.endpoint = Endpoint{"127.0.1." + std::to_string(n % 250), 8080};
        fake.minion.zone = ZoneId("az-" + std::to_string(fake.zone));
        fake.minion.service = service;
        fake.minion.slots = m_settings.slots;
        fake.minion.connections = m_settings.slots * 8;
        fake.minion.incarnation = 1;
        m_minionIndex[fake.minion.id.str()] = n;
        m_minions.push_back(fake);
    }
}

void Trial::addEntries()
{
    std::vector<Minion> minions;
    for (const auto &fake : m_minions) {
        minions.push_back(fake.minion);
    }
    for (int n = 0; n < m_settings.entries; ++n) {
        FakeEntry entry;
        entry.zone = n % m_settings.zones;
        entry.id = EntryId("entry-" + std::to_string(n));
        auto settings = m_settings.router;
        settings.self = entry.id;
        settings.zone = ZoneId("az-" + std::to_string(entry.zone));
        settings.seed = m_settings.seed * 100 + static_cast<std::uint64_t>(n);
        entry.router = std::make_unique<Router>(settings);
        act(n, entry.router->setMinions(minions, m_now));
        m_entries.push_back(std::move(entry));
        m_events.push({.at = m_now + milliseconds(n), .kind = EventKind::Gossip, .entry = n});
        m_events.push({.at = m_now + milliseconds(n), .kind = EventKind::Tick, .entry = n});
    }
    m_events.push({.at = m_now, .kind = EventKind::Arrival});
    m_events.push({.at = m_now + m_settings.warmUp + m_settings.length / 3, .kind = EventKind::Fault});
}

TrialResult Trial::run()
{
    while (!m_events.empty()) {
        const auto event = m_events.pop();
        m_now = event.at;
        handle(event);
    }
    m_result.answered = static_cast<std::int64_t>(m_latencies.size());
    m_result.p50Ms = quantile(m_latencies, 0.5);
    m_result.p99Ms = quantile(m_latencies, 0.99);
    m_result.p999Ms = quantile(m_latencies, 0.999);
    m_result.othersP99Ms = quantile(m_othersLatencies, 0.99);
    return m_result;
}

void Trial::handle(const Event &event)
{
    switch (event.kind) {
    case EventKind::Arrival:
        return arrive();
    case EventKind::AtMinion:
        return atMinion(event);
    case EventKind::Served:
        return served(event);
    case EventKind::AttemptEnded:
        return attemptEnded(event);
    case EventKind::HedgeDue:
        return hedgeDue(event);
    case EventKind::Deadline:
        return deadline(event);
    case EventKind::Gossip:
        return gossip(event);
    case EventKind::GossipHeard:
        if (m_entries[static_cast<std::size_t>(event.minion)].up) {
            const auto from = static_cast<std::size_t>(event.entry);
            m_entries[static_cast<std::size_t>(event.minion)].router->setPeerLoad(
                m_entries[from].id, *event.load, m_now);
        }
        return;
    case EventKind::Tick: {
        auto &entry = m_entries[static_cast<std::size_t>(event.entry)];
        if (entry.up && m_now < m_end + m_settings.deadline) {
            act(event.entry, entry.router->tick(m_now));
            m_events.push({.at = m_now + tickInterval, .kind = EventKind::Tick, .entry = event.entry});
        }
        return;
    }
    case EventKind::Fault:
        return breakSomething();
    }
}

void Trial::arrive()
{
    const auto next = m_now + Duration(static_cast<Duration::rep>(m_gap(m_random) * 1e6));
    if (next < m_end) {
        m_events.push({.at = next, .kind = EventKind::Arrival});
    }
    Flight flight;
    flight.caller = pickCaller();
    flight.entry = pickEntry();
    flight.arrived = m_now;
    flight.counted = m_now >= m_start + m_settings.warmUp;
    flight.attempts = 1;
    flight.request.number = ++m_number;
    flight.request.caller = CallerId("caller-" + std::to_string(flight.caller));
    flight.request.service = service;
    flight.request.deadline = m_now + m_settings.deadline;
    flight.request.idempotent = std::uniform_real_distribution<>(0, 1)(m_random) < m_settings.idempotentShare;
    if (flight.counted) {
        ++m_result.requests;
        m_result.othersRequests += flight.caller > 0 ? 1 : 0;
    }
    m_events.push(
        {.at = flight.request.deadline, .kind = EventKind::Deadline, .entry = flight.entry, .request = m_number});
    const auto request = flight.request;
    const int entry = flight.entry;
    m_flights.emplace(m_number, std::move(flight));
    act(entry, m_entries[static_cast<std::size_t>(entry)].router->admit(request, m_now));
}

void Trial::act(int entry, const std::vector<RouteAction> &actions)
{
    for (const auto &action : actions) {
        if (const auto *sent = std::get_if<Dispatch>(&action)) {
            dispatch(entry, *sent);
        } else if (const auto *refused = std::get_if<Refuse>(&action)) {
            const auto it = m_flights.find(refused->request);
            // A refused hedge leaves the first attempt running.
            if (it != m_flights.end() && it->second.running.empty()) {
                refuse(it->second);
            }
        }
    }
}

void Trial::dispatch(int entry, const Dispatch &sent)
{
    const int index = m_minionIndex.at(sent.minion.id.str());
    auto &flight = m_flights.at(sent.request);
    flight.running.emplace_back(index, m_now);
    flight.request.tried.push_back(sent.minion.id);
    m_result.attempts += flight.counted ? 1 : 0;
    const int zone = m_entries[static_cast<std::size_t>(entry)].zone;
    const int minionZone = m_minions[static_cast<std::size_t>(index)].zone;
    Event event{.entry = entry, .minion = index, .request = sent.request, .sentAt = m_now};
    event.kind = EventKind::AtMinion;
    event.at = m_now + distance(zone, minionZone);
    if (isCut(zone, minionZone)) {
        event.kind = EventKind::AttemptEnded;
        event.end = AttemptEnd::Unreachable;
        event.at = m_now + connectTimeout;
    }
    m_events.push(event);
    if (m_settings.hedging && flight.request.idempotent && flight.running.size() == 1) {
        const auto delay = m_entries[static_cast<std::size_t>(entry)].router->hedgeDelay(service, m_now);
        if (delay) {
            m_events.push({.at = m_now + *delay, .kind = EventKind::HedgeDue, .entry = entry, .request = sent.request});
        }
    }
}

void Trial::atMinion(const Event &event)
{
    auto &fake = m_minions[static_cast<std::size_t>(event.minion)];
    const int zone = m_entries[static_cast<std::size_t>(event.entry)].zone;
    if (isCut(zone, fake.zone)) {
        return;
    }
    Event next = event;
    if (fake.running >= fake.minion.slots) {
        const auto it = m_flights.find(event.request);
        m_result.overshoot += it != m_flights.end() && it->second.counted ? 1 : 0;
        next.kind = EventKind::AttemptEnded;
        next.end = AttemptEnd::Refused;
        next.at = m_now + distance(zone, fake.zone);
    } else {
        ++fake.running;
        next.kind = EventKind::Served;
        next.at = m_now + serviceTime(fake.factor);
    }
    m_events.push(next);
}

void Trial::served(const Event &event)
{
    auto &fake = m_minions[static_cast<std::size_t>(event.minion)];
    --fake.running;
    const int zone = m_entries[static_cast<std::size_t>(event.entry)].zone;
    if (isCut(zone, fake.zone)) {
        return;
    }
    Event next = event;
    next.kind = EventKind::AttemptEnded;
    next.end = AttemptEnd::Answered;
    next.at = m_now + distance(zone, fake.zone);
    m_events.push(next);
}

void Trial::attemptEnded(const Event &event)
{
    auto &entry = m_entries[static_cast<std::size_t>(event.entry)];
    if (!entry.up) {
        return;
    }
    const auto it = m_flights.find(event.request);
    if (it != m_flights.end()) {
        std::erase_if(it->second.running, [&](const auto &row) { return row.first == event.minion; });
        if (event.end == AttemptEnd::Answered) {
            answer(it->second);
        }
    }
    const auto id = m_minions[static_cast<std::size_t>(event.minion)].minion.id;
    act(event.entry, entry.router->finishAttempt({event.request, id, event.end, m_now - event.sentAt}, m_now));
    const auto after = m_flights.find(event.request);
    if (after != m_flights.end() && event.end != AttemptEnd::Answered && after->second.running.empty()) {
        retryOrFail(after->second, event.end);
    }
}

void Trial::retryOrFail(Flight &flight, AttemptEnd end)
{
    auto &router = *m_entries[static_cast<std::size_t>(flight.entry)].router;
    const bool notRun = end == AttemptEnd::Refused || end == AttemptEnd::Unreachable;
    if ((notRun || flight.request.idempotent) && router.consumeRetryBudget(service, m_now)) {
        flight.request.attempt = ++flight.attempts;
        const auto request = flight.request;
        act(flight.entry, router.admit(request, m_now));
        return;
    }
    if (notRun) {
        refuse(flight);
    } else {
        lose(flight);
    }
}

void Trial::hedgeDue(const Event &event)
{
    auto &entry = m_entries[static_cast<std::size_t>(event.entry)];
    const auto it = m_flights.find(event.request);
    if (!entry.up || it == m_flights.end() || it->second.running.size() != 1
        || !entry.router->consumeRetryBudget(service, m_now)) {
        return;
    }
    auto hedge = it->second.request;
    hedge.attempt = ++it->second.attempts;
    hedge.hedge = true;
    m_result.hedges += it->second.counted ? 1 : 0;
    act(event.entry, entry.router->admit(hedge, m_now));
}

void Trial::deadline(const Event &event)
{
    const auto it = m_flights.find(event.request);
    auto &entry = m_entries[static_cast<std::size_t>(event.entry)];
    if (it == m_flights.end() || !entry.up) {
        return;
    }
    const auto running = it->second.running;
    if (running.empty()) {
        entry.router->abandon(event.request);
        refuse(it->second);
        return;
    }
    lose(it->second);
    for (const auto &[minion, sentAt] : running) {
        const auto id = m_minions[static_cast<std::size_t>(minion)].minion.id;
        act(event.entry, entry.router->finishAttempt({event.request, id, AttemptEnd::Lost, m_now - sentAt}, m_now));
    }
}

void Trial::gossip(const Event &event)
{
    const auto &entry = m_entries[static_cast<std::size_t>(event.entry)];
    if (!entry.up || m_now > m_end) {
        return;
    }
    const auto load = std::make_shared<const std::map<MinionId, int>>(entry.router->inFlight());
    for (int peer = 0; peer < m_settings.entries; ++peer) {
        const int zone = m_entries[static_cast<std::size_t>(peer)].zone;
        if (peer != event.entry && !isCut(entry.zone, zone)) {
            m_events.push({.at = m_now + distance(entry.zone, zone),
                           .kind = EventKind::GossipHeard,
                           .entry = event.entry,
                           .minion = peer,
                           .load = load});
        }
    }
    m_events.push({.at = m_now + m_settings.gossip, .kind = EventKind::Gossip, .entry = event.entry});
}

void Trial::breakSomething()
{
    switch (m_settings.fault) {
    case TrialFault::None:
        return;
    case TrialFault::SlowMinion:
        m_minions.front().factor = slowFactor;
        return;
    case TrialFault::EntryKilled: {
        m_entries.front().up = false;
        std::vector<RequestNumber> cut;
        for (const auto &[number, flight] : m_flights) {
            if (flight.entry == 0) {
                cut.push_back(number);
            }
        }
        for (const auto number : cut) {
            lose(m_flights.at(number));
        }
        return;
    }
    case TrialFault::ZoneCut:
        // Callers reach the other zones only; the balancer leaves the cut zone's entries out.
        m_cutZone = 0;
        return;
    }
}

void Trial::answer(Flight &flight)
{
    if (flight.counted) {
        const double ms = std::chrono::duration<double, std::milli>(m_now - flight.arrived + 2 * toClient).count();
        m_latencies.push_back(ms);
        if (flight.caller > 0) {
            m_othersLatencies.push_back(ms);
        }
    }
    forget(flight.request.number);
}

void Trial::refuse(Flight &flight)
{
    m_result.refused += flight.counted ? 1 : 0;
    m_result.othersRefused += flight.counted && flight.caller > 0 ? 1 : 0;
    forget(flight.request.number);
}

void Trial::lose(Flight &flight)
{
    m_result.lost += flight.counted ? 1 : 0;
    forget(flight.request.number);
}

void Trial::forget(RequestNumber number)
{
    m_flights.erase(number);
}

bool Trial::isCut(int zone, int otherZone) const
{
    return m_cutZone >= 0 && zone != otherZone && (zone == m_cutZone || otherZone == m_cutZone);
}

Duration Trial::distance(int zone, int otherZone)
{
    return zone == otherZone ? sameZone : crossZone;
}

Duration Trial::serviceTime(double factor)
{
    return Duration(static_cast<Duration::rep>(m_service(m_random) * factor * 1000));
}

int Trial::pickEntry()
{
    while (true) {
        const int n = static_cast<int>(m_random() % m_entries.size());
        const auto &entry = m_entries[static_cast<std::size_t>(n)];
        if (entry.up && entry.zone != m_cutZone) {
            return n;
        }
    }
}

int Trial::pickCaller()
{
    const double total = m_settings.callers - 1 + m_settings.bigCaller;
    const double at = std::uniform_real_distribution<>(0, total)(m_random);
    return at < m_settings.bigCaller ? 0 : 1 + static_cast<int>(at - m_settings.bigCaller) % (m_settings.callers - 1);
}

double Trial::quantile(std::vector<double> &latencies, double q) const
{
    if (latencies.empty()) {
        return 0;
    }
    const auto at = static_cast<std::ptrdiff_t>(q * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + at, latencies.end());
    return latencies[static_cast<std::size_t>(at)];
}

} // namespace

std::string_view trialFaultName(TrialFault fault)
{
    const auto *const it
        = std::find_if(faultNames.begin(), faultNames.end(), [&](const auto &row) { return row.first == fault; });
    return it == faultNames.end() ? "unknown" : it->second;
}

TrialResult runTrial(const TrialSettings &settings)
{
    return Trial(settings).run();
}

} // namespace Trefoilhoist::Tools
