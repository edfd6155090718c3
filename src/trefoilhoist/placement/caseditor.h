#pragma once

#include "trefoilhoist/store/storeclient.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace Trefoilhoist {

/// Reads a key of the store.
struct ReadValue {
    std::string key;
};

/// Writes a key if its modify index still equals `modifyIndex`, or with 0 if the key does not exist.
struct WriteValue {
    std::string key;
    std::string value;
    std::uint64_t modifyIndex = 0;
};

using StoreCommand = std::variant<ReadValue, WriteValue>;

/// Outcome of a compare-and-swap.
enum class WriteOutcome {
    Written,
    /// Another writer changed the value in the meantime.
    Conflict,
    /// The write did not take effect.
    NotDone,
    /// The answer was lost, so the write may have taken effect.
    Unknown,
};

/// Result of a ReadValue command.
struct ValueRead {
    std::string key;
    /// False if the read failed; the other fields are then empty.
    bool ok = false;
    /// Empty, with modify index 0, if the key does not exist.
    std::string value;
    std::uint64_t modifyIndex = 0;
};

/// Result of a WriteValue command.
struct ValueWritten {
    std::string key;
    WriteOutcome outcome = WriteOutcome::NotDone;
};

using StoreReply = std::variant<ValueRead, ValueWritten>;

/// Edits one value of the store by compare-and-swap: reads the value, applies the edit and writes the result. After a
/// conflict or a lost answer it reads again, so the value itself shows whether the write took effect, and repeats the
/// edit until it is in the store. One edit runs at a time; a request that arrives meanwhile starts another edit after
/// it. Not thread-safe.
class CasEditor
{
public:
    /// Returns the new value for the current one, or nothing if the current one needs no change.
    using Edit = std::function<std::optional<std::string>(const ValueRead &)>;

    explicit CasEditor(std::string key, Duration retryAfter = milliseconds(200));

    /// Requests an edit.
    void request();
    /// Returns the read that starts a requested edit, if one is due.
    std::optional<StoreCommand> poll(TimePoint now);
    /// Applies the edit to the value that was read and returns the write. Sets `resolved` if no write is needed.
    std::optional<StoreCommand> applyRead(TimePoint now, const ValueRead &value, const Edit &edit, bool &resolved);
    /// Applies the outcome of the write. Returns true if the edit is in the store, and schedules a retry otherwise.
    bool applyWritten(TimePoint now, WriteOutcome outcome);

    /// True while an edit is requested or in progress.
    [[nodiscard]] bool busy() const;
    /// True if a write was sent whose outcome is not known.
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
    /// Earliest time of the next read, after a retry was scheduled.
    TimePoint m_notBefore{};
};

/// Executes a command with a store client.
[[nodiscard]] awaitable<StoreReply> runStoreCommand(StoreClient &store, StoreCommand command);

} // namespace Trefoilhoist
