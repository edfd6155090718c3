#include "trefoilhoist/jobs/pacecontrol.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Trefoilhoist::Jobs {

namespace {

constexpr int fullSpeed = 100;
constexpr double slowestSpeed = 0.05;
/// Speeds are ordered in steps, so that small changes need no order.
constexpr int speedStepPercent = 5;
/// The share of its target that a tail is kept under.
const double wantedLog = std::log(0.85);
/// A tail over its target for this long slows every fill, whoever is to blame.
constexpr Duration overTooLong = milliseconds(1500);
constexpr double ceilingDown = 0.5;
constexpr double ceilingUp = 1.3;
constexpr double speedUpStep = 0.3;
/// The figures show the last half second: an adjustment is judged by later ones.
constexpr Duration adjustEvery = milliseconds(450);
constexpr double smallestRatio = 0.02;

} // namespace

void PaceControl::describe(const Wire::RunInfo &info)
{
    m_infos[{info.task, info.run}].info = info;
}

void PaceControl::readServing(const Wire::RunningTask &row, const Wire::RunInfo &info, const FillShares &shares, TimePoint now)
{
    const RunKey key{row.task, row.run};
    const double ratio = static_cast<double>(row.usage) / static_cast<double>(info.tailTargetMs);
    m_pressure = std::max(m_pressure, ratio);
    if (ratio > 1) {
        m_overSince.emplace(key, now);
    } else {
        m_overSince.erase(key);
    }
    m_serving.push_back({info.image, std::log(std::max(ratio, smallestRatio)) - m_table.rise(info.image, shares)});
}

void PaceControl::readFigures(const std::vector<Wire::RunningTask> &running, TimePoint now)
{
    m_filling.clear();
    m_serving.clear();
    m_pressure = 0;
    FillShares shares;
    std::set<RunKey> present;
    const auto capacity = static_cast<double>(m_cpuMilli);
    for (const auto &row : running) {
        const RunKey key{row.task, row.run};
        present.insert(key);
        const auto known = m_infos.find(key);
        if (known == m_infos.end()) {
            continue;
        }
        known->second.listed = true;
        const auto &info = known->second.info;
        if (!info.usesIdleCpu) {
            continue;
        }
        const double used = static_cast<double>(row.usage) / capacity;
        shares[info.image] += used;
        const double asked = static_cast<double>(info.cpuMilli) / capacity;
        const auto ordered = m_ordered.emplace(key, fullSpeed).first->second;
        const double speed = std::max(slowestSpeed, (ordered < 0 ? fullSpeed : ordered) / static_cast<double>(fullSpeed));
        m_filling.push_back({key, info.image, std::min(asked, std::max(used / speed, asked / 2)), speed});
    }
    std::erase_if(m_ordered, [&](const auto &it) { return present.count(it.first) == 0; });
    std::erase_if(m_overSince, [&](const auto &it) { return present.count(it.first) == 0; });
    std::erase_if(m_infos, [&](const auto &it) { return it.second.listed && present.count(it.first) == 0; });
    for (const auto &row : running) {
        const auto info = m_infos.find({row.task, row.run});
        if (info != m_infos.end() && info->second.info.tailTargetMs > 0) {
            readServing(row, info->second.info, shares, now);
        }
    }
}

// Slows the fills that press one serving task most, until its tail is expected to be where it is wanted.
void PaceControl::slowFor(const Serving &serving)
{
    const auto pressOf = [&](const Filling &it) { return m_table.effect(serving.image, it.image) * it.fullShare; };
    double excess = serving.baseline - wantedLog;
    for (const auto &it : m_filling) {
        excess += pressOf(it) * it.speed;
    }
    std::vector<Filling *> byEffect;
    for (auto &it : m_filling) {
        byEffect.push_back(&it);
    }
    std::sort(byEffect.begin(), byEffect.end(), [&](const auto *a, const auto *b) {
        return m_table.effect(serving.image, a->image) > m_table.effect(serving.image, b->image);
    });
    for (auto *it : byEffect) {
        const double press = pressOf(*it);
        if (excess <= 0 || press <= 0) {
            return;
        }
        const double slower = std::max(slowestSpeed, it->speed - excess / press);
        excess -= press * std::max(0.0, it->speed - slower);
        it->speed = std::min(it->speed, slower);
    }
}

void PaceControl::chooseSpeeds()
{
    for (auto &it : m_filling) {
        it.speed = std::min(m_ceiling, it.speed + speedUpStep);
    }
    std::sort(m_serving.begin(), m_serving.end(), [](const auto &a, const auto &b) { return a.baseline > b.baseline; });
    for (const auto &it : m_serving) {
        slowFor(it);
    }
}

std::vector<PaceOrder> PaceControl::orders()
{
    std::vector<PaceOrder> orders;
    for (const auto &it : m_filling) {
        const int steps = static_cast<int>(std::lround(it.speed * fullSpeed / speedStepPercent));
        const int percent = std::clamp(steps * speedStepPercent, speedStepPercent, fullSpeed);
        auto &ordered = m_ordered[it.run];
        if (ordered != percent) {
            ordered = percent;
            orders.push_back({it.run, percent});
        }
    }
    return orders;
}

std::vector<PaceOrder> PaceControl::update(const std::vector<Wire::RunningTask> &running, TimePoint now)
{
    if (now - m_adjustedAt < adjustEvery) {
        return {};
    }
    m_adjustedAt = now;
    readFigures(running, now);
    const bool over = std::any_of(
        m_overSince.begin(), m_overSince.end(), [&](const auto &it) { return now - it.second > overTooLong; });
    m_ceiling = over ? std::max(slowestSpeed, m_ceiling * ceilingDown) : std::min(1.0, m_ceiling * ceilingUp);
    chooseSpeeds();
    return orders();
}

void PaceControl::failed(const RunKey &run)
{
    const auto it = m_ordered.find(run);
    if (it != m_ordered.end()) {
        it->second = -1;
    }
}

void PaceControl::clear()
{
    m_infos.clear();
    m_ordered.clear();
    m_overSince.clear();
    m_pressure = 0;
    m_ceiling = 1;
}

} // namespace Trefoilhoist::Jobs
