#include "harness/placementsimulation.h"

namespace Trefoilhoist::Testing {

void PlacementSimulation::scheduleFaults()
{
    if (m_plan.partitionOwners) {
        at(m_plan.faultTime / 4, [this] { partitionOwners(); });
        return;
    }
    const int faults = 12 + static_cast<int>(m_random() % 20);
    for (int i = 0; i < faults; ++i) {
        at(randomDuration(seconds(1), m_plan.faultTime), [this] { injectRandomFault(); });
    }
}

void PlacementSimulation::partitionOwners()
{
    for (auto &node : m_ownerNodes) {
        if (node.owner->owning()) {
            // The next owner reaches only the last worker. The current owner must not reach that one, or it would learn
            // of the new epoch there.
            node.storeUnreachable = true;
            node.unreachableWorkers.insert(m_plan.workers - 1);
            continue;
        }
        for (int i = 0; i + 1 < m_plan.workers; ++i) {
            node.unreachableWorkers.insert(i);
        }
    }
}

void PlacementSimulation::injectRandomFault()
{
    if (!m_faultsEnabled) {
        return;
    }
    auto &host = m_workerHosts[m_random() % m_workerHosts.size()];
    auto &node = m_ownerNodes[m_random() % m_ownerNodes.size()];
    const auto hostIndex = static_cast<int>(&host - m_workerHosts.data());
    const auto faultDuration
        = randomChance(0.5) ? randomDuration(milliseconds(100), seconds(3)) : randomDuration(seconds(2), seconds(14));
    // 0: the worker is killed, 1: the worker is frozen, 2: the owner is killed, 3: the owner is frozen, 4 and 5: the
    // owner doesn't reach the worker, 6: the owner doesn't reach the store, 7: the store is down.
    const auto kind = m_random() % 8;
    if (m_plan.reliableWorkers && kind < 6 && kind != 2) {
        return;
    }
    if (kind == 0 && !host.killed) {
        host.killed = true;
        host.runs.clear();
        at(faultDuration, [this, &host] { startWorkerHost(host); });
    } else if (kind == 1 && !host.killed) {
        host.frozen = true;
        at(faultDuration, [this, &host] { wake(host); });
    } else if (kind == 2 && !node.killed) {
        node.killed = true;
        ++node.generation;
        at(randomDuration(milliseconds(100), seconds(5)), [this, &node] { startOwnerNode(node); });
    } else if (kind == 3 && !node.killed) {
        node.frozen = true;
        at(faultDuration, [this, &node] { wake(node); });
    } else if ((kind == 4 || kind == 5)) {
        node.unreachableWorkers.insert(hostIndex);
        at(faultDuration, [&node, hostIndex] { node.unreachableWorkers.erase(hostIndex); });
    } else if (kind == 6) {
        node.storeUnreachable = true;
        at(faultDuration, [&node] { node.storeUnreachable = false; });
    } else if (kind == 7) {
        m_storeUp = false;
        at(faultDuration, [this] { m_storeUp = true; });
    }
}

void PlacementSimulation::endFaults()
{
    m_faultsEnabled = false;
    m_storeUp = true;
    for (auto &node : m_ownerNodes) {
        node.unreachableWorkers.clear();
        node.storeUnreachable = false;
        if (node.killed) {
            startOwnerNode(node);
        }
        wake(node);
    }
    for (auto &host : m_workerHosts) {
        if (host.killed) {
            startWorkerHost(host);
        }
        wake(host);
    }
}

bool PlacementSimulation::isComplete()
{
    for (const auto &[id, job] : m_jobs) {
        if (!m_storedJobs.contains(id)) {
            return false;
        }
        if (m_cancelledJobs.contains(id)) {
            continue;
        }
        for (const auto &task : job.tasks) {
            if (!m_recordedCompletions.contains(task.id)) {
                return false;
            }
        }
    }
    if (!m_intake.idle()) {
        return false;
    }
    // Cancelled tasks must have stopped on all workers, and workers must have dropped all runs whose
    // outcome is stored.
    return std::all_of(
        m_workerHosts.begin(), m_workerHosts.end(), [](const auto &it) { return it.agent->runs().empty(); });
}

void PlacementSimulation::checkEnd()
{
    if (!m_result.violations.empty() || isComplete()) {
        return;
    }
    for (const auto &[id, job] : m_jobs) {
        for (const auto &task : job.tasks) {
            if (!m_cancelledJobs.contains(id) && !m_recordedCompletions.contains(task.id)) {
                violation("progress: " + task.id.str() + " is not finished; its job is stored (1) or not (0): "
                          + std::to_string(m_storedJobs.contains(id) ? 1 : 0));
            }
        }
    }
    for (const auto &node : m_ownerNodes) {
        std::string state = "progress: owner node " + std::to_string(node.index) + ": epoch "
            + std::to_string(node.owner->epoch()) + ", epoch of its lease " + std::to_string(node.epoch)
            + ", last lost epoch " + std::to_string(node.lostEpoch) + ", unreported workers "
            + std::to_string(node.owner->unreportedWorkers());
        for (const auto &[id, task] : node.owner->tasks().tasks()) {
            state += " " + id.str() + "=" + std::string(taskStateName(task.state)) + "@" + task.worker.str();
        }
        violation(state);
    }
    for (const auto &host : m_workerHosts) {
        for (const auto &run : host.agent->runs()) {
            violation("progress: " + host.id.str() + " still holds " + run.task.str());
        }
    }
    if (m_result.violations.empty()) {
        violation("progress: the simulation is not complete");
    }
}

} // namespace Trefoilhoist::Testing
