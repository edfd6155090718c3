#pragma once

#include "trefoilhoist/claims/claim.h"

#include <cstddef>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// The answers so far don't allow a decision yet.
struct ClaimWait {
};
/// The claim is held: no earlier attempt has run, and the request may be sent.
struct ClaimHeld {
};
/// The request has run already: the caller gets the kept answer.
struct ClaimReplay {
    std::shared_ptr<const ClaimedAnswer> answer;
};
/// Another try holds the claim and may still end. The entry should try again with a new token.
struct ClaimBusy {
};
/// The claim is denied: this try must not send the request.
struct ClaimDenied {
    Verdict verdict = Verdict::NotRun;
    std::string reason;
    bool otherRequest = false;
};

using ClaimDecision = std::variant<ClaimWait, ClaimHeld, ClaimReplay, ClaimBusy, ClaimDenied>;

/// Decides from the holders' answers whether a try has obtained the claim. The first decision is final. The class does
/// no I/O and reads no clock.
class ClaimRound
{
public:
    ClaimRound(int attempt, std::size_t holders, TimePoint start, ClaimSettings settings, ClaimSwitches switches = {});

    /// Handles the answer of a holder.
    void answered(std::size_t holder, const ClaimAnswer &answer, TimePoint now);
    /// Closes a holder that can't be reached.
    void markUnreachable(std::size_t holder, TimePoint now);
    /// Re-evaluates the decision, so that the collect timeout takes effect.
    void tick(TimePoint now);

    [[nodiscard]] const ClaimDecision &decision() const;
    /// The latest time at which the round ends.
    [[nodiscard]] TimePoint end() const;

private:
    struct Holder {
        bool closed = false;
        bool granted = false;
        bool vouched = false;
    };

    void applyAnswer(const ClaimAnswer &answer, Holder &holder);
    void decide(TimePoint now);
    [[nodiscard]] ClaimDecision finalDecision() const;

    int m_attempt;
    TimePoint m_start;
    ClaimSettings m_settings;
    ClaimSwitches m_switches;
    std::vector<Holder> m_holders;
    bool m_running = false;
    std::shared_ptr<const ClaimedAnswer> m_finished;
    std::string m_refusal;
    bool m_otherRequest = false;
    ClaimDecision m_decision;
};

} // namespace Trefoilhoist
