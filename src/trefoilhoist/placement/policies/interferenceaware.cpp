#include "trefoilhoist/placement/policies/interferenceaware.h"

#include "trefoilhoist/placement/policies/bestfit.h"

#include <algorithm>
#include <cmath>

namespace Trefoilhoist::Detail {

namespace {

constexpr Duration historyLength = seconds(60);
constexpr Duration historyStep = seconds(1);
/// A task that adds less than this to the logarithm of a p99 is ignored.
constexpr double minEffect = 0.02;
/// Factors of one step down and one step up of a share.
constexpr double stepDownFactor = 0.5;
constexpr double stepUpFactor = 2.0;
/// A waiting task's limit rises linearly from the place to the throttle threshold over this time.
constexpr Duration maxRefusal = seconds(300);
constexpr double penaltySteepness = 4.0;
/// After an eviction to protect a service, no interfering task starts on the worker for this long.
constexpr Duration evictionCooldown = seconds(20);

double latencyPenalty(double relativeLatency)
{
    return std::exp(penaltySteepness * std::min(relativeLatency, 1.0));
}

} // namespace

InterferenceAware::InterferenceAware(const Settings &settings) : m_settings(settings), m_model(settings.model) { }

InterferenceAware::Thresholds InterferenceAware::thresholdsFor(const PolicyWeights &weights) const
{
    const double sum = std::max(weights.tailLatency + weights.throughput + weights.evictions, 1e-9);
    const double tail = weights.tailLatency / sum;
    const auto interpolate = [&](double throughput, double latency) {
        return std::log(throughput + (latency - throughput) * tail);
    };
    Thresholds thresholds;
    thresholds.place = interpolate(m_settings.placeBelowThroughput, m_settings.placeBelowTail);
    thresholds.throttle = interpolate(m_settings.throttleAboveThroughput, m_settings.throttleAboveTail);
    // The more weight evictions have, the longer a throttled task is tolerated.
    thresholds.evict = thresholds.throttle + m_settings.evictMargin * (1 + 2 * weights.evictions / sum);
    thresholds.raise = thresholds.throttle - m_settings.raiseMargin;
    thresholds.deviations = m_settings.tailDeviations * tail;
    return thresholds;
}

void InterferenceAware::addLoad(Loads &loads, int batchClass, double load)
{
    for (auto &entry : loads) {
        if (entry.batchClass == batchClass) {
            entry.load += load;
            return;
        }
    }
    loads.push_back({batchClass, load});
}

void InterferenceAware::updateLoads(DecisionContext &context, const Host &host, HostState &state)
{
    state.loads.clear();
    state.cachedLatencies.clear();
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.view->worker.capacity.milliCpu, 1));
    for (const auto &running : host.view->running) {
        const auto *job = context.table.job(running.job);
        if (job == nullptr) {
            continue;
        }
        const double cpu = context.sizes.unthrottledMilliCpu(running) * context.actionTracker.share(running.task);
        addLoad(state.loads, m_model.classIndex(job->batchClass), cpu / capacity);
    }
    appendHistory(state, context.now);
}

void InterferenceAware::appendHistory(HostState &state, TimePoint now)
{
    if (!state.history.empty() && now - state.history.back().at < historyStep) {
        return;
    }
    state.history.push_back({now, state.loads});
    while (state.history.size() > 1 && now - state.history.front().at > historyLength) {
        state.history.pop_front();
    }
}

InterferenceAware::Loads InterferenceAware::meanLoads(const HostState &state, TimePoint from, TimePoint to)
{
    Loads sum;
    int count = 0;
    for (const auto &entry : state.history) {
        if (entry.at < from || entry.at > to) {
            continue;
        }
        ++count;
        for (const auto &load : entry.loads) {
            addLoad(sum, load.batchClass, load.load);
        }
    }
    for (auto &load : sum) {
        load.load /= count;
    }
    return sum;
}

void InterferenceAware::observe(const ServiceSample &sample)
{
    const auto it = m_hostStates.find(sample.worker);
    if (it == m_hostStates.end() || it->second.history.empty()) {
        return;
    }
    const auto &state = it->second;
    // The loads of that time are unknown, so the sample would be attributed to the wrong tasks.
    if (sample.measuredAt < state.history.front().at) {
        return;
    }
    const auto loads = meanLoads(state, sample.measuredAt - m_settings.sampleWindow, sample.measuredAt);
    m_model.observe(sample.service, sample.worker, sample.requestsPerSecond, sample.p99, loads);
}

double InterferenceAware::logTarget(DecisionContext &context, const ServiceId &service, const WorkerId &worker) const
{
    const auto it = context.table.policyConfig().services.find(service);
    if (it != context.table.policyConfig().services.end() && it->second.latencyTarget > Duration{}) {
        return std::log(std::chrono::duration<double, std::milli>(it->second.latencyTarget).count());
    }
    const auto alone = m_model.predict(service, worker, {});
    return (alone ? alone->mean : 0) + std::log(m_settings.growthWithoutTarget);
}

std::optional<Prediction> InterferenceAware::relativeLatency(DecisionContext &context,
                                                             const ServiceId &service,
                                                             const WorkerId &worker,
                                                             const Loads &loads) const
{
    auto predicted = m_model.predict(service, worker, loads);
    if (predicted) {
        predicted->mean -= logTarget(context, service, worker);
    }
    return predicted;
}

const std::vector<std::optional<Prediction>> &
InterferenceAware::currentLatencies(DecisionContext &context, const Host &host, HostState &state)
{
    if (state.cachedLatencies.empty()) {
        for (const auto &service : host.view->services) {
            state.cachedLatencies.push_back(relativeLatency(context, service, host.id, state.loads));
        }
    }
    return state.cachedLatencies;
}

void InterferenceAware::adjustShares(DecisionContext &context)
{
    m_thresholds = thresholdsFor(context.weights);
    const auto thresholds = m_thresholds;
    for (const auto &host : context.table.hosts()) {
        auto &state = m_hostStates[host.id];
        updateLoads(context, host, state);
        bool thresholdExceeded = false;
        for (const auto &service : host.view->services) {
            const auto prediction = relativeLatency(context, service, host.id, state.loads);
            if (prediction && prediction->mean > thresholds.throttle) {
                reduceInterference(context,
                                   host,
                                   service,
                                   prediction->mean - thresholds.throttle,
                                   prediction->mean - thresholds.evict,
                                   thresholds,
                                   state);
                thresholdExceeded = true;
            }
        }
        if (!thresholdExceeded) {
            raiseShares(context, host, thresholds, state);
        }
    }
    if (m_hostStates.size() > 2 * context.table.hosts().size()) {
        std::erase_if(m_hostStates, [&](const auto &entry) { return context.table.find(entry.first) == nullptr; });
        m_model.removeWorkers([&](const WorkerId &id) { return context.table.find(id) != nullptr; });
    }
}

std::vector<InterferenceAware::InterferingTask> InterferenceAware::findInterferingTasks(DecisionContext &context,
                                                                                        const Host &host,
                                                                                        const ServiceId &service,
                                                                                        const Thresholds &thresholds)
{
    std::vector<InterferingTask> found;
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.view->worker.capacity.milliCpu, 1));
    for (const auto &running : host.view->running) {
        const auto *job = context.table.job(running.job);
        if (job == nullptr || context.actionTracker.isEvicting(running.task)) {
            continue;
        }
        InterferingTask entry;
        entry.running = &running;
        entry.batchClass = m_model.classIndex(job->batchClass);
        entry.load = context.sizes.unthrottledMilliCpu(running) / capacity;
        const auto effect = m_model.effect(service, host.id, entry.batchClass);
        entry.effect
            = effect.upperBound(thresholds.deviations) * entry.load * context.actionTracker.share(running.task);
        entry.yieldsFirst = context.table.yieldsFirst(service, *job);
        entry.rank = context.table.yieldRank(*job);
        entry.waste = evictionWaste(running, context.actionTracker, context.now);
        entry.urgent = job->urgent;
        if (entry.effect >= minEffect || (entry.yieldsFirst && entry.effect > 0)) {
            found.push_back(entry);
        }
    }
    std::sort(found.begin(), found.end(), [](const InterferingTask &left, const InterferingTask &right) {
        if (left.urgent != right.urgent) {
            return right.urgent;
        }
        if (left.yieldsFirst != right.yieldsFirst) {
            return left.yieldsFirst;
        }
        if (left.rank != right.rank) {
            return left.rank > right.rank;
        }
        return left.effect * right.waste > right.effect * left.waste;
    });
    return found;
}

double InterferenceAware::stepDown(DecisionContext &context, const InterferingTask &interfering, double excess)
{
    constexpr auto cause = ActionTracker::Cause::Interference;
    const double share = context.actionTracker.shareLimit(interfering.running->task, cause);
    const auto changed = context.actionTracker.changedAt(interfering.running->task, cause);
    const bool throttlePending = changed != TimePoint{} && context.now - changed < m_settings.settleTime;
    if (throttlePending || share <= m_settings.minShare) {
        return 0;
    }
    // Applies as many steps at once as the model predicts are needed.
    double next = share;
    double reduction = 0;
    while (next > m_settings.minShare && reduction < excess) {
        next = std::max(next * stepDownFactor, m_settings.minShare);
        reduction = interfering.effect * (1 - next / share);
    }
    context.actionTracker.setShareLimit(*interfering.running, cause, next);
    return reduction;
}

void InterferenceAware::reduceInterference(DecisionContext &context,
                                           const Host &host,
                                           const ServiceId &service,
                                           double excess,
                                           double evictExcess,
                                           const Thresholds &thresholds,
                                           HostState &state)
{
    constexpr auto cause = ActionTracker::Cause::Interference;
    const auto found = findInterferingTasks(context, host, service, thresholds);
    bool throttlePending = false;
    for (const auto &interfering : found) {
        const auto changed = context.actionTracker.changedAt(interfering.running->task, cause);
        throttlePending |= changed != TimePoint{} && context.now - changed < m_settings.settleTime;
        if (excess > 0 && m_settings.throttles) {
            excess -= stepDown(context, interfering, excess);
        }
    }
    // Evicts only after throttling has had time to take effect, and one task at a time.
    const bool recentlyEvicted
        = state.evictedAt != TimePoint{} && context.now - state.evictedAt < m_settings.settleTime;
    if (excess <= 0 || evictExcess <= 0 || throttlePending || recentlyEvicted || !m_settings.evicts) {
        return;
    }
    for (const auto &interfering : found) {
        const bool throttled
            = context.actionTracker.shareLimit(interfering.running->task, cause) <= m_settings.minShare + 0.01;
        if ((throttled || !m_settings.throttles) && !interfering.urgent) {
            context.actionTracker.evict(*interfering.running, "slows service " + service.str() + " although throttled");
            state.evictedAt = context.now;
            return;
        }
    }
}

bool InterferenceAware::staysBelowLimit(
    DecisionContext &context, const Host &host, const Loads &loads, double limit, double deviations) const
{
    return std::all_of(host.view->services.begin(), host.view->services.end(), [&](const ServiceId &service) {
        const auto predicted = relativeLatency(context, service, host.id, loads);
        return !predicted || predicted->upperBound(deviations / 2) <= limit;
    });
}

void InterferenceAware::raiseShares(DecisionContext &context,
                                    const Host &host,
                                    const Thresholds &thresholds,
                                    HostState &state)
{
    constexpr auto cause = ActionTracker::Cause::Interference;
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.view->worker.capacity.milliCpu, 1));
    for (const auto &running : host.view->running) {
        const double share = context.actionTracker.shareLimit(running.task, cause);
        if (share >= 1.0
            || context.now - context.actionTracker.changedAt(running.task, cause) < m_settings.raiseAfter) {
            continue;
        }
        const auto *job = context.table.job(running.job);
        if (job == nullptr) {
            continue;
        }
        const double next = std::min(1.0, share * stepUpFactor);
        auto loads = state.loads;
        addLoad(loads,
                m_model.classIndex(job->batchClass),
                (next - share) * context.sizes.unthrottledMilliCpu(running) / capacity);
        if (!staysBelowLimit(
                context, host, loads, thresholds.raise + 0.5 * m_settings.raiseMargin, thresholds.deviations)) {
            continue;
        }
        context.actionTracker.setShareLimit(running, cause, next);
        state.loads = std::move(loads);
        state.cachedLatencies.clear();
        // One task at a time: if latency rises, the cause is known.
        return;
    }
}

void InterferenceAware::observeStart(DecisionContext &, const Candidate &candidate, const Host &host)
{
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.view->worker.capacity.milliCpu, 1));
    auto &state = m_hostStates[host.id];
    state.cachedLatencies.clear();
    addLoad(state.loads, m_model.classIndex(candidate.job->batchClass), candidate.size.meanMilliCpu / capacity);
}

std::optional<double> InterferenceAware::score(DecisionContext &context, const Candidate &candidate, const Host &host)
{
    const auto &weights = context.weights;
    const auto &thresholds = m_thresholds;
    const double sum = std::max(weights.tailLatency + weights.throughput + weights.evictions, 1e-9);
    const double fit = leftoverShare(host, candidate.size.reserve)
        + spreadWeight * spreadPenalty(context.table, *candidate.job, host);
    if (host.view->services.empty()) {
        return fit * weights.throughput / sum;
    }
    auto &state = m_hostStates[host.id];
    const int batchClass = m_model.classIndex(candidate.job->batchClass);
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.view->worker.capacity.milliCpu, 1));
    auto loads = state.loads;
    addLoad(loads, batchClass, candidate.size.meanMilliCpu / capacity);
    // Relaxes the limit up to the throttle threshold while the task waits, so that no class starves.
    const double waitedFraction = std::min(1.0,
                                           std::chrono::duration<double>(candidate.waited).count()
                                               / std::chrono::duration<double>(maxRefusal).count());
    const double limit = thresholds.place + waitedFraction * (thresholds.throttle - thresholds.place);
    const bool coolingDown
        = state.evictedAt != TimePoint{} && context.now - state.evictedAt < evictionCooldown && !candidate.urgent;
    double addedPenalty = 0;
    const auto &cachedLatencies = currentLatencies(context, host, state);
    for (std::size_t n = 0; n < cachedLatencies.size(); ++n) {
        const auto &service = host.view->services[n];
        const auto &before = cachedLatencies[n];
        const auto after = relativeLatency(context, service, host.id, loads);
        if (!before || !after) {
            continue;
        }
        const double upperBound = after->upperBound(thresholds.deviations);
        const double added = after->mean - before->mean;
        if (!candidate.urgent && added >= minEffect && (upperBound > limit || coolingDown)) {
            return std::nullopt;
        }
        addedPenalty += latencyPenalty(upperBound) - latencyPenalty(before->upperBound(thresholds.deviations));
    }
    return weights.tailLatency / sum * addedPenalty + weights.throughput / sum * fit;
}

} // namespace Trefoilhoist::Detail
