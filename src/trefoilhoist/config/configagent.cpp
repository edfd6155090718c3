#include "trefoilhoist/config/configagent.h"

#include "trefoilhoist/config/configsegment.h"
#include "trefoilhoist/store/keys.h"
#include "trefoilhoist/wire/message.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <charconv>

namespace Trefoilhoist {

namespace {

// Well under a frame; one segment above it travels alone.
constexpr std::size_t maxSegmentBytesPerFrame = std::size_t{2} << 20U;

std::optional<int> segmentOfKey(const std::string &key)
{
    const auto &prefix = StoreKeys::configSegments;
    int segment = -1;
    if (key.rfind(prefix, 0) != 0) {
        return std::nullopt;
    }
    const auto [end, ec] = std::from_chars(key.data() + prefix.size(), key.data() + key.size(), segment);
    const bool whole = ec == std::errc() && end == key.data() + key.size();
    return whole && segment >= 0 && segment < configSegmentCount ? std::optional(segment) : std::nullopt;
}

std::int64_t versionOf(const std::string &value)
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    const bool known = json.is_object() && json.contains("version") && json.at("version").is_number_integer();
    return known ? json.at("version").get<std::int64_t>() : 0;
}

} // namespace

ConfigAgentOptions configAgentOptions(const std::string &processId)
{
    ConfigAgentOptions options;
    options.seed = XXH64(processId.data(), processId.size(), 0);
    return options;
}

ConfigAgent::ConfigAgent(ConfigTable &table, std::shared_ptr<StoreClient> store, ConfigAgentOptions options)
    : m_table(table), m_store(std::move(store)), m_options(options)
{
}

void ConfigAgent::startWatching(const Asio::any_io_executor &executor)
{
    if (m_store) {
        spawn(executor, "config watch", [self = shared_from_this()] { return self->watchLoop(); });
    }
}

void ConfigAgent::stop()
{
    m_stopped = true;
}

std::vector<std::int64_t> ConfigAgent::versions() const
{
    return m_table.versions();
}

bool ConfigAgent::behind(const std::vector<std::int64_t> &peerVersions) const
{
    const auto own = m_table.versions();
    for (std::size_t i = 0; i < own.size() && i < peerVersions.size(); ++i) {
        if (peerVersions[i] > own[i]) {
            return true;
        }
    }
    return false;
}

Wire::ConfigSegments ConfigAgent::segmentsNewerThan(const std::vector<std::int64_t> &versions) const
{
    Wire::ConfigSegments newer;
    std::size_t bytes = 0;
    const auto own = m_table.versions();
    for (std::size_t i = 0; i < own.size(); ++i) {
        if (own[i] <= (i < versions.size() ? versions[i] : 0)) {
            continue;
        }
        // The value may be newer than `own`; its own version goes with it.
        auto value = m_table.value(static_cast<int>(i));
        if (!value || (bytes > 0 && bytes + value->size() > maxSegmentBytesPerFrame)) {
            continue;
        }
        bytes += value->size();
        Wire::ConfigSegment segment;
        segment.index = static_cast<std::int32_t>(i);
        segment.version = versionOf(*value);
        segment.value = std::move(*value);
        newer.segments.push_back(std::move(segment));
    }
    return newer;
}

std::size_t ConfigAgent::applySegments(const Wire::ConfigSegments &segments)
{
    std::size_t applied = 0;
    for (const auto &segment : segments.segments) {
        if (m_table.apply(segment.index, segment.version, segment.value)) {
            ++applied;
        }
    }
    return applied;
}

std::optional<Wire::Envelope> ConfigAgent::handle(const Wire::Envelope &envelope)
{
    Wire::Envelope reply;
    if (envelope.kind == Wire::MessageKind::ConfigDigestKind) {
        const auto digest = Wire::decode<Wire::ConfigDigest>(envelope.payload);
        if (!digest) {
            return std::nullopt;
        }
        reply.kind = Wire::MessageKind::ConfigSegmentsKind;
        reply.payload = Wire::encode(segmentsNewerThan(digest->versions));
        return reply;
    }
    if (envelope.kind == Wire::MessageKind::ConfigSegmentsKind) {
        const auto segments = Wire::decode<Wire::ConfigSegments>(envelope.payload);
        if (!segments) {
            return std::nullopt;
        }
        applySegments(*segments);
        Wire::Ack ack;
        ack.ok = true;
        reply.kind = Wire::MessageKind::AckKind;
        reply.payload = Wire::encode(ack);
        return reply;
    }
    return std::nullopt;
}

awaitable<bool> ConfigAgent::pullFrom(PeerClient &peer)
{
    // More than one frame's worth takes several rounds; each must bring something.
    for (int round = 0; round < configSegmentCount; ++round) {
        Wire::ConfigDigest digest;
        digest.versions = versions();
        const auto reply
            = co_await peer.call(Wire::MessageKind::ConfigDigestKind, Wire::encode(digest), m_options.peerTimeout);
        if (!reply || reply->kind != Wire::MessageKind::ConfigSegmentsKind) {
            co_return false;
        }
        const auto segments = Wire::decode<Wire::ConfigSegments>(reply->payload);
        if (!segments) {
            co_return false;
        }
        if (applySegments(*segments) == 0) {
            break;
        }
    }
    co_return true;
}

std::string ConfigAgent::report() const
{
    const nlohmann::json json{{"versions", versions()}};
    return json.dump();
}

awaitable<void> ConfigAgent::watchLoop()
{
    StoreWatch watch(m_options.watch, m_options.seed);
    while (!m_stopped) {
        const auto call = watch.next();
        const auto pause = call.notBefore - m_clock.now();
        if (pause > Duration{}) {
            co_await sleepFor(pause);
        }
        const auto sentAt = m_clock.now();
        const auto listing = co_await m_store->watch(StoreKeys::configSegments, call.index, call.wait);
        watch.answered(listing, sentAt, m_clock.now());
        if (listing) {
            applyListing(*listing);
        } else {
            LOG_EVERY_N(WARNING, 10) << "event=config_watch_failed reason=\"" << listing.error().reason << "\"";
        }
    }
}

void ConfigAgent::applyListing(const StoreListing &listing)
{
    for (const auto &entry : listing.entries) {
        const auto segment = segmentOfKey(entry.key);
        if (segment) {
            m_table.apply(*segment, versionOf(entry.value), entry.value);
        }
    }
}

} // namespace Trefoilhoist
