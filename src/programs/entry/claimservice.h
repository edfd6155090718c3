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

/// A claim that a quorum of holders has granted. This attempt holds it until finish() is called.
struct AcquiredClaim {
    ClaimTry claim;
};

using ClaimOutcome = std::variant<AcquiredClaim, ClaimReplay, ClaimDenied>;

/// Manages claims across entries: requests them from their holders, answers requests as a holder, and recovers the
/// claims from peers after a restart. Thread-safe.
class ClaimService
{
public:
    ClaimService(Asio::any_io_executor executor,
                 const EntrySettings &settings,
                 std::int64_t incarnation,
                 const Clock &clock,
                 std::vector<std::shared_ptr<Peer>> peers,
                 MetricsRegistry &metrics);

    /// Starts the loops that expire and recover claims.
    void start();

    /// Claims the key; must succeed before the request is sent. The calling coroutine must run on a strand.
    awaitable<ClaimOutcome> acquire(ClaimKey key, std::string fingerprint, int attempt, TimePoint deadline);

    /// Notifies all holders how a claimed request ended. Retries each notification a bounded number of
    /// times.
    void finish(const ClaimTry &claim, Verdict verdict, const HttpResponse &response);

    /// Answers a peer's message about claims. Returns nullopt for other kinds of message.
    [[nodiscard]] std::optional<Wire::Envelope> handle(const Wire::Envelope &envelope);

    /// Number of end notifications that are still in flight, counted per holder.
    [[nodiscard]] int unacknowledged() const;

private:
    struct Round;
    /// A null pointer stands for this entry itself.
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
