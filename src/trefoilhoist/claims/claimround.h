#pragma once

#include "trefoilhoist/claims/claim.h"

#include <cstddef>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// Not enough is known yet.
struct ClaimWait {
};
/// The claim is held: the request may be sent, and no attempt before this one has run.
struct ClaimHeld {
};
/// Give the caller the kept answer.
struct ClaimReplay {
    std::shared_ptr<const ClaimedAnswer> answer;
};
/// Another try has the claim and may still end; ask again with a new token.
struct ClaimBusy {
};
/// The request is not sent by this try.
struct ClaimDenied {
    Verdict verdict = Verdict::NotRun;
    std::string reason;
    bool otherRequest = false;
};

using ClaimDecision = std::variant<ClaimWait, ClaimHeld, ClaimReplay, ClaimBusy, ClaimDenied>;

/// Decides from the holders' answers whether a try has the claim. The first decision stands. No input or output, no
/// clock.
class ClaimRound
{
public:
    ClaimRound(int attempt, std::size_t holders, TimePoint start, ClaimSettings settings, ClaimSwitches switches = {});

    /// A holder answered.
    void answered(std::size_t holder, const ClaimAnswer &answer, TimePoint now);
    /// A holder can't be reached.
    void markUnreachable(std::size_t holder, TimePoint now);
    /// Time passed.
    void tick(TimePoint now);

    [[nodiscard]] const ClaimDecision &decision() const;
    /// When the round ends at the latest.
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
