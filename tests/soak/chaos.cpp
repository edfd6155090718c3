#include "soak/chaos.h"

#include <numeric>
#include <stdexcept>

namespace Trefoilhoist::Soak {

namespace {

using Random = std::mt19937_64;

std::int64_t between(Random &random, std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(random);
}

bool withChance(Random &random, double chance)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < chance;
}

/// Most pauses are short, and some are longer than the longest lease.
std::int64_t pauseMs(Random &random)
{
    return withChance(random, 0.6) ? between(random, 20, 1500) : between(random, 1500, 9000);
}

/// Most processes are started again at once.
std::int64_t downMs(Random &random)
{
    return withChance(random, 0.5) ? between(random, 0, 60) : between(random, 60, 3000);
}

std::string jobName(Random &random)
{
    static const char *digits = "0123456789abcdef";
    std::string name;
    for (int i = 0; i < 16; ++i) {
        name += digits[between(random, 0, 15)];
    }
    return name;
}

constexpr std::int64_t lastingTaskMs = 3'600'000;

Review::Json jobOf(const JobClass &kind, Random &random)
{
    const auto ms = kind.lasts ? lastingTaskMs : kind.taskMs;
    Review::Json steps = Review::Json::array();
    const auto count = between(random, kind.minSteps, kind.maxSteps);
    std::string text = "ms=";
    for (std::int64_t i = 0; i < count; ++i) {
        Review::Json step
            = {{"count", kind.tasks}, {"cpu", kind.milliCpu}, {"memoryRequestMb", 64}, {"estimatedMs", ms}};
        if (kind.lasts) {
            step["longRunning"] = true;
        }
        if (i > 0) {
            step["after"] = {i - 1};
        }
        if (!kind.rack.empty()) {
            step["dataRack"] = kind.rack;
        }
        // Tasks of a class differ from step to step.
        const auto taskMs = kind.lasts ? ms : between(random, ms / 2, 3 * ms / 2);
        text += (i > 0 ? "," : "") + std::to_string(taskMs);
        steps.push_back(std::move(step));
    }
    return {{"specification", text}, {"steps", steps}};
}

} // namespace

Load::Load(Review::Site &site, Review::Record &record, std::vector<JobClass> classes, std::uint64_t seed)
    : m_site(site), m_record(record), m_classes(std::move(classes)), m_random(seed), m_thread([this] { submitLoop(); })
{
}

Load::~Load()
{
    stopSubmitting();
}

void Load::stopSubmitting()
{
    m_stopped = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::size_t Load::accepted() const
{
    std::lock_guard lock(m_mutex);
    return m_accepted.size();
}

void Load::submitLoop()
{
    const double perSecond = std::accumulate(
        m_classes.begin(), m_classes.end(), 0.0, [](double sum, const auto &it) { return sum + it.perSecond; });
    std::exponential_distribution<double> pause(perSecond / 1000);
    while (!m_stopped) {
        const auto &kind = anyClass();
        submit(jobName(m_random), jobOf(kind, m_random).dump(), kind.lasts);
        Review::sleepMs(static_cast<std::int64_t>(pause(m_random)));
    }
}

const JobClass &Load::anyClass()
{
    std::vector<double> shares;
    for (const auto &it : m_classes) {
        shares.push_back(it.perSecond);
    }
    return m_classes[std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(m_random)];
}

void Load::submit(const std::string &job, const std::string &body, bool lasting)
{
    constexpr int tries = 4;
    for (int i = 0; i < tries && !m_stopped; ++i) {
        const int front = static_cast<int>(between(m_random, 0, static_cast<std::int64_t>(m_site.fronts().size()) - 1));
        const auto answer = m_site.send("POST", job, body, 700, front);
        if (answer && answer->status == 200) {
            std::lock_guard lock(m_mutex);
            m_accepted[job] = lasting;
            return;
        }
        Review::sleepMs(100);
    }
}

std::vector<std::string> Load::waitForJobs(std::int64_t timeoutMs)
{
    const auto until = m_record.now() + timeoutMs;
    auto unfinished = unfinishedJobs();
    while (!unfinished.empty() && m_record.now() < until) {
        Review::sleepMs(1000);
        unfinished = unfinishedJobs();
    }
    return unfinished;
}

std::vector<std::string> Load::unfinishedJobs()
{
    std::vector<std::string> unfinished;
    std::lock_guard lock(m_mutex);
    for (const auto &[job, lasting] : m_accepted) {
        const auto state = m_site.stateOf(job);
        if (state != "completed" && !lasting) {
            auto text = job;
            text.append(" is shown as \"").append(state).append("\"");
            unfinished.push_back(std::move(text));
        }
    }
    return unfinished;
}

Chaos::Chaos(Review::Site &site, Review::Record &record, std::uint64_t seed, const std::vector<std::string> &kinds)
    : m_site(site), m_record(record), m_random(seed), m_links(site, record)
{
    addProcessFaults();
    for (const auto &kind : LinkChaos::kinds()) {
        m_linkFaults[kind.name] = [this, kind](Random &random) {
            m_links.breakAny(kind, random);
        };
    }
    for (const auto &it : kinds) {
        if (m_processFaults.count(it) == 0 && m_linkFaults.count(it) == 0) {
            throw std::invalid_argument("no such kind of faults: " + it);
        }
    }
    const auto isUnwanted = [&](const auto &it) {
        return !kinds.empty() && std::find(kinds.begin(), kinds.end(), it.first) == kinds.end();
    };
    std::erase_if(m_processFaults, isUnwanted);
    std::erase_if(m_linkFaults, isUnwanted);
    const auto &records = m_site.minionRecords();
    for (std::size_t i = 0; i < m_site.sides().size(); ++i) {
        m_recordOfSide[m_site.sides()[i].name] = records.at(i);
    }
}

void Chaos::addProcessFaults()
{
    const std::map<std::string, void (Chaos::*)(Random &)> all = {{"kill-agent", &Chaos::killAgent},
                                                                  {"stop-agent", &Chaos::stopAgent},
                                                                  {"pause-agent", &Chaos::pauseAgent},
                                                                  {"kill-minion", &Chaos::killMinion},
                                                                  {"pause-minion", &Chaos::pauseMinion},
                                                                  {"slow-minion", &Chaos::slowMinion},
                                                                  {"delay-calls", &Chaos::delayCalls},
                                                                  {"leave-minion", &Chaos::leaveMinion},
                                                                  {"step-clock", &Chaos::stepClock},
                                                                  {"kill-owner", &Chaos::killOwner},
                                                                  {"slow-at-takeover", &Chaos::slowAtTakeover},
                                                                  {"kill-machine", &Chaos::killMachine},
                                                                  {"pause-machine", &Chaos::pauseMachine},
                                                                  {"suspend-machine", &Chaos::suspendMachine},
                                                                  {"kill-dispatcher", &Chaos::killDispatcher},
                                                                  {"stop-dispatcher", &Chaos::stopDispatcher},
                                                                  {"pause-dispatcher", &Chaos::pauseDispatcher},
                                                                  {"slow-store", &Chaos::slowStore}};
    for (const auto &[name, fault] : all) {
        m_processFaults[name] = [this, fault = fault](Random &random) {
            (this->*fault)(random);
        };
    }
}

std::int64_t Chaos::killedAtMs(const std::string &minionRecord) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_killedAtMs.find(minionRecord);
    return it == m_killedAtMs.end() ? 0 : it->second;
}

std::vector<Suspension> Chaos::suspensionsOf(const std::string &minionRecord) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_suspensions.find(minionRecord);
    return it == m_suspensions.end() ? std::vector<Suspension>() : it->second;
}

void Chaos::run(std::int64_t forMs)
{
    const auto until = m_record.now() + forMs;
    while (m_record.now() < until) {
        const bool ofLinks = m_processFaults.empty() || (!m_linkFaults.empty() && withChance(m_random, 0.5));
        const auto &faults = ofLinks ? m_linkFaults : m_processFaults;
        auto it = faults.begin();
        std::advance(it, between(m_random, 0, std::ssize(faults) - 1));
        m_threads.emplace_back([fault = it->second, seed = m_random()] {
            Random random(seed);
            fault(random);
        });
        ++m_count;
        Review::sleepMs(between(m_random, 50, 1200));
    }
    for (auto &it : m_threads) {
        it.join();
    }
}

/// Takes a name for the time of a fault; `taken` is false if it has one already.
struct Claim {
    std::mutex &mutex;
    std::set<std::string> &busy;
    std::string name;
    bool taken = false;

    Claim(std::mutex &lockedBy, std::set<std::string> &names, std::string wanted)
        : mutex(lockedBy), busy(names), name(std::move(wanted))
    {
        std::lock_guard lock(mutex);
        taken = busy.insert(name).second;
    }
    ~Claim()
    {
        std::lock_guard lock(mutex);
        if (taken) {
            busy.erase(name);
        }
    }
    Claim(const Claim &) = delete;
    Claim &operator=(const Claim &) = delete;
};

Review::Side &Chaos::anySide(Random &random)
{
    auto &sides = m_site.sides();
    return sides[static_cast<std::size_t>(between(random, 0, static_cast<std::int64_t>(sides.size()) - 1))];
}

std::string Chaos::lastRecordOf(const Review::Side &side) const
{
    std::lock_guard lock(m_mutex);
    return m_recordOfSide.at(side.name);
}

void Chaos::restart(const Program &program, int signal, Random &random)
{
    const Claim claim(m_mutex, m_busy, program.name);
    if (!claim.taken) {
        return;
    }
    m_record.add("fault", program.name + ": " + (signal == SIGKILL ? "SIGKILL" : "SIGTERM"));
    program.process.kill(signal);
    Review::sleepMs(downMs(random));
    m_record.add("fault", program.name + ": started");
    program.process.start();
}

void Chaos::pauseProgram(const Program &program, Random &random)
{
    const Claim claim(m_mutex, m_busy, program.name);
    if (!claim.taken) {
        return;
    }
    const auto ms = pauseMs(random);
    m_record.add("fault", program.name + ": stands still for " + std::to_string(ms) + " ms");
    program.process.kill(SIGSTOP);
    Review::sleepMs(ms);
    program.process.kill(SIGCONT);
    m_record.add("fault", program.name + ": goes on");
}

Chaos::Program Chaos::anyAgent(Random &random)
{
    auto &side = anySide(random);
    return {side.name + " agent", *side.agent};
}

Chaos::Program Chaos::anyDispatcher(Random &random)
{
    auto &fronts = m_site.fronts();
    return dispatcherOf(fronts[static_cast<std::size_t>(between(random, 0, std::ssize(fronts) - 1))]);
}

Chaos::Program Chaos::dispatcherOf(Review::Front &front)
{
    return {front.name + " dispatcher", *front.dispatcher};
}

void Chaos::killAgent(Random &random)
{
    restart(anyAgent(random), SIGKILL, random);
}

void Chaos::stopAgent(Random &random)
{
    restart(anyAgent(random), SIGTERM, random);
}

void Chaos::pauseAgent(Random &random)
{
    pauseProgram(anyAgent(random), random);
}

void Chaos::endMinion(Review::Side &side)
{
    const auto path = lastRecordOf(side);
    m_record.add("fault", side.name + ": the minion " + side.plan.id + " is killed");
    side.minionProcess->kill(SIGKILL);
    std::lock_guard lock(m_mutex);
    m_killedAtMs[path] = m_record.now();
}

void Chaos::beginMinion(Review::Side &side, bool sameId, Random &random)
{
    std::lock_guard lock(m_mutex);
    side.plan.refusesForMs = withChance(random, 0.3) ? between(random, 0, 700) : 0;
    side.plan.seed = random();
    side.plan.clockRate = 1 - 0.0001 * static_cast<double>(between(random, 0, 200));
    const auto id = sameId ? side.plan.id : "i-" + side.name + "-" + std::to_string(++m_lives);
    m_site.startMinion(side, id);
    m_recordOfSide[side.name] = m_site.minionRecords().back();
    m_record.add("fault", side.name + ": the minion " + id + " is started");
}

void Chaos::sendLateHeartbeat(const Review::Side &side, const std::string &minionRecord, std::int64_t delayMs)
{
    std::ifstream file(minionRecord);
    std::string path;
    std::string body;
    for (std::string line; std::getline(file, line);) {
        const auto at = line.find(" beat ");
        if (at == std::string::npos) {
            continue;
        }
        const auto slash = line.find('/', at);
        const auto space = line.find(' ', slash);
        path = line.substr(slash, space - slash);
        body = line.substr(space + 1);
    }
    if (path.empty()) {
        return;
    }
    Review::sleepMs(delayMs);
    const auto answer = Review::call(side.plan.control, "POST", path, body, 1000);
    m_record.add("fault",
                 side.name + ": a late heartbeat arrives, answered " + std::to_string(answer ? answer->status : 0)
                     + ": " + path);
}

void Chaos::killMinion(Random &random)
{
    auto &side = anySide(random);
    const Claim claim(m_mutex, m_busy, side.name + " minion");
    if (!claim.taken) {
        return;
    }
    const auto path = lastRecordOf(side);
    endMinion(side);
    Review::sleepMs(downMs(random));
    beginMinion(side, withChance(random, 0.5), random);
    if (withChance(random, 0.4)) {
        sendLateHeartbeat(side, path, between(random, 0, 5000));
    }
}

void Chaos::pauseMinion(Random &random)
{
    auto &side = anySide(random);
    const Claim claim(m_mutex, m_busy, side.name + " minion");
    if (!claim.taken) {
        return;
    }
    const auto ms = pauseMs(random);
    m_record.add("fault", side.name + ": the minion stands still for " + std::to_string(ms) + " ms");
    side.minionProcess->kill(SIGSTOP);
    Review::sleepMs(ms);
    side.minionProcess->kill(SIGCONT);
    m_record.add("fault", side.name + ": the minion goes on");
}

void Chaos::slowMinion(Random &random)
{
    auto &side = anySide(random);
    const Claim claim(m_mutex, m_busy, side.name + " minion");
    if (!claim.taken) {
        return;
    }
    // An agent waits 400 ms for an answer.
    const auto delayMs = between(random, 200, 1500);
    const auto ms = between(random, 1000, 11'000);
    m_record.add("fault",
                 side.name + ": the minion answers after " + std::to_string(delayMs) + " ms for " + std::to_string(ms)
                     + " ms");
    tellMinion(side, MinionOrderKind::AnswerDelay, static_cast<int>(delayMs), ms);
    m_record.add("fault", side.name + ": the minion answers at once");
}

void Chaos::tellMinion(const Review::Side &side, MinionOrderKind kind, int value, std::int64_t forMs)
{
    side.minionProcess->tell(MinionOrder{kind, value}.number());
    Review::sleepMs(forMs);
    side.minionProcess->tell(MinionOrder{kind, 0}.number());
}

// Calls get no answer, and arrive after newer ones.
void Chaos::delayCalls(Random &random)
{
    auto &side = anySide(random);
    const Claim claim(m_mutex, m_busy, side.name + " minion");
    if (!claim.taken) {
        return;
    }
    const auto percent = between(random, 5, 60);
    const auto ms = between(random, 1000, 8000);
    m_record.add("fault",
                 side.name + ": " + std::to_string(percent) + " % of the minion's calls are late for "
                     + std::to_string(ms) + " ms");
    tellMinion(side, MinionOrderKind::LatePercent, static_cast<int>(percent), ms);
    m_record.add("fault", side.name + ": the minion's calls are no longer late");
}

void Chaos::leaveMinion(Random &random)
{
    auto &side = anySide(random);
    const Claim claim(m_mutex, m_busy, side.name + " minion");
    if (!claim.taken) {
        return;
    }
    Review::Departure departure;
    departure.unansweredMs = withChance(random, 0.4) ? between(random, 500, 5000) : 0;
    departure.closedMs = withChance(random, 0.5) ? between(random, 200, 4000) : 0;
    m_record.add("fault",
                 side.name + ": the minion leaves, " + std::to_string(departure.unansweredMs)
                     + " ms without an answer, " + std::to_string(departure.closedMs) + " ms with its port closed");
    const auto path = lastRecordOf(side);
    side.minionProcess->tell(MinionOrder{MinionOrderKind::Leave, departureValue(departure)}.number());
    side.minionProcess->wait();
    m_record.add("fault", side.name + ": the minion has left");
    {
        std::lock_guard lock(m_mutex);
        m_killedAtMs[path] = m_record.now();
    }
    Review::sleepMs(downMs(random));
    beginMinion(side, withChance(random, 0.3), random);
}

// The time of day steps on a host, for its processes and for the start times of later minions.
void Chaos::stepClock(Random &random)
{
    constexpr std::int64_t farthestMs = 60'000;
    const bool ofSide = withChance(random, 0.7);
    const auto &fronts = m_site.fronts();
    const auto front = static_cast<std::size_t>(between(random, 0, std::ssize(fronts) - 1));
    const auto &host = ofSide ? anySide(random).name : fronts[front].name;
    const auto ms = withChance(random, 0.7) ? between(random, -farthestMs, farthestMs) : 0;
    m_record.add("fault", host + ": its time of day is " + std::to_string(ms) + " ms ahead");
    m_site.shiftClock(host, ms);
}

void Chaos::killMachine(Random &random)
{
    auto &side = anySide(random);
    const Claim minion(m_mutex, m_busy, side.name + " minion");
    const Claim agent(m_mutex, m_busy, side.name + " agent");
    if (!minion.taken || !agent.taken) {
        return;
    }
    const auto path = lastRecordOf(side);
    m_record.add("fault", side.name + ": the machine is killed");
    side.agent->kill(SIGKILL);
    endMinion(side);
    Review::sleepMs(downMs(random));
    const bool agentFirst = withChance(random, 0.5);
    if (agentFirst) {
        side.agent->start();
        Review::sleepMs(between(random, 0, 400));
    }
    beginMinion(side, withChance(random, 0.5), random);
    if (!agentFirst) {
        Review::sleepMs(between(random, 0, 400));
        side.agent->start();
    }
    if (withChance(random, 0.5)) {
        sendLateHeartbeat(side, path, between(random, 0, 3000));
    }
}

void Chaos::pauseMachine(Random &random)
{
    auto &side = anySide(random);
    const Claim minion(m_mutex, m_busy, side.name + " minion");
    const Claim agent(m_mutex, m_busy, side.name + " agent");
    if (!minion.taken || !agent.taken) {
        return;
    }
    const auto ms = pauseMs(random);
    m_record.add("fault", side.name + ": the machine stands still for " + std::to_string(ms) + " ms");
    side.agent->kill(SIGSTOP);
    side.minionProcess->kill(SIGSTOP);
    Review::sleepMs(ms);
    side.minionProcess->kill(SIGCONT);
    Review::sleepMs(withChance(random, 0.5) ? between(random, 0, 30) : 0);
    side.agent->kill(SIGCONT);
    m_record.add("fault", side.name + ": the machine goes on");
}

// The minion's clock doesn't count the time, as the steady clock of a host that was suspended.
void Chaos::suspendMachine(Random &random)
{
    auto &side = anySide(random);
    const Claim minion(m_mutex, m_busy, side.name + " minion");
    const Claim agent(m_mutex, m_busy, side.name + " agent");
    if (!minion.taken || !agent.taken) {
        return;
    }
    constexpr std::int64_t settleMs = 200;
    // The users' thawSlackMs.
    constexpr std::int64_t slackMs = 300;
    const auto ms = between(random, 4000, 9000);
    m_record.add("fault", side.name + ": the machine is suspended for " + std::to_string(ms) + " ms");
    side.minionProcess->tell(MinionOrder{MinionOrderKind::Suspends, 1}.number());
    Review::sleepMs(settleMs);
    const auto since = m_record.now();
    side.agent->kill(SIGSTOP);
    side.minionProcess->kill(SIGSTOP);
    Review::sleepMs(ms);
    side.minionProcess->kill(SIGCONT);
    side.agent->kill(SIGCONT);
    {
        std::lock_guard lock(m_mutex);
        m_suspensions[m_recordOfSide.at(side.name)].push_back({since, m_record.now() + slackMs});
    }
    m_record.add("fault", side.name + ": the machine goes on");
    Review::sleepMs(settleMs);
    side.minionProcess->tell(MinionOrder{MinionOrderKind::Suspends, 0}.number());
}

void Chaos::killDispatcher(Random &random)
{
    restart(anyDispatcher(random), SIGKILL, random);
}

void Chaos::killOwner(Random &random)
{
    // A new owner waits for this long for the agents that don't report.
    constexpr std::int64_t minTermMs = 12'000;
    const int owner = m_site.owner();
    {
        std::lock_guard lock(m_mutex);
        if (owner < 0 || m_record.now() < m_ownerKilledAtMs + minTermMs) {
            return;
        }
        m_ownerKilledAtMs = m_record.now();
    }
    restart(dispatcherOf(m_site.fronts()[static_cast<std::size_t>(owner)]), SIGKILL, random);
}

// A new owner gets no listing from one agent for longer than it waits for agents that don't report at all.
void Chaos::slowAtTakeover(Random &random)
{
    constexpr int delayMs = 1000;
    auto &side = anySide(random);
    const int owner = m_site.owner();
    if (owner < 0) {
        return;
    }
    auto &front = m_site.fronts()[static_cast<std::size_t>(owner)];
    const Claim takeover(m_mutex, m_busy, "takeover");
    const Claim minion(m_mutex, m_busy, side.name + " minion");
    const Claim dispatcher(m_mutex, m_busy, dispatcherOf(front).name);
    if (!takeover.taken || !minion.taken || !dispatcher.taken) {
        return;
    }
    const auto ms = between(random, 8400, 9300);
    m_record.add("fault", side.name + ": the minion answers after 1 s for " + std::to_string(ms) + " ms");
    side.minionProcess->tell(MinionOrder{MinionOrderKind::AnswerDelay, delayMs}.number());
    Review::sleepMs(between(random, 0, 200));
    const auto since = m_record.now();
    m_record.add("fault", front.name + ": SIGTERM to the owner");
    front.dispatcher->kill(SIGTERM);
    front.dispatcher->start();
    Review::sleepMs(std::max<std::int64_t>(0, since + ms - m_record.now()));
    side.minionProcess->tell(MinionOrder{MinionOrderKind::AnswerDelay, 0}.number());
    m_record.add("fault", side.name + ": the minion answers at once");
    Review::sleepMs(5000);
}

void Chaos::stopDispatcher(Random &random)
{
    restart(anyDispatcher(random), SIGTERM, random);
}

void Chaos::pauseDispatcher(Random &random)
{
    pauseProgram(anyDispatcher(random), random);
}

void Chaos::slowStore(Random &random)
{
    const Claim claim(m_mutex, m_busy, "store");
    if (!claim.taken) {
        return;
    }
    const auto factor = between(random, 5, 80);
    m_record.add("fault", "the store is " + std::to_string(factor) + " times as slow");
    m_site.store().setSlowness(factor);
    Review::sleepMs(between(random, 300, 3000));
    m_site.store().setSlowness(1);
}

} // namespace Trefoilhoist::Soak
