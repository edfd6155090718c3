#include "attempttracker.h"

#include "trefoilhoist/internal/invariant.h"

namespace Trefoilhoist {

AttemptTracker::AttemptTracker(AttemptConfig config) : m_config(config) { }

void AttemptTracker::dispatched(const MinionId &minion)
{
    TREFOILHOIST_INVARIANT(!m_inFlight && !m_answered, "P6 at most once");
    TREFOILHOIST_INVARIANT(m_config.idempotent || !m_mayHaveRun, "P6 at most once");
    m_tried.push_back(minion);
    m_inFlight = true;
}

void AttemptTracker::applyAttemptEnd(AttemptEnd end)
{
    TREFOILHOIST_INVARIANT(m_inFlight, "P4 own whole answer");
    m_inFlight = false;
    switch (end) {
    case AttemptEnd::Answered:
    case AttemptEnd::ServerError:
        m_answered = true;
        break;
    case AttemptEnd::Lost:
        m_mayHaveRun = true;
        break;
    case AttemptEnd::Refused:
    case AttemptEnd::Leaving:
    case AttemptEnd::Unreachable:
        break;
    }
}

bool AttemptTracker::retryAllowed(TimePoint now) const
{
    if (now >= m_config.deadline || static_cast<int>(m_tried.size()) >= m_config.maxAttempts) {
        return false;
    }
    return m_config.idempotent || !m_mayHaveRun;
}

GiveUp AttemptTracker::giveUp(const std::string &reason) const
{
    // An attempt that is still in flight may yet run.
    const bool mayHaveRun = m_mayHaveRun || m_inFlight;
    return {mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun, reason};
}

const std::vector<MinionId> &AttemptTracker::tried() const
{
    return m_tried;
}

Verdict AttemptTracker::verdict() const
{
    if (m_answered) {
        return Verdict::Ran;
    }
    return m_mayHaveRun || m_inFlight ? Verdict::MayHaveRun : Verdict::NotRun;
}

} // namespace Trefoilhoist
