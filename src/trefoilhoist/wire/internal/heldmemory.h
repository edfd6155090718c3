#pragma once

#include "trefoilhoist/net/memorybudget.h"

#include <atomic>
#include <cstddef>
#include <memory>

namespace Trefoilhoist::Detail {

/// Bytes of a budget that one connection holds; they are also counted for the connection. The destructor returns them.
class HeldMemory
{
public:
    using ConnectionBytes = std::shared_ptr<std::atomic<std::size_t>>;

    HeldMemory(MemoryBudget &budget, ConnectionBytes connectionBytes);
    HeldMemory(HeldMemory &&other) noexcept = default;
    HeldMemory &operator=(HeldMemory &&other) = delete;
    ~HeldMemory();

    /// Adds bytes; false if the budget has no room for them, and then nothing changes.
    [[nodiscard]] bool tryGrow(std::size_t bytes);
    [[nodiscard]] std::size_t bytes() const;

private:
    MemoryBudget::Reservation m_reservation;
    ConnectionBytes m_connectionBytes;
};

} // namespace Trefoilhoist::Detail
