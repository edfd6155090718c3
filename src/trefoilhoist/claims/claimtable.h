#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/claims/claim.h"
#include "trefoilhoist/internal/rankedmutex.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Trefoilhoist {

/// The outcome of a try, as its entry reports it to the holders.
struct ClaimEnd {
    ClaimTry claim;
    Verdict verdict = Verdict::NotRun;
    /// Only for NotRun: the try knew that no attempt up to and including its own has run.
    bool proven = false;
    /// Only for Ran and MayHaveRun.
    HttpResponse response;
};

/// The claims that this entry holds on behalf of all entries. A claim is granted to one try at a time. It becomes free
/// again only if that try reports that the request was not run, or after the retention. The class does no I/O and reads
/// no clock. Thread-safe; lock rank Claims.
class ClaimTable
{
public:
    explicit ClaimTable(ClaimSettings settings, ClaimSwitches switches = {});

    /// Handles a try and returns the answer. A repeated message gets the same answer.
    [[nodiscard]] ClaimAnswer claim(const ClaimTry &claim, TimePoint now);

    /// Applies the outcome of a try, even if this holder never granted it.
    void finish(const ClaimEnd &end, TimePoint now);

    /// Removes claims that are older than the retention.
    void expire(TimePoint now);

    /// Marks the table as complete: from now on its grants vouch that no earlier claim was forgotten.
    void setIntact();
    [[nodiscard]] bool intact() const;

    /// Returns the claims after the key `after`, up to about `maxBytes`. `following` is the `after` of the next page.
    [[nodiscard]] Wire::ClaimPage page(const std::string &after, std::size_t maxBytes, TimePoint now) const;
    /// Merges the claims that a peer holds. A claim that is finished in this table doesn't change.
    void merge(const std::vector<Wire::ClaimRecord> &records, TimePoint now);

    [[nodiscard]] std::size_t size() const;

private:
    enum class State { Free, Running, Finished };
    struct Claim {
        ClaimKey key;
        State state = State::Free;
        std::string token;
        std::string withdrawnToken;
        std::string fingerprint;
        int attempt = 0;
        /// It is known that no attempt up to and including this one has run.
        int provenThrough = 0;
        std::shared_ptr<const ClaimedAnswer> answer;
        TimePoint changedAt{};
    };
    using Claims = std::map<std::string, Claim>;

    Claim &touch(const ClaimKey &key, TimePoint now);
    [[nodiscard]] bool vouchesFor(const Claim &claim, int attempt) const;
    void withdraw(Claim &claim, const ClaimEnd &end) const;
    void keepAnswer(Claim &claim, ClaimedAnswer answer);
    void eraseClaim(Claims::iterator it);
    void dropOldAnswers();

    ClaimSettings m_settings;
    ClaimSwitches m_switches;
    mutable Detail::RankedMutex m_mutex;
    Claims m_claims;
    /// Keys in the order of their changes. A key is listed once for each of its changes.
    std::deque<std::pair<TimePoint, std::string>> m_changes;
    std::deque<std::string> m_answers;
    std::size_t m_answerBytes = 0;
    bool m_intact = false;
};

} // namespace Trefoilhoist
