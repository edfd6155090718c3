// Tasks that crash the workers on which they start.
#include "harness/schedulerfixture.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

/// Workers whose minion restarts after a crash.
class DeadlyTaskTest : public SchedulerFixture
{
protected:
    /// The bound on starts: three crashes, and two more starts after the third.
    static constexpr int maxStarts = 5;
    static constexpr int rounds = 12;
    static constexpr Duration roundTime = seconds(1);

    void joinWorkers(int count)
    {
        for (int i = 0; i < count; ++i) {
            m_born["w" + std::to_string(i)] = 1;
        }
        reportAll();
    }

    Wire::WorkerReport currentReport(const std::string &worker)
    {
        auto report = reportOf(worker);
        report.worker.born = m_born.at(worker);
        return report;
    }

    void reportAll()
    {
        for (const auto &[worker, born] : m_born) {
            sendReport(currentReport(worker));
        }
    }

    /// The minion restarts, and its agent, which was restarted as well, knows only the new incarnation.
    void replace(const std::string &worker)
    {
        ++m_born.at(worker);
        sendReport(currentReport(worker));
    }

    /// Lets every worker crash that gets a start of the task; returns the number of its starts.
    int crashOnEachStart(const Wire::TaskRef &task)
    {
        int started = 0;
        for (int i = 0; i < rounds; ++i) {
            m_now += roundTime;
            reportAll();
            for (const auto &[worker, orders] : plan()) {
                answer(orders, OrderResult::Done);
                for (const auto &it : orders.starts) {
                    if (it.task == task) {
                        ++started;
                        replace(worker);
                    }
                }
            }
            recordChanges();
        }
        return started;
    }

    std::map<std::string, std::int64_t> m_born;
};

// A crash leaves no end that could count as an attempt, so that the task crashed one worker after the other.
TEST_F(DeadlyTaskTest, taskThatCrashesEachWorker_startedAgainAfterEachCrash_isGivenUp)
{
    joinWorkers(4);
    accept(jobOf("a", {stepOf(1, 1000)}));
    EXPECT_LE(crashOnEachStart(taskOf("a")), maxStarts);
    EXPECT_EQ(m_scheduler.job("a")->phase(), JobPhase::Failed);
}

} // namespace Trefoilhoist::Jobs
