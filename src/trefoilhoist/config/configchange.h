#pragma once

#include "trefoilhoist/config/configsegment.h"
#include "trefoilhoist/store/storeclient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Trefoilhoist {

/// The compare-and-swap took effect.
struct ChangeAccepted {
    std::int64_t version = 0;
    /// An earlier try with the same write id had taken effect already.
    bool repeated = false;
};

/// The change has not taken effect and never will.
struct ChangeRefused {
    std::string reason;
    /// The other operator's change that stands in the way.
    std::optional<ConfigRecord> other;
};

/// The change may have taken effect, or may still.
struct ChangeUnsettled {
    std::string reason;
    /// The version the edit was made on; a repeat with the same write id and this version is safe.
    std::int64_t seenVersion = 0;
};

using ChangeOutcome = std::variant<ChangeAccepted, ChangeRefused, ChangeUnsettled>;

/// Read the segment and report to read().
struct ReadSegment {
};

/// Write the segment and report to written().
struct WriteSegment {
    std::string value;
    std::uint64_t modifyIndex = 0;
};

using ChangeAction = std::variant<ReadSegment, WriteSegment, ChangeOutcome>;

/// Mechanisms that a test switches off to see the promise break.
struct ConfigChangeGuards {
    /// Looks for the own write id before it writes again.
    bool recogniseWriteIds = true;
    /// Refuses an edit of a label that another operator changed meanwhile.
    bool refuseConflicts = true;
};

/// What the writer knows of its edit.
struct ConfigChangeRequest {
    ConfigEdit edit;
    std::string writeId;
    std::string author;
    std::int64_t atMs = 0;
    /// The segment's version that the author saw; nothing for the one of the first read.
    std::optional<std::int64_t> seenVersion;
};

/// Brings one edit into a segment by compare-and-swap and settles lost answers.
///
/// Every write carries the write id in the segment's history. A write whose answer is lost is sent again
/// unchanged, under the same modify index, until the store answers or the segment has moved on. Then the record
/// of the version that the write would have made decides: with our id it was accepted, with another it never
/// will be and the edit is made anew on the newer segment. When that record has been pushed out of the history,
/// a lost answer stays unsettled.
class ConfigChange
{
public:
    explicit ConfigChange(ConfigChangeRequest request, ConfigChangeGuards guards = {});

    /// The first action.
    [[nodiscard]] ChangeAction start() const;
    [[nodiscard]] ChangeAction read(const StoreResult<std::optional<StoreEntry>> &result);
    [[nodiscard]] ChangeAction written(const StoreResult<bool> &result);
    /// What is known when the author's time is over.
    [[nodiscard]] ChangeOutcome giveUp(const std::string &reason) const;

private:
    // One compare-and-swap, sent one or more times.
    struct Attempt {
        WriteSegment write;
        std::int64_t version = 0;
        // An answer of it was lost.
        bool uncertain = false;
    };

    [[nodiscard]] const ConfigRecord *ownRecord(const ConfigSegment &segment) const;
    [[nodiscard]] std::optional<ChangeRefused> conflict(const ConfigSegment &segment) const;
    [[nodiscard]] ChangeAction writeOn(ConfigSegment segment, std::uint64_t modifyIndex);
    [[nodiscard]] std::int64_t seenVersion() const;

    ConfigChangeRequest m_request;
    ConfigChangeGuards m_guards;
    std::optional<ConfigSegment> m_seen;
    std::optional<Attempt> m_attempt;
};

} // namespace Trefoilhoist
