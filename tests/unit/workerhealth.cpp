#include "trefoilhoist/jobs/workerhealth.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Jobs {

class WorkerHealthTest : public testing::Test
{
protected:
    WorkerHealth m_health;
    TimePoint m_now{seconds(100)};
};

TEST_F(WorkerHealthTest, workerThatFailsEverything_isQuarantinedAfterAFewRuns)
{
    m_health.observeFailure(m_now);
    EXPECT_FALSE(m_health.isQuarantined(m_now));
    m_health.observeFailure(m_now);
    EXPECT_TRUE(m_health.isQuarantined(m_now));
}

TEST_F(WorkerHealthTest, failingTasksAmongGoodOnes_workerStaysInUse)
{
    for (int i = 0; i < 12; ++i) {
        m_now += milliseconds(300);
        m_health.observeSuccess(m_now);
        if (i % 3 == 0) {
            m_health.observeFailure(m_now);
        }
    }
    EXPECT_FALSE(m_health.isQuarantined(m_now));
    EXPECT_LT(m_health.failureRatio(m_now), 0.5);
}

TEST_F(WorkerHealthTest, quarantinedWorker_afterTheQuarantine_isTriedAndOneSuccessClearsIt)
{
    m_health.observeFailure(m_now);
    m_health.observeFailure(m_now);
    m_now += seconds(4);
    EXPECT_FALSE(m_health.isQuarantined(m_now));
    m_health.observeFailure(m_now);
    EXPECT_TRUE(m_health.isQuarantined(m_now));
    m_health.observeSuccess(m_now);
    EXPECT_FALSE(m_health.isQuarantined(m_now));
}

TEST_F(WorkerHealthTest, oldOutcomes_decay)
{
    m_health.observeFailure(m_now);
    const double fresh = m_health.failureRatio(m_now);
    EXPECT_LT(m_health.failureRatio(m_now + seconds(20)), fresh / 3);
}

} // namespace Trefoilhoist::Jobs
