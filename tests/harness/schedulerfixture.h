#pragma once

#include "trefoilhoist/jobs/jobscheduler.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

inline constexpr std::int64_t epoch = 2;
inline constexpr std::int64_t wallMs = 1'000'000;
inline constexpr std::int32_t workerCpuMilli = 4000;
inline constexpr std::int32_t workerMemoryMb = 8000;

inline Wire::StepSpec stepOf(int count, int cpuMilli)
{
    Wire::StepSpec step;
    step.count = count;
    step.cpuMilli = cpuMilli;
    step.memoryMb = 100;
    step.estimatedMs = 500;
    return step;
}

inline Wire::JobSpec jobOf(const std::string &id, std::vector<Wire::StepSpec> steps)
{
    Wire::JobSpec spec;
    spec.id = id;
    spec.queue.name = "quotes";
    spec.queue.serviceName = "desk";
    spec.queue.maxAttempts = 2;
    spec.queue.stretch = 2;
    spec.queue.targetLatencyMs = 250;
    spec.steps = std::move(steps);
    return spec;
}

inline Wire::TaskRef taskOf(const std::string &job, int index = 0, int step = 0)
{
    Wire::TaskRef ref;
    ref.job = job;
    ref.step = step;
    ref.index = index;
    return ref;
}

using PlannedOrders = std::map<std::string, Wire::WorkerOrders>;

/// Simulates the agents: answers orders and reports listings.
class SchedulerFixture : public testing::Test
{
protected:
    Wire::WorkerReport reportOf(const std::string &worker)
    {
        Wire::WorkerReport report;
        report.worker.id = worker;
        report.worker.born = 1;
        report.worker.serviceName = "desk";
        report.worker.cpuMilli = workerCpuMilli;
        report.worker.memoryMb = workerMemoryMb;
        report.worker.agentHost = worker;
        report.worker.agentPort = 1;
        report.epoch = m_scheduler.epoch();
        report.listed = true;
        report.reachable = true;
        report.listing = ++m_listingNumber;
        return report;
    }

    Wire::WorkerReportReply sendReport(const Wire::WorkerReport &report)
    {
        auto reply = m_scheduler.handleReport(report, true, m_now);
        if (const auto roster = m_scheduler.takeChangedRoster()) {
            m_scheduler.markRosterRecorded(*roster);
        }
        return reply;
    }

    void joinWorker(const std::string &worker)
    {
        sendReport(reportOf(worker));
    }

    /// Records the progress of all changed jobs, as the owner's session does.
    void recordChanges()
    {
        for (const auto &id : m_scheduler.takeChangedJobs()) {
            if (const auto *job = m_scheduler.jobToRecord(id); job != nullptr) {
                m_records[id] = job->progress();
                m_scheduler.markProgressRecorded(id, job->version());
            }
        }
    }

    void accept(const Wire::JobSpec &spec)
    {
        m_scheduler.submit(spec, m_now);
        m_scheduler.accept(spec.id);
    }

    PlannedOrders plan()
    {
        return m_scheduler.plan(m_now, wallMs, m_ownershipVerified);
    }

    void answer(const Wire::WorkerOrders &orders, OrderResult starts, OrderResult stops = OrderResult::Done)
    {
        Wire::WorkerOrdersReply reply;
        reply.starts.assign(orders.starts.size(), static_cast<int>(starts));
        reply.stops.assign(orders.stops.size(), static_cast<int>(stops));
        reply.listing = m_listingNumber;
        m_scheduler.handleOrderResults(orders, reply, m_now);
    }

    static Wire::RunningTask running(const Wire::StartOrder &order)
    {
        Wire::RunningTask row;
        row.task = order.task;
        row.run = order.run;
        return row;
    }

    static Wire::EndedTask ended(std::int64_t number, const Wire::StartOrder &order, EndKind how)
    {
        Wire::EndedTask row;
        row.number = number;
        row.task = order.task;
        row.run = order.run;
        row.how = static_cast<int>(how);
        return row;
    }

    static std::size_t starts(const PlannedOrders &orders)
    {
        std::size_t n = 0;
        for (const auto &[worker, it] : orders) {
            n += it.starts.size();
        }
        return n;
    }

    SchedulerSettings m_settings;
    JobScheduler m_scheduler{m_settings, epoch};
    TimePoint m_now{seconds(1000)};
    std::int64_t m_listingNumber = 0;
    bool m_ownershipVerified = true;
    /// The recorded progress of all jobs, by id.
    std::map<std::string, Wire::JobProgress> m_records;
};

} // namespace Trefoilhoist::Jobs
