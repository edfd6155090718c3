#pragma once

#include "trefoilhoist/internal/rankedmutex.h"
#include "trefoilhoist/world/world.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Trefoilhoist {

/// One request as the service-level report counts it.
struct BurnSample {
    ServiceId service;
    CallerId caller;
    /// The minion that answered or failed it; empty when none was reached.
    MinionId minion;
    /// A whole answer without a server error.
    bool answered = false;
    Duration latency{};
};

/// Requests of one window.
struct BurnCounts {
    std::uint64_t total = 0;
    /// Not answered.
    std::uint64_t failed = 0;
    /// Answered, but later than the latency target.
    std::uint64_t slow = 0;

    BurnCounts &operator+=(const BurnCounts &other);
};

/// The report's windows, in seconds.
inline constexpr std::array<int, 4> burnWindowSeconds{300, 3600, 21600, 86400};

/// Counts of requests per service and caller over several windows, against each service's contract.
/// Thread-safe; lock rank Metrics.
class BurnTable
{
public:
    BurnTable();

    void setContract(const Contract &contract);
    void record(const BurnSample &sample, TimePoint now);

    /// `{services: [{service, latencyTargetMs, latencyObjective, answerObjective, callers: [{caller, windows:
    /// [{seconds, total, failed, slow}]}], minions: [{minion, windows: [...]}]}]}`.
    [[nodiscard]] std::string json(TimePoint now) const;

private:
    // Counts in slices of one width; a window is a sum of slices.
    class Slices
    {
    public:
        void add(const BurnCounts &counts, TimePoint now);
        [[nodiscard]] BurnCounts sum(int windowSeconds, TimePoint now) const;

    private:
        struct Slice {
            std::int64_t index = 0;
            BurnCounts counts;
        };
        std::deque<Slice> m_fine;
        std::deque<Slice> m_coarse;
    };
    struct ServiceCounts {
        Contract contract;
        std::map<CallerId, Slices> callers;
        std::map<MinionId, Slices> minions;
    };

    ServiceCounts &serviceOf(const ServiceId &service);

    mutable Detail::RankedMutex m_mutex;
    std::map<ServiceId, ServiceCounts> m_services;
};

} // namespace Trefoilhoist
