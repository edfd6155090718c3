#include "trefoilhoist/claims/claimround.h"

#include "trefoilhoist/claims/claimholders.h"

#include <algorithm>

namespace Trefoilhoist {

ClaimRound::ClaimRound(
    int attempt, std::size_t holders, TimePoint start, ClaimSettings settings, ClaimSwitches switches)
    : m_attempt(attempt), m_start(start), m_settings(settings), m_switches(switches), m_holders(holders)
{
}

void ClaimRound::applyAnswer(const ClaimAnswer &answer, Holder &holder)
{
    if (const auto *granted = std::get_if<ClaimGranted>(&answer)) {
        holder.granted = true;
        holder.vouched = granted->vouched;
    } else if (const auto *finished = std::get_if<ClaimFinished>(&answer)) {
        if (!m_finished || finished->answer->verdict == Verdict::Ran) {
            m_finished = finished->answer;
        }
    } else if (const auto *refused = std::get_if<ClaimRefused>(&answer)) {
        m_refusal = refused->reason;
        m_otherRequest = m_otherRequest || refused->otherRequest;
    } else {
        m_running = true;
    }
}

void ClaimRound::answered(std::size_t holder, const ClaimAnswer &answer, TimePoint now)
{
    auto &from = m_holders.at(holder);
    if (!std::holds_alternative<ClaimWait>(m_decision) || from.closed) {
        return;
    }
    // A grant that arrives after the end doesn't count: the holder may have restarted and lost the claim.
    if (now < end() || !m_switches.collectTimeout) {
        from.closed = true;
        applyAnswer(answer, from);
    }
    decide(now);
}

void ClaimRound::markUnreachable(std::size_t holder, TimePoint now)
{
    m_holders.at(holder).closed = true;
    decide(now);
}

void ClaimRound::tick(TimePoint now)
{
    decide(now);
}

void ClaimRound::decide(TimePoint now)
{
    if (!std::holds_alternative<ClaimWait>(m_decision)) {
        return;
    }
    const auto quorum = m_switches.majority ? claimQuorum(m_holders.size()) : 1;
    const auto vouched = std::count_if(
        m_holders.begin(), m_holders.end(), [](const Holder &holder) { return holder.granted && holder.vouched; });
    const bool closed
        = std::all_of(m_holders.begin(), m_holders.end(), [](const Holder &holder) { return holder.closed; });
    const bool ended = m_switches.collectTimeout && now >= end();
    if (m_finished && m_finished->verdict == Verdict::Ran) {
        m_decision = ClaimReplay{m_finished};
    } else if (m_otherRequest) {
        m_decision = ClaimDenied{Verdict::NotRun, m_refusal, true};
    } else if (!m_finished && !ended && static_cast<std::size_t>(vouched) >= quorum) {
        m_decision = ClaimHeld{};
    } else if (closed || ended) {
        m_decision = finalDecision();
    }
}

ClaimDecision ClaimRound::finalDecision() const
{
    const auto quorum = m_switches.majority ? claimQuorum(m_holders.size()) : 1;
    const auto granted
        = std::count_if(m_holders.begin(), m_holders.end(), [](const Holder &holder) { return holder.granted; });
    if (m_finished) {
        return ClaimDenied{Verdict::MayHaveRun, "an earlier attempt may have run", false};
    }
    if (m_running) {
        return ClaimBusy{};
    }
    const bool enough = static_cast<std::size_t>(granted) >= quorum;
    if (enough && m_attempt == 1) {
        // The caller reports this as its first attempt, so no earlier claim can have been forgotten.
        return ClaimHeld{};
    }
    const std::string reason = !m_refusal.empty() ? m_refusal
        : enough                                  ? "no holder can vouch for earlier attempts"
                                                  : "too few claim holders can be reached";
    return ClaimDenied{m_attempt == 1 ? Verdict::NotRun : Verdict::MayHaveRun, reason, false};
}

const ClaimDecision &ClaimRound::decision() const
{
    return m_decision;
}

TimePoint ClaimRound::end() const
{
    return m_start + m_settings.collectTimeout;
}

} // namespace Trefoilhoist
