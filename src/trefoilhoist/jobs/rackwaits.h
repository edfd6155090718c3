#pragma once

#include "trefoilhoist/jobs/placementwait.h"
#include "trefoilhoist/jobs/rackvacancies.h"
#include "trefoilhoist/jobs/worker.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Trefoilhoist::Jobs {

/// Places on a rack that a task, or all members of a gang, would wait for.
struct AwaitedPlaces {
    std::string rack;
    /// The places are on idle CPU, for best-effort tasks.
    bool idleCpu = false;
    std::size_t count = 1;
    /// Expected time until they are free; nothing if no rate is known.
    std::optional<Duration> expectedWait;
};

/// The tasks that wait for places on racks in the current plan, and how often such places become free. Callers pass the
/// current time. Not thread-safe.
class RackWaits
{
public:
    /// `remoteMultiplier`: see PlacementWait.
    explicit RackWaits(double remoteMultiplier);

    [[nodiscard]] bool isEnabled() const
    {
        return m_decision.isEnabled();
    }
    /// To be called at the start of a plan: nothing waits yet.
    void beginPlan();
    /// To be called after a run was added to the worker.
    void observeStart(const Worker &worker, const Run &run);
    /// To be called before an ended run is removed from the worker.
    void observeEnd(const Worker &worker, const RunKey &key, TimePoint now);
    /// Expected time until `count` further places are free on the rack, behind those that tasks wait for in this plan.
    [[nodiscard]] std::optional<Duration>
    expectedWait(const std::string &rack, bool idleCpu, std::size_t count, TimePoint now) const;
    /// Decides whether a task of `job` waits for `places`; if it does, they count as awaited in this plan.
    [[nodiscard]] bool await(
        const std::string &job, const AwaitedPlaces &places, PlacementChoice choice, std::int64_t epoch, TimePoint now);

private:
    using RackKey = std::pair<bool, std::string>;
    [[nodiscard]] std::size_t awaited(const RackKey &rack) const;
    RackVacancies &vacancies(bool idleCpu)
    {
        return idleCpu ? m_idleCpuVacancies : m_vacancies;
    }

    PlacementWait m_decision;
    /// Ends of runs that reserve CPU, and of those that use idle CPU: one kind doesn't make room for the other.
    RackVacancies m_vacancies;
    RackVacancies m_idleCpuVacancies;
    /// Number of places that tasks wait for in the current plan, by use of idle CPU and rack.
    std::map<RackKey, std::size_t> m_awaited;
    TimePoint m_loggedAt;
};

} // namespace Trefoilhoist::Jobs
