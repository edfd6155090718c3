#pragma once

#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/store/storeclient.h"
#include "trefoilhoist/world/world.h"

#include <memory>
#include <string>
#include <vector>

namespace Trefoilhoist {

/// Where the store is and how it is called.
struct ConsulStoreOptions {
    /// Addresses of the same store; a call goes to the next one after a failure.
    std::vector<Endpoint> addresses;
    /// Names this process to the store, for example "entry/e1".
    std::string caller;
    /// For one call; a watch gets its wait on top.
    Duration timeout = seconds(2);
    Duration connectTimeout = milliseconds(500);
};

/// StoreClient over Consul's KV and session HTTP API.
class ConsulStoreClient : public StoreClient
{
public:
    ConsulStoreClient(const Asio::any_io_executor &executor, ConsulStoreOptions options);
    ~ConsulStoreClient() override;

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
