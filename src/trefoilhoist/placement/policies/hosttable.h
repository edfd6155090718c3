#pragma once

#include "trefoilhoist/placement/policies/selectorcache.h"
#include "trefoilhoist/placement/policytypes.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// A worker during one decision, with the starts decided so far taken off its free room.
struct Host {
    WorkerId id;
    const WorkerView *view = nullptr;
    /// Room for batch work when nothing runs.
    Resources batchCapacity;
    Resources free;
    /// Starts are allowed: reachable, staying, not quarantined.
    bool schedulable = true;
    /// Room kept for tasks that wait for it.
    Resources held;
    /// Most starts still allowed in this decision.
    int startLimit = 1'000'000;
    int rack = 0;
    int zone = 0;
    /// One entry per running or just started task.
    std::vector<const Job *> jobs;
    /// Some neighbour restricts what runs beside it.
    bool restrictsNeighbours = false;
};

/// The workers during one decision: room, labels, selectors and where each job's tasks are. Not thread-safe.
///
/// Answers of `where` selectors are kept between decisions until a worker's labels change.
class HostTable
{
public:
    /// Takes a new input; the table refers to it until the next call.
    void load(const PolicyInput &input, const PolicyConfig &policyConfig);

    [[nodiscard]] std::vector<Host> &hosts()
    {
        return m_hosts;
    }
    [[nodiscard]] Host *find(const WorkerId &id);
    [[nodiscard]] const PolicyInput &input() const
    {
        return *m_input;
    }
    [[nodiscard]] const PolicyConfig &policyConfig() const
    {
        return *m_policyConfig;
    }
    /// The whole room for batch work, over all workers.
    [[nodiscard]] const Resources &totalBatchCapacity() const
    {
        return m_totalBatchCapacity;
    }
    [[nodiscard]] const Job *job(const JobId &id) const;

    /// Which hosts the job's `where` selectors allow, by host position.
    [[nodiscard]] const std::vector<bool> &allowedHosts(const Job &job);
    /// Why the job's selectors can never match, or an empty text.
    [[nodiscard]] std::string selectorProblem(const Job &job);
    /// Whether the job and its neighbours there accept each other.
    [[nodiscard]] bool acceptsColocation(const Job &job, const Host &host);
    /// How many tasks of the job are in the host's rack and availability zone.
    [[nodiscard]] int countInRack(const Job &job, const Host &host) const;
    [[nodiscard]] int countInZone(const Job &job, const Host &host) const;
    /// How many tasks of the job run or were just placed.
    [[nodiscard]] int countRunning(const Job &job) const;
    /// The job's rank joined with its class's; higher ranks yield first.
    [[nodiscard]] int yieldRank(const Job &job) const;
    /// Whether the service names the job's work as first to yield.
    [[nodiscard]] bool yieldsFirst(const ServiceId &service, const Job &job);

    /// Takes the room off the host; breaking P1 here ends the process.
    void place(Host &host, const Job &job, const Resources &reserve);
    /// What a running task takes from its host: the larger of its reservation and its use.
    [[nodiscard]] static Resources occupiedBy(const RunningTask &running);

private:
    void indexLabels(const PolicyInput &input);
    void addRunning(Host &host);
    int groupIndex(std::unordered_map<std::string, int> &indices, const std::string &name);
    void countJob(const Job &job, const Host &host);
    [[nodiscard]] bool matches(const std::string &text, const Labels &labels);
    [[nodiscard]] static Labels jobLabels(const Job &job);
    [[nodiscard]] Labels serviceLabels(const ServiceId &service) const;
    [[nodiscard]] bool serviceAccepts(const ServiceId &service, const Job &job, const Labels &labels);

    const PolicyInput *m_input = nullptr;
    const PolicyConfig *m_policyConfig = nullptr;
    SelectorCache m_selectors;
    std::vector<Host> m_hosts;
    std::unordered_map<WorkerId, std::size_t> m_hostIndices;
    std::vector<Labels> m_labels;
    std::unordered_map<std::string, std::vector<bool>> m_allowed;
    std::unordered_map<std::string, int> m_racks;
    std::unordered_map<std::string, int> m_zones;
    std::unordered_map<const Job *, std::unordered_map<int, int>> m_rackCounts;
    std::unordered_map<const Job *, std::unordered_map<int, int>> m_zoneCounts;
    std::unordered_map<const Job *, int> m_counts;
    Resources m_totalBatchCapacity;
};

} // namespace Trefoilhoist::Detail
