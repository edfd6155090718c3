#pragma once

#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/jobs/minioninterface.h"
#include "trefoilhoist/world/clock.h"

#include <map>
#include <optional>
#include <vector>

namespace Trefoilhoist::Jobs {

/// The runs that one incarnation of a minion may be executing, and when they started, as its agent knows them. Tells
/// which runs were there when the minion crashed. Not thread-safe.
class StartedRuns
{
public:
    /// The result of an order for a run that the minion is known to have, or that has ended or was to be stopped there
    /// lately. Such an order was delayed; if the minion has restarted meanwhile, it would execute it.
    [[nodiscard]] std::optional<OrderResult> knownResult(const RunKey &run) const;
    /// A start order was sent.
    void addStart(const RunKey &run, TimePoint now);
    /// The minion's answer to a start order; a refused run doesn't exist, unless it was listed before.
    void applyStartResult(const RunKey &run, OrderResult result);
    /// A stop order was received.
    void addStop(const RunKey &run, TimePoint now);
    void applyListing(const MinionListing &listing, TimePoint now);
    /// The runs that may have been executing at the time of a crash.
    [[nodiscard]] std::vector<Wire::LostRun> runsAt(TimePoint crash) const;
    /// Another incarnation of the minion has started. If it has the id of the earlier one, it may execute start orders
    /// that got no answer, and may have executed those whose runs were never listed.
    void resetForNewIncarnation(bool sameId);

private:
    struct Entry {
        TimePoint orderedAt;
        /// The minion has said that the run exists, so that it started when it was ordered.
        bool confirmed = false;
        bool listed = false;
        /// The order was answered before the present incarnation was known: the first listing shows whether that one
        /// has the run.
        bool answeredBefore = false;
    };
    std::map<RunKey, Entry> m_runs;
    /// When a listing showed the ends of runs, or a stop order was received for them.
    std::map<RunKey, TimePoint> m_endedRuns;
};

} // namespace Trefoilhoist::Jobs
