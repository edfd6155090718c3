#pragma once

#include "trefoilhoist/metrics/burntable.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist {

/// Which promise of a contract a row is about.
enum class BurnKind { Answers, Latency };

[[nodiscard]] std::string_view burnKindName(BurnKind kind);

/// How fast a row burns its budget. Fast: more than 14.4 times the allowed rate over 5 minutes and an hour;
/// slow: more than 6 times over an hour and 6 hours.
enum class BurnLevel { Ok, Slow, Fast };

[[nodiscard]] std::string_view burnLevelName(BurnLevel level);

/// One promise to one caller of one service.
struct BurnRow {
    ServiceId service;
    CallerId caller;
    BurnKind kind = BurnKind::Answers;
    double objective = 0;
    /// Burn rate per window of burnWindowSeconds: the share of bad requests over the allowed share.
    std::array<double, burnWindowSeconds.size()> rates{};
    std::array<BurnCounts, burnWindowSeconds.size()> counts{};
    BurnLevel level = BurnLevel::Ok;
    /// Share of the day's budget that is left; below 0 when overspent.
    double budgetLeft = 1;
    /// Hours until the budget is spent at the last hour's rate; nothing when it does not shrink.
    std::optional<double> hoursLeft;
};

/// One minion's part in a service's bad requests of the last hour.
struct BurnSource {
    ServiceId service;
    MinionId minion;
    std::uint64_t bad = 0;
    std::uint64_t total = 0;
    /// Share of the service's bad requests, 0 to 1.
    double share = 0;
};

/// The service-level burn report over the snapshots of several entries.
class BurnReport
{
public:
    /// Adds the JSON of one entry's /-/burn. Returns why it can't be read; then nothing is added.
    tl::expected<void, std::string> addSnapshot(const std::string &snapshot);

    [[nodiscard]] std::vector<BurnRow> rows() const;
    [[nodiscard]] std::vector<BurnSource> sources() const;
    /// The worst level of all rows.
    [[nodiscard]] BurnLevel worstLevel() const;

private:
    using WindowCounts = std::array<BurnCounts, burnWindowSeconds.size()>;
    struct ServiceRecord {
        Contract contract;
        std::map<CallerId, WindowCounts> callers;
        std::map<MinionId, WindowCounts> minions;
    };
    using Services = std::map<ServiceId, ServiceRecord>;

    static void addService(Services &services, const nlohmann::json &json);
    static WindowCounts readWindows(const nlohmann::json &json);

    Services m_services;
};

} // namespace Trefoilhoist
