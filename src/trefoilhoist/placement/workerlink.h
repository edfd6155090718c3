#pragma once

#include "trefoilhoist/placement/syncmessage.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Trefoilhoist {

/// One worker as its owner speaks with it: token, the longest its lease can last, orders not yet confirmed.
struct WorkerLink {
    WorkerAnnouncement announced;
    /// True once the worker has answered this epoch.
    bool adopted = false;
    /// True when no lease of the worker can be alive: nothing runs there.
    bool leaseExpired = true;
    std::int64_t incarnation = 0;
    std::int64_t token = 0;
    TimePoint tokenReceivedAt{};
    /// Revision of the last answer taken in.
    std::int64_t appliedRevision = 0;
    /// The call in flight, or 0.
    std::uint64_t call = 0;
    TimePoint lastAcceptedAt{};
    /// Until then the worker's lease may be alive.
    TimePoint latestLeaseExpiry{};
    TimePoint nextSyncAt{};
    TimePoint announcedAt{};
    bool lastCallFailed = false;
    /// True when there are orders that no call has carried yet.
    bool hasUnsentOrders = false;

    /// Tasks that run or may run here.
    std::set<TaskId> placedTasks;
    std::set<TaskId> starting;
    std::set<TaskId> checkpointing;
    std::set<TaskId> stopping;
    std::map<TaskId, double> throttling;
    /// Ended runs that the worker may forget.
    std::set<RunRef> durable;
    /// Runs of tasks that are over or run elsewhere.
    std::set<RunRef> orphanedRuns;

    /// What the call in flight carries.
    std::vector<RunRef> sentStarts;
    std::vector<RunRef> sentStops;
    std::vector<RunRef> sentDurable;
    std::vector<RunRef> sentOrphanedRuns;

    [[nodiscard]] bool hasOrders() const
    {
        return !starting.empty() || !checkpointing.empty() || !stopping.empty() || !throttling.empty()
            || !durable.empty() || !orphanedRuns.empty();
    }
    void dropOrders(const TaskId &task)
    {
        starting.erase(task);
        checkpointing.erase(task);
        stopping.erase(task);
        throttling.erase(task);
    }
};

} // namespace Trefoilhoist
