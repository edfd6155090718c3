#include "trefoilhoist/wire/internal/heldmemory.h"

#include <utility>

namespace Trefoilhoist::Detail {

HeldMemory::HeldMemory(MemoryBudget &budget, ConnectionBytes connectionBytes)
    : m_reservation(budget.reserveNothing()), m_connectionBytes(std::move(connectionBytes))
{
}

HeldMemory::~HeldMemory()
{
    if (m_connectionBytes) {
        *m_connectionBytes -= m_reservation.bytes();
    }
}

bool HeldMemory::tryGrow(std::size_t bytes)
{
    if (!m_reservation.tryGrow(bytes)) {
        return false;
    }
    *m_connectionBytes += bytes;
    return true;
}

std::size_t HeldMemory::bytes() const
{
    return m_reservation.bytes();
}

} // namespace Trefoilhoist::Detail
