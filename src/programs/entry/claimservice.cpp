#include "claimservice.h"

#include "trefoilhoist/claims/claimholders.h"
#include "trefoilhoist/claims/claimwire.h"
#include "trefoilhoist/wire/message.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>

// GCC 12 reports a false mismatch of operator delete when it inlines a coroutine (GCC bug 109224).
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace Trefoilhoist {

namespace {

constexpr Duration initialBusyBackoff = milliseconds(20);
constexpr Duration maxBusyBackoff = milliseconds(250);
constexpr Duration finishCallTimeout = milliseconds(500);
constexpr Duration initialFinishBackoff = milliseconds(100);
constexpr int maxFinishAttempts = 6;
constexpr Duration expireInterval = milliseconds(500);
constexpr Duration recoverInterval = milliseconds(500);
constexpr Duration pageTimeout = seconds(2);
constexpr std::int64_t pageBytes = std::int64_t{1} << 20U;

Wire::Envelope replyOf(Wire::MessageKind kind, std::string payload)
{
    Wire::Envelope envelope;
    envelope.kind = kind;
    envelope.payload = std::move(payload);
    return envelope;
}

// Adds jitter, so that two attempts for the same key don't collide again on every retry.
Duration jittered(Duration wait, std::uint64_t salt)
{
    constexpr std::uint64_t steps = 16;
    return wait + wait * static_cast<std::int64_t>((salt * 7) % steps) / static_cast<std::int64_t>(steps);
}

} // namespace

// One round of claim requests and the timer that is cancelled on each reply. Used only on the request's strand.
struct ClaimService::Round {
    ClaimRound decider;
    Asio::steady_timer changed;

    Round(ClaimRound round, const Asio::any_io_executor &strand) : decider(std::move(round)), changed(strand) { }
};

ClaimService::ClaimService(Asio::any_io_executor executor,
                           const EntrySettings &settings,
                           std::int64_t incarnation,
                           const Clock &clock,
                           std::vector<std::shared_ptr<Peer>> peers,
                           MetricsRegistry &metrics)
    : m_executor(std::move(executor))
    , m_self(settings.id)
    , m_settings(settings.claims)
    , m_tokenPrefix(settings.id.str() + "/" + std::to_string(incarnation) + "/")
    , m_clock(clock)
    , m_peers(std::move(peers))
    , m_metrics(metrics)
    , m_table(settings.claims)
    , m_recovery(m_peers.size(), clock.now(), settings.claims)
{
}

void ClaimService::start()
{
    spawn(m_executor, "claim expiry", [this] { return expireLoop(); });
    spawn(m_executor, "claim recovery", [this] { return recoverLoop(); });
}

int ClaimService::unacknowledged() const
{
    return m_unacknowledged;
}

std::string ClaimService::nextToken()
{
    return m_tokenPrefix + std::to_string(m_lastToken.fetch_add(1));
}

std::optional<ClaimService::Holders> ClaimService::holdersOf(const ClaimKey &key) const
{
    Holders all{nullptr};
    all.insert(all.end(), m_peers.begin(), m_peers.end());
    if (all.size() <= maxClaimHolders) {
        return all;
    }
    std::vector<EntryId> ids{m_self};
    for (const auto &peer : m_peers) {
        ids.push_back(peer->id());
        if (ids.back().empty()) {
            return std::nullopt;
        }
    }
    Holders holders;
    for (const auto &id : claimHolders(key, ids)) {
        const auto at = std::find(ids.begin(), ids.end(), id) - ids.begin();
        holders.push_back(all[static_cast<std::size_t>(at)]);
    }
    return holders;
}

awaitable<ClaimDecision> ClaimService::askHolders(const ClaimTry &claim, const Holders &holders)
{
    const Asio::any_io_executor strand = co_await Asio::this_coro::executor;
    auto round = std::make_shared<Round>(ClaimRound(claim.attempt, holders.size(), m_clock.now(), m_settings), strand);
    const auto payload = Wire::encode(claimRequestOf(claim));
    for (std::size_t i = 0; i < holders.size(); ++i) {
        if (!holders[i]) {
            round->decider.answered(i, m_table.claim(claim, m_clock.now()), m_clock.now());
            continue;
        }
        spawnOn(strand, "claim request", [this, round, peer = holders[i], payload, i]() -> awaitable<void> {
            const auto answer
                = co_await peer->call(Wire::MessageKind::ClaimRequestKind, payload, m_settings.collectTimeout);
            const auto reply = answer ? Wire::decode<Wire::ClaimReply>(answer->payload) : std::nullopt;
            if (reply) {
                round->decider.answered(i, claimAnswerOf(*reply), m_clock.now());
            } else {
                round->decider.markUnreachable(i, m_clock.now());
            }
            round->changed.cancel();
        });
    }
    while (std::holds_alternative<ClaimWait>(round->decider.decision())) {
        round->changed.expires_after(std::max(Duration{}, round->decider.end() - m_clock.now()));
        boost::system::error_code ec;
        co_await round->changed.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        round->decider.tick(m_clock.now());
    }
    co_return round->decider.decision();
}

awaitable<ClaimOutcome> ClaimService::acquire(ClaimKey key, std::string fingerprint, int attempt, TimePoint deadline)
{
    const auto holders = holdersOf(key);
    if (!holders) {
        const auto verdict = attempt == 1 ? Verdict::NotRun : Verdict::MayHaveRun;
        co_return ClaimDenied{verdict, "not all entries are known yet", false};
    }
    Duration wait = initialBusyBackoff;
    while (true) {
        const ClaimTry claim{key, nextToken(), fingerprint, attempt};
        const auto decision = co_await askHolders(claim, *holders);
        if (std::holds_alternative<ClaimHeld>(decision)) {
            co_return AcquiredClaim{claim};
        }
        // This attempt sends no request, so the holders must release any grant that it got: too few, or too late.
        notifyHolders({claim, Verdict::NotRun, false, {}}, *holders);
        if (const auto *replay = std::get_if<ClaimReplay>(&decision)) {
            m_metrics.counter("trefoilhoist_claims_total", {{"outcome", "replayed"}}).add();
            co_return *replay;
        }
        if (const auto *denied = std::get_if<ClaimDenied>(&decision)) {
            m_metrics.counter("trefoilhoist_claims_total", {{"outcome", "denied"}}).add();
            co_return *denied;
        }
        if (m_clock.now() + wait >= deadline) {
            m_metrics.counter("trefoilhoist_claims_total", {{"outcome", "running"}}).add();
            co_return ClaimDenied{Verdict::MayHaveRun, "an earlier attempt has not ended", false};
        }
        co_await sleepFor(jittered(wait, m_lastToken));
        wait = std::min(wait * 2, maxBusyBackoff);
    }
}

void ClaimService::finish(const ClaimTry &claim, Verdict verdict, const HttpResponse &response)
{
    const auto holders = holdersOf(claim.key);
    if (holders) {
        m_metrics.counter("trefoilhoist_claims_total", {{"outcome", std::string(verdictName(verdict))}}).add();
        notifyHolders({claim, verdict, true, verdict == Verdict::NotRun ? HttpResponse{} : response}, *holders);
    }
}

void ClaimService::notifyHolders(const ClaimEnd &end, const Holders &holders)
{
    const auto payload = Wire::encode(claimFinishOf(end));
    for (const auto &peer : holders) {
        if (!peer) {
            m_table.finish(end, m_clock.now());
            continue;
        }
        m_unacknowledged.fetch_add(1);
        spawn(m_executor, "claim end", [this, peer, payload]() -> awaitable<void> {
            co_await notifyPeer(peer, payload);
            m_unacknowledged.fetch_sub(1);
        });
    }
}

awaitable<void> ClaimService::notifyPeer(std::shared_ptr<Peer> peer, std::string payload)
{
    Duration wait = initialFinishBackoff;
    for (int i = 0; i < maxFinishAttempts; ++i) {
        const auto answer = co_await peer->call(Wire::MessageKind::ClaimFinishKind, payload, finishCallTimeout);
        if (answer) {
            co_return;
        }
        co_await sleepFor(wait);
        wait *= 2;
    }
}

std::optional<Wire::Envelope> ClaimService::handle(const Wire::Envelope &envelope)
{
    const auto now = m_clock.now();
    if (envelope.kind == Wire::MessageKind::ClaimRequestKind) {
        if (const auto request = Wire::decode<Wire::ClaimRequest>(envelope.payload)) {
            const auto answer = m_table.claim(claimTryOf(*request), now);
            return replyOf(Wire::MessageKind::ClaimReplyKind, Wire::encode(claimReplyOf(answer)));
        }
    } else if (envelope.kind == Wire::MessageKind::ClaimFinishKind) {
        if (const auto finish = Wire::decode<Wire::ClaimFinish>(envelope.payload)) {
            m_table.finish(claimEndOf(*finish), now);
            Wire::Ack ack;
            ack.ok = true;
            return replyOf(Wire::MessageKind::AckKind, Wire::encode(ack));
        }
    } else if (envelope.kind == Wire::MessageKind::ClaimPageRequestKind) {
        if (const auto request = Wire::decode<Wire::ClaimPageRequest>(envelope.payload)) {
            const auto bytes = static_cast<std::size_t>(std::clamp<std::int64_t>(request->maxBytes, 0, pageBytes));
            return replyOf(Wire::MessageKind::ClaimPageKind, Wire::encode(m_table.page(request->after, bytes, now)));
        }
    }
    return std::nullopt;
}

awaitable<void> ClaimService::expireLoop()
{
    while (true) {
        m_table.expire(m_clock.now());
        m_metrics.gauge("trefoilhoist_claims").set(static_cast<double>(m_table.size()));
        co_await sleepFor(expireInterval);
    }
}

awaitable<void> ClaimService::recoverLoop()
{
    auto &gauge = m_metrics.gauge("trefoilhoist_claims_intact");
    gauge.set(0);
    while (!m_recovery.intact(m_clock.now())) {
        co_await sleepFor(recoverInterval);
        for (std::size_t i = 0; i < m_peers.size() && m_recovery.mayFetch(m_clock.now()); ++i) {
            co_await fetchClaims(i);
        }
    }
    m_table.setIntact();
    gauge.set(1);
    LOG(INFO) << "event=claims_intact entry=" << m_self << " claims=" << m_table.size();
}

awaitable<void> ClaimService::fetchClaims(std::size_t index)
{
    Wire::ClaimPageRequest request;
    // The first call fetches only the `intact` flag: claims of a peer that is not intact are not usable.
    request.maxBytes = 0;
    bool more = true;
    while (more) {
        const auto answer = co_await m_peers[index]->call(
            Wire::MessageKind::ClaimPageRequestKind, Wire::encode(request), pageTimeout);
        const auto page = answer ? Wire::decode<Wire::ClaimPage>(answer->payload) : std::nullopt;
        if (!page || !page->intact) {
            co_return;
        }
        m_table.merge(page->claims, m_clock.now());
        more = request.maxBytes == 0 || !page->following.empty();
        request.maxBytes = pageBytes;
        request.after = page->following;
    }
    m_recovery.trackFetched(index, true);
}

} // namespace Trefoilhoist
