#pragma once

#include "trefoilhoist/placement/syncmessage.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Trefoilhoist {

/// What an owner tracks about one worker: its sync token, how long its lease can last, and unconfirmed orders.
struct WorkerLink {
    WorkerAnnouncement announced;
    /// True once the worker has answered this epoch.
    bool answeredThisEpoch = false;
    /// True if no lease of the worker can still be valid, so nothing runs there.
    bool leaseExpired = true;
    std::int64_t incarnation = 0;
    std::int64_t token = 0;
    TimePoint tokenReceivedAt{};
    /// Revision of the last answer that was applied; 0 requests the full state.
    std::int64_t appliedRevision = 0;
    /// Number of the sync call in flight, or 0.
    std::uint64_t call = 0;
    /// When the worker last accepted a sync.
    TimePoint lastAcceptedAt{};
    /// Until this time a lease of the worker may be valid.
    TimePoint latestLeaseExpiry{};
    TimePoint nextSyncAt{};
    TimePoint announcedAt{};
    bool lastCallFailed = false;
    /// True if there are orders that no call has carried yet.
    bool hasUnsentOrders = false;

    /// Tasks that run or may run on this worker.
    std::set<TaskId> placedTasks;
    std::set<TaskId> starting;
    std::set<TaskId> checkpointing;
    std::set<TaskId> stopping;
    std::map<TaskId, double> throttling;
    /// Ended runs whose outcome is stored, so that the worker may drop them.
    std::set<RunRef> recordedRuns;
    /// Runs on this worker whose tasks are done or placed elsewhere.
    std::set<RunRef> orphanedRuns;

    /// Orders that the call in flight carries.
    std::vector<RunRef> sentStarts;
    std::vector<RunRef> sentStops;
    std::vector<RunRef> sentRecordedRuns;
    std::vector<RunRef> sentOrphanedRuns;

    [[nodiscard]] bool hasOrders() const
    {
        return !starting.empty() || !checkpointing.empty() || !stopping.empty() || !throttling.empty()
            || !recordedRuns.empty() || !orphanedRuns.empty();
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
