#include "trefoilhoist/net/memorybudget.h"

#include <atomic>
#include <utility>

namespace Trefoilhoist {

struct MemoryBudget::State {
    explicit State(std::size_t limitBytes) : limit(limitBytes) { }

    bool tryTake(std::size_t bytes)
    {
        auto current = used.load();
        do {
            if (bytes > 0 && (current > limit || bytes > limit - current)) {
                return false;
            }
        } while (!used.compare_exchange_weak(current, current + bytes));
        return true;
    }

    const std::size_t limit;
    std::atomic<std::size_t> used = 0;
};

MemoryBudget::Reservation::Reservation(std::shared_ptr<State> state, std::size_t bytes)
    : m_state(std::move(state)), m_bytes(bytes)
{
}

MemoryBudget::Reservation::Reservation(Reservation &&other) noexcept
    : m_state(std::move(other.m_state)), m_bytes(std::exchange(other.m_bytes, 0))
{
}

MemoryBudget::Reservation &MemoryBudget::Reservation::operator=(Reservation &&other) noexcept
{
    if (this != &other) {
        shrinkTo(0);
        m_state = std::move(other.m_state);
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

MemoryBudget::Reservation::~Reservation()
{
    shrinkTo(0);
}

bool MemoryBudget::Reservation::tryGrow(std::size_t bytes)
{
    if (!m_state || !m_state->tryTake(bytes)) {
        return false;
    }
    m_bytes += bytes;
    return true;
}

void MemoryBudget::Reservation::shrinkTo(std::size_t bytes)
{
    if (m_state && bytes < m_bytes) {
        m_state->used.fetch_sub(m_bytes - bytes);
        m_bytes = bytes;
    }
}

std::size_t MemoryBudget::Reservation::bytes() const
{
    return m_bytes;
}

MemoryBudget::MemoryBudget(std::size_t limitBytes) : m_state(std::make_shared<State>(limitBytes)) { }

MemoryBudget MemoryBudget::forProcess(std::size_t memoryBytes)
{
    constexpr std::size_t divisor = 4;
    return MemoryBudget(memoryBytes / divisor);
}

std::optional<MemoryBudget::Reservation> MemoryBudget::tryReserve(std::size_t bytes)
{
    if (!m_state->tryTake(bytes)) {
        return std::nullopt;
    }
    return Reservation(m_state, bytes);
}

MemoryBudget::Reservation MemoryBudget::reserveNothing()
{
    return {m_state, 0};
}

std::size_t MemoryBudget::used() const
{
    return m_state->used;
}

std::size_t MemoryBudget::limit() const
{
    return m_state->limit;
}

} // namespace Trefoilhoist
