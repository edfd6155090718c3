#include "harness/batchsite.h"

#include <gtest/gtest.h>

#include <csignal>
#include <set>

namespace Trefoilhoist::Testing {

namespace {

constexpr int taskMilliCpu = 1000;
constexpr int tasks = 12;
// Longer than a worker lease.
constexpr int runTimeMs = 6000;

/// The first worker that runs something now.
int busyWorker(const BatchSite &site)
{
    for (const auto &it : site.runs()) {
        if (it.endUs == 0) {
            return std::stoi(it.worker.substr(1));
        }
    }
    return -1;
}

int runningNow(const BatchSite &site)
{
    int running = 0;
    for (const auto &it : site.runs()) {
        running += it.endUs == 0 ? 1 : 0;
    }
    return running;
}

/// When each task that ran on `worker` at `sinceUs` began again elsewhere; the latest, in milliseconds after it.
double restartMs(const BatchSite &site, const std::set<std::string> &lost, std::int64_t sinceUs)
{
    double latest = 0;
    for (const auto &task : lost) {
        for (const auto &it : site.runs()) {
            if (it.task == task && it.beginUs > sinceUs) {
                latest = std::max(latest, static_cast<double>(it.beginUs - sinceUs) / 1000);
            }
        }
    }
    return latest;
}

std::set<std::string> openOn(const BatchSite &site, int worker)
{
    std::set<std::string> open;
    for (const auto &it : site.runs()) {
        if (it.endUs == 0 && it.worker == "w" + std::to_string(worker)) {
            open.insert(it.task);
        }
    }
    return open;
}

} // namespace

class Batch : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_site.waitForWorkers(4));
        m_site.submit("rebuild", tasks, runTimeMs, taskMilliCpu);
        ASSERT_TRUE(eventually([&] { return runningNow(m_site) == tasks; }));
    }

    void expectAllFinished()
    {
        EXPECT_TRUE(m_site.waitFinished("rebuild"));
        m_site.checkRuns(taskMilliCpu);
        std::set<std::string> finished;
        for (const auto &it : m_site.runs()) {
            if (it.state == "finished" && it.task.rfind("rebuild/", 0) == 0) {
                finished.insert(it.task);
            }
        }
        EXPECT_EQ(finished.size(), static_cast<std::size_t>(tasks));
    }

    BatchSite m_site{2, 4};
};

TEST_F(Batch, ownerKilled_tasksGoOnUnderTheNext)
{
    const int owner = m_site.owner();
    ASSERT_GE(owner, 0);
    const auto killedAt = monotonicUs();
    m_site.placer(owner).signal(SIGKILL);
    m_site.placer(owner).wait();
    ASSERT_TRUE(eventually([&] { return m_site.get(1 - owner, "/-/workers").value("owning", false); }));
    std::cout << "owner_takeover_ms=" << (monotonicUs() - killedAt) / 1000 << '\n';
    m_site.submit("second", 2, 100, taskMilliCpu);
    ASSERT_TRUE(m_site.waitFinished("second"));
    std::cout << "owner_death_to_new_work_finished_ms=" << (monotonicUs() - killedAt) / 1000 << '\n';
    // Nothing was lost: every run went on.
    EXPECT_TRUE(m_site.waitFinished("rebuild"));
    m_site.checkRuns(taskMilliCpu);
    EXPECT_EQ(m_site.runs().size(), static_cast<std::size_t>(tasks + 2));
}

TEST_F(Batch, ownerFrozenAndWoken_startsNothing)
{
    const int owner = m_site.owner();
    ASSERT_GE(owner, 0);
    m_site.placer(owner).signal(SIGSTOP);
    ASSERT_TRUE(eventually([&] { return m_site.get(1 - owner, "/-/workers").value("owning", false); }));
    m_site.submit("second", 4, 500, taskMilliCpu);
    m_site.placer(owner).signal(SIGCONT);
    EXPECT_TRUE(eventually([&] { return !m_site.get(owner, "/-/workers").value("owning", true); }));
    ASSERT_TRUE(m_site.waitFinished("second"));
    expectAllFinished();
}

TEST_F(Batch, workerKilled_tasksRestartAfterItsLease)
{
    const int worker = busyWorker(m_site);
    ASSERT_GE(worker, 0);
    const auto lost = openOn(m_site, worker);
    const auto killedAt = monotonicUs();
    m_site.worker(worker).signal(SIGKILL);
    m_site.worker(worker).wait();
    m_site.killed(worker);
    expectAllFinished();
    std::cout << "worker_death_to_restart_ms=" << restartMs(m_site, lost, killedAt) << " tasks=" << lost.size() << '\n';
}

TEST_F(Batch, workerFrozenPastItsLease_stopsWhatItRan)
{
    const int worker = busyWorker(m_site);
    ASSERT_GE(worker, 0);
    const auto lost = openOn(m_site, worker);
    const auto frozenAt = monotonicUs();
    m_site.worker(worker).signal(SIGSTOP);
    ASSERT_TRUE(eventually([&] { return restartMs(m_site, lost, frozenAt) > 0; }));
    m_site.worker(worker).signal(SIGCONT);
    EXPECT_TRUE(m_site.waitFinished("rebuild"));
    std::set<std::string> finished;
    for (const auto &it : m_site.runs()) {
        if (it.state == "finished") {
            EXPECT_TRUE(finished.insert(it.task).second) << "P3 " << it.task << " finished twice";
        }
        const bool frozen = it.worker == "w" + std::to_string(worker) && it.beginUs < frozenAt && it.endUs > frozenAt;
        EXPECT_FALSE(frozen && it.state == "finished") << it.task << " finished past its worker's lease";
    }
    EXPECT_EQ(finished.size(), static_cast<std::size_t>(tasks));
}

TEST_F(Batch, workerCutOff_stopsAtItsLeaseBeforeTheRestart)
{
    const int worker = busyWorker(m_site);
    ASSERT_GE(worker, 0);
    m_site.setFaults("worker-" + std::to_string(worker), {{"silent", true}});
    ASSERT_TRUE(eventually([&] { return openOn(m_site, worker).empty(); }));
    ASSERT_TRUE(eventually([&] { return runningNow(m_site) > 0; }));
    m_site.setFaults("worker-" + std::to_string(worker), nlohmann::json::object());
    expectAllFinished();
}

TEST_F(Batch, storeKilledForSeconds_runningTasksGoOn)
{
    m_site.store().signal(SIGKILL);
    m_site.store().wait();
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    // Past the store lease and within the grace: no worker lost its lease, nothing was stopped.
    for (const auto &it : m_site.runs()) {
        EXPECT_TRUE(it.endUs == 0 || it.state == "finished") << it.task << " " << it.state;
    }
}

TEST_F(Batch, ownerStopped_leavesRunningTasksToTheNext)
{
    const int owner = m_site.owner();
    ASSERT_GE(owner, 0);
    m_site.placer(owner).signal(SIGTERM);
    EXPECT_EQ(m_site.placer(owner).wait(), 0);
    ASSERT_TRUE(eventually([&] { return m_site.get(1 - owner, "/-/workers").value("owning", false); }));
    expectAllFinished();
    EXPECT_EQ(m_site.runs().size(), static_cast<std::size_t>(tasks));
}

TEST_F(Batch, jobCancelled_stopsEverywhereAndStaysStopped)
{
    m_site.cancel("rebuild");
    ASSERT_TRUE(eventually([&] { return runningNow(m_site) == 0; }));
    const int owner = m_site.owner();
    ASSERT_GE(owner, 0);
    m_site.placer(owner).signal(SIGKILL);
    m_site.placer(owner).wait();
    ASSERT_TRUE(eventually([&] { return m_site.get(1 - owner, "/-/workers").value("owning", false); }));
    m_site.submit("second", 2, 100, taskMilliCpu);
    ASSERT_TRUE(m_site.waitFinished("second"));
    EXPECT_EQ(m_site.runs().size(), static_cast<std::size_t>(tasks + 2));
}

TEST_F(Batch, workerDrained_itsTasksGoOnElsewhereFromTheirCheckpoints)
{
    const int worker = busyWorker(m_site);
    ASSERT_GE(worker, 0);
    const auto moved = openOn(m_site, worker);
    const auto labelledAt = monotonicUs();
    m_site.labelWorker(worker, "drain=true");
    ASSERT_TRUE(eventually([&] { return openOn(m_site, worker).empty(); }));
    expectAllFinished();
    for (const auto &it : m_site.runs()) {
        if (it.beginUs > labelledAt && moved.contains(it.task)) {
            EXPECT_NE(it.worker, "w" + std::to_string(worker));
            EXPECT_GT(it.fromUs, 0) << it.task << " began anew";
        }
    }
}

TEST_F(Batch, storeOutPastTheGrace_tasksStopAndResumeOnce)
{
    constexpr int longTasks = 4;
    // Longer than store lease, grace and worker lease together.
    constexpr int longRunTimeMs = 13000;
    m_site.submit("long", longTasks, longRunTimeMs, taskMilliCpu);
    ASSERT_TRUE(eventually([&] { return runningNow(m_site) == tasks + longTasks; }));
    for (const char *link : {"store-0", "store-1"}) {
        m_site.setFaults(link, {{"cut", true}});
    }
    ASSERT_TRUE(eventually([&] { return runningNow(m_site) == 0; }));
    int stopped = 0;
    for (const auto &it : m_site.runs()) {
        stopped += it.state == "stopped" ? 1 : 0;
    }
    EXPECT_EQ(stopped, longTasks);
    for (const char *link : {"store-0", "store-1"}) {
        m_site.setFaults(link, nlohmann::json::object());
    }
    EXPECT_TRUE(m_site.waitFinished("long"));
    expectAllFinished();
    int resumed = 0;
    for (const auto &it : m_site.runs()) {
        resumed += it.fromUs > 0 ? 1 : 0;
    }
    EXPECT_EQ(resumed, longTasks);
}

} // namespace Trefoilhoist::Testing
