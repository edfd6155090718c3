#pragma once

#include "entrysettings.h"

#include "trefoilhoist/config/configagent.h"
#include "trefoilhoist/membership/membershiptable.h"
#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/routing/router.h"
#include "trefoilhoist/wire/peerclient.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist {

/// Connection to another entry. Thread-safe.
class Peer
{
public:
    Peer(const Asio::any_io_executor &executor, const EntryId &self, std::int64_t incarnation, PeerAddress address);

    /// Calls the peer and stores the id that the answer carries.
    awaitable<tl::expected<Wire::Envelope, CallError>>
    call(Wire::MessageKind kind, std::string payload, Duration timeout);

    [[nodiscard]] PeerClient &client();

    /// Empty until the peer has answered once, unless the settings give the id.
    [[nodiscard]] EntryId id() const;

private:
    mutable std::mutex m_mutex;
    EntryId m_id;
    PeerClient m_client;
};

/// Exchanges membership, load and configuration with the other entries. Changes are pushed within 50 ms; digests are
/// compared every second to repair lost updates. Thread-safe.
class PeerExchange
{
public:
    PeerExchange(Asio::any_io_executor executor,
                 const EntrySettings &settings,
                 std::int64_t incarnation,
                 const Clock &clock,
                 MembershipTable &membership,
                 Router &router,
                 ConfigAgent &config,
                 MetricsRegistry &metrics);

    /// Starts the loops that push changes and compare digests.
    void start();

    /// Answers a peer's message about membership, load or configuration. Returns nullopt for other kinds of message.
    [[nodiscard]] std::optional<Wire::Envelope> handle(const Wire::Envelope &envelope);

    /// Announces in the following digests that this entry is draining.
    void setDraining();

    [[nodiscard]] const std::vector<std::shared_ptr<Peer>> &peers() const;

private:
    awaitable<void> pushLoop();
    awaitable<void> digestLoop(std::shared_ptr<Peer> peer);
    void pushToAll(Wire::MessageKind kind, const std::string &payload);
    [[nodiscard]] std::string loadReport() const;
    [[nodiscard]] std::string digestMessage() const;
    [[nodiscard]] Wire::Envelope answerDigest(const Wire::Envelope &envelope);
    void pullConfig(const std::string &sender, const std::vector<std::int64_t> &versions);
    void applyLoad(const Wire::Envelope &envelope);

    Asio::any_io_executor m_executor;
    EntrySettings m_settings;
    const Clock &m_clock;
    MembershipTable &m_membership;
    Router &m_router;
    ConfigAgent &m_config;
    MetricsRegistry &m_metrics;
    std::vector<std::shared_ptr<Peer>> m_peers;
    std::atomic<bool> m_draining = false;
};

} // namespace Trefoilhoist
