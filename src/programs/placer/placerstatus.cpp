#include "placerstatus.h"

#include <nlohmann/json.hpp>

namespace Trefoilhoist::Placer {

using Json = nlohmann::json;

namespace {

Json resourcesJson(const Resources &it)
{
    return {{"milliCpu", it.milliCpu}, {"memoryMb", it.memoryMb}, {"accelerators", it.accelerators}};
}

Json taskJson(const TaskEntry &entry)
{
    Json json{{"task", entry.task.id.str()},
              {"job", entry.task.job.str()},
              {"state", taskStateName(entry.state)},
              {"run", entry.run},
              {"failures", entry.failures}};
    if (!entry.worker.empty()) {
        json["worker"] = entry.worker.str();
        json["reserved"] = resourcesJson(entry.reserved);
        json["throttle"] = entry.throttle;
    }
    if (!entry.checkpoint.empty()) {
        json["checkpoint"] = entry.checkpoint;
    }
    if (!entry.unplaceableReason.empty()) {
        json["unplaceable"] = entry.unplaceableReason;
    }
    return json;
}

} // namespace

std::string workersJson(const CellOwner &owner, TimePoint now)
{
    Json json{{"owning", owner.owning()}, {"epoch", owner.epoch()}, {"unheard", owner.unreportedWorkers()}};
    json["workers"] = Json::array();
    for (const auto &[id, link] : owner.workers()) {
        const auto view = owner.views().find(id);
        const bool reachable = view != owner.views().end() && view->second.reachable;
        Json worker{{"worker", id.str()},
                    {"zone", link.announced.worker.zone.str()},
                    {"rack", link.announced.worker.rack.str()},
                    {"capacity", resourcesJson(link.announced.worker.capacity)},
                    {"leaving", link.announced.worker.leaving},
                    {"adopted", link.answeredThisEpoch},
                    {"reachable", reachable},
                    {"lapsed", link.leaseExpired},
                    {"tasks", link.placedTasks.size()},
                    {"announcedMsAgo", duration_cast<milliseconds>(now - link.announcedAt).count()}};
        if (view != owner.views().end()) {
            worker["labels"] = view->second.worker.labels;
        }
        const auto quarantine = owner.quarantined().find(id);
        if (quarantine != owner.quarantined().end()) {
            worker["quarantined"] = quarantine->second;
        }
        json["workers"].push_back(std::move(worker));
    }
    return json.dump();
}

std::string tasksJson(const CellOwner &owner, const JobId &job, std::size_t limit)
{
    Json json{{"owning", owner.owning()}, {"epoch", owner.epoch()}, {"open", owner.tasks().tasks().size()}};
    json["tasks"] = Json::array();
    for (const auto &[id, entry] : owner.tasks().tasks()) {
        if (json["tasks"].size() >= limit) {
            break;
        }
        if (job.empty() || entry.task.job == job) {
            json["tasks"].push_back(taskJson(entry));
        }
    }
    return json.dump();
}

std::optional<std::string> jobJson(const CellOwner &owner, const JobId &job)
{
    const auto *entry = owner.tasks().findJob(job);
    if (entry == nullptr) {
        return std::nullopt;
    }
    Json json{{"id", job.str()}, {"state", jobStateName(entry->state)}, {"open", entry->openTasks}};
    if (!entry->failure.empty()) {
        json["failure"] = entry->failure;
    }
    return json.dump();
}

void publishCounts(const CellOwner &owner, const std::string &cell, MetricsRegistry &metrics)
{
    const Labels labels{{"cell", cell}};
    const auto &counts = owner.counts();
    const auto set = [&](const char *name, double value) {
        metrics.gauge(name, labels).set(value);
    };
    set("trefoilhoist_cell_owned", owner.owning() ? 1 : 0);
    set("trefoilhoist_cell_epoch", static_cast<double>(owner.epoch()));
    set("trefoilhoist_cell_workers", static_cast<double>(owner.views().size()));
    set("trefoilhoist_cell_workers_unheard", static_cast<double>(owner.unreportedWorkers()));
    set("trefoilhoist_tasks_open", static_cast<double>(owner.tasks().tasks().size()));
    set("trefoilhoist_tasks_pending", static_cast<double>(owner.tasks().pendingCount()));
    set("trefoilhoist_task_starts_total", static_cast<double>(counts.starts));
    set("trefoilhoist_tasks_finished_total", static_cast<double>(counts.finished));
    set("trefoilhoist_runs_failed_total", static_cast<double>(counts.failed));
    set("trefoilhoist_evictions_total", static_cast<double>(counts.evictions));
    set("trefoilhoist_runs_lost_total", static_cast<double>(counts.lost));
    set("trefoilhoist_starts_refused_total", static_cast<double>(counts.refused));
    set("trefoilhoist_stray_runs_total", static_cast<double>(counts.orphanedRuns));
    set("trefoilhoist_worker_syncs_total", static_cast<double>(counts.syncs));
}

} // namespace Trefoilhoist::Placer
