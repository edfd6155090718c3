// What must hold of all runs of a soak, read from the records of the minions.
#pragma once

#include "review/standins/record.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Trefoilhoist::Soak {

/// A time for which a minion's host was suspended, and the slack that the users' rules give it to stop what it runs.
struct Suspension {
    std::int64_t fromMs = 0;
    std::int64_t untilMs = 0;
};

/// One run of a task on one incarnation of a minion.
struct RecordedRun {
    std::string minion;
    std::string task;
    std::int64_t run = 0;
    std::int64_t startedAtMs = 0;
    /// When the run was over; the end of the soak if it never was.
    std::int64_t endedAtMs = 0;
    /// How the run ended; empty if it didn't.
    std::string how;
    /// The minion was told that the end is recorded, and its hold had not expired since the end.
    bool noted = false;
    std::vector<Suspension> suspensions;
};

/// A minion's record, and when its process was killed; 0 if it was alive to the end.
struct MinionRecord {
    std::string path;
    std::int64_t killedAtMs = 0;
    std::vector<Suspension> suspensions;
};

/// Reads the runs of one incarnation of a minion.
[[nodiscard]] std::vector<RecordedRun> readRuns(const MinionRecord &record, std::int64_t soakEndMs);

/// Describes each run that was at work beside another run of its task, on hosts that are not suspended, or began after
/// one was done and noted.
[[nodiscard]] std::vector<std::string> findRunsTwice(const std::vector<RecordedRun> &runs);

/// The number of tasks of the job that have ended as done.
[[nodiscard]] std::size_t doneTasks(const std::vector<RecordedRun> &runs, const std::string &job);

} // namespace Trefoilhoist::Soak
