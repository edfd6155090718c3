#pragma once

#include "trefoilhoist/net/httpmessage.h"
#include "trefoilhoist/verdict/verdict.h"
#include "trefoilhoist/world/clock.h"
#include "trefoilhoist/world/id.h"

#include <cstddef>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// The subject of a claim: one idempotency key that one caller uses at one service.
struct ClaimKey {
    CallerId caller;
    ServiceId service;
    std::string key;

    /// Returns the key as one unambiguous string, used for hashing and as the sort order of pages.
    [[nodiscard]] std::string str() const;
};

/// One try of one entry to claim a key.
struct ClaimTry {
    ClaimKey key;
    /// Unique to this try.
    std::string token;
    /// A hash of method, target and body. It detects a key that is reused for another request.
    std::string fingerprint;
    /// Number of the caller's attempt at the request, as the caller counts them, from 1.
    int attempt = 1;
};

/// The outcome of a claimed request, kept for callers that repeat the request.
struct ClaimedAnswer {
    /// Ran or MayHaveRun.
    Verdict verdict = Verdict::Ran;
    HttpResponse response;
    /// True if headers and body weren't kept, because they exceeded a size limit.
    bool dropped = false;
};

/// This holder has granted the claim to this try.
struct ClaimGranted {
    /// True if the holder can't have forgotten any claim that it granted for the key before.
    bool vouched = false;
};
/// Another try holds the claim, and its outcome is not known yet.
struct ClaimRunning {
};
/// The request has ended.
struct ClaimFinished {
    std::shared_ptr<const ClaimedAnswer> answer;
};
/// The key was used for another request, the table is full, or the try was withdrawn.
struct ClaimRefused {
    std::string reason;
    bool otherRequest = false;
};

/// The answer of one holder to a try.
using ClaimAnswer = std::variant<ClaimGranted, ClaimRunning, ClaimFinished, ClaimRefused>;

/// Limits and timeouts of claims. They must be equal on all entries.
struct ClaimSettings {
    /// A key is kept this long after its last change. Must be longer than any request deadline.
    Duration retention = seconds(600);
    /// An entry must collect its grants within this time. Grants that arrive later don't count.
    Duration collectTimeout = milliseconds(500);
    std::size_t maxClaims = 200'000;
    std::size_t maxAnswerBytes = std::size_t{64} << 10U;
    /// Limit for all kept answers together. The oldest answers are dropped first.
    std::size_t maxTotalAnswerBytes = std::size_t{32} << 20U;
};

/// Disables parts of the protocol. Only tests do this, to show that each part is necessary.
struct ClaimSwitches {
    /// A majority of the holders must grant the claim. If off, one grant is enough.
    bool majority = true;
    /// A holder that may have forgotten claims reports this with its grants.
    bool vouching = true;
    /// A restarted holder fetches claims from its peers only after every try that was collecting grants at the
    /// restart has ended.
    bool recoveryDelay = true;
    /// Grants that arrive after the collect timeout don't count.
    bool collectTimeout = true;
    /// A delayed claim message of a withdrawn try is refused.
    bool rememberWithdrawn = true;
    /// The attempts up to that of a withdrawn try count as not run only if the try knew this.
    bool provenOnly = true;
    /// A claim whose outcome is not known is never granted to another try.
    bool neverTakeOver = true;
};

} // namespace Trefoilhoist
