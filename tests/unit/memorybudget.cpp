#include "trefoilhoist/net/memorybudget.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace Trefoilhoist {

class MemoryBudgetTest : public testing::Test
{
protected:
    MemoryBudget m_budget{1000};
};

TEST_F(MemoryBudgetTest, reservation_isReturnedWhenItGoes)
{
    {
        const auto reservation = m_budget.tryReserve(400);
        ASSERT_TRUE(reservation);
        EXPECT_EQ(m_budget.used(), 400U);
    }
    EXPECT_EQ(m_budget.used(), 0U);
    EXPECT_EQ(m_budget.limit(), 1000U);
}

TEST_F(MemoryBudgetTest, moreThanIsLeft_isRefused)
{
    const auto first = m_budget.tryReserve(600);
    EXPECT_FALSE(m_budget.tryReserve(401));
    EXPECT_TRUE(m_budget.tryReserve(400));
    EXPECT_EQ(m_budget.used(), 600U);
}

TEST_F(MemoryBudgetTest, hugeRequest_isRefusedWithoutOverflow)
{
    const auto first = m_budget.tryReserve(600);
    EXPECT_FALSE(m_budget.tryReserve(static_cast<std::size_t>(-1)));
    EXPECT_EQ(m_budget.used(), 600U);
}

TEST_F(MemoryBudgetTest, growthBeyondTheLimit_leavesTheReservationAsItWas)
{
    auto reservation = m_budget.tryReserve(0);
    ASSERT_TRUE(reservation);
    EXPECT_TRUE(reservation->tryGrow(1000));
    EXPECT_FALSE(reservation->tryGrow(1));
    EXPECT_EQ(reservation->bytes(), 1000U);
    EXPECT_EQ(m_budget.used(), 1000U);
    reservation->shrinkTo(100);
    EXPECT_EQ(m_budget.used(), 100U);
}

TEST_F(MemoryBudgetTest, movedReservation_isReturnedOnce)
{
    auto first = m_budget.tryReserve(300);
    auto second = m_budget.tryReserve(200);
    *second = std::move(*first);
    first.reset();
    EXPECT_EQ(m_budget.used(), 300U);
    second.reset();
    EXPECT_EQ(m_budget.used(), 0U);
}

TEST_F(MemoryBudgetTest, copies_shareOneBudget)
{
    auto copy = m_budget;
    const auto reservation = copy.tryReserve(1000);
    EXPECT_FALSE(m_budget.tryReserve(1));
}

TEST_F(MemoryBudgetTest, reservationThatOutlivesTheBudget_isStillUsable)
{
    auto budget = std::make_unique<MemoryBudget>(10);
    auto reservation = budget->tryReserve(10);
    budget.reset();
    EXPECT_FALSE(reservation->tryGrow(1));
    reservation->shrinkTo(0);
    EXPECT_TRUE(reservation->tryGrow(1));
}

TEST_F(MemoryBudgetTest, manyThreads_neverExceedTheLimit)
{
    std::atomic<bool> exceeded = false;
    constexpr int threadCount = 4;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int i = 0; i < threadCount; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < 20000; ++n) {
                const auto reservation = m_budget.tryReserve(300);
                exceeded = exceeded || m_budget.used() > m_budget.limit();
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    EXPECT_FALSE(exceeded);
    EXPECT_EQ(m_budget.used(), 0U);
}

} // namespace Trefoilhoist
