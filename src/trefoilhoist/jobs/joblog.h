#pragma once

#include "trefoilhoist/jobs/crashhistory.h"
#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/jobs/placementwait.h"
#include "trefoilhoist/jobs/worker.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Trefoilhoist::Jobs {

// In all functions, `epoch` identifies the owner that logs the event.

/// Logs `event`, which concerns the worker as a whole.
void logWorkerEvent(std::string_view event, const Worker &worker, std::int64_t epoch);
/// Logs the end of a worker's incarnation that still had runs.
void logWorkerLost(const Worker &worker, LossCause cause, std::int64_t epoch);
/// Logs a run that was given up without an end.
void logRunLost(const Worker &worker, const RunKey &key, LossCause cause, TimePoint now, std::int64_t epoch);
/// Logs that a minion lists a run, or its end, which was given up for this cause. `state` says how it is listed.
void logGivenUpRunListed(
    const Worker &worker, const RunKey &key, LossCause cause, std::string_view state, std::int64_t epoch);
/// Logs the crash of a minion's incarnation, with the number of runs that may have caused it.
void logCrash(const Wire::CrashReport &crash, std::int64_t epoch);
/// Logs the part of a run in the cause of a crash, and what is known of its task by now.
void logCrashBlame(const Wire::CrashReport &crash,
                   const Wire::LostRun &lost,
                   double blame,
                   const CrashHistory &history,
                   std::int64_t epoch);
/// Logs a report about an incarnation that only a heartbeat speaks for, which is ignored.
void logUnlistedIncarnation(const Wire::WorkerReport &report, std::int64_t epoch);
/// Logs a report that arrived after a later one of the same agent, and is ignored.
void logOvertakenReport(const Wire::WorkerReport &report, std::int64_t lastReport, std::int64_t epoch);
void logRunEnded(const Worker &worker, const Wire::EndedTask &end, std::int64_t epoch, bool jobKnown);
/// Logs a run that belongs to no known job.
void logOrphanedRun(const Worker &worker, const Wire::RunningTask &row, std::int64_t epoch);
void logRefusedStart(const Worker &worker, const RunKey &key, OrderResult result, std::int64_t epoch);
/// Logs a long-running step that waits because no worker can run it; `rejections` counts the rejected workers by
/// reason.
void logStepWaiting(const std::string &job,
                    const Wire::StepSpec &step,
                    const std::map<std::string_view, int> &rejections,
                    Duration waited,
                    std::int64_t epoch);
/// Logs a task, or a gang, that waits for a place on `rack` though it could start elsewhere; `gain` is the run time
/// that this saves.
void logPlacementWaits(
    const std::string &job, const std::string &rack, const PlacementChoice &choice, Duration gain, std::int64_t epoch);
/// Logs an agent for whose first listing the owner no longer waits. `worker` is what the agent has reported; null if it
/// has reported nothing.
void logAgentGivenUp(const std::string &agent, const Worker *worker, TimePoint now, std::int64_t epoch);

} // namespace Trefoilhoist::Jobs
