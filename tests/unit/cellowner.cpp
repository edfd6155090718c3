// Tasks of the placer that crash the workers on which they run.
#include "trefoilhoist/placement/cellowner.h"
#include "trefoilhoist/placement/workeragent.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>

namespace Trefoilhoist {

/// An owner with workers that restart 2 s after a crash, and a store that always answers. The task `deadly` crashes its
/// worker `m_crashAfter` after each start; with zero, before the worker answers the order.
class CellOwnerTest : public testing::Test
{
protected:
    /// The bound of the dispatchers' scheduler: three crashes, and two more starts after the third.
    static constexpr int maxStarts = 5;
    static constexpr Duration tick = milliseconds(50);
    static constexpr Duration restartTime = seconds(2);
    static constexpr Duration runTime = seconds(5);

    struct Host {
        std::int64_t incarnation = 1;
        std::unique_ptr<WorkerAgent> agent;
        std::map<RunRef, TimePoint> runs;
        TimePoint upAt{};
    };

    static CellOwnerSettings ownerSettings()
    {
        CellOwnerSettings settings;
        settings.owner = "o1";
        settings.cell = "c1";
        return settings;
    }

    void addJob(const std::string &id, int tasks)
    {
        Job job;
        job.id = JobId(id);
        job.team = TeamId("team");
        job.batchClass = "class";
        for (int i = 0; i < tasks; ++i) {
            const TaskId task(id + "/" + std::to_string(i));
            job.tasks.push_back({task, job.id, {1'000, 1'000, 0}, runTime});
        }
        const int segment = jobSegmentOf(job.id);
        m_contents.jobs[segment][job.id] = StoredJob{job, id, false};
        m_contents.jobIndexes[segment] = 1;
    }

    void start(int workers)
    {
        handle(OwnershipGained{1, m_now + seconds(3600), m_contents});
        for (int i = 0; i < workers; ++i) {
            m_hosts["w" + std::to_string(i)];
        }
        for (auto &[id, host] : m_hosts) {
            startWorker(id, host);
        }
    }

    void startWorker(const std::string &id, Host &host)
    {
        host.agent = std::make_unique<WorkerAgent>(WorkerAgentSettings{WorkerId(id), host.incarnation, capacity, {}});
    }

    void announce(const std::string &id, const Host &host)
    {
        Worker worker;
        worker.id = WorkerId(id);
        worker.endpoint = {"127.0.0.1", 1};
        worker.capacity = capacity;
        worker.incarnation = host.incarnation;
        handle(WorkerAnnounced{{worker, {}}});
    }

    void crash(Host &host)
    {
        host.agent.reset();
        host.runs.clear();
        ++host.incarnation;
        host.upAt = m_now + restartTime;
    }

    void crashIfDue(Host &host)
    {
        const bool due = std::any_of(host.runs.begin(), host.runs.end(), [&](const auto &it) {
            return it.first.task == deadly && m_now - it.second >= m_crashAfter;
        });
        if (due) {
            crash(host);
        }
    }

    void advance(Duration time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += tick) {
            for (auto &[id, host] : m_hosts) {
                advance(id, host);
            }
            handle(OwnerTick{});
        }
    }

    void advance(const std::string &id, Host &host)
    {
        if (host.agent) {
            apply(host, host.agent->tick(m_now));
            finishRuns(host);
            crashIfDue(host);
        } else if (m_now >= host.upAt) {
            startWorker(id, host);
        }
        if (host.agent) {
            announce(id, host);
        }
    }

    void finishRuns(Host &host)
    {
        for (const auto &[ref, startedAt] : std::map<RunRef, TimePoint>(host.runs)) {
            if (m_now - startedAt >= runTime) {
                host.runs.erase(ref);
                host.agent->runEnded(ref, RunState::Finished);
            }
        }
    }

    void apply(Host &host, const WorkerAgent::Actions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *begin = std::get_if<BeginRun>(&action)) {
                host.runs[{begin->order.task, begin->order.run}] = m_now;
                ++m_starts[begin->order.task];
            } else if (const auto *end = std::get_if<EndRun>(&action)) {
                host.runs.erase(end->ref);
            }
        }
    }

    void handle(const OwnerEvent &event)
    {
        for (const auto &action : m_owner.handle(m_now, event)) {
            if (const auto *sync = std::get_if<SendSync>(&action)) {
                answer(*sync);
            } else if (const auto *command = std::get_if<ExecuteStoreCommand>(&action)) {
                handle(StoreReplied{execute(command->command)});
            }
        }
    }

    void answer(const SendSync &sync)
    {
        auto &host = m_hosts.at(sync.worker.str());
        SyncAnswer result;
        if (host.agent) {
            WorkerAgent::Actions actions;
            std::tie(result, actions) = host.agent->sync(m_now, sync.request);
            apply(host, actions);
            crashIfDue(host);
        }
        if (host.agent) {
            handle(SyncAnswered{sync.worker, sync.call, result});
        } else {
            handle(SyncFailed{sync.worker, sync.call});
        }
    }

    StoreReply execute(const StoreCommand &command)
    {
        if (const auto *read = std::get_if<ReadValue>(&command)) {
            const auto &[text, index] = m_values[read->key];
            return ValueRead{read->key, true, text, index};
        }
        const auto &write = std::get<WriteValue>(command);
        m_values[write.key] = {write.value, ++m_storeIndex};
        return ValueWritten{write.key, WriteOutcome::Written};
    }

    [[nodiscard]] JobState stateOf(const std::string &job) const
    {
        return m_owner.tasks().findJob(JobId(job))->state;
    }

    inline static const TaskId deadly{"deadly/0"};
    inline static const Resources capacity{4'000, 4'000, 0};

    TimePoint m_now{seconds(100)};
    Duration m_crashAfter{};
    CellContents m_contents;
    std::map<std::string, Host> m_hosts;
    std::map<TaskId, int> m_starts;
    std::map<std::string, std::pair<std::string, std::uint64_t>> m_values;
    std::uint64_t m_storeIndex = 1;
    CellOwner m_owner{ownerSettings(),
                      makePolicyDecider(PlacementPolicy(PolicyKind::InterferenceAware, PolicyWeights{}, 1))};
};

TEST_F(CellOwnerTest, soundTasks_onWorkersThatCrash_finish)
{
    addJob("sound", 12);
    start(6);
    for (auto &[id, host] : m_hosts) {
        advance(seconds(1));
        crash(host);
    }
    advance(seconds(30));
    EXPECT_EQ(stateOf("sound"), JobState::Finished);
}

TEST_F(CellOwnerTest, taskThatCrashesItsWorkers_isGivenUp)
{
    m_crashAfter = milliseconds(200);
    addJob("deadly", 1);
    addJob("sound", 12);
    start(6);
    advance(seconds(300));
    EXPECT_EQ(stateOf("deadly"), JobState::Failed);
    EXPECT_LE(m_starts[deadly], maxStarts);
    EXPECT_EQ(stateOf("sound"), JobState::Finished);
}

TEST_F(CellOwnerTest, taskThatCrashesItsWorkersBeforeTheyAnswer_isGivenUp)
{
    addJob("deadly", 1);
    addJob("sound", 12);
    start(6);
    advance(seconds(300));
    EXPECT_EQ(stateOf("deadly"), JobState::Failed);
    EXPECT_LE(m_starts[deadly], maxStarts);
    EXPECT_EQ(stateOf("sound"), JobState::Finished);
}

} // namespace Trefoilhoist
