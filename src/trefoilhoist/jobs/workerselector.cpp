#include "trefoilhoist/jobs/workerselector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Trefoilhoist::Jobs {

namespace {

/// A worker whose last report is older than this gets no new tasks.
constexpr Duration maxReportAge = milliseconds(1500);
/// An agent that lets a hold expire reports it within this time. Agents of earlier versions never do.
constexpr Duration maxLapseTime = seconds(6);
/// No task is started on a worker whose lease expires sooner than this.
constexpr Duration minRemainingLease = seconds(1);

// Costs; 1 is the load of a fully used worker.
constexpr double siblingCost = 0.15;
/// Multiplied by the share of the worker's runs that failed lately.
constexpr double workerFailureCost = 2.0;
constexpr double remoteDataCost = 0.5;
/// The last failure of the same task was on this worker.
constexpr double sameTaskFailedCost = 1.0;
/// A worker on this machine has crashed under the task.
constexpr double sameMachineCrashedCost = 100;
constexpr double interferenceCost = 6;
/// Keeps serving tasks of one image together, so that each kind of best-effort task finds workers where it doesn't
/// interfere.
constexpr double mixedImagesCost = 1.2;
constexpr double toleratedInterference = 0.05;

/// What best-effort tasks must leave to a serving task.
struct SlackRequirement {
    /// The slack that it must keep. Slack is the target latency divided by the tail latency.
    double slack = 1;
    /// By how many standard deviations the effect of a best-effort task may exceed its estimate.
    double deviations = 0;
};

/// For a slack that was measured: the task's load may rise.
constexpr SlackRequirement measuredRequirement{1.3, 0};
/// For the lowest slack that is expected in the next second: nothing but the errors of the estimate is left.
constexpr SlackRequirement expectedRequirement{1.15, 0.5};

const SlackRequirement &requirementOf(const Run &serving)
{
    return serving.slackIsExpected ? expectedRequirement : measuredRequirement;
}

double shareOf(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

SiblingCounts countSiblings(const StepState &step)
{
    SiblingCounts counts;
    for (const auto &task : step.tasks) {
        for (const auto &run : task.activeRuns) {
            ++counts[run.worker];
        }
    }
    return counts;
}

WorkerSelector::WorkerSelector(const Wire::StepSpec &step,
                               StepKey key,
                               const std::string &service,
                               SiblingCounts siblings,
                               ImageNumber image,
                               const InterferenceTable &interference,
                               TimePoint now)
    : m_step(step)
    , m_key(std::move(key))
    , m_service(service)
    , m_siblings(std::move(siblings))
    , m_image(image)
    , m_interference(interference)
    , m_now(now)
    , m_demand(demandOf(step))
{
}

int WorkerSelector::siblingsOn(const Worker &worker) const
{
    if (m_siblings.empty()) {
        return 0;
    }
    const auto it = m_siblings.find(worker.info.id);
    return it == m_siblings.end() ? 0 : it->second;
}

Rejection WorkerSelector::rejectionOf(const Worker &worker) const
{
    if (!worker.inRecordedRoster || !worker.listed) {
        return Rejection::NotListed;
    }
    if (worker.awaitsLapse() && m_now - worker.termRaisedAt < maxLapseTime) {
        return Rejection::AwaitsLapse;
    }
    if (!worker.reachable || m_now - worker.lastContact > maxReportAge
        || worker.leaseEnds - m_now < minRemainingLease) {
        return Rejection::Silent;
    }
    if (worker.draining) {
        return Rejection::Draining;
    }
    if (worker.zoneDrained) {
        return Rejection::ZoneDrained;
    }
    if (worker.info.serviceName != m_service) {
        return Rejection::OtherService;
    }
    if (worker.health.isQuarantined(m_now)) {
        return Rejection::Quarantined;
    }
    if (worker.reservation.until > m_now && worker.reservation.step != m_key) {
        return Rejection::Reserved;
    }
    if (!m_step.requiredLabel.empty() && !worker.hasLabel(m_step.requiredLabel)) {
        return Rejection::LabelMissing;
    }
    if (m_step.maxPerWorker > 0 && siblingsOn(worker) >= m_step.maxPerWorker) {
        return Rejection::LimitPerWorker;
    }
    return Rejection::None;
}

bool WorkerSelector::hasFreeCapacity(const Worker &worker) const
{
    if (!worker.fits(m_demand) || (worker.reservedForLongRunning && !m_step.longRunning)) {
        return false;
    }
    // Only an overdue best-effort step, of which nothing runs yet, may start without enough idle CPU or despite
    // interference.
    return !m_step.usesIdleCpu || m_overdue
        || (worker.idleCpuMilli() >= m_demand.idleCpuMilli && interferenceOn(worker) <= toleratedInterference);
}

double WorkerSelector::cost(const Worker &worker) const
{
    const auto &used = worker.used;
    double cost = shareOf(used.memoryMb + m_demand.memoryMb, worker.info.memoryMb);
    if (m_step.usesIdleCpu) {
        cost = std::max(cost, 1.0 - shareOf(worker.idleCpuMilli() - m_demand.idleCpuMilli, worker.info.cpuMilli));
    } else {
        cost = std::max(cost, shareOf(used.cpuMilli + m_demand.cpuMilli, worker.info.cpuMilli));
    }
    if (m_step.tailTargetMs > 0) {
        cost += mixedImagesCost * shareOfOtherImages(worker);
    } else {
        cost += siblingCost * siblingsOn(worker);
    }
    if (m_step.usesIdleCpu) {
        cost += interferenceCost * interferenceOn(worker);
    }
    cost += workerFailureCost * worker.health.failureRatio(m_now);
    if (!m_step.inputRack.empty() && !worker.hasLabel(m_step.inputRack)) {
        cost += remoteDataCost;
    }
    return cost;
}

double WorkerSelector::expectedEffect(const Run &serving, ImageNumber bestEffortImage) const
{
    const double effect = m_interference.effect(serving.imageNumber, bestEffortImage);
    const double deviations = requirementOf(serving).deviations;
    return deviations <= 0 ? effect
                           : effect + deviations * m_interference.deviation(serving.imageNumber, bestEffortImage);
}

double WorkerSelector::interferenceOn(const Worker &worker) const
{
    if (worker.servingRuns.empty()) {
        return 0;
    }
    const double capacity = worker.cpuCapacity();
    const double ownShare = static_cast<double>(m_demand.idleCpuMilli) / capacity;
    double sum = 0;
    for (const auto *serving : worker.servingRuns) {
        const double ownEffect = expectedEffect(*serving, m_image);
        double unmeasuredOfImage = ownShare;
        double slackDrop = ownEffect * ownShare;
        // Best-effort tasks that were started since the last measurements are not included in them yet.
        for (const auto *run : worker.bestEffortRuns) {
            if (run->orderedAt <= worker.measurements.at) {
                continue;
            }
            const double share = static_cast<double>(run->demand.idleCpuMilli) / capacity;
            slackDrop += expectedEffect(*serving, run->imageNumber) * share;
            unmeasuredOfImage += run->imageNumber == m_image ? share : 0;
        }
        const double required = requirementOf(*serving).slack;
        const double shortfall = required - (serving->slack.value_or(required) - slackDrop);
        sum += std::clamp(shortfall, 0.0, ownEffect * unmeasuredOfImage);
    }
    return sum;
}

double WorkerSelector::shareOfOtherImages(const Worker &worker) const
{
    if (worker.servingRuns.empty()) {
        return 0;
    }
    const auto others = std::count_if(worker.servingRuns.begin(), worker.servingRuns.end(), [&](const auto *it) {
        return it->imageNumber != m_image;
    });
    return static_cast<double>(others) / static_cast<double>(worker.servingRuns.size());
}

void WorkerSelector::reject(Rejection rejection)
{
    ++m_rejections.at(static_cast<std::size_t>(rejection));
}

void WorkerSelector::consider(Worker &worker)
{
    m_considered.push_back(&worker);
    evaluate(worker, m_considered.size());
}

void WorkerSelector::evaluate(Worker &worker, std::size_t order)
{
    const auto rejection = rejectionOf(worker);
    if (rejection != Rejection::None) {
        reject(rejection);
        if (rejection == Rejection::LimitPerWorker) {
            noteFull(worker);
        }
        return;
    }
    if (!hasFreeCapacity(worker)) {
        reject(Rejection::NoCapacity);
        noteFull(worker);
        if (m_step.longRunning) {
            m_full.push_back(&worker);
        }
        return;
    }
    m_candidates.push_back({cost(worker), isRemote(worker), order, &worker});
    std::push_heap(m_candidates.begin(), m_candidates.end());
}

void WorkerSelector::evaluateAll()
{
    m_candidates.clear();
    m_full.clear();
    m_rejections = {};
    for (std::size_t i = 0; i < m_considered.size(); ++i) {
        evaluate(*m_considered[i], i + 1);
    }
}

Worker *WorkerSelector::select(const TaskState &task) const
{
    if (m_candidates.empty()) {
        return nullptr;
    }
    const auto &best = m_candidates.front();
    if (task.failedOn.empty() || task.failedOn != best.worker->info.id || m_candidates.size() == 1) {
        return best.worker;
    }
    // The second lowest cost is one of the two below the front of the heap.
    const auto &second = *std::max_element(
        m_candidates.begin() + 1, m_candidates.begin() + std::min<std::ptrdiff_t>(3, std::ssize(m_candidates)));
    return second.cost < best.cost + sameTaskFailedCost ? second.worker : best.worker;
}

Worker *WorkerSelector::selectSettled(const TaskState &task) const
{
    std::vector<Candidate> settled;
    for (const auto &it : m_candidates) {
        if (it.worker->isSettled(m_now)) {
            settled.push_back(it);
            // A machine on which the task has not crashed matters more than its rack.
            settled.back().remote = false;
            settled.back().cost += task.crashes.containsAgent(agentName(it.worker->info)) ? sameMachineCrashedCost : 0;
        }
    }
    const auto best = std::max_element(settled.begin(), settled.end());
    return best == settled.end() ? nullptr : best->worker;
}

void WorkerSelector::reserveWorker()
{
    const bool reserved = std::any_of(m_considered.begin(), m_considered.end(), [&](const auto *it) {
        return it->reservation.until > m_now && it->reservation.step == m_key;
    });
    if (!reserved && !m_candidates.empty()) {
        // Long enough for the worker to settle and for the next plan to use it.
        m_candidates.front().worker->reservation = {m_now + 2 * startObservationTime, m_key};
    }
}

std::vector<WorkerSelector::Candidate>::iterator WorkerSelector::find(const Worker &worker)
{
    return std::find_if(m_candidates.begin(), m_candidates.end(), [&](const auto &it) { return it.worker == &worker; });
}

void WorkerSelector::remove(std::vector<Candidate>::iterator candidate)
{
    if (candidate == m_candidates.begin()) {
        std::pop_heap(m_candidates.begin(), m_candidates.end());
        m_candidates.pop_back();
        return;
    }
    m_candidates.erase(candidate);
    std::make_heap(m_candidates.begin(), m_candidates.end());
}

void WorkerSelector::exclude(const Worker &worker)
{
    if (const auto it = find(worker); it != m_candidates.end()) {
        m_excludedOnRack = m_excludedOnRack || (m_prefersRack && worker.hasLabel(m_step.inputRack));
        remove(it);
    }
}

void WorkerSelector::withhold(const Worker &worker)
{
    if (const auto it = find(worker); it != m_candidates.end() && m_mayWithhold) {
        m_withheld.push_back(*it);
        remove(it);
    }
}

bool WorkerSelector::extendForGang()
{
    if (m_withheld.empty()) {
        return extendOverdue();
    }
    m_mayWithhold = false;
    for (const auto &it : std::exchange(m_withheld, {})) {
        evaluate(*it.worker, it.order);
    }
    return true;
}

// The members of a gang work only together, so that an overdue one must not wait for idle CPU for the others.
bool WorkerSelector::extendOverdue()
{
    if (!std::exchange(m_mayExtendOverdue, false)) {
        return false;
    }
    m_overdue = true;
    m_allOverdue = true;
    evaluateAll();
    return true;
}

void WorkerSelector::startedOn(Worker &worker)
{
    ++m_siblings[worker.info.id];
    if (m_overdue && !m_allOverdue) {
        // What was allowed to the first task alone no longer holds for any worker.
        m_overdue = false;
        evaluateAll();
        return;
    }
    if (const auto it = find(worker); it != m_candidates.end()) {
        const auto order = it->order;
        remove(it);
        evaluate(worker, order);
    }
}

std::map<std::string_view, int> WorkerSelector::rejections() const
{
    std::map<std::string_view, int> counts;
    for (std::size_t i = 1; i < m_rejections.size(); ++i) {
        if (m_rejections[i] > 0) {
            counts[rejectionNames[i]] = m_rejections[i];
        }
    }
    return counts;
}

Worker *WorkerSelector::closestFit() const
{
    Worker *closest = nullptr;
    double leastShortage = 0;
    for (auto *worker : m_full) {
        if (worker->fits(m_demand)) {
            // Only idle CPU is lacking, which short tasks neither take nor return.
            continue;
        }
        const auto shortage = worker->shortage(m_demand);
        if (shortage && (closest == nullptr || *shortage < leastShortage)) {
            closest = worker;
            leastShortage = *shortage;
        }
    }
    return closest;
}

} // namespace Trefoilhoist::Jobs
