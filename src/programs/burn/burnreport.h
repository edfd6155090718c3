#pragma once

#include "trefoilhoist/metrics/burntable.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist {

/// The service-level objective of a contract that a row covers: the share of requests that are answered, or the share
/// of answered requests that meet the latency target.
enum class BurnKind { Answers, Latency };

[[nodiscard]] std::string_view burnKindName(BurnKind kind);

/// How fast a row burns its error budget. Fast: more than 14.4 times the allowed rate over both 5 minutes and 1 hour.
/// Slow: more than 6 times the allowed rate over both 1 hour and 6 hours.
enum class BurnLevel { Ok, Slow, Fast };

[[nodiscard]] std::string_view burnLevelName(BurnLevel level);

/// One service-level objective for one caller of one service.
struct BurnRow {
    ServiceId service;
    CallerId caller;
    BurnKind kind = BurnKind::Answers;
    double objective = 0;
    /// Burn rate for each window of burnWindowSeconds: the share of bad requests divided by the allowed share.
    std::array<double, burnWindowSeconds.size()> rates{};
    std::array<BurnCounts, burnWindowSeconds.size()> counts{};
    BurnLevel level = BurnLevel::Ok;
    /// The remaining share of the error budget of 24 hours; negative when overspent.
    double budgetLeft = 1;
    /// Hours until the budget is spent at the rate of the last hour. Empty when that rate is within the allowed rate,
    /// or when the budget is already spent.
    std::optional<double> hoursLeft;
};

/// The part of one minion in the bad requests of a service in the last hour.
struct BurnSource {
    ServiceId service;
    MinionId minion;
    std::uint64_t bad = 0;
    std::uint64_t total = 0;
    /// Share of the service's bad requests, 0 to 1.
    double share = 0;
};

/// Computes burn rates from the sum of the snapshots of several entries.
class BurnReport
{
public:
    /// Adds the JSON that one entry serves at /-/burn. On error, says why it can't be read and adds nothing.
    tl::expected<void, std::string> addSnapshot(const std::string &snapshot);

    [[nodiscard]] std::vector<BurnRow> rows() const;
    [[nodiscard]] std::vector<BurnSource> sources() const;
    /// The highest level of all rows; Ok without rows.
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
