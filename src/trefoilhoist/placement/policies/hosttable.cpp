#include "trefoilhoist/placement/policies/hosttable.h"

#include "trefoilhoist/internal/invariant.h"

#include <algorithm>

namespace Trefoilhoist::Detail {

namespace {

/// Maximum number of `where` selectors whose matches are cached.
constexpr std::size_t maxCachedSelectors = 1024;

Resources positivePart(const Resources &value)
{
    return {std::max<std::int64_t>(value.milliCpu, 0),
            std::max<std::int64_t>(value.memoryMb, 0),
            std::max<std::int64_t>(value.accelerators, 0)};
}

Labels labelsOf(const Worker &worker)
{
    auto labels = worker.labels;
    labels.try_emplace("worker", worker.id.str());
    labels.try_emplace("rack", worker.rack.str());
    labels.try_emplace("zone", worker.zone.str());
    return labels;
}

int countOf(const std::unordered_map<const Job *, std::unordered_map<int, int>> &counts, const Job &job, int group)
{
    const auto it = counts.find(&job);
    if (it == counts.end()) {
        return 0;
    }
    const auto found = it->second.find(group);
    return found == it->second.end() ? 0 : found->second;
}

} // namespace

void HostTable::load(const PolicyInput &input, const PolicyConfig &policyConfig)
{
    m_input = &input;
    m_policyConfig = &policyConfig;
    m_rackCounts.clear();
    m_zoneCounts.clear();
    m_counts.clear();
    m_totalBatchCapacity = {};
    indexLabels(input);
    std::size_t n = 0;
    for (const auto &[id, view] : input.workers) {
        auto &host = m_hosts[n++];
        host = Host{};
        host.id = id;
        host.view = &view;
        host.batchCapacity = positivePart(view.worker.capacity - view.serviceReserved);
        host.free = view.worker.capacity - view.serviceReserved - view.unconfirmedReserved;
        host.schedulable = view.reachable && !view.worker.leaving;
        host.rack = groupIndex(m_racks, view.worker.rack.str());
        host.zone = groupIndex(m_zones, view.worker.zone.str());
        addRunning(host);
        m_totalBatchCapacity += host.batchCapacity;
    }
}

void HostTable::indexLabels(const PolicyInput &input)
{
    bool changed = m_hosts.size() != input.workers.size();
    m_hosts.resize(input.workers.size());
    m_labels.resize(input.workers.size());
    std::size_t n = 0;
    for (const auto &[id, view] : input.workers) {
        auto labels = labelsOf(view.worker);
        if (m_hosts[n].id != id || m_labels[n] != labels) {
            changed = true;
            m_labels[n] = std::move(labels);
        }
        ++n;
    }
    if (changed || m_allowed.size() > maxCachedSelectors) {
        m_allowed.clear();
    }
    if (!changed) {
        return;
    }
    m_hostIndices.clear();
    n = 0;
    for (const auto &entry : input.workers) {
        m_hostIndices.emplace(entry.first, n++);
    }
}

Resources HostTable::occupiedBy(const RunningTask &running)
{
    // A task that uses more than its reservation leaves less for others.
    return {std::max(running.reserved.milliCpu, running.used.milliCpu),
            std::max(running.reserved.memoryMb, running.used.memoryMb),
            std::max(running.reserved.accelerators, running.used.accelerators)};
}

void HostTable::addRunning(Host &host)
{
    for (const auto &running : host.view->running) {
        host.free -= occupiedBy(running);
        const auto *found = job(running.job);
        if (found == nullptr) {
            continue;
        }
        host.jobs.push_back(found);
        host.restrictsNeighbours |= !found->beside.empty();
        countJob(*found, host);
    }
    for (const auto &service : host.view->services) {
        const auto it = m_policyConfig->services.find(service);
        host.restrictsNeighbours |= it != m_policyConfig->services.end() && !it->second.beside.empty();
    }
}

int HostTable::groupIndex(std::unordered_map<std::string, int> &indices, const std::string &name)
{
    return indices.try_emplace(name, static_cast<int>(indices.size())).first->second;
}

void HostTable::countJob(const Job &job, const Host &host)
{
    ++m_counts[&job];
    if (job.tasks.size() > 1) {
        ++m_rackCounts[&job][host.rack];
        ++m_zoneCounts[&job][host.zone];
    }
}

Host *HostTable::find(const WorkerId &id)
{
    const auto it = m_hostIndices.find(id);
    return it == m_hostIndices.end() ? nullptr : &m_hosts[it->second];
}

const Job *HostTable::job(const JobId &id) const
{
    const auto it = m_input->jobs.find(id);
    return it == m_input->jobs.end() ? nullptr : &it->second;
}

bool HostTable::matches(const std::string &text, const Labels &labels)
{
    if (text.empty()) {
        return true;
    }
    const auto &parsed = m_selectors.lookup(text);
    return parsed.problem.empty() && parsed.selector.matches(labels);
}

const std::vector<bool> &HostTable::allowedHosts(const Job &job)
{
    const auto it = m_allowed.find(job.where);
    if (it != m_allowed.end()) {
        return it->second;
    }
    std::vector<bool> answers(m_hosts.size());
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        answers[n] = matches(job.where, m_labels[n]);
    }
    return m_allowed.emplace(job.where, std::move(answers)).first->second;
}

std::string HostTable::selectorProblem(const Job &job)
{
    for (const auto *text : {&job.where, &job.beside}) {
        const auto &problem = m_selectors.lookup(*text).problem;
        if (!problem.empty()) {
            return problem;
        }
    }
    return {};
}

Labels HostTable::jobLabels(const Job &job)
{
    auto labels = job.labels;
    labels["kind"] = "batch";
    labels["class"] = job.batchClass;
    labels["team"] = job.team.str();
    return labels;
}

Labels HostTable::serviceLabels(const ServiceId &service) const
{
    Labels labels;
    const auto it = m_policyConfig->services.find(service);
    if (it != m_policyConfig->services.end()) {
        labels = it->second.labels;
    }
    labels["kind"] = "service";
    labels["service"] = service.str();
    return labels;
}

bool HostTable::serviceAccepts(const ServiceId &service, const Job &job, const Labels &labels)
{
    const auto it = m_policyConfig->services.find(service);
    if (it != m_policyConfig->services.end() && !matches(it->second.beside, labels)) {
        return false;
    }
    return job.beside.empty() || matches(job.beside, serviceLabels(service));
}

bool HostTable::acceptsColocation(const Job &job, const Host &host)
{
    if (job.beside.empty() && !host.restrictsNeighbours) {
        return true;
    }
    const auto labels = jobLabels(job);
    for (const auto &service : host.view->services) {
        if (!serviceAccepts(service, job, labels)) {
            return false;
        }
    }
    return std::all_of(host.jobs.begin(), host.jobs.end(), [&](const Job *other) {
        return other == &job || (matches(job.beside, jobLabels(*other)) && matches(other->beside, labels));
    });
}

int HostTable::countInRack(const Job &job, const Host &host) const
{
    return countOf(m_rackCounts, job, host.rack);
}

int HostTable::countInZone(const Job &job, const Host &host) const
{
    return countOf(m_zoneCounts, job, host.zone);
}

int HostTable::countRunning(const Job &job) const
{
    const auto it = m_counts.find(&job);
    return it == m_counts.end() ? 0 : it->second;
}

int HostTable::yieldRank(const Job &job) const
{
    const auto it = m_policyConfig->classes.find(job.batchClass);
    return job.yieldRank + (it == m_policyConfig->classes.end() ? 0 : it->second.yieldRank);
}

bool HostTable::yieldsFirst(const ServiceId &service, const Job &job)
{
    const auto it = m_policyConfig->services.find(service);
    return it != m_policyConfig->services.end() && !it->second.yields.empty()
        && matches(it->second.yields, jobLabels(job));
}

void HostTable::place(Host &host, const Job &job, const Resources &reserve)
{
    TREFOILHOIST_INVARIANT(fits(reserve, host.free), "P1 capacity");
    host.free -= reserve;
    --host.startLimit;
    host.jobs.push_back(&job);
    host.restrictsNeighbours |= !job.beside.empty();
    countJob(job, host);
}

} // namespace Trefoilhoist::Detail
