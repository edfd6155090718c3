// Messages between trefoilhoist's own processes. Unknown fields are skipped by older readers, so fields are
// only ever added.
namespace cpp Trefoilhoist.Wire

// What an envelope carries.
enum MessageKind {
  HelloKind = 1,
  MembershipDeltaKind = 2,
  MembershipDigestKind = 3,
  MembershipRequestKind = 4,
  ClaimRequestKind = 5,
  ClaimReplyKind = 6,
  ClaimFinishKind = 7,
  ConfigDigestKind = 8,
  ConfigSegmentsKind = 9,
  LoadReportKind = 10,
  AckKind = 11,
  JobForwardKind = 12,
  JobReplyKind = 13,
  ClaimPageRequestKind = 14,
  ClaimPageKind = 15
}

// One frame. `incarnation` rises with each start of the sender.
struct Envelope {
  1: string sender;
  2: i64 incarnation;
  3: i64 correlation;
  4: MessageKind kind;
  5: binary payload;
  // True on the answer to the envelope with the same correlation.
  6: bool reply;
}

// One minion as an entry knows it. Order: incarnation, then leaving over announced, then sequence.
struct MinionRecord {
  1: string id;
  2: string host;
  3: i32 port;
  4: string availabilityZone;
  5: string serviceName;
  6: map<string, string> labels;
  7: i32 slots;
  8: i32 connections;
  9: i64 incarnation;
  10: i64 sequence;
  11: bool leaving;
  // The entry that hears this minion's announcements.
  12: string owner;
  // Milliseconds since the owner last heard the minion, as of sending.
  13: i64 ageMs;
  14: bool gone;
}

struct MembershipDelta {
  1: list<MinionRecord> minions;
}

// A hash per record bucket; a receiver asks for the buckets that differ.
struct MembershipDigest {
  1: list<i64> buckets;
  2: i64 configVersionSum;
  3: list<i64> configVersions;
  4: string availabilityZone;
  5: bool draining;
  // Milliseconds since the sender last heard each entry; itself is 0.
  6: map<string, i64> heardMs;
}

struct MembershipRequest {
  1: list<i32> buckets;
}

// Requests in flight per minion, as the sender sees them.
struct LoadEntry {
  1: string minion;
  2: i32 inFlight;
  3: i32 queued;
}

struct LoadReport {
  1: list<LoadEntry> loads;
}

enum ClaimState {
  ClaimGranted = 1,
  ClaimRunning = 2,
  ClaimFinished = 3,
  ClaimRefused = 4
}

struct ClaimRequest {
  1: string key;
  2: string caller;
  3: string serviceName;
  // Names one try of one entry to get the claim; no other try ever has it.
  4: string holder;
  5: i64 holderIncarnation;
  6: i64 deadlineMs;
  7: i32 attempt;
  // A hash of method, target and body: a key names one request.
  8: string fingerprint;
}

struct HeaderField {
  1: string name;
  2: string value;
}

struct ClaimReply {
  1: ClaimState state;
  2: i32 status;
  3: string contentType;
  4: binary body;
  // How long the replying entry has kept claims, in milliseconds: older keys it can't vouch for.
  5: i64 memoryMs;
  6: string holder;
  // True when the stored answer was too large to keep.
  7: bool answerDropped;
  // One of Verdict's values, when finished.
  8: i32 verdict;
  9: list<HeaderField> headers;
  // True when no claim that this entry ever granted for the key can have been forgotten.
  10: bool vouched;
  // Why it was refused.
  11: string reason;
}

struct ClaimFinish {
  1: string key;
  2: string caller;
  3: string serviceName;
  // One of Verdict's values.
  4: i32 verdict;
  5: i32 status;
  6: string contentType;
  7: binary body;
  8: string holder;
  9: list<HeaderField> headers;
  10: i32 attempt;
  // With the verdict NotRun: no attempt up to this one has run.
  11: bool proven;
  12: string fingerprint;
}

// One claim as a restarted entry gets it back from its peers.
struct ClaimRecord {
  1: string key;
  2: string caller;
  3: string serviceName;
  4: ClaimState state;
  5: string holder;
  6: i32 attempt;
  7: string fingerprint;
  8: i64 ageMs;
  9: i32 verdict;
  10: i32 status;
  11: list<HeaderField> headers;
  12: binary body;
  13: bool answerDropped;
}

// Asks for claims after `after` in the order of the table; `maxBytes` 0 asks for the flags alone.
struct ClaimPageRequest {
  1: string after;
  2: i64 maxBytes;
}

struct ClaimPage {
  1: list<ClaimRecord> claims;
  // Where the next page starts; empty on the last one.
  2: string following;
  3: bool intact;
}

struct ConfigDigest {
  1: list<i64> versions;
}

struct ConfigSegment {
  1: i32 index;
  2: i64 version;
  3: string value;
}

struct ConfigSegments {
  1: list<ConfigSegment> segments;
}

struct JobForward {
  1: string job;
}

struct JobReply {
  1: bool accepted;
  2: string reason;
}

struct Ack {
  1: bool ok;
}
