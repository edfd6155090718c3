#pragma once

#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/store/storeclient.h"

#include <functional>
#include <memory>
#include <string>

namespace Trefoilhoist {

/// What a role may ask of the store, and how its calls are repeated.
struct StoreBudget {
    /// Names the role in the metrics, for example "entry".
    std::string role;
    double writesPerSecond = 20;
    double readsPerSecond = 40;
    /// Calls that may go at once after a quiet time.
    double burst = 20;
    /// A call without effect is repeated, and one beyond the budget waits, for this long.
    Duration deadline = seconds(3);
    /// For the jitter between tries.
    std::uint64_t seed = 1;
};

/// Counts the calls of one role, keeps them to its budget and repeats those that had no effect, with backoff.
///
/// A write whose effect is unknown is not repeated: only its author can settle it. Neither are watches and
/// renewals, whose owners pace them; they count as reads and writes but are never refused. Metrics:
/// trefoilhoist_store_calls{role,kind,result}, trefoilhoist_store_watches_waiting{role}. Thread-safe.
class MeteredStoreClient : public StoreClient
{
public:
    /// `metrics` and `clock` must outlive the client.
    MeteredStoreClient(std::shared_ptr<StoreClient> inner,
                       const StoreBudget &budget,
                       const Clock &clock,
                       MetricsRegistry &metrics);
    ~MeteredStoreClient() override;

    awaitable<StoreResult<std::optional<StoreEntry>>> get(std::string key) override;
    awaitable<StoreResult<StoreListing>> list(std::string prefix) override;
    awaitable<StoreResult<StoreListing>> watch(std::string prefix, std::uint64_t index, Duration wait) override;
    awaitable<StoreResult<bool>> compareAndSet(std::string key, std::string value, std::uint64_t modifyIndex) override;
    awaitable<StoreResult<bool>> compareAndDelete(std::string key, std::uint64_t modifyIndex) override;
    awaitable<StoreResult<std::string>> createSession(Duration ttl) override;
    awaitable<StoreResult<bool>> renewSession(std::string session) override;
    awaitable<StoreResult<bool>> destroySession(std::string session) override;
    awaitable<StoreResult<bool>> acquire(std::string key, std::string value, std::string session) override;
    awaitable<StoreResult<bool>> release(std::string key, std::string session) override;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Trefoilhoist
