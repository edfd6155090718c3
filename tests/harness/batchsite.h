#pragma once

#include "harness/process.h"
#include "trefoilhoist/world/world.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Trefoilhoist::Testing {

/// Runs of one task on one worker, by the worker's own lines; times are of the monotonic clock.
struct RunInterval {
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    std::int64_t beginUs = 0;
    /// 0 while it goes on.
    std::int64_t endUs = 0;
    std::string state;
    std::int64_t fromUs = 0;
};

/// A store, placers and workers as real processes with the fault proxy between them.
///
/// Links that take faults: "store-<i>" (placer i to the store) and "worker-<k>" (all placers to worker k).
class BatchSite
{
public:
    BatchSite(int placers, int workers, nlohmann::json placerSettings = nlohmann::json::object());

    [[nodiscard]] Process &placer(int index);
    [[nodiscard]] Process &worker(int index);
    [[nodiscard]] Process &store();
    void restartStore();
    void restartPlacer(int index);
    void setFaults(const std::string &link, const nlohmann::json &faults);

    /// Writes a job of `tasks` tasks that run `runTimeMs` each into the store, as an entry does.
    void submit(const std::string &job, int tasks, int runTimeMs, int milliCpu = 1000);
    void cancel(const std::string &job);
    /// Sets labels of a worker as operators do.
    void labelWorker(int worker, const std::string &label);

    /// Runs trefoilhoist-ctl against the store and all placers.
    [[nodiscard]] Finished ctl(std::vector<std::string> arguments) const;

    /// The index of the placer that owns the cell, or -1.
    [[nodiscard]] int owner();
    [[nodiscard]] nlohmann::json get(int placer, const std::string &path);
    /// Waits until the owner has `count` usable workers.
    [[nodiscard]] bool waitForWorkers(int count);
    [[nodiscard]] bool waitFinished(const std::string &job, int limitMs = 60000);

    /// All runs so far. A worker that was killed ends its open runs at `killedAtUs`.
    [[nodiscard]] std::vector<RunInterval> runs() const;
    void killed(int worker);
    /// Fails the test when a task was in two places, finished twice, or a worker was over its capacity.
    void checkRuns(int milliCpuPerTask);

private:
    struct Node {
        Endpoint address;
        std::unique_ptr<Process> process;
        std::int64_t killedAtUs = 0;
    };

    void startPlacer(int index);
    void startWorker(int index);
    nlohmann::json callStore(const std::string &method, const std::string &target, const std::string &body);

    nlohmann::json m_placerSettings;
    Node m_store;
    Node m_proxy;
    std::map<std::string, std::string> m_links;
    std::vector<Node> m_placers;
    std::vector<Node> m_workers;
};

[[nodiscard]] std::int64_t monotonicUs();

} // namespace Trefoilhoist::Testing
