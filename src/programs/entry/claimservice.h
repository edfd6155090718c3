#pragma once

#include "entrysettings.h"
#include "peerexchange.h"

#include "trefoilhoist/claims/claimrecovery.h"
#include "trefoilhoist/claims/claimround.h"
#include "trefoilhoist/claims/claimtable.h"
#include "trefoilhoist/metrics/metrics.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// The claim is held by this try until finish().
struct AcquiredClaim {
    ClaimTry claim;
};

using ClaimOutcome = std::variant<AcquiredClaim, ClaimReplay, ClaimDenied>;

/// Claims over the network: asks the holders, answers as a holder, and gets the claims back after a restart.
/// Thread-safe.
class ClaimService
{
public:
    ClaimService(Asio::any_io_executor executor,
                 const EntrySettings &settings,
                 std::int64_t incarnation,
                 const Clock &clock,
                 std::vector<std::shared_ptr<Peer>> peers,
                 MetricsRegistry &metrics);

    /// Starts expiry and recovery.
    void start();

    /// Claims the key before the request is sent. The calling coroutine runs on a strand.
    awaitable<ClaimOutcome> acquire(ClaimKey key, std::string fingerprint, int attempt, TimePoint deadline);

    /// Tells all holders how a held request ended; repeats what is not acknowledged.
    void finish(const ClaimTry &claim, Verdict verdict, const HttpResponse &response);

    /// Answers a peer's message about claims; nothing for other kinds.
    [[nodiscard]] std::optional<Wire::Envelope> handle(const Wire::Envelope &envelope);

    /// Ends that some holder has not acknowledged yet.
    [[nodiscard]] int unacknowledged() const;

private:
    struct Round;
    /// An empty pointer stands for this entry itself.
    using Holders = std::vector<std::shared_ptr<Peer>>;

    [[nodiscard]] std::optional<Holders> holdersOf(const ClaimKey &key) const;
    [[nodiscard]] std::string nextToken();
    awaitable<ClaimDecision> askHolders(const ClaimTry &claim, const Holders &holders);
    void notifyHolders(const ClaimEnd &end, const Holders &holders);
    awaitable<void> notifyPeer(std::shared_ptr<Peer> peer, std::string payload);
    awaitable<void> expireLoop();
    awaitable<void> recoverLoop();
    awaitable<void> fetchClaims(std::size_t index);

    Asio::any_io_executor m_executor;
    EntryId m_self;
    ClaimSettings m_settings;
    std::string m_tokenPrefix;
    const Clock &m_clock;
    std::vector<std::shared_ptr<Peer>> m_peers;
    MetricsRegistry &m_metrics;
    ClaimTable m_table;
    ClaimRecovery m_recovery;
    std::atomic<std::uint64_t> m_lastToken = 0;
    std::atomic<int> m_unacknowledged = 0;
};

} // namespace Trefoilhoist
