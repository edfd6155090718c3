#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/world/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Trefoilhoist::Jobs {

/// The crashes of workers under the runs of one task, and what follows from them for the task.
class CrashHistory
{
public:
    CrashHistory() = default;
    explicit CrashHistory(std::vector<Wire::RunCrash> crashes);

    /// Adds a crash. Returns false if a crash under this run is known: a start order that got no answer, or a gang, can
    /// be on several workers that crash, but counts once.
    bool add(Wire::RunCrash crash);
    /// To be called when a run of the task has worked on while it was observed: earlier crashes had other causes more
    /// likely than it seemed.
    void observeSurvival();

    /// True if a crash was on the machine of this agent.
    [[nodiscard]] bool containsAgent(const std::string &agent) const;
    [[nodiscard]] bool isEmpty() const
    {
        return m_crashes.empty();
    }
    [[nodiscard]] std::size_t count() const
    {
        return m_crashes.size();
    }
    /// The sum of the parts in all crashes.
    [[nodiscard]] double blame() const;
    /// The same, for the crashes at about this age of the run. A task that crashes its workers does so at similar ages.
    [[nodiscard]] double blameAtAge(Duration age) const;
    /// True if the next run starts where nothing else has just started, so that a crash shows its cause.
    [[nodiscard]] bool startsAlone() const;
    /// True if the task is the cause of several crashes and must not start again. Crashes of one machine alone may as
    /// well be the machine's fault, so that it takes more of them.
    [[nodiscard]] bool isCause() const;

    [[nodiscard]] const std::vector<Wire::RunCrash> &crashes() const
    {
        return m_crashes;
    }

private:
    std::vector<Wire::RunCrash> m_crashes;
};

} // namespace Trefoilhoist::Jobs
