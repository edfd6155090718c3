#include "peerexchange.h"

#include "trefoilhoist/wire/message.h"

#include <glog/logging.h>

#include <utility>

namespace Trefoilhoist {

namespace {

constexpr Duration pushInterval = milliseconds(50);
constexpr Duration digestInterval = seconds(1);
constexpr Duration peerTimeout = seconds(2);
/// A load report is sent when it changes, and at least this often.
constexpr Duration loadInterval = milliseconds(500);

Wire::Envelope envelopeOf(Wire::MessageKind kind, std::string payload)
{
    Wire::Envelope envelope;
    envelope.kind = kind;
    envelope.payload = std::move(payload);
    return envelope;
}

Wire::Envelope acknowledgement()
{
    Wire::Ack ack;
    ack.ok = true;
    return envelopeOf(Wire::MessageKind::AckKind, Wire::encode(ack));
}

} // namespace

Peer::Peer(const Asio::any_io_executor &executor, const EntryId &self, std::int64_t incarnation, PeerAddress address)
    : m_id(std::move(address.id)), m_client(executor, self.str(), incarnation, std::move(address.endpoint))
{
}

awaitable<tl::expected<Wire::Envelope, CallError>>
Peer::call(Wire::MessageKind kind, std::string payload, Duration timeout)
{
    auto answer = co_await m_client.call(kind, std::move(payload), timeout);
    if (answer) {
        std::lock_guard lock(m_mutex);
        m_id = EntryId(answer->sender);
    }
    co_return answer;
}

PeerClient &Peer::client()
{
    return m_client;
}

EntryId Peer::id() const
{
    std::lock_guard lock(m_mutex);
    return m_id;
}

PeerExchange::PeerExchange(Asio::any_io_executor executor,
                           const EntrySettings &settings,
                           std::int64_t incarnation,
                           const Clock &clock,
                           MembershipTable &membership,
                           Router &router,
                           ConfigAgent &config,
                           MetricsRegistry &metrics)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_clock(clock)
    , m_membership(membership)
    , m_router(router)
    , m_config(config)
    , m_metrics(metrics)
{
    for (const auto &address : settings.peers) {
        m_peers.push_back(std::make_shared<Peer>(m_executor, settings.id, incarnation, address));
    }
}

void PeerExchange::start()
{
    spawn(m_executor, "peer push", [this] { return pushLoop(); });
    for (const auto &peer : m_peers) {
        spawn(m_executor, "peer digest", [this, peer] { return digestLoop(peer); });
    }
}

void PeerExchange::setDraining()
{
    m_draining = true;
}

const std::vector<std::shared_ptr<Peer>> &PeerExchange::peers() const
{
    return m_peers;
}

void PeerExchange::pushToAll(Wire::MessageKind kind, const std::string &payload)
{
    for (const auto &peer : m_peers) {
        spawn(m_executor, "peer message", [peer, kind, payload]() -> awaitable<void> {
            (void)co_await peer->call(kind, payload, peerTimeout);
        });
    }
}

awaitable<void> PeerExchange::pushLoop()
{
    std::string lastLoad;
    TimePoint lastLoadAt{};
    while (true) {
        const auto now = m_clock.now();
        Wire::MembershipDelta delta;
        delta.minions = m_membership.takeDelta(now);
        if (!delta.minions.empty()) {
            pushToAll(Wire::MessageKind::MembershipDeltaKind, Wire::encode(delta));
        }
        auto load = loadReport();
        if (load != lastLoad || now - lastLoadAt >= loadInterval) {
            pushToAll(Wire::MessageKind::LoadReportKind, load);
            lastLoad = std::move(load);
            lastLoadAt = now;
        }
        co_await sleepFor(pushInterval);
    }
}

awaitable<void> PeerExchange::digestLoop(std::shared_ptr<Peer> peer)
{
    while (true) {
        const auto answer = co_await peer->call(Wire::MessageKind::MembershipDigestKind, digestMessage(), peerTimeout);
        if (answer) {
            if (const auto delta = Wire::decode<Wire::MembershipDelta>(answer->payload)) {
                m_membership.apply(delta->minions, m_clock.now());
            }
        }
        m_metrics.counter("trefoilhoist_peer_digests_total", {{"result", answer ? "answered" : "lost"}}).add();
        co_await sleepFor(digestInterval);
    }
}

std::string PeerExchange::loadReport() const
{
    Wire::LoadReport report;
    for (const auto &[minion, count] : m_router.inFlight()) {
        if (count > 0) {
            Wire::LoadEntry entry;
            entry.minion = minion.str();
            entry.inFlight = count;
            report.loads.push_back(std::move(entry));
        }
    }
    return Wire::encode(report);
}

std::string PeerExchange::digestMessage() const
{
    Wire::MembershipDigest digest;
    digest.buckets = m_membership.digest();
    digest.availabilityZone = m_settings.zone.str();
    digest.configVersions = m_config.versions();
    digest.draining = m_draining;
    return Wire::encode(digest);
}

Wire::Envelope PeerExchange::answerDigest(const Wire::Envelope &envelope)
{
    Wire::MembershipDelta delta;
    if (const auto digest = Wire::decode<Wire::MembershipDigest>(envelope.payload)) {
        m_membership.applyOwnerDigest(EntryId(envelope.sender), digest->buckets, m_clock.now());
        delta.minions = m_membership.recordsIn(m_membership.differingBuckets(digest->buckets), m_clock.now());
        pullConfig(envelope.sender, digest->configVersions);
        if (digest->draining) {
            m_router.removePeer(EntryId(envelope.sender));
        }
    }
    return envelopeOf(Wire::MessageKind::MembershipDeltaKind, Wire::encode(delta));
}

void PeerExchange::pullConfig(const std::string &sender, const std::vector<std::int64_t> &versions)
{
    if (!m_config.behind(versions)) {
        return;
    }
    for (const auto &peer : m_peers) {
        if (peer->id().str() == sender) {
            spawn(m_executor, "config pull", [this, peer]() -> awaitable<void> {
                co_await m_config.pullFrom(peer->client());
            });
        }
    }
}

void PeerExchange::applyLoad(const Wire::Envelope &envelope)
{
    const auto report = Wire::decode<Wire::LoadReport>(envelope.payload);
    if (!report) {
        return;
    }
    std::map<MinionId, int> inFlight;
    for (const auto &load : report->loads) {
        inFlight[MinionId(load.minion)] += load.inFlight;
    }
    m_router.setPeerLoad(EntryId(envelope.sender), inFlight, m_clock.now());
}

std::optional<Wire::Envelope> PeerExchange::handle(const Wire::Envelope &envelope)
{
    switch (envelope.kind) {
    case Wire::MessageKind::MembershipDigestKind:
        return answerDigest(envelope);
    case Wire::MessageKind::MembershipDeltaKind:
        if (const auto delta = Wire::decode<Wire::MembershipDelta>(envelope.payload)) {
            m_membership.apply(delta->minions, m_clock.now());
        }
        return acknowledgement();
    case Wire::MessageKind::LoadReportKind:
        applyLoad(envelope);
        return acknowledgement();
    case Wire::MessageKind::HelloKind:
        return acknowledgement();
    default:
        return m_config.handle(envelope);
    }
}

} // namespace Trefoilhoist
