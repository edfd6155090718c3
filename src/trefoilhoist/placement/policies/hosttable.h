#pragma once

#include "trefoilhoist/placement/policies/selectorcache.h"
#include "trefoilhoist/placement/policytypes.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// State of a worker during one decision; the starts decided so far are already deducted from its free capacity.
struct Host {
    WorkerId id;
    const WorkerView *view = nullptr;
    /// Capacity for batch work when no task runs: the worker's capacity less what its services reserve.
    Resources batchCapacity;
    Resources free;
    /// Whether the worker can get tasks: it is reachable and not leaving.
    bool schedulable = true;
    /// Free capacity held for waiting tasks.
    Resources held;
    /// Number of starts still allowed in this decision.
    int startLimit = 1'000'000;
    int rack = 0;
    int zone = 0;
    /// One entry per running or just started task.
    std::vector<const Job *> jobs;
    /// Whether a task or service on the worker restricts what may run beside it.
    bool restrictsNeighbours = false;
};

/// The workers during one decision: capacity, labels, selector matches and the locations of each job's tasks. Not
/// thread-safe.
///
/// Matches of `where` selectors are cached between decisions until the workers or their labels change.
class HostTable
{
public:
    /// Starts a decision with a new input. The table keeps references to both arguments until the next call.
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
    /// Capacity for batch work summed over all workers.
    [[nodiscard]] const Resources &totalBatchCapacity() const
    {
        return m_totalBatchCapacity;
    }
    [[nodiscard]] const Job *job(const JobId &id) const;

    /// Whether the job's `where` selector allows each host, in the order of hosts(). The reference is valid until the
    /// next load().
    [[nodiscard]] const std::vector<bool> &allowedHosts(const Job &job);
    /// Why the job's selectors are invalid or can never match; empty otherwise.
    [[nodiscard]] std::string selectorProblem(const Job &job);
    /// Whether the `beside` selectors of the job and of the work on the host allow them to run together.
    [[nodiscard]] bool acceptsColocation(const Job &job, const Host &host);
    /// Number of the job's tasks in the host's rack, or in its availability zone.
    [[nodiscard]] int countInRack(const Job &job, const Host &host) const;
    [[nodiscard]] int countInZone(const Job &job, const Host &host) const;
    /// Number of the job's tasks that are running or were placed in this decision.
    [[nodiscard]] int countRunning(const Job &job) const;
    /// The job's own rank plus its class's; work with a higher rank yields first.
    [[nodiscard]] int yieldRank(const Job &job) const;
    /// Whether the service's `yields` selector matches the job.
    [[nodiscard]] bool yieldsFirst(const ServiceId &service, const Job &job);

    /// Deducts the reservation from the host's free capacity. Ends the process if it doesn't fit (invariant P1).
    void place(Host &host, const Job &job, const Resources &reserve);
    /// Capacity that a running task occupies: the larger of its reservation and its use, per resource.
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
