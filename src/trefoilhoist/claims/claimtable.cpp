#include "trefoilhoist/claims/claimtable.h"

#include "trefoilhoist/claims/claimwire.h"
#include "trefoilhoist/internal/invariant.h"

#include <algorithm>
#include <mutex>

namespace Trefoilhoist {

namespace {

/// Size that is charged to a page for each claim, without its answer.
constexpr std::size_t recordOverheadBytes = 256;

std::size_t sizeInBytes(const HttpResponse &response)
{
    std::size_t bytes = response.body.size();
    for (const auto &[name, value] : response.headers.fields()) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

} // namespace

ClaimTable::ClaimTable(ClaimSettings settings, ClaimSwitches switches)
    : m_settings(settings), m_switches(switches), m_mutex(Detail::LockRank::Claims)
{
}

ClaimTable::Claim &ClaimTable::touch(const ClaimKey &key, TimePoint now)
{
    const auto text = key.str();
    Claim &claim = m_claims[text];
    claim.key = key;
    claim.changedAt = now;
    m_changes.emplace_back(now, text);
    return claim;
}

bool ClaimTable::vouchesFor(const Claim &claim, int attempt) const
{
    return m_intact || !m_switches.vouching || (attempt > 1 && claim.provenThrough >= attempt - 1);
}

ClaimAnswer ClaimTable::claim(const ClaimTry &claim, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    const auto it = m_claims.find(claim.key.str());
    if (it == m_claims.end()) {
        if (m_claims.size() >= m_settings.maxClaims) {
            return ClaimRefused{"too many idempotency keys", false};
        }
    } else {
        const Claim &known = it->second;
        if (!known.fingerprint.empty() && known.fingerprint != claim.fingerprint) {
            return ClaimRefused{"the idempotency key was used for another request", true};
        }
        if (known.state == State::Finished) {
            return ClaimFinished{known.answer};
        }
        if (known.state == State::Running && known.token != claim.token && m_switches.neverTakeOver) {
            return ClaimRunning{};
        }
        if (m_switches.rememberWithdrawn && known.withdrawnToken == claim.token) {
            return ClaimRefused{"the try was withdrawn", false};
        }
    }
    Claim &granted = touch(claim.key, now);
    TREFOILHOIST_INVARIANT(granted.state == State::Free || granted.token == claim.token || !m_switches.neverTakeOver,
                           "P6 at most once");
    granted.state = State::Running;
    granted.token = claim.token;
    granted.fingerprint = claim.fingerprint;
    granted.attempt = claim.attempt;
    return ClaimGranted{vouchesFor(granted, claim.attempt)};
}

void ClaimTable::withdraw(Claim &claim, const ClaimEnd &end) const
{
    claim.withdrawnToken = end.claim.token;
    if (end.proven || !m_switches.provenOnly) {
        claim.provenThrough = std::max(claim.provenThrough, end.claim.attempt);
    }
    if (claim.state == State::Running && claim.token == end.claim.token) {
        claim.state = State::Free;
        claim.token.clear();
    }
}

void ClaimTable::finish(const ClaimEnd &end, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    const auto it = m_claims.find(end.claim.key.str());
    if (it != m_claims.end() && it->second.state == State::Finished) {
        // Only Ran may replace MayHaveRun. Ran is final.
        if (end.verdict != Verdict::Ran || it->second.answer->verdict == Verdict::Ran) {
            return;
        }
    }
    Claim &claim = touch(end.claim.key, now);
    if (end.verdict == Verdict::NotRun) {
        withdraw(claim, end);
        return;
    }
    claim.state = State::Finished;
    claim.token = end.claim.token;
    claim.fingerprint = end.claim.fingerprint;
    claim.attempt = end.claim.attempt;
    keepAnswer(claim, {end.verdict, end.response, false});
    dropOldAnswers();
}

void ClaimTable::keepAnswer(Claim &claim, ClaimedAnswer answer)
{
    if (claim.answer) {
        m_answerBytes -= sizeInBytes(claim.answer->response);
    }
    if (sizeInBytes(answer.response) > m_settings.maxAnswerBytes) {
        answer.response = HttpResponse{answer.response.status, {}, {}};
        answer.dropped = true;
    }
    m_answerBytes += sizeInBytes(answer.response);
    claim.answer = std::make_shared<const ClaimedAnswer>(std::move(answer));
    m_answers.push_back(claim.key.str());
}

void ClaimTable::dropOldAnswers()
{
    while (m_answerBytes > m_settings.maxTotalAnswerBytes && !m_answers.empty()) {
        const auto it = m_claims.find(m_answers.front());
        m_answers.pop_front();
        if (it == m_claims.end() || !it->second.answer || it->second.answer->dropped) {
            continue;
        }
        auto &claim = it->second;
        m_answerBytes -= sizeInBytes(claim.answer->response);
        claim.answer = std::make_shared<const ClaimedAnswer>(
            ClaimedAnswer{claim.answer->verdict, {claim.answer->response.status, {}, {}}, true});
    }
}

void ClaimTable::eraseClaim(Claims::iterator it)
{
    if (it->second.answer) {
        m_answerBytes -= sizeInBytes(it->second.answer->response);
    }
    m_claims.erase(it);
}

void ClaimTable::expire(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    while (!m_changes.empty() && now - m_changes.front().first >= m_settings.retention) {
        const auto it = m_claims.find(m_changes.front().second);
        if (it != m_claims.end() && now - it->second.changedAt >= m_settings.retention) {
            eraseClaim(it);
        }
        m_changes.pop_front();
    }
    while (!m_answers.empty() && !m_claims.contains(m_answers.front())) {
        m_answers.pop_front();
    }
}

void ClaimTable::setIntact()
{
    std::lock_guard lock(m_mutex);
    m_intact = true;
}

bool ClaimTable::intact() const
{
    std::lock_guard lock(m_mutex);
    return m_intact;
}

Wire::ClaimPage ClaimTable::page(const std::string &after, std::size_t maxBytes, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    Wire::ClaimPage page;
    page.intact = m_intact;
    std::size_t bytes = 0;
    std::string last = after;
    for (auto it = m_claims.upper_bound(after); it != m_claims.end() && maxBytes > 0; ++it) {
        const Claim &claim = it->second;
        if (claim.state == State::Free) {
            continue;
        }
        if (bytes >= maxBytes) {
            page.following = last;
            return page;
        }
        last = it->first;
        Wire::ClaimRecord record;
        record.key = claim.key.key;
        record.caller = claim.key.caller.str();
        record.serviceName = claim.key.service.str();
        record.state = claim.state == State::Running ? Wire::ClaimState::ClaimRunning : Wire::ClaimState::ClaimFinished;
        record.holder = claim.token;
        record.attempt = claim.attempt;
        record.fingerprint = claim.fingerprint;
        record.ageMs = duration_cast<milliseconds>(now - claim.changedAt).count();
        if (claim.answer) {
            writeAnswer(*claim.answer, record);
            bytes += sizeInBytes(claim.answer->response);
        }
        bytes += recordOverheadBytes;
        page.claims.push_back(std::move(record));
    }
    return page;
}

void ClaimTable::merge(const std::vector<Wire::ClaimRecord> &records, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    for (const auto &record : records) {
        const auto key = claimKeyOf(record);
        const auto it = m_claims.find(key.str());
        const bool finished = record.state == Wire::ClaimState::ClaimFinished;
        const bool known = it != m_claims.end() && it->second.state == State::Finished;
        if (known || milliseconds(record.ageMs) >= m_settings.retention) {
            continue;
        }
        Claim &claim = touch(key, now);
        claim.state = finished ? State::Finished : State::Running;
        claim.token = record.holder;
        claim.attempt = record.attempt;
        claim.fingerprint = record.fingerprint;
        if (finished) {
            keepAnswer(claim, readAnswer(record));
        }
    }
    dropOldAnswers();
}

std::size_t ClaimTable::size() const
{
    std::lock_guard lock(m_mutex);
    return m_claims.size();
}

} // namespace Trefoilhoist
