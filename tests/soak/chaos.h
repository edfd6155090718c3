// Random faults of the processes and links of a site, and the load beside them.
#pragma once

#include "soak/judge.h"
#include "soak/linkchaos.h"
#include "soak/minionorder.h"
#include "soak/siteshape.h"

#include "review/standins/site.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Trefoilhoist::Soak {

/// Submits jobs as callers do, and asks for their states at the end.
class Load
{
public:
    Load(Review::Site &site, Review::Record &record, std::vector<JobClass> classes, std::uint64_t seed);
    ~Load();
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    void stopSubmitting();
    [[nodiscard]] std::size_t accepted() const;
    /// Waits until all accepted jobs but those that last are shown as completed. Returns those that never are.
    [[nodiscard]] std::vector<std::string> waitForJobs(std::int64_t timeoutMs);

private:
    void submitLoop();
    [[nodiscard]] std::vector<std::string> unfinishedJobs();
    [[nodiscard]] const JobClass &anyClass();
    void submit(const std::string &job, const std::string &body, bool lasting);

    Review::Site &m_site;
    Review::Record &m_record;
    const std::vector<JobClass> m_classes;
    std::mt19937_64 m_random;
    std::atomic<bool> m_stopped = false;
    mutable std::mutex m_mutex;
    /// Accepted jobs, and whether their tasks last.
    std::map<std::string, bool> m_accepted;
    std::thread m_thread;
};

/// Brings about faults in series, so that they overlap: processes that are killed, stopped, paused and started again,
/// minions that leave, heartbeats and calls that arrive late, a slow store, and links that fail.
class Chaos
{
public:
    /// `kinds` are the names of the faults that come; empty: all.
    Chaos(Review::Site &site, Review::Record &record, std::uint64_t seed, const std::vector<std::string> &kinds);

    /// Brings about faults for this time, and lets all of them end.
    void run(std::int64_t forMs);
    [[nodiscard]] int count() const
    {
        return m_count;
    }
    /// When the minion with this record was killed; 0 if it was not.
    [[nodiscard]] std::int64_t killedAtMs(const std::string &minionRecord) const;
    /// When the host of the minion with this record was suspended.
    [[nodiscard]] std::vector<Suspension> suspensionsOf(const std::string &minionRecord) const;

private:
    using Fault = std::function<void(std::mt19937_64 &)>;
    /// A process, by the name under which it has one fault at a time.
    struct Program {
        std::string name;
        Review::Process &process;
    };

    Review::Side &anySide(std::mt19937_64 &random);
    [[nodiscard]] Program anyAgent(std::mt19937_64 &random);
    [[nodiscard]] Program anyDispatcher(std::mt19937_64 &random);
    [[nodiscard]] static Program dispatcherOf(Review::Front &front);
    /// Ends a program by the signal, and starts it again. Does nothing while it has another fault.
    void restart(const Program &program, int signal, std::mt19937_64 &random);
    /// Lets a program stand still for some time. Does nothing while it has another fault.
    void pauseProgram(const Program &program, std::mt19937_64 &random);
    void killAgent(std::mt19937_64 &random);
    void stopAgent(std::mt19937_64 &random);
    void pauseAgent(std::mt19937_64 &random);
    void killMinion(std::mt19937_64 &random);
    void pauseMinion(std::mt19937_64 &random);
    void slowMinion(std::mt19937_64 &random);
    void delayCalls(std::mt19937_64 &random);
    void leaveMinion(std::mt19937_64 &random);
    void stepClock(std::mt19937_64 &random);
    void killMachine(std::mt19937_64 &random);
    void suspendMachine(std::mt19937_64 &random);
    void pauseMachine(std::mt19937_64 &random);
    void killDispatcher(std::mt19937_64 &random);
    void killOwner(std::mt19937_64 &random);
    void slowAtTakeover(std::mt19937_64 &random);
    void stopDispatcher(std::mt19937_64 &random);
    void pauseDispatcher(std::mt19937_64 &random);
    void slowStore(std::mt19937_64 &random);

    /// Tells the minion's process, for some time.
    void tellMinion(const Review::Side &side, MinionOrderKind kind, int value, std::int64_t forMs);
    void addProcessFaults();
    void endMinion(Review::Side &side);
    void beginMinion(Review::Side &side, bool sameId, std::mt19937_64 &random);
    /// Sends the last heartbeat of a minion that has ended once more.
    void sendLateHeartbeat(const Review::Side &side, const std::string &minionRecord, std::int64_t delayMs);
    [[nodiscard]] std::string lastRecordOf(const Review::Side &side) const;

    Review::Site &m_site;
    Review::Record &m_record;
    std::mt19937_64 m_random;
    LinkChaos m_links;
    std::map<std::string, Fault> m_processFaults;
    std::map<std::string, Fault> m_linkFaults;
    int m_count = 0;
    int m_lives = 0;
    mutable std::mutex m_mutex;
    /// Names of the machines and processes that have a fault now.
    std::set<std::string> m_busy;
    std::map<std::string, std::int64_t> m_killedAtMs;
    std::map<std::string, std::vector<Suspension>> m_suspensions;
    std::int64_t m_ownerKilledAtMs = 0;
    std::map<std::string, std::string> m_recordOfSide;
    std::vector<std::thread> m_threads;
};

} // namespace Trefoilhoist::Soak
