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

/// What a claim is for: one idempotency key of one caller at one service.
struct ClaimKey {
    CallerId caller;
    ServiceId service;
    std::string key;

    /// One text for hashing and for the order of pages.
    [[nodiscard]] std::string str() const;
};

/// One try of one entry to claim a key.
struct ClaimTry {
    ClaimKey key;
    /// Unique to this try.
    std::string token;
    /// A hash of method, target and body: a key names one request.
    std::string fingerprint;
    /// The caller's count of its own attempts, from 1.
    int attempt = 1;
};

/// How a claimed request ended, kept for callers who repeat it.
struct ClaimedAnswer {
    /// Ran or MayHaveRun.
    Verdict verdict = Verdict::Ran;
    HttpResponse response;
    /// True when the answer was too large to keep.
    bool dropped = false;
};

/// The claim is this try's at this holder.
struct ClaimGranted {
    /// True when no claim that the holder ever granted for the key can have been forgotten.
    bool vouched = false;
};
/// Another try has it, and how that ends is not known yet.
struct ClaimRunning {
};
/// The request has ended.
struct ClaimFinished {
    std::shared_ptr<const ClaimedAnswer> answer;
};
/// The key names another request, or the table is full.
struct ClaimRefused {
    std::string reason;
    bool otherRequest = false;
};

/// What one holder answers to a try.
using ClaimAnswer = std::variant<ClaimGranted, ClaimRunning, ClaimFinished, ClaimRefused>;

/// Bounds and times of claims. The same on every entry.
struct ClaimSettings {
    /// A key is remembered this long after its last change. Above any deadline of a request.
    Duration retention = seconds(600);
    /// An entry collects its grants within this; grants that come later don't count.
    Duration collectTimeout = milliseconds(500);
    std::size_t maxClaims = 200'000;
    std::size_t maxAnswerBytes = std::size_t{64} << 10U;
    /// For all kept answers together; the oldest are dropped first.
    std::size_t maxTotalAnswerBytes = std::size_t{32} << 20U;
};

/// Turns parts of the protocol off. Only tests do, to show that each part matters.
struct ClaimSwitches {
    /// A majority of the holders must grant; otherwise one is enough.
    bool majority = true;
    /// A holder that may have forgotten claims says so.
    bool vouching = true;
    /// A restarted holder waits until no claim can be half collected before it asks its peers.
    bool recoveryDelay = true;
    /// Late grants don't count.
    bool collectTimeout = true;
    /// A withdrawn try can't be granted by a message that comes late.
    bool rememberWithdrawn = true;
    /// A withdrawn try says how many attempts surely were not run only when it knew so.
    bool provenOnly = true;
    /// Nobody takes over a claim whose outcome is not known.
    bool neverTakeOver = true;
};

} // namespace Trefoilhoist
