#include "harness/placementworld.h"

namespace Trefoilhoist::Testing {

void PlacementWorld::scheduleFaults()
{
    if (m_plan.splitOwners) {
        at(m_plan.faultTime / 4, [this] { splitOwners(); });
        return;
    }
    const int faults = 12 + static_cast<int>(m_random() % 20);
    for (int i = 0; i < faults; ++i) {
        at(between(seconds(1), m_plan.faultTime), [this] { randomFault(); });
    }
}

void PlacementWorld::splitOwners()
{
    for (auto &node : m_nodes) {
        if (node.owner->owning()) {
            // It must not hear of the next epoch from a worker that both reach.
            node.storeCut = true;
            node.cutWorkers.insert(m_plan.workers - 1);
            continue;
        }
        for (int i = 0; i + 1 < m_plan.workers; ++i) {
            node.cutWorkers.insert(i);
        }
    }
}

void PlacementWorld::randomFault()
{
    if (!m_faulty) {
        return;
    }
    auto &host = m_hosts[m_random() % m_hosts.size()];
    auto &node = m_nodes[m_random() % m_nodes.size()];
    const auto hostIndex = static_cast<int>(&host - m_hosts.data());
    const auto lasting = chance(0.5) ? between(milliseconds(100), seconds(3)) : between(seconds(2), seconds(14));
    const auto kind = m_random() % 8;
    if (m_plan.steadyWorkers && kind < 6 && kind != 2) {
        return;
    }
    if (kind == 0 && !host.dead) {
        host.dead = true;
        host.runs.clear();
        at(lasting, [this, &host] { startHost(host); });
    } else if (kind == 1 && !host.dead) {
        host.frozen = true;
        at(lasting, [this, &host] { wake(host); });
    } else if (kind == 2 && !node.dead) {
        node.dead = true;
        ++node.generation;
        at(between(milliseconds(100), seconds(5)), [this, &node] { startNode(node); });
    } else if (kind == 3 && !node.dead) {
        node.frozen = true;
        at(lasting, [this, &node] { wake(node); });
    } else if ((kind == 4 || kind == 5)) {
        node.cutWorkers.insert(hostIndex);
        at(lasting, [&node, hostIndex] { node.cutWorkers.erase(hostIndex); });
    } else if (kind == 6) {
        node.storeCut = true;
        at(lasting, [&node] { node.storeCut = false; });
    } else if (kind == 7) {
        m_storeUp = false;
        at(lasting, [this] { m_storeUp = true; });
    }
}

void PlacementWorld::heal()
{
    m_faulty = false;
    m_storeUp = true;
    for (auto &node : m_nodes) {
        node.cutWorkers.clear();
        node.storeCut = false;
        if (node.dead) {
            startNode(node);
        }
        wake(node);
    }
    for (auto &host : m_hosts) {
        if (host.dead) {
            startHost(host);
        }
        wake(host);
    }
}

bool PlacementWorld::allDone()
{
    for (const auto &[id, job] : m_jobs) {
        if (!m_kept.contains(id)) {
            return false;
        }
        if (m_cancelled.contains(id)) {
            continue;
        }
        for (const auto &task : job.tasks) {
            if (!m_recorded.contains(task.id)) {
                return false;
            }
        }
    }
    if (!m_intake.idle()) {
        return false;
    }
    // Cancelled tasks stop everywhere, and workers forget what is durable.
    return std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto &it) { return it.agent->runs().empty(); });
}

void PlacementWorld::checkEnd()
{
    if (!m_outcome.violations.empty() || allDone()) {
        return;
    }
    for (const auto &[id, job] : m_jobs) {
        for (const auto &task : job.tasks) {
            if (!m_cancelled.contains(id) && !m_recorded.contains(task.id)) {
                violation("progress: " + task.id.str() + " is not finished; kept "
                          + std::to_string(m_kept.contains(id) ? 1 : 0));
            }
        }
    }
    for (const auto &node : m_nodes) {
        std::string state = "progress: p" + std::to_string(node.index) + " owns " + std::to_string(node.owner->epoch())
            + " holds " + std::to_string(node.epoch) + " ended " + std::to_string(node.endedEpoch) + " unheard "
            + std::to_string(node.owner->unheard());
        for (const auto &[id, task] : node.owner->tasks().tasks()) {
            state += " " + id.str() + "=" + std::string(taskStateName(task.state)) + "@" + task.worker.str();
        }
        violation(state);
    }
    for (const auto &host : m_hosts) {
        for (const auto &run : host.agent->runs()) {
            violation("progress: " + host.id.str() + " still has " + run.task.str());
        }
    }
    if (m_outcome.violations.empty()) {
        violation("progress: the world is not at rest");
    }
}

} // namespace Trefoilhoist::Testing
