#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/config/configtable.h"
#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/store/storeclient.h"
#include "trefoilhoist/store/storewatch.h"
#include "trefoilhoist/wire/peerclient.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist {

/// How a process follows the configuration.
struct ConfigAgentOptions {
    StoreWatchTimes watch;
    Duration peerTimeout = seconds(2);
    /// For the jitter between tries.
    std::uint64_t seed = 1;
};

/// The usual options, with a jitter that differs between processes.
[[nodiscard]] ConfigAgentOptions configAgentOptions(const std::string &processId);

/// Brings the configuration into force in this process: from the store by one watch, from peers by digests, and
/// hands it to peers. Thread-safe; shared with the coroutines that it starts.
///
/// To attach: call startWatching() in a process that has a store; answer envelopes by handle(); put versions()
/// into digests to peers; on a peer's digest, when behind(versions) holds, pullFrom(peer).
class ConfigAgent : public std::enable_shared_from_this<ConfigAgent>
{
public:
    /// `table` must outlive the agent; `store` may be empty.
    ConfigAgent(ConfigTable &table, std::shared_ptr<StoreClient> store, ConfigAgentOptions options);

    /// Starts the watch of the store's configuration.
    void startWatching(const Asio::any_io_executor &executor);
    void stop();

    [[nodiscard]] std::vector<std::int64_t> versions() const;
    /// True when a peer with these versions has something newer.
    [[nodiscard]] bool behind(const std::vector<std::int64_t> &peerVersions) const;
    /// What a peer with these versions lacks, as much as fits into one frame.
    [[nodiscard]] Wire::ConfigSegments segmentsNewerThan(const std::vector<std::int64_t> &versions) const;
    /// Returns how many segments came into force.
    std::size_t applySegments(const Wire::ConfigSegments &segments);

    /// Answers a ConfigDigest with ConfigSegments, and takes ConfigSegments with an Ack; nothing for other kinds.
    [[nodiscard]] std::optional<Wire::Envelope> handle(const Wire::Envelope &envelope);
    /// Fetches what a peer has newer. True when it answered.
    awaitable<bool> pullFrom(PeerClient &peer);

    /// The answer of GET /-/config.
    [[nodiscard]] std::string report() const;

private:
    awaitable<void> watchLoop();
    void applyListing(const StoreListing &listing);

    ConfigTable &m_table;
    std::shared_ptr<StoreClient> m_store;
    ConfigAgentOptions m_options;
    Clock m_clock;
    std::atomic<bool> m_stopped = false;
};

} // namespace Trefoilhoist
