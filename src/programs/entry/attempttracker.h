#pragma once

#include "trefoilhoist/routing/router.h"
#include "trefoilhoist/verdict/verdict.h"
#include "trefoilhoist/world/clock.h"

#include <string>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// Limits on the attempts of one request.
struct AttemptConfig {
    /// The request can safely run more than once.
    bool idempotent = false;
    TimePoint deadline{};
    /// Includes the first attempt.
    int maxAttempts = 4;
};

/// Start another attempt; `attempt` is its number, counted from 1.
struct TryAgain {
    int attempt = 1;
};

/// Forward the minion's answer, which has been received completely.
struct ForwardAnswer {
};

/// Report to the caller that there is no answer.
struct GiveUp {
    Verdict verdict = Verdict::NotRun;
    std::string reason;
};

using AttemptDecision = std::variant<TryAgain, ForwardAnswer, GiveUp>;

/// Tracks the attempts of one request, and decides after each whether to retry and which verdict the caller gets. Does
/// no I/O and reads no clock. Not thread-safe.
class AttemptTracker
{
public:
    explicit AttemptTracker(AttemptConfig config);

    /// Call before the request is sent to `minion`. From then on the request may run.
    void dispatched(const MinionId &minion);

    /// Applies the end of the attempt. Calls `takeRetry`, which draws from the retry budget, only if a retry is
    /// allowed.
    template <typename TakeRetry>
    [[nodiscard]] AttemptDecision
    attemptEnded(AttemptEnd end, const std::string &reason, TimePoint now, TakeRetry takeRetry)
    {
        applyAttemptEnd(end);
        if (m_answered) {
            return ForwardAnswer{};
        }
        if (retryAllowed(now) && takeRetry()) {
            return TryAgain{static_cast<int>(m_tried.size()) + 1};
        }
        return giveUp(reason);
    }

    /// Ends the request without an answer, for example when routing refuses it.
    [[nodiscard]] GiveUp giveUp(const std::string &reason) const;

    /// The minions that the request was sent to, in order of the attempts.
    [[nodiscard]] const std::vector<MinionId> &tried() const;

    /// NotRun until an attempt may have run.
    [[nodiscard]] Verdict verdict() const;

private:
    void applyAttemptEnd(AttemptEnd end);
    [[nodiscard]] bool retryAllowed(TimePoint now) const;

    AttemptConfig m_config;
    std::vector<MinionId> m_tried;
    bool m_inFlight = false;
    bool m_mayHaveRun = false;
    bool m_answered = false;
};

} // namespace Trefoilhoist
