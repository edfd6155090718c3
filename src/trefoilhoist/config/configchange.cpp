#include "trefoilhoist/config/configchange.h"

#include <algorithm>
#include <utility>

namespace Trefoilhoist {

namespace {

bool sameObject(const ConfigEdit &left, const ConfigEdit &right)
{
    return left.kind == right.kind && left.name == right.name;
}

bool shareKey(const LabelEdits &left, const LabelEdits &right)
{
    return std::any_of(left.begin(), left.end(), [&](const auto &item) { return right.count(item.first) != 0; });
}

bool sameValue(const LabelEdits &edits, const Labels &before, const Labels &after)
{
    return std::all_of(edits.begin(), edits.end(), [&](const auto &item) {
        const auto was = before.find(item.first);
        const auto is = after.find(item.first);
        if (was == before.end() || is == after.end()) {
            return was == before.end() && is == after.end();
        }
        return was->second == is->second;
    });
}

// True when the history tells each change after `version`.
bool covers(const ConfigSegment &segment, std::int64_t version)
{
    return segment.version <= version || (!segment.history.empty() && segment.history.front().version <= version + 1);
}

const ConfigObject &objectOf(const ConfigSegment &segment, const ConfigEdit &edit)
{
    static const ConfigObject none;
    const auto *object = segment.find(edit.kind, edit.name);
    return object == nullptr ? none : *object;
}

} // namespace

ConfigChange::ConfigChange(ConfigChangeRequest request, ConfigChangeGuards guards)
    : m_request(std::move(request)), m_guards(guards)
{
}

ChangeAction ConfigChange::start() const
{
    return ReadSegment{};
}

ChangeAction ConfigChange::read(const StoreResult<std::optional<StoreEntry>> &result)
{
    if (!result) {
        return ReadSegment{};
    }
    ConfigSegment segment;
    if (*result) {
        auto parsed = ConfigSegment::parse((*result)->value);
        if (!parsed) {
            const std::string reason = "the segment in the store is unreadable: " + parsed.error();
            return m_attempt && m_attempt->uncertain ? ChangeOutcome(ChangeUnsettled{reason, seenVersion()})
                                                     : ChangeOutcome(ChangeRefused{reason, std::nullopt});
        }
        segment = std::move(*parsed);
    }
    if (const auto *own = ownRecord(segment)) {
        return ChangeOutcome(ChangeAccepted{own->version, !m_attempt});
    }
    if (m_attempt && segment.version < m_attempt->version && m_guards.recogniseWriteIds) {
        // Not taken effect so far, but a copy may be on its way: only the same write again is safe.
        return m_attempt->write;
    }
    const bool lostTrack = m_attempt ? m_attempt->uncertain && !covers(segment, m_attempt->version - 1)
                                     : m_request.seenVersion && !covers(segment, *m_request.seenVersion);
    if (lostTrack && m_guards.recogniseWriteIds) {
        return ChangeOutcome(
            ChangeUnsettled{"the segment's history no longer reaches back to this change", seenVersion()});
    }
    if (!m_seen) {
        m_seen = segment;
    }
    if (auto refused = conflict(segment)) {
        return ChangeOutcome(std::move(*refused));
    }
    return writeOn(std::move(segment), *result ? (*result)->modifyIndex : 0);
}

ChangeAction ConfigChange::written(const StoreResult<bool> &result)
{
    if (result && *result) {
        return ChangeOutcome(ChangeAccepted{m_attempt->version, false});
    }
    if (!result && result.error().failure == StoreFailure::Unknown) {
        m_attempt->uncertain = true;
    }
    return ReadSegment{};
}

ChangeOutcome ConfigChange::giveUp(const std::string &reason) const
{
    if (m_attempt && m_attempt->uncertain) {
        return ChangeUnsettled{reason, seenVersion()};
    }
    return ChangeRefused{reason, std::nullopt};
}

const ConfigRecord *ConfigChange::ownRecord(const ConfigSegment &segment) const
{
    if (!m_guards.recogniseWriteIds) {
        return nullptr;
    }
    const auto it = std::find_if(segment.history.begin(), segment.history.end(), [&](const ConfigRecord &record) {
        return record.writeId == m_request.writeId;
    });
    return it == segment.history.end() ? nullptr : &*it;
}

std::optional<ChangeRefused> ConfigChange::conflict(const ConfigSegment &segment) const
{
    const auto &edit = m_request.edit;
    if (!m_guards.refuseConflicts) {
        return std::nullopt;
    }
    // The newest conflicting change is the one that is shown.
    for (auto it = segment.history.rbegin(); it != segment.history.rend() && it->version > seenVersion(); ++it) {
        if (sameObject(it->edit, edit)
            && (shareKey(it->edit.labels, edit.labels) || shareKey(it->edit.selectors, edit.selectors))) {
            return ChangeRefused{"another operator changed the same label", *it};
        }
    }
    if (covers(segment, seenVersion())) {
        return std::nullopt;
    }
    const auto &before = objectOf(*m_seen, edit);
    const auto &after = objectOf(segment, edit);
    if (sameValue(edit.labels, before.labels, after.labels)
        && sameValue(edit.selectors, before.selectors, after.selectors)) {
        return std::nullopt;
    }
    return ChangeRefused{"the label changed meanwhile; the change has left the history", std::nullopt};
}

ChangeAction ConfigChange::writeOn(ConfigSegment segment, std::uint64_t modifyIndex)
{
    segment.apply({m_request.writeId, 0, m_request.author, m_request.atMs, m_request.edit});
    m_attempt = Attempt{{segment.text(), modifyIndex}, segment.version, false};
    return m_attempt->write;
}

std::int64_t ConfigChange::seenVersion() const
{
    if (m_request.seenVersion) {
        return *m_request.seenVersion;
    }
    return m_seen ? m_seen->version : 0;
}

} // namespace Trefoilhoist
