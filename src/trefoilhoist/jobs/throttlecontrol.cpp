#include "trefoilhoist/jobs/throttlecontrol.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace Trefoilhoist::Jobs {

namespace {

constexpr int fullPercent = 100;
constexpr double minSpeed = 0.05;
/// Speeds are rounded to steps, so that small changes send nothing to the minion.
constexpr int speedStepPercent = 5;
constexpr int minPercent = 2;
/// A run is throttled until the slack of the serving tasks beside it is expected to reach this value.
constexpr double targetSlack = 0.95;
/// A tail over its target for longer than the first limit stops the best-effort tasks that interfere with it; longer
/// than the second limit, it stops all of them.
constexpr Duration sustainedViolation = milliseconds(1400);
constexpr Duration prolongedViolation = milliseconds(2300);
/// A measured tail that is less than this share of its target shows that the target is met. Measurements are noisy.
constexpr double clearlyMetRatio = 0.95;
constexpr double stoppedSpeed = 0.02;
constexpr double minInterference = 1e-6;
constexpr double speedUpStep = 0.3;
/// The usage figures cover the last half second, so the result of an adjustment shows only in later figures.
constexpr Duration adjustInterval = milliseconds(450);
constexpr double baselineSmoothing = 0.5;
constexpr double significantEffect = 0.8;
constexpr double maxSlack = 6;

int percentOf(double speed)
{
    const int steps = static_cast<int>(std::lround(speed * fullPercent / speedStepPercent));
    return std::clamp(steps * speedStepPercent, minPercent, fullPercent);
}

} // namespace

double latencySlack(std::int64_t tailMs, std::int64_t targetMs)
{
    return std::min(maxSlack, static_cast<double>(targetMs) / static_cast<double>(std::max<std::int64_t>(1, tailMs)));
}

void ThrottleControl::addRun(const Wire::RunInfo &info)
{
    m_runs[{info.task, info.run}].info = info;
}

void ThrottleControl::readServingRun(const Wire::RunningTask &row,
                                     const Wire::RunInfo &info,
                                     const BestEffortShares &shares,
                                     TimePoint now)
{
    const RunKey key{row.task, row.run};
    const double ratio = static_cast<double>(row.usage) / static_cast<double>(info.tailTargetMs);
    m_worstTailRatio = std::max(m_worstTailRatio, ratio);
    if (ratio > 1) {
        m_targetMissedSince.emplace(key, now);
    } else if (ratio < clearlyMetRatio) {
        m_targetMissedSince.erase(key);
    }
    const double baselineSlack = latencySlack(row.usage, info.tailTargetMs) + m_table.slackDrop(info.image, shares);
    const auto it = m_baselines.emplace(key, baselineSlack).first;
    it->second += baselineSmoothing * (baselineSlack - it->second);
    const auto over = m_targetMissedSince.find(key);
    m_serving.push_back({info.image, it->second, over == m_targetMissedSince.end() ? Duration{} : now - over->second});
}

void ThrottleControl::readListing(const std::vector<Wire::RunningTask> &running, TimePoint now)
{
    m_bestEffort.clear();
    m_serving.clear();
    m_worstTailRatio = 0;
    BestEffortShares shares;
    std::set<RunKey> present;
    const auto capacity = static_cast<double>(m_cpuMilli);
    for (const auto &row : running) {
        const RunKey key{row.task, row.run};
        present.insert(key);
        const auto known = m_runs.find(key);
        if (known == m_runs.end()) {
            continue;
        }
        known->second.listed = true;
        const auto &info = known->second.info;
        if (!info.usesIdleCpu) {
            continue;
        }
        const double used = static_cast<double>(row.usage) / capacity;
        shares[info.image] += used;
        const double requested = static_cast<double>(info.cpuMilli) / capacity;
        const auto lastPercent = m_lastPercents.emplace(key, fullPercent).first->second;
        const double speed
            = std::max(stoppedSpeed, (lastPercent < 0 ? fullPercent : lastPercent) / static_cast<double>(fullPercent));
        m_bestEffort.push_back({key, info.image, std::min(requested, std::max(used / speed, requested / 2)), speed});
    }
    std::erase_if(m_lastPercents, [&](const auto &it) { return present.count(it.first) == 0; });
    std::erase_if(m_baselines, [&](const auto &it) { return present.count(it.first) == 0; });
    std::erase_if(m_targetMissedSince, [&](const auto &it) { return present.count(it.first) == 0; });
    std::erase_if(m_runs, [&](const auto &it) { return it.second.listed && present.count(it.first) == 0; });
    for (const auto &row : running) {
        const auto info = m_runs.find({row.task, row.run});
        if (info != m_runs.end() && info->second.info.tailTargetMs > 0) {
            readServingRun(row, info->second.info, shares, now);
        }
    }
}

// Returns by how much a serving task's slack is expected to fall short of the target slack.
double ThrottleControl::slackDeficit(const ServingRun &serving) const
{
    double deficit = targetSlack - serving.baselineSlack;
    for (const auto &it : m_bestEffort) {
        deficit += m_table.effect(serving.image, it.image) * it.fullShare * it.speed;
    }
    return deficit;
}

int ThrottleControl::initialPercent(const RunKey &run)
{
    const auto known = m_runs.find(run);
    if (known == m_runs.end() || !known->second.info.usesIdleCpu) {
        return fullPercent;
    }
    const auto &info = known->second.info;
    m_bestEffort.push_back(
        {run, info.image, static_cast<double>(info.cpuMilli) / static_cast<double>(m_cpuMilli), 1.0});
    auto &started = m_bestEffort.back();
    for (const auto &it : m_serving) {
        const double interference = m_table.effect(it.image, info.image) * started.fullShare;
        const double deficit = slackDeficit(it);
        if (it.targetMissedFor > sustainedViolation) {
            // Tasks that follow each other must not keep the tail over its target.
            started.speed = stoppedSpeed;
        } else if (deficit > 0 && m_table.effect(it.image, info.image) >= significantEffect) {
            started.speed = std::max(minSpeed, started.speed - deficit / interference);
        }
    }
    const int percent = percentOf(started.speed);
    m_lastPercents[run] = percent;
    return percent;
}

// Throttles the tasks that interfere most with one serving task, until its slack is expected to suffice.
void ThrottleControl::throttleFor(const ServingRun &serving)
{
    double deficit = serving.targetMissedFor > sustainedViolation ? std::numeric_limits<double>::infinity()
                                                                  : slackDeficit(serving);
    const double minEffect = serving.targetMissedFor > prolongedViolation ? 0 : significantEffect;
    const double lowestSpeed = serving.targetMissedFor > sustainedViolation ? stoppedSpeed : minSpeed;
    std::vector<BestEffortRun *> byEffect;
    for (auto &it : m_bestEffort) {
        byEffect.push_back(&it);
    }
    std::sort(byEffect.begin(), byEffect.end(), [&](const auto *a, const auto *b) {
        return m_table.effect(serving.image, a->image) > m_table.effect(serving.image, b->image);
    });
    for (auto *it : byEffect) {
        const double effect = m_table.effect(serving.image, it->image);
        if (deficit <= 0 || effect < minEffect) {
            return;
        }
        const double interference = std::max(effect * it->fullShare, minInterference);
        const double newSpeed = std::min(it->speed, std::max(lowestSpeed, it->speed - deficit / interference));
        deficit -= interference * (it->speed - newSpeed);
        it->speed = newSpeed;
    }
}

void ThrottleControl::chooseSpeeds()
{
    for (auto &it : m_bestEffort) {
        it.speed = std::min(1.0, it.speed + speedUpStep);
    }
    std::sort(m_serving.begin(), m_serving.end(), [](const auto &a, const auto &b) {
        return a.baselineSlack < b.baselineSlack;
    });
    for (const auto &it : m_serving) {
        throttleFor(it);
    }
}

std::vector<RunThrottle> ThrottleControl::takeChangedThrottles()
{
    std::vector<RunThrottle> changed;
    for (const auto &it : m_bestEffort) {
        const int percent = percentOf(it.speed);
        auto &lastPercent = m_lastPercents[it.run];
        if (lastPercent != percent) {
            lastPercent = percent;
            changed.push_back({it.run, percent});
        }
    }
    return changed;
}

std::vector<RunThrottle> ThrottleControl::update(const std::vector<Wire::RunningTask> &running, TimePoint now)
{
    if (now - m_adjustedAt < adjustInterval) {
        return {};
    }
    m_adjustedAt = now;
    readListing(running, now);
    chooseSpeeds();
    return takeChangedThrottles();
}

void ThrottleControl::markNotApplied(const RunKey &run)
{
    const auto it = m_lastPercents.find(run);
    if (it != m_lastPercents.end()) {
        it->second = -1;
    }
}

void ThrottleControl::clear()
{
    m_runs.clear();
    m_lastPercents.clear();
    m_targetMissedSince.clear();
    m_worstTailRatio = 0;
}

} // namespace Trefoilhoist::Jobs
