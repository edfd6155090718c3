#pragma once

#include "idl/gen/messages_types.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace Trefoilhoist::Jobs {

/// Where a job stands. The numbers are recorded in the store and never change their meaning.
enum class JobPhase { Queued = 0, Running = 1, Completed = 2, Failed = 3, Cancelled = 4 };

inline constexpr std::array<std::string_view, 5> jobPhaseNames
    = {"queued", "running", "completed", "failed", "cancelled"};

[[nodiscard]] constexpr std::string_view phaseName(JobPhase phase)
{
    return jobPhaseNames.at(static_cast<std::size_t>(phase));
}

[[nodiscard]] constexpr bool isFinal(JobPhase phase)
{
    return phase == JobPhase::Completed || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
}

/// How a run ended on its minion.
enum class EndKind {
    Done = 0,
    /// Through its own fault or the minion's; counts as an attempt.
    Failed = 1,
    Stopped = 2,
    /// The minion's lease ran out.
    Lapsed = 3,
    /// Another member of its gang ended.
    Broken = 4,
    /// The other members of its gang did not come in time.
    Alone = 5,
};

inline constexpr std::array<std::string_view, 6> endKindNames
    = {"done", "failed", "stopped", "lapsed", "broken", "alone"};

[[nodiscard]] constexpr std::string_view endName(EndKind kind)
{
    return endKindNames.at(static_cast<std::size_t>(kind));
}

/// What became of one order at the minion.
enum class OrderResult {
    /// The run is there, or the stop was taken.
    Done = 0,
    /// No answer: the order may have been carried out, or may still be.
    Unknown = 1,
    /// The run, or a later one of its task, has ended or was stopped there.
    Superseded = 2,
    /// Does not fit; nothing was done.
    NoRoom = 3,
    /// The minion or its agent refuses for now; nothing was done.
    Refused = 4,
    /// The order can never be carried out as it is; nothing was done.
    Invalid = 5,
};

inline constexpr std::array<std::string_view, 6> orderResultNames
    = {"done", "unknown", "superseded", "no-room", "refused", "invalid"};

[[nodiscard]] constexpr std::string_view orderResultName(OrderResult result)
{
    return orderResultNames.at(static_cast<std::size_t>(result));
}

/// Answers to callers' questions about jobs.
enum class JobOutcome {
    /// Accepted and recorded, or the question answered.
    Ok = 0,
    /// No such job.
    Unknown = 1,
    /// Not accepted; nothing was recorded and nothing will run.
    Refused = 2,
    /// It can't be told whether the job was recorded; asking again with the same id settles it.
    Unresolved = 3,
    /// Asked of a process that does not own the scheduling.
    NotOwner = 4,
};

/// One run of a task. Runs of a task are ordered by number.
struct RunKey {
    Wire::TaskRef task;
    std::int64_t run = 0;

    bool operator<(const RunKey &other) const;
    bool operator==(const RunKey &other) const;
};

[[nodiscard]] Wire::TaskRef taskRef(const std::string &job, int occurrence, std::size_t step, std::size_t index);

/// For logs: JOB.OCCURRENCE.STEP.INDEX.
[[nodiscard]] std::string taskName(const Wire::TaskRef &task);

} // namespace Trefoilhoist::Jobs
