#include "trefoilhoist/config/configtable.h"

#include "trefoilhoist/config/configsegment.h"
#include "trefoilhoist/internal/invariant.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <utility>

namespace Trefoilhoist {

namespace {

constexpr std::array<std::pair<ObjectKind, std::string_view>, 6> kindNames{{
    {ObjectKind::Service, "service"},
    {ObjectKind::BatchClass, "class"},
    {ObjectKind::Worker, "worker"},
    {ObjectKind::Minion, "minion"},
    {ObjectKind::Team, "team"},
    {ObjectKind::Caller, "caller"},
}};

struct AppliedSegment {
    std::int64_t version = 0;
    std::string value;
    ConfigSegment content;
};

} // namespace

std::string_view objectKindName(ObjectKind kind)
{
    const auto *it
        = std::find_if(kindNames.begin(), kindNames.end(), [&](const auto &row) { return row.first == kind; });
    return it == kindNames.end() ? std::string_view() : it->second;
}

std::optional<ObjectKind> objectKindFromName(std::string_view name)
{
    const auto *it
        = std::find_if(kindNames.begin(), kindNames.end(), [&](const auto &row) { return row.second == name; });
    return it == kindNames.end() ? std::nullopt : std::optional(it->first);
}

int configSegmentOf(ObjectKind kind, std::string_view name)
{
    const auto text = std::string(objectKindName(kind)) + "/" + std::string(name);
    return static_cast<int>(XXH64(text.data(), text.size(), 0) % configSegmentCount);
}

struct ConfigTable::State {
    std::array<AppliedSegment, configSegmentCount> segments;
    std::uint64_t generation = 0;
};

ConfigTable::ConfigTable(ConfigTableGuards guards)
    : m_guards(guards), m_mutex(Detail::LockRank::Config), m_state(std::make_unique<State>())
{
}

ConfigTable::~ConfigTable() = default;

bool ConfigTable::apply(int segment, std::int64_t version, const std::string &value)
{
    if (segment < 0 || segment >= configSegmentCount || !isNews(segment, version, value)) {
        return false;
    }
    auto content = ConfigSegment::parse(value);
    if (!content || content->version != version) {
        LOG(ERROR) << "event=config_segment_unreadable segment=" << segment << " version=" << version << " reason=\""
                   << (content ? "the version differs from the value's" : content.error()) << "\"";
        return false;
    }
    std::lock_guard lock(m_mutex);
    auto &applied = m_state->segments[static_cast<std::size_t>(segment)];
    // Another thread may have applied a newer one since isNews().
    if (version <= applied.version && m_guards.refuseOlder) {
        return false;
    }
    TREFOILHOIST_INVARIANT(version > applied.version, "P9 a segment's version in force only rises");
    applied = {version, value, std::move(*content)};
    ++m_state->generation;
    return true;
}

bool ConfigTable::isNews(int segment, std::int64_t version, const std::string &value) const
{
    std::lock_guard lock(m_mutex);
    const auto &applied = m_state->segments[static_cast<std::size_t>(segment)];
    if (version == applied.version && value != applied.value) {
        LOG(ERROR) << "event=config_segment_conflict segment=" << segment << " version=" << version
                   << " reason=\"two values of one version; the first stays in force\"";
    }
    return version > applied.version || !m_guards.refuseOlder;
}

std::vector<std::int64_t> ConfigTable::versions() const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::int64_t> versions;
    versions.reserve(configSegmentCount);
    for (const auto &applied : m_state->segments) {
        versions.push_back(applied.version);
    }
    return versions;
}

std::optional<std::string> ConfigTable::value(int segment) const
{
    std::lock_guard lock(m_mutex);
    if (segment < 0 || segment >= configSegmentCount) {
        return std::nullopt;
    }
    const auto &applied = m_state->segments[static_cast<std::size_t>(segment)];
    return applied.version == 0 ? std::nullopt : std::optional(applied.value);
}

std::optional<ConfigObject> ConfigTable::find(ObjectKind kind, std::string_view name) const
{
    std::lock_guard lock(m_mutex);
    const auto &applied = m_state->segments[static_cast<std::size_t>(configSegmentOf(kind, name))];
    const auto *object = applied.content.find(kind, std::string(name));
    return object == nullptr ? std::nullopt : std::optional(*object);
}

std::vector<ConfigObject> ConfigTable::all(ObjectKind kind) const
{
    std::lock_guard lock(m_mutex);
    std::vector<ConfigObject> found;
    for (const auto &applied : m_state->segments) {
        std::copy_if(applied.content.objects.begin(),
                     applied.content.objects.end(),
                     std::back_inserter(found),
                     [&](const ConfigObject &object) { return object.kind == kind; });
    }
    std::sort(found.begin(), found.end(), [](const ConfigObject &a, const ConfigObject &b) { return a.name < b.name; });
    return found;
}

std::string
ConfigTable::label(ObjectKind kind, std::string_view name, std::string_view key, std::string_view fallback) const
{
    std::lock_guard lock(m_mutex);
    const auto &applied = m_state->segments[static_cast<std::size_t>(configSegmentOf(kind, name))];
    const auto *object = applied.content.find(kind, std::string(name));
    if (object == nullptr) {
        return std::string(fallback);
    }
    const auto it = object->labels.find(std::string(key));
    return it == object->labels.end() ? std::string(fallback) : it->second;
}

std::uint64_t ConfigTable::generation() const
{
    std::lock_guard lock(m_mutex);
    return m_state->generation;
}

} // namespace Trefoilhoist
