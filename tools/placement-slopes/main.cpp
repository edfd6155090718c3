#include "trefoilhoist/net/tool.h"
#include "trefoilhoist/placement/cellowner.h"
#include "trefoilhoist/placement/workeragent.h"

#include <tclap/CmdLine.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <unistd.h>

namespace {

using namespace Trefoilhoist;

constexpr int tasksPerWorker = 28;
constexpr std::int64_t milliCpuPerTask = 1000;
constexpr Duration step = milliseconds(20);
constexpr Duration steadyTime = seconds(20);
/// Head of an HTTP request or answer between placer and worker, in bytes.
constexpr std::size_t httpHeadBytes = 160;
constexpr double usPerSecond = 1e6;

std::size_t residentBytes()
{
    std::ifstream in("/proc/self/statm");
    std::size_t pages = 0;
    in >> pages >> pages;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t heapBytes(std::size_t before)
{
    const auto now = residentBytes();
    return now > before ? now - before : 0;
}

/// One owner with agents for workers in this process; messages go through the codec, the store answers at once.
class Bench
{
public:
    Bench(int workers, int tasks) : m_owner(settings(), firstFit())
    {
        for (int i = 0; i < workers; ++i) {
            const WorkerId id("w" + std::to_string(i));
            const Resources capacity{tasksPerWorker * milliCpuPerTask, 250000, 0};
            m_agents.emplace(id, std::make_unique<WorkerAgent>(WorkerAgentSettings{id, 1, capacity, {}}));
            Worker worker;
            worker.id = id;
            worker.endpoint = {"127.0.0.1", 1};
            worker.capacity = capacity;
            worker.incarnation = 1;
            handle(WorkerAnnounced{{worker, {}}});
        }
        CellContents contents;
        for (int j = 0; j * tasksPerJob < tasks; ++j) {
            const auto job = makeJob(j, std::min(tasksPerJob, tasks - j * tasksPerJob));
            contents.jobs[jobSegmentOf(job.job.id)][job.job.id] = job;
        }
        handle(OwnershipGained{1, m_now + seconds(100000), std::move(contents)});
    }

    /// Advances until all tasks run; returns the processor seconds of the owner alone.
    double fill(std::size_t tasks)
    {
        m_ownerCpu = 0;
        while (m_owner.counts().starts < tasks) {
            advance();
        }
        return m_ownerCpu;
    }

    double steady()
    {
        m_ownerCpu = 0;
        m_bytes = 0;
        const auto syncs = m_owner.counts().syncs;
        for (const auto end = m_now + steadyTime; m_now < end;) {
            advance();
        }
        m_steadySyncs = m_owner.counts().syncs - syncs;
        return m_ownerCpu;
    }

    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }
    [[nodiscard]] std::uint64_t steadySyncs() const
    {
        return m_steadySyncs;
    }

private:
    static constexpr int tasksPerJob = 50;

    static CellOwnerSettings settings()
    {
        CellOwnerSettings settings;
        settings.owner = "p1";
        settings.cell = "c1";
        return settings;
    }

    /// Fills workers in turn, so that the figures are the owner's and not a policy's.
    PlacementDecider firstFit()
    {
        const auto decide = [this](const PolicyInput &input) {
            std::vector<PolicyAction> actions;
            for (const auto &pending : input.pending) {
                const WorkerId worker("w" + std::to_string(m_next++ % m_agents.size()));
                actions.emplace_back(StartTask{pending.task.id, worker, pending.task.declared});
            }
            return actions;
        };
        return {decide, [](const PolicyEvent &) {
                }};
    }

    static StoredJob makeJob(int index, int tasks)
    {
        StoredJob stored;
        stored.job.id = JobId("job-" + std::to_string(index));
        stored.job.batchClass = "rebuild";
        stored.nonce = "n";
        for (int i = 0; i < tasks; ++i) {
            Task task;
            task.id = TaskId(stored.job.id.str() + "/t" + std::to_string(i));
            task.job = stored.job.id;
            task.declared = {milliCpuPerTask, 1000, 0};
            task.declaredRunTime = seconds(3600);
            stored.job.tasks.push_back(task);
        }
        return stored;
    }

    void advance()
    {
        m_now += step;
        handle(OwnerTick{});
    }

    void handle(const OwnerEvent &event)
    {
        const auto before = processorSeconds();
        const auto actions = m_owner.handle(m_now, event);
        m_ownerCpu += processorSeconds() - before;
        for (const auto &action : actions) {
            if (const auto *send = std::get_if<SendSync>(&action)) {
                sync(*send);
            } else if (const auto *command = std::get_if<ExecuteStoreCommand>(&action)) {
                handle(StoreReplied{reply(command->command)});
            }
        }
    }

    void sync(const SendSync &send)
    {
        const auto start = processorSeconds();
        const auto request = syncRequestToJson(send.request);
        m_ownerCpu += processorSeconds() - start;
        auto &agent = *m_agents.at(send.worker);
        const auto answer = syncAnswerToJson(agent.sync(m_now, syncRequestFromJson(request).value()).first);
        m_bytes += request.size() + answer.size() + 2 * httpHeadBytes;
        const auto parse = processorSeconds();
        auto parsed = syncAnswerFromJson(answer).value();
        m_ownerCpu += processorSeconds() - parse;
        handle(SyncAnswered{send.worker, send.call, std::move(parsed)});
    }

    StoreReply reply(const StoreCommand &command)
    {
        if (const auto *read = std::get_if<ReadValue>(&command)) {
            const auto &[value, index] = m_store[read->key];
            return ValueRead{read->key, true, value, index};
        }
        const auto &write = std::get<WriteValue>(command);
        m_store[write.key] = {write.value, write.modifyIndex + 1};
        return ValueWritten{write.key, WriteOutcome::Written};
    }

    TimePoint m_now{seconds(1000)};
    std::map<WorkerId, std::unique_ptr<WorkerAgent>> m_agents;
    std::map<std::string, std::pair<std::string, std::uint64_t>> m_store;
    std::size_t m_next = 0;
    double m_ownerCpu = 0;
    std::size_t m_bytes = 0;
    std::uint64_t m_steadySyncs = 0;
    CellOwner m_owner;
};

void measure(int workers)
{
    const auto tasks = static_cast<std::size_t>(workers) * tasksPerWorker;
    const auto before = residentBytes();
    Bench bench(workers, static_cast<int>(tasks));
    const double fill = bench.fill(tasks);
    const auto memory = heapBytes(before);
    const double steady = bench.steady();
    const double perSecond = duration_cast<seconds>(steadyTime).count();
    std::cout << "workers=" << workers << " tasks=" << tasks
              << " starts_per_cpu_second=" << static_cast<std::uint64_t>(static_cast<double>(tasks) / fill)
              << " resident_bytes_per_task_with_agents=" << memory / tasks << " owner_cpu_share=" << steady / perSecond
              << " owner_cpu_us_per_worker_second=" << steady / perSecond / workers * usPerSecond
              << " syncs_per_worker_second=" << static_cast<double>(bench.steadySyncs()) / workers / perSecond
              << " bytes_per_worker_second=" << static_cast<double>(bench.bytes()) / workers / perSecond << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    return runTool("trefoilhoist-placement-slopes", [&] {
        TCLAP::CmdLine command("Measures a cell owner over workers in one process", ' ', TREFOILHOIST_VERSION);
        TCLAP::SwitchArg slopes("", "slopes", "Three sizes up to 1,000 workers", command);
        TCLAP::ValueArg<int> workers("w", "workers", "Workers of one measurement", false, 100, "number", command);
        parseCommandLine(command, argc, argv);
        if (!slopes.getValue()) {
            measure(workers.getValue());
            return exitOk;
        }
        for (const int size : {100, 300, 1000}) {
            measure(size);
        }
        return exitOk;
    });
}
