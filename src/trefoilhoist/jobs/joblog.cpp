#include "trefoilhoist/jobs/joblog.h"

#include "trefoilhoist/log/eventlog.h"

namespace Trefoilhoist::Jobs {

namespace {

// Adds the fields that identify a worker and the owner's view of it.
void addWorker(Event &event, const Worker &worker, std::int64_t epoch)
{
    event.add("worker", worker.info.id)
        .add("born", worker.info.born)
        .add("zone", worker.info.zone)
        .add("epoch", epoch)
        .add("term", worker.leaseTerm)
        .add("runs", worker.runs.size())
        .add("listing", worker.lastListing);
}

// Adds the fields that identify a run that was given up.
void addLostRun(Event &event, const Worker &worker, const RunKey &key, LossCause cause)
{
    event.add("job", key.task.job)
        .add("task", taskName(key.task))
        .add("run", key.run)
        .add("worker", worker.info.id)
        .add("born", worker.info.born)
        .add("cause", lossCauseName(cause));
}

} // namespace

void logWorkerEvent(std::string_view name, const Worker &worker, std::int64_t epoch)
{
    Event event(name);
    addWorker(event, worker, epoch);
}

void logWorkerLost(const Worker &worker, LossCause cause, std::int64_t epoch)
{
    Event event("worker_lost");
    addWorker(event, worker, epoch);
    event.add("cause", lossCauseName(cause)).add("draining", worker.draining);
}

void logRunLost(const Worker &worker, const RunKey &key, LossCause cause, TimePoint now, std::int64_t epoch)
{
    const auto &run = worker.runs.at(key);
    Event event("run_lost");
    addLostRun(event, worker, key, cause);
    event.add("listed", run.listedIn > 0)
        .add("ageMs", duration_cast<milliseconds>(now - run.orderedAt).count())
        .add("leaseLeftMs", duration_cast<milliseconds>(worker.leaseEnds - now).count())
        .add("epoch", epoch);
}

void logGivenUpRunListed(
    const Worker &worker, const RunKey &key, LossCause cause, std::string_view state, std::int64_t epoch)
{
    Event event("given_up_run_listed");
    addLostRun(event, worker, key, cause);
    event.add("state", state).add("term", worker.leaseTerm).add("lapsedTerm", worker.lapsedTerm).add("epoch", epoch);
}

void logCrash(const Wire::CrashReport &crash, std::int64_t epoch)
{
    Event("worker_crashed")
        .add("worker", crash.worker)
        .add("born", crash.born)
        .add("runs", crash.runs.size())
        .add("epoch", epoch);
}

void logCrashBlame(const Wire::CrashReport &crash,
                   const Wire::LostRun &lost,
                   double blame,
                   const CrashHistory &history,
                   std::int64_t epoch)
{
    Event("crash_blamed")
        .add("job", lost.task.job)
        .add("task", taskName(lost.task))
        .add("run", lost.run)
        .add("worker", crash.worker)
        .add("born", crash.born)
        .add("ageMs", lost.ageMs)
        .add("blame", blame)
        .add("crashes", history.count())
        .add("totalBlame", history.blame())
        .add("givenUp", history.isCause())
        .add("epoch", epoch);
}

void logUnlistedIncarnation(const Wire::WorkerReport &report, std::int64_t epoch)
{
    Event("unlisted_incarnation_ignored")
        .add("agent", agentName(report.worker))
        .add("worker", report.worker.id)
        .add("born", report.worker.born)
        .add("report", report.number)
        .add("gone", report.gone)
        .add("epoch", epoch);
}

void logOvertakenReport(const Wire::WorkerReport &report, std::int64_t lastReport, std::int64_t epoch)
{
    Event("report_overtaken")
        .add("agent", agentName(report.worker))
        .add("worker", report.worker.id)
        .add("report", report.number)
        .add("lastReport", lastReport)
        .add("gone", report.gone)
        .add("epoch", epoch);
}

void logRunEnded(const Worker &worker, const Wire::EndedTask &end, std::int64_t epoch, bool jobKnown)
{
    Event event("run_ended");
    event.add("job", end.task.job)
        .add("task", taskName(end.task))
        .add("run", end.run)
        .add("how", endName(static_cast<EndKind>(end.how)))
        .add("worker", worker.info.id)
        .add("number", end.number)
        .add("epoch", epoch)
        .add("jobKnown", jobKnown);
    const auto run = worker.runs.find({end.task, end.run});
    if (run != worker.runs.end()) {
        event.add("afterMs", duration_cast<milliseconds>(worker.lastContact - run->second.orderedAt).count());
    }
}

void logOrphanedRun(const Worker &worker, const Wire::RunningTask &row, std::int64_t epoch)
{
    Event("run_without_job")
        .add("job", row.task.job)
        .add("task", taskName(row.task))
        .add("run", row.run)
        .add("worker", worker.info.id)
        .add("epoch", epoch);
}

void logRefusedStart(const Worker &worker, const RunKey &key, OrderResult result, std::int64_t epoch)
{
    Event("start_refused")
        .add("job", key.task.job)
        .add("task", taskName(key.task))
        .add("run", key.run)
        .add("worker", worker.info.id)
        .add("result", orderResultName(result))
        .add("usedCpuMilli", worker.used.cpuMilli)
        .add("epoch", epoch);
}

void logStepWaiting(const std::string &job,
                    const Wire::StepSpec &step,
                    const std::map<std::string_view, int> &rejections,
                    Duration waited,
                    std::int64_t epoch)
{
    nlohmann::ordered_json counts;
    for (const auto &[reason, n] : rejections) {
        counts[std::string(reason)] = n;
    }
    Event("step_waits")
        .add("job", job)
        .add("cpuMilli", step.cpuMilli)
        .add("memoryMb", step.memoryMb)
        .add("waitedMs", duration_cast<milliseconds>(waited).count())
        .add("workers", counts)
        .add("epoch", epoch);
}

void logPlacementWaits(
    const std::string &job, const std::string &rack, const PlacementChoice &choice, Duration gain, std::int64_t epoch)
{
    Event event("placement_waits");
    event.add("job", job).add("rack", rack).add("waitedMs", duration_cast<milliseconds>(choice.waited).count());
    if (choice.expectedWait) {
        event.add("expectedWaitMs", duration_cast<milliseconds>(*choice.expectedWait).count());
    }
    event.add("gainMs", duration_cast<milliseconds>(gain).count()).add("epoch", epoch);
}

void logAgentGivenUp(const std::string &agent, const Worker *worker, TimePoint now, std::int64_t epoch)
{
    Event event("agent_given_up");
    event.add("agent", agent).add("reported", worker != nullptr);
    if (worker != nullptr) {
        event.add("worker", worker->info.id)
            .add("reachable", worker->reachable)
            .add("leaseLeftMs", duration_cast<milliseconds>(worker->leaseEnds - now).count());
    }
    event.add("epoch", epoch);
}

} // namespace Trefoilhoist::Jobs
