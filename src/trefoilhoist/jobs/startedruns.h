#pragma once

#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/jobs/minioninterface.h"
#include "trefoilhoist/world/clock.h"

#include <map>
#include <vector>

namespace Trefoilhoist::Jobs {

/// The runs that one incarnation of a minion may be executing, and when they started, as its agent knows them. Tells
/// which runs were there when the minion crashed. Not thread-safe.
class StartedRuns
{
public:
    /// A start order was sent.
    void addStart(const RunKey &run, TimePoint now);
    /// The minion's answer to a start order; a refused run doesn't exist, unless it was listed before.
    void applyStartResult(const RunKey &run, OrderResult result);
    void applyListing(const MinionListing &listing, TimePoint now);
    /// The runs that may have been executing at the time of a crash.
    [[nodiscard]] std::vector<Wire::LostRun> runsAt(TimePoint crash) const;
    /// Another incarnation of the minion has started. If it has the id of the earlier one, start orders without an
    /// answer may still reach it.
    void resetForNewIncarnation(bool sameId);

private:
    struct Entry {
        TimePoint orderedAt;
        /// The minion has said that the run exists, so that it started when it was ordered.
        bool confirmed = false;
    };
    std::map<RunKey, Entry> m_runs;
};

} // namespace Trefoilhoist::Jobs
