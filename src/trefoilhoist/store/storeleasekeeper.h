#pragma once

#include "trefoilhoist/store/storelease.h"
#include "trefoilhoist/world/clock.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace Trefoilhoist {

/// Keeps a StoreLease against the store in a coroutine of its own. Thread-safe; shared with that coroutine.
class StoreLeaseKeeper : public std::enable_shared_from_this<StoreLeaseKeeper>
{
public:
    /// `value` is written into the key when its lock is taken. `clock` must outlive the keeper.
    StoreLeaseKeeper(std::shared_ptr<StoreClient> store,
                     std::string key,
                     std::string value,
                     const Clock &clock,
                     StoreLeaseTimes times);

    void start(const Asio::any_io_executor &executor);

    /// True when the lock is ours at this moment for certain; ask directly before each act.
    [[nodiscard]] bool heldSurely() const;
    /// The fencing epoch when heldSurely() at this moment, else 0.
    [[nodiscard]] std::uint64_t sureEpoch() const;
    /// The moment from which the lock is no longer certain.
    [[nodiscard]] TimePoint sureUntil() const;

    /// Gives the lock back on a planned stop, so that the next holder need not wait. heldSurely() is false from
    /// the call on.
    awaitable<void> release();

private:
    awaitable<void> run();
    awaitable<void> perform(LeaseAction action);

    std::shared_ptr<StoreClient> m_store;
    std::string m_key;
    std::string m_value;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    StoreLease m_lease;
    std::atomic<bool> m_released = false;
};

} // namespace Trefoilhoist
