#pragma once

#include <cstddef>
#include <memory>
#include <optional>

namespace Trefoilhoist {

/// Bounds the bytes that a process keeps for its peers: request and answer bodies, buffers, messages. Copies share one
/// budget. Thread-safe.
class MemoryBudget
{
    struct State;

public:
    /// Bytes that belong to one user of the budget. The destructor returns them. May outlive the budget it came from.
    class Reservation
    {
    public:
        Reservation(Reservation &&other) noexcept;
        Reservation &operator=(Reservation &&other) noexcept;
        ~Reservation();

        /// Adds bytes; false if the budget has no room for them, and then nothing changes.
        [[nodiscard]] bool tryGrow(std::size_t bytes);
        /// Returns all bytes above this number.
        void shrinkTo(std::size_t bytes);
        [[nodiscard]] std::size_t bytes() const;

    private:
        friend class MemoryBudget;
        Reservation(std::shared_ptr<State> state, std::size_t bytes);

        std::shared_ptr<State> m_state;
        std::size_t m_bytes = 0;
    };

    explicit MemoryBudget(std::size_t limitBytes);
    /// The budget of a process on a host that has `memoryBytes` for it: a quarter. The rest is for the program itself,
    /// its records, and what parsing and the allocator take beside the bytes that are counted.
    [[nodiscard]] static MemoryBudget forProcess(std::size_t memoryBytes);

    /// Reserves bytes; nothing if the budget has no room for them. Reserving 0 bytes always succeeds.
    [[nodiscard]] std::optional<Reservation> tryReserve(std::size_t bytes);

    /// A reservation that may grow.
    [[nodiscard]] Reservation reserveNothing();

    /// The number of bytes that are reserved.
    [[nodiscard]] std::size_t used() const;
    [[nodiscard]] std::size_t limit() const;

private:
    std::shared_ptr<State> m_state;
};

} // namespace Trefoilhoist
