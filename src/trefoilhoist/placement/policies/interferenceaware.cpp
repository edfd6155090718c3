#include "trefoilhoist/placement/policies/interferenceaware.h"

#include "trefoilhoist/placement/policies/bestfit.h"

#include <algorithm>
#include <cmath>

namespace Trefoilhoist::Detail {

namespace {

constexpr Duration historyLength = seconds(60);
constexpr Duration historyStep = seconds(1);
/// A task that adds less than this to a logarithm of a p99 is let be.
constexpr double smallestEffect = 0.02;
/// Steps of a share: down to this part, up by this much.
constexpr double stepDownFactor = 0.5;
constexpr double stepUpFactor = 2.0;
/// Refusals ease until the task has waited this long.
constexpr Duration longestRefusal = seconds(300);
constexpr double harmSteepness = 4.0;
/// No task starts beside a service for whose sake one was just evicted.
constexpr Duration afterEviction = seconds(20);

double harm(double level)
{
    return std::exp(harmSteepness * std::min(level, 1.0));
}

} // namespace

InterferenceAware::InterferenceAware(const Settings &settings) : m_settings(settings), m_model(settings.model) { }

InterferenceAware::Levels InterferenceAware::levelsOf(const PolicyWeights &weights) const
{
    const double sum = std::max(weights.tailLatency + weights.throughput + weights.evictions, 1e-9);
    const double tail = weights.tailLatency / sum;
    const auto between = [&](double throughput, double latency) {
        return std::log(throughput + (latency - throughput) * tail);
    };
    Levels levels;
    levels.place = between(m_settings.placeBelowThroughput, m_settings.placeBelowTail);
    levels.throttle = between(m_settings.throttleAboveThroughput, m_settings.throttleAboveTail);
    // The dearer evictions are, the longer a throttled task is borne.
    levels.evict = levels.throttle + m_settings.evictMargin * (1 + 2 * weights.evictions / sum);
    levels.raise = levels.throttle - m_settings.raiseMargin;
    levels.deviations = m_settings.pessimism * tail;
    return levels;
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

void InterferenceAware::updateLoads(DecisionContext &context, const Host &host, Site &site)
{
    site.loads.clear();
    site.current.clear();
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.view->worker.capacity.milliCpu, 1));
    for (const auto &running : host.view->running) {
        const auto *job = context.table.job(running.job);
        if (job == nullptr) {
            continue;
        }
        const double cpu = context.sizes.unthrottledMilliCpu(running) * context.ledger.share(running.task);
        addLoad(site.loads, m_model.classIndex(job->batchClass), cpu / capacity);
    }
    remember(site, context.now);
}

void InterferenceAware::remember(Site &site, TimePoint now)
{
    if (!site.history.empty() && now - site.history.back().at < historyStep) {
        return;
    }
    site.history.push_back({now, site.loads});
    while (site.history.size() > 1 && now - site.history.front().at > historyLength) {
        site.history.pop_front();
    }
}

InterferenceAware::Loads InterferenceAware::loadsDuring(const Site &site, TimePoint from, TimePoint to)
{
    Loads sum;
    int count = 0;
    for (const auto &entry : site.history) {
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

void InterferenceAware::learn(const ServiceSample &sample)
{
    const auto it = m_sites.find(sample.worker);
    if (it == m_sites.end() || it->second.history.empty()) {
        return;
    }
    const auto &site = it->second;
    // A sample of a time that was not seen would be blamed on the wrong tasks.
    if (sample.measuredAt < site.history.front().at) {
        return;
    }
    const auto loads = loadsDuring(site, sample.measuredAt - m_settings.sampleWindow, sample.measuredAt);
    m_model.learn(sample.service, sample.worker, sample.requestsPerSecond, sample.p99, loads);
}

double InterferenceAware::logTarget(DecisionContext &context, const ServiceId &service, const WorkerId &worker) const
{
    const auto it = context.table.terms().services.find(service);
    if (it != context.table.terms().services.end() && it->second.latencyTarget > Duration{}) {
        return std::log(std::chrono::duration<double, std::milli>(it->second.latencyTarget).count());
    }
    const auto alone = m_model.predict(service, worker, {});
    return (alone ? alone->mean : 0) + std::log(m_settings.growthWithoutTarget);
}

std::optional<Prediction> InterferenceAware::level(DecisionContext &context,
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
InterferenceAware::currentLevels(DecisionContext &context, const Host &host, Site &site)
{
    if (site.current.empty()) {
        for (const auto &service : host.view->services) {
            site.current.push_back(level(context, service, host.id, site.loads));
        }
    }
    return site.current;
}

void InterferenceAware::adjust(DecisionContext &context)
{
    m_levels = levelsOf(context.weights);
    const auto levels = m_levels;
    for (const auto &host : context.table.hosts()) {
        auto &site = m_sites[host.id];
        updateLoads(context, host, site);
        bool relieved = false;
        for (const auto &service : host.view->services) {
            const auto now = level(context, service, host.id, site.loads);
            if (now && now->mean > levels.throttle) {
                relieve(context, host, service, now->mean - levels.throttle, now->mean - levels.evict, levels, site);
                relieved = true;
            }
        }
        if (!relieved) {
            raise(context, host, levels, site);
        }
    }
    if (m_sites.size() > 2 * context.table.hosts().size()) {
        std::erase_if(m_sites, [&](const auto &entry) { return context.table.find(entry.first) == nullptr; });
        m_model.sweep([&](const WorkerId &id) { return context.table.find(id) != nullptr; });
    }
}

std::vector<InterferenceAware::Disturber> InterferenceAware::disturbers(DecisionContext &context,
                                                                        const Host &host,
                                                                        const ServiceId &service,
                                                                        const Levels &levels)
{
    std::vector<Disturber> found;
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.view->worker.capacity.milliCpu, 1));
    for (const auto &running : host.view->running) {
        const auto *job = context.table.job(running.job);
        if (job == nullptr || context.ledger.isEvicting(running.task)) {
            continue;
        }
        Disturber entry;
        entry.running = &running;
        entry.batchClass = m_model.classIndex(job->batchClass);
        entry.load = context.sizes.unthrottledMilliCpu(running) / capacity;
        const auto effect = m_model.effect(service, host.id, entry.batchClass);
        entry.effect = effect.upper(levels.deviations) * entry.load * context.ledger.share(running.task);
        entry.yieldsFirst = context.table.yieldsFirst(service, *job);
        entry.rank = context.table.yieldRank(*job);
        entry.waste = evictionWaste(running, context.ledger, context.now);
        entry.urgent = job->urgent;
        if (entry.effect >= smallestEffect || (entry.yieldsFirst && entry.effect > 0)) {
            found.push_back(entry);
        }
    }
    std::sort(found.begin(), found.end(), [](const Disturber &left, const Disturber &right) {
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

double InterferenceAware::stepDown(DecisionContext &context, const Disturber &disturber, double excess)
{
    constexpr auto cause = ActionLedger::Cause::Interference;
    const double share = context.ledger.allowedShare(disturber.running->task, cause);
    const auto changed = context.ledger.changedAt(disturber.running->task, cause);
    const bool settling = changed != TimePoint{} && context.now - changed < m_settings.settle;
    if (settling || share <= m_settings.smallestShare) {
        return 0;
    }
    // As far down as the model asks for, in one step or two.
    double next = share;
    double gained = 0;
    while (next > m_settings.smallestShare && gained < excess) {
        next = std::max(next * stepDownFactor, m_settings.smallestShare);
        gained = disturber.effect * (1 - next / share);
    }
    context.ledger.allowShare(*disturber.running, cause, next);
    return gained;
}

void InterferenceAware::relieve(DecisionContext &context,
                                const Host &host,
                                const ServiceId &service,
                                double excess,
                                double evictExcess,
                                const Levels &levels,
                                Site &site)
{
    constexpr auto cause = ActionLedger::Cause::Interference;
    const auto found = disturbers(context, host, service, levels);
    bool settling = false;
    for (const auto &disturber : found) {
        const auto changed = context.ledger.changedAt(disturber.running->task, cause);
        settling |= changed != TimePoint{} && context.now - changed < m_settings.settle;
        if (excess > 0 && m_settings.throttles) {
            excess -= stepDown(context, disturber, excess);
        }
    }
    // Evictions wait until throttling has had its time, and come one by one.
    const bool evictedLately = site.evictedAt != TimePoint{} && context.now - site.evictedAt < m_settings.settle;
    if (excess <= 0 || evictExcess <= 0 || settling || evictedLately || !m_settings.evicts) {
        return;
    }
    for (const auto &disturber : found) {
        const bool throttled
            = context.ledger.allowedShare(disturber.running->task, cause) <= m_settings.smallestShare + 0.01;
        if ((throttled || !m_settings.throttles) && !disturber.urgent) {
            context.ledger.evict(*disturber.running, "slows service " + service.str() + " although throttled");
            site.evictedAt = context.now;
            return;
        }
    }
}

bool InterferenceAware::staysBelow(
    DecisionContext &context, const Host &host, const Loads &loads, double limit, double deviations) const
{
    return std::all_of(host.view->services.begin(), host.view->services.end(), [&](const ServiceId &service) {
        const auto predicted = level(context, service, host.id, loads);
        return !predicted || predicted->upper(deviations / 2) <= limit;
    });
}

void InterferenceAware::raise(DecisionContext &context, const Host &host, const Levels &levels, Site &site)
{
    constexpr auto cause = ActionLedger::Cause::Interference;
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.view->worker.capacity.milliCpu, 1));
    for (const auto &running : host.view->running) {
        const double share = context.ledger.allowedShare(running.task, cause);
        if (share >= 1.0 || context.now - context.ledger.changedAt(running.task, cause) < m_settings.raiseAfter) {
            continue;
        }
        const auto *job = context.table.job(running.job);
        if (job == nullptr) {
            continue;
        }
        const double next = std::min(1.0, share * stepUpFactor);
        auto loads = site.loads;
        addLoad(loads,
                m_model.classIndex(job->batchClass),
                (next - share) * context.sizes.unthrottledMilliCpu(running) / capacity);
        if (!staysBelow(context, host, loads, levels.raise + 0.5 * m_settings.raiseMargin, levels.deviations)) {
            continue;
        }
        context.ledger.allowShare(running, cause, next);
        site.loads = std::move(loads);
        site.current.clear();
        // One task at a time, so that a wrong step shows whose it was.
        return;
    }
}

void InterferenceAware::placed(DecisionContext &, const Candidate &candidate, const Host &host)
{
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.view->worker.capacity.milliCpu, 1));
    auto &site = m_sites[host.id];
    site.current.clear();
    addLoad(site.loads, m_model.classIndex(candidate.job->batchClass), candidate.size.meanMilliCpu / capacity);
}

std::optional<double> InterferenceAware::score(DecisionContext &context, const Candidate &candidate, const Host &host)
{
    const auto &weights = context.weights;
    const auto &levels = m_levels;
    const double sum = std::max(weights.tailLatency + weights.throughput + weights.evictions, 1e-9);
    const double fit
        = leftover(host, candidate.size.reserve) + crowdingWeight * crowding(context.table, *candidate.job, host);
    if (host.view->services.empty()) {
        return fit * weights.throughput / sum;
    }
    auto &site = m_sites[host.id];
    const int batchClass = m_model.classIndex(candidate.job->batchClass);
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.view->worker.capacity.milliCpu, 1));
    auto loads = site.loads;
    addLoad(loads, batchClass, candidate.size.meanMilliCpu / capacity);
    // A task that is refused for long is let in up to the throttle level, so that no class starves.
    const double patience = std::min(1.0,
                                     std::chrono::duration<double>(candidate.waited).count()
                                         / std::chrono::duration<double>(longestRefusal).count());
    const double limit = levels.place + patience * (levels.throttle - levels.place);
    const bool shielded
        = site.evictedAt != TimePoint{} && context.now - site.evictedAt < afterEviction && !candidate.urgent;
    double harmed = 0;
    const auto &current = currentLevels(context, host, site);
    for (std::size_t n = 0; n < current.size(); ++n) {
        const auto &service = host.view->services[n];
        const auto &before = current[n];
        const auto after = level(context, service, host.id, loads);
        if (!before || !after) {
            continue;
        }
        const double upper = after->upper(levels.deviations);
        const double added = after->mean - before->mean;
        if (!candidate.urgent && added >= smallestEffect && (upper > limit || shielded)) {
            return std::nullopt;
        }
        harmed += harm(upper) - harm(before->upper(levels.deviations));
    }
    return weights.tailLatency / sum * harmed + weights.throughput / sum * fit;
}

} // namespace Trefoilhoist::Detail
