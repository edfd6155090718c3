#pragma once

#include "trefoilhoist/store/storeclient.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace Trefoilhoist {

/// Read this key of the store.
struct ReadValue {
    std::string key;
};

/// Write the key if its modify index is still `modifyIndex` (0: if it does not exist).
struct WriteValue {
    std::string key;
    std::string value;
    std::uint64_t modifyIndex = 0;
};

using StoreCommand = std::variant<ReadValue, WriteValue>;

/// How a compare-and-swap went.
enum class WriteOutcome {
    Written,
    /// Someone else wrote in between.
    Conflict,
    NotDone,
    /// The answer was lost: it may have taken effect.
    Unknown,
};

/// One key's answer to a StoreCommand.
struct ValueRead {
    std::string key;
    /// Nothing when the read failed.
    bool ok = false;
    /// An empty text with index 0 when the key does not exist.
    std::string value;
    std::uint64_t modifyIndex = 0;
};

struct ValueWritten {
    std::string key;
    WriteOutcome outcome = WriteOutcome::NotDone;
};

using StoreReply = std::variant<ValueRead, ValueWritten>;

/// Edits one value of the store by compare-and-swap until the edit stands: read, edit, write, and after a lost
/// answer or a conflict read again, so that the value itself says whether the write took effect. One edit at a
/// time; what is asked for meanwhile goes into the next. Not thread-safe.
class CasEditor
{
public:
    /// Gives the new value for the present one, or nothing when the present one needs no change.
    using Edit = std::function<std::optional<std::string>(const ValueRead &)>;

    explicit CasEditor(std::string key, Duration retryAfter = milliseconds(200));

    /// Asks for an edit.
    void request();
    /// The read that begins the edit, when one is asked for and due.
    std::optional<StoreCommand> poll(TimePoint now);
    /// Takes the value read. Sets `resolved` when the value needs no change.
    std::optional<StoreCommand> read(TimePoint now, const ValueRead &value, const Edit &edit, bool &resolved);
    /// Takes the write's outcome; true when the edit stands.
    bool written(TimePoint now, WriteOutcome outcome);

    /// True while an edit is asked for or under way.
    [[nodiscard]] bool busy() const;
    /// True when a write has been sent whose outcome is not known.
    [[nodiscard]] bool hasUnresolvedWrite() const;
    [[nodiscard]] const std::string &key() const;

private:
    enum class Step { Idle, Reading, Writing };

    void retry(TimePoint now);

    std::string m_key;
    Duration m_retryAfter;
    Step m_step = Step::Idle;
    bool m_requested = false;
    bool m_hasUnresolvedWrite = false;
    TimePoint m_notBefore{};
};

/// Carries out a command over a store client.
[[nodiscard]] awaitable<StoreReply> runStoreCommand(StoreClient &store, StoreCommand command);

} // namespace Trefoilhoist
