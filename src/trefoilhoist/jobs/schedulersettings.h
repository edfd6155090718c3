#pragma once

#include "trefoilhoist/jobs/steporder.h"
#include "trefoilhoist/world/clock.h"

#include <cstdint>

namespace Trefoilhoist::Jobs {

struct SchedulerSettings {
    /// How long a worker may hold its runs, counted from the sending of a report. The tasks of a worker that no longer
    /// reports start elsewhere after this time.
    Duration workerLease = seconds(6);
    /// Margin for clock drift during one worker lease.
    Duration leaseSlack = milliseconds(150);
    /// An owner that could not renew its own lease for this long no longer grants worker leases.
    Duration grantGrace = seconds(2);
    /// Delay before the next order about a run if the last one got no answer.
    Duration orderRetryDelay = milliseconds(250);
    /// Minimum time between two recordings of checkpoints.
    Duration checkpointRecordingInterval = seconds(1);
    /// How long a final job is kept, in milliseconds.
    std::int64_t keepEndedMs = 150'000;
    /// An occurrence starts this long after its due time, in milliseconds, because clocks differ.
    std::int64_t dueSlackMs = 20;
    /// Estimated bytes that all jobs together may take. New submissions are refused beyond it.
    std::int64_t jobMemoryBytes = 104'000'000;
    /// Estimates the slack of serving tasks without interference from all tasks of their step, derives from it what
    /// best-effort tasks do, and measures how much CPU is idle.
    bool replicaBaselines = false;
    /// With LeastWorkFirst, run times are expected from those of earlier tasks instead of being taken as declared.
    StepOrder stepOrder = EarliestDeadlineFirst{};
    /// Refuses long-running jobs that don't fit beside the short tasks.
    bool servingAdmission = false;
    /// How many times as long a task runs on another rack than its data's, or a gang that requires one rack when it is
    /// spread over several. Above 1, tasks wait for a place on their rack where that is worthwhile.
    double remoteRunMultiplier = 1;
};

} // namespace Trefoilhoist::Jobs
