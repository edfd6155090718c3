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

/// How a try ended, as its entry tells the holders.
struct ClaimEnd {
    ClaimTry claim;
    Verdict verdict = Verdict::NotRun;
    /// With NotRun: the try knew that no attempt up to its own has run.
    bool proven = false;
    /// With Ran and MayHaveRun.
    HttpResponse response;
};

/// The claims that this entry holds for all entries. A claim is granted to one try at a time; it is free again only
/// when that try says that it was not run, or after the retention. No input or output, no clock. Thread-safe; lock
/// rank Claims.
class ClaimTable
{
public:
    explicit ClaimTable(ClaimSettings settings, ClaimSwitches switches = {});

    /// Answers a try. A repeated message gets the same answer.
    [[nodiscard]] ClaimAnswer claim(const ClaimTry &claim, TimePoint now);

    /// Takes the end of a try, also of one that this holder never granted.
    void finish(const ClaimEnd &end, TimePoint now);

    /// Forgets claims past the retention.
    void expire(TimePoint now);

    /// From here the table says that it can have forgotten nothing.
    void setIntact();
    [[nodiscard]] bool intact() const;

    /// Claims after `after`, up to about `maxBytes` of answers; `following` is where the next page starts.
    [[nodiscard]] Wire::ClaimPage page(const std::string &after, std::size_t maxBytes, TimePoint now) const;
    /// Takes claims that a peer holds; what may have run stays so.
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
        /// No attempt up to this one has run.
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
    /// Keys in the order of their changes; a key that changed again stands in it more than once.
    std::deque<std::pair<TimePoint, std::string>> m_changes;
    std::deque<std::string> m_answers;
    std::size_t m_answerBytes = 0;
    bool m_intact = false;
};

} // namespace Trefoilhoist
