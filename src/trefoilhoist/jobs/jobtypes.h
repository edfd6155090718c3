#pragma once

#include "idl/gen/messages_types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace Trefoilhoist::Jobs {

/// A name for logs, also for a number of another version that has none.
template <std::size_t Count>
[[nodiscard]] constexpr std::string_view nameAt(const std::array<std::string_view, Count> &names, std::size_t number)
{
    return number < Count ? names[number] : "unknown";
}

/// Lifecycle state of a job. The values are recorded in the store, so their meaning must never change.
enum class JobPhase { Queued = 0, Running = 1, Completed = 2, Failed = 3, Cancelled = 4 };

inline constexpr std::array<std::string_view, 5> jobPhaseNames
    = {"queued", "running", "completed", "failed", "cancelled"};

[[nodiscard]] constexpr std::string_view phaseName(JobPhase phase)
{
    return nameAt(jobPhaseNames, static_cast<std::size_t>(phase));
}

[[nodiscard]] constexpr bool isFinal(JobPhase phase)
{
    return phase == JobPhase::Completed || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
}

/// How a run ended on its minion.
enum class EndKind {
    Done = 0,
    /// The task or the minion failed; counts as an attempt.
    Failed = 1,
    Stopped = 2,
    /// The minion's lease expired.
    Lapsed = 3,
    /// Another member of its gang ended.
    Broken = 4,
    /// The other members of its gang did not start in time.
    Alone = 5,
};

inline constexpr std::array<std::string_view, 6> endKindNames
    = {"done", "failed", "stopped", "lapsed", "broken", "alone"};

[[nodiscard]] constexpr std::string_view endName(EndKind kind)
{
    return nameAt(endKindNames, static_cast<std::size_t>(kind));
}

/// Why the owner gave up a run, or all runs of an incarnation of a minion.
enum class LossCause {
    /// The agent reports that the minion's process has ended, or that its lease has expired.
    MinionGone = 0,
    /// Another incarnation of the minion reports.
    Replaced = 1,
    /// The agent has not reported for the time of a lease.
    LeaseExpired = 2,
    /// The minion has left permanently.
    Left = 3,
    /// A listing that began after the run's last order was answered doesn't show it.
    NotListed = 4,
};

inline constexpr std::array<std::string_view, 5> lossCauseNames
    = {"minion gone", "replaced by a new incarnation", "lease expired", "minion left", "not listed"};

[[nodiscard]] constexpr std::string_view lossCauseName(LossCause cause)
{
    return nameAt(lossCauseNames, static_cast<std::size_t>(cause));
}

/// Result of one order at the minion.
enum class OrderResult {
    /// The run exists there, or the stop was accepted.
    Done = 0,
    /// No answer: the order may have been executed, or may still be.
    Unknown = 1,
    /// This run or a later run of its task has ended or was stopped on the minion.
    Superseded = 2,
    /// The minion lacks the free capacity; nothing was done.
    NoRoom = 3,
    /// The minion or its agent refuses the order for now; nothing was done.
    Refused = 4,
    /// The order is invalid, so a retry would fail as well; nothing was done.
    Invalid = 5,
};

inline constexpr std::array<std::string_view, 6> orderResultNames
    = {"done", "unknown", "superseded", "no-room", "refused", "invalid"};

[[nodiscard]] constexpr std::string_view orderResultName(OrderResult result)
{
    return nameAt(orderResultNames, static_cast<std::size_t>(result));
}

/// Result of a caller's request about a job.
enum class JobOutcome {
    /// The job was accepted and recorded, or the query was answered.
    Ok = 0,
    /// No such job.
    Unknown = 1,
    /// Not accepted; nothing was recorded and nothing will run.
    Refused = 2,
    /// It is not known whether the job was recorded; a retry with the same id resolves this.
    Unresolved = 3,
    /// The process that received the request does not own the scheduling.
    NotOwner = 4,
};

/// State of a submission.
enum class SubmissionState {
    /// Known and recorded.
    Known,
    /// Known from an earlier submission that is still being recorded.
    Pending,
    /// Added just now; it must be recorded before anything else.
    New,
    /// Refused: the job was cancelled before this submission arrived.
    CancelledBefore,
    /// Refused: the memory for jobs is used up.
    NoMemory,
    /// Refused: there is no room for the job's long-running tasks beside the short ones.
    NoRoom,
};

/// Number of tasks that one occurrence of a job may have, and that a repeated job may have in all its open occurrences.
/// The owner keeps the state of each in memory.
inline constexpr std::int64_t maxTasksOfJob = 100'000;

/// Longest specification of a job's work.
inline constexpr std::size_t maxSpecificationBytes = 4000;
/// Largest record of a submission. A commit carries up to 15 of them.
inline constexpr std::size_t maxSubmissionBytes = std::size_t{64} << 10U;

/// Identifies one run of a task. Later runs of a task have higher numbers.
struct RunKey {
    Wire::TaskRef task;
    std::int64_t run = 0;

    bool operator<(const RunKey &other) const;
    bool operator==(const RunKey &other) const;
};

/// Identifies a step of an occurrence: id of the job, numbers of the occurrence and of the step.
using StepKey = std::tuple<std::string, int, int>;

/// Number of tasks of one occurrence.
[[nodiscard]] std::int64_t taskCount(const Wire::JobSpec &spec);

/// Why a submission is larger than the owner of the scheduling keeps; nothing if it isn't.
[[nodiscard]] std::optional<std::string> reasonTooLarge(const Wire::JobSpec &spec);

[[nodiscard]] Wire::TaskRef taskRef(const std::string &job, int occurrence, std::size_t step, std::size_t index);

/// For logs: JOB.OCCURRENCE.STEP.INDEX.
[[nodiscard]] std::string taskName(const Wire::TaskRef &task);

} // namespace Trefoilhoist::Jobs
