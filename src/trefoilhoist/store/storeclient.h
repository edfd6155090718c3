#pragma once

#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/world/clock.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist {

/// How a store call failed.
enum class StoreFailure {
    /// The call had no effect: not connected, or refused by the rate limit.
    NotDone,
    /// A write whose answer was lost: it may have taken effect.
    Unknown,
};

struct StoreError {
    StoreFailure failure = StoreFailure::NotDone;
    std::string reason;
};

template <typename Value>
using StoreResult = tl::expected<Value, StoreError>;

/// One key with its value. `modifyIndex` rises with each write of the key.
struct StoreEntry {
    std::string key;
    std::string value;
    std::uint64_t modifyIndex = 0;
    /// Rises with each time that a session takes the key's lock: a fencing token.
    std::uint64_t lockIndex = 0;
    /// The session that holds the key's lock, or empty.
    std::string session;
};

/// Keys under a prefix at one index of the store.
struct StoreListing {
    std::vector<StoreEntry> entries;
    std::uint64_t index = 0;
};

/// The platform's key-value service: single-key compare-and-swap, leases, watches. Implementations are
/// thread-safe and never throw.
class StoreClient
{
public:
    virtual ~StoreClient() = default;

    virtual awaitable<StoreResult<std::optional<StoreEntry>>> get(std::string key) = 0;
    virtual awaitable<StoreResult<StoreListing>> list(std::string prefix) = 0;

    /// Waits up to `wait` for a change past `index` under `prefix`; counts as one call.
    virtual awaitable<StoreResult<StoreListing>> watch(std::string prefix, std::uint64_t index, Duration wait) = 0;

    /// Writes when the key's modify index is `modifyIndex` (0: when it does not exist). True when written.
    virtual awaitable<StoreResult<bool>> compareAndSet(std::string key, std::string value, std::uint64_t modifyIndex)
        = 0;

    /// Deletes when the key's modify index is `modifyIndex`.
    virtual awaitable<StoreResult<bool>> compareAndDelete(std::string key, std::uint64_t modifyIndex) = 0;

    /// Opens a lease that lapses `ttl` after its last renewal; returns its id.
    virtual awaitable<StoreResult<std::string>> createSession(Duration ttl) = 0;
    /// True when renewed, false when the lease has lapsed.
    virtual awaitable<StoreResult<bool>> renewSession(std::string session) = 0;
    virtual awaitable<StoreResult<bool>> destroySession(std::string session) = 0;

    /// Takes the key's lock for the session and writes the value; false when another session holds it.
    virtual awaitable<StoreResult<bool>> acquire(std::string key, std::string value, std::string session) = 0;
    virtual awaitable<StoreResult<bool>> release(std::string key, std::string session) = 0;
};

} // namespace Trefoilhoist
