#include "burnreport.h"

#include <algorithm>

namespace Trefoilhoist {

namespace {

constexpr double fastBurn = 14.4;
constexpr double slowBurn = 6.0;
constexpr std::size_t fiveMinutes = 0;
constexpr std::size_t oneHour = 1;
constexpr std::size_t sixHours = 2;
constexpr std::size_t oneDay = 3;
constexpr double hoursPerDay = 24;

std::uint64_t badCount(const BurnCounts &counts, BurnKind kind)
{
    return kind == BurnKind::Answers ? counts.failed : counts.slow;
}

std::uint64_t eligibleCount(const BurnCounts &counts, BurnKind kind)
{
    return kind == BurnKind::Answers ? counts.total : counts.total - counts.failed;
}

double burnRate(const BurnCounts &counts, BurnKind kind, double objective)
{
    const auto counted = eligibleCount(counts, kind);
    const double allowed = 1 - objective;
    if (counted == 0 || allowed <= 0) {
        return badCount(counts, kind) > 0 ? fastBurn * 2 : 0;
    }
    return static_cast<double>(badCount(counts, kind)) / static_cast<double>(counted) / allowed;
}

BurnLevel evaluateLevel(const BurnRow &row)
{
    if (row.rates[fiveMinutes] > fastBurn && row.rates[oneHour] > fastBurn) {
        return BurnLevel::Fast;
    }
    if (row.rates[oneHour] > slowBurn && row.rates[sixHours] > slowBurn) {
        return BurnLevel::Slow;
    }
    return BurnLevel::Ok;
}

void evaluate(BurnRow &row)
{
    for (std::size_t i = 0; i < burnWindowSeconds.size(); ++i) {
        row.rates[i] = burnRate(row.counts[i], row.kind, row.objective);
    }
    row.level = evaluateLevel(row);
    row.budgetLeft = 1 - row.rates[oneDay];
    if (row.rates[oneHour] > 1 && row.budgetLeft > 0) {
        row.hoursLeft = row.budgetLeft * hoursPerDay / row.rates[oneHour];
    }
}

} // namespace

std::string_view burnKindName(BurnKind kind)
{
    return kind == BurnKind::Answers ? "answers" : "latency";
}

std::string_view burnLevelName(BurnLevel level)
{
    switch (level) {
    case BurnLevel::Fast:
        return "fast";
    case BurnLevel::Slow:
        return "slow";
    case BurnLevel::Ok:
        break;
    }
    return "ok";
}

tl::expected<void, std::string> BurnReport::addSnapshot(const std::string &snapshot)
{
    Services updated = m_services;
    try {
        const auto json = nlohmann::json::parse(snapshot);
        for (const auto &service : json.at("services")) {
            addService(updated, service);
        }
    } catch (const nlohmann::json::exception &e) {
        return tl::unexpected(std::string("not a burn snapshot: ") + e.what());
    }
    m_services = std::move(updated);
    return {};
}

void BurnReport::addService(Services &services, const nlohmann::json &json)
{
    const ServiceId id(json.at("service").get<std::string>());
    auto &record = services[id];
    record.contract.service = id;
    record.contract.latencyTarget = milliseconds(json.at("latencyTargetMs").get<std::int64_t>());
    record.contract.latencyObjective = json.at("latencyObjective");
    record.contract.answerObjective = json.at("answerObjective");
    const auto addCounts = [](WindowCounts &sum, const WindowCounts &added) {
        for (std::size_t i = 0; i < sum.size(); ++i) {
            sum[i] += added[i];
        }
    };
    for (const auto &caller : json.at("callers")) {
        addCounts(record.callers[CallerId(caller.at("caller").get<std::string>())], readWindows(caller));
    }
    for (const auto &minion : json.at("minions")) {
        addCounts(record.minions[MinionId(minion.at("minion").get<std::string>())], readWindows(minion));
    }
}

BurnReport::WindowCounts BurnReport::readWindows(const nlohmann::json &json)
{
    WindowCounts counts{};
    for (const auto &window : json.at("windows")) {
        const auto *it = std::find(burnWindowSeconds.begin(), burnWindowSeconds.end(), window.at("seconds").get<int>());
        if (it == burnWindowSeconds.end()) {
            continue;
        }
        counts[static_cast<std::size_t>(it - burnWindowSeconds.begin())]
            = BurnCounts{window.at("total"), window.at("failed"), window.at("slow")};
    }
    return counts;
}

std::vector<BurnRow> BurnReport::rows() const
{
    std::vector<BurnRow> rows;
    for (const auto &[service, record] : m_services) {
        for (const auto &[caller, counts] : record.callers) {
            for (const auto kind : {BurnKind::Answers, BurnKind::Latency}) {
                BurnRow row;
                row.service = service;
                row.caller = caller;
                row.kind = kind;
                row.objective
                    = kind == BurnKind::Answers ? record.contract.answerObjective : record.contract.latencyObjective;
                row.counts = counts;
                evaluate(row);
                rows.push_back(row);
            }
        }
    }
    return rows;
}

std::vector<BurnSource> BurnReport::sources() const
{
    std::vector<BurnSource> sources;
    for (const auto &[service, record] : m_services) {
        std::uint64_t totalBad = 0;
        for (const auto &[caller, counts] : record.callers) {
            totalBad += counts[oneHour].failed + counts[oneHour].slow;
        }
        for (const auto &[minion, counts] : record.minions) {
            const auto bad = counts[oneHour].failed + counts[oneHour].slow;
            if (bad > 0 && totalBad > 0) {
                sources.push_back({service,
                                   minion,
                                   bad,
                                   counts[oneHour].total,
                                   static_cast<double>(bad) / static_cast<double>(totalBad)});
            }
        }
    }
    std::stable_sort(
        sources.begin(), sources.end(), [](const BurnSource &a, const BurnSource &b) { return a.bad > b.bad; });
    return sources;
}

BurnLevel BurnReport::worstLevel() const
{
    auto level = BurnLevel::Ok;
    for (const auto &row : rows()) {
        level = std::max(level, row.level);
    }
    return level;
}

} // namespace Trefoilhoist
