#pragma once

#include "trefoilhoist/routing/router.h"
#include "trefoilhoist/verdict/verdict.h"
#include "trefoilhoist/world/clock.h"

#include <string>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// What a request allows.
struct AttemptConfig {
    /// It may run more than once without harm.
    bool idempotent = false;
    TimePoint deadline{};
    /// First attempt and retries together.
    int maxAttempts = 4;
};

/// Try once more; `attempt` counts from 1.
struct TryAgain {
    int attempt = 1;
};

/// Forward the minion's answer: it is whole.
struct ForwardAnswer {
};

/// Tell the caller that there is no answer.
struct GiveUp {
    Verdict verdict = Verdict::NotRun;
    std::string reason;
};

using AttemptDecision = std::variant<TryAgain, ForwardAnswer, GiveUp>;

/// Decides what follows each attempt of one request, and which verdict its caller gets. No input or output, no
/// clock. Used by one coroutine at a time.
class AttemptTracker
{
public:
    explicit AttemptTracker(AttemptConfig config);

    /// The request is about to be sent to `minion`: from here it may run.
    void dispatched(const MinionId &minion);

    /// The attempt ended. `takeRetry` is asked only when the rules allow a retry; it draws from the budget.
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

    /// Minions that the request was sent to, in order.
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
