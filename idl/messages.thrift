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
  ClaimPageKind = 15,
  SubmitJobKind = 20,
  JobQueryKind = 21,
  CancelJobKind = 22,
  QueueQueryKind = 23,
  WorkerReportKind = 24,
  WorkerOrdersKind = 25
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

// ---- Step jobs: messages between dispatchers and agents, and the records in the store. ----

// What an accepted job's queue asked for when the job was accepted.
struct QueuePolicy {
  1: string name;
  2: string serviceName;
  // 0 is the most urgent.
  3: i32 priority;
  4: i32 maxAttempts;
  // The objective is this many times the longest chain of work, and targetLatencyMs more.
  5: double stretch;
  6: i64 targetLatencyMs;
  // Each start needs a permit of the advice service.
  7: bool needsPermit;
}

// Equal tasks of a job that run side by side.
struct StepSpec {
  1: i32 count;
  2: i32 cpuMilli;
  3: i32 memoryMb;
  4: i32 accelerators;
  5: i64 estimatedMs;
  // Earlier steps of which all tasks must have finished.
  6: list<i32> after;
  7: bool checkpoints;
  8: bool gang;
  9: bool gangOnOneRack;
  10: string requiredLabel;
  11: string inputRack;
  // 0: any number of the step's tasks may share a worker.
  12: i32 maxPerWorker;
  13: bool duplicatesAllowed;
  14: bool longRunning;
  15: string image;
  // 0: the tasks serve nobody.
  16: i64 tailTargetMs;
  // Runs on processors that others leave idle: its cpu is not reserved.
  17: bool usesIdleCpu;
  18: i32 maxUnavailable;
}

struct JobSpec {
  1: string id;
  2: QueuePolicy queue;
  3: string payload;
  4: list<StepSpec> steps;
  // 0: the steps run once, now.
  5: i32 occurrences;
  // Unix milliseconds.
  6: i64 firstDueMs;
  7: i64 intervalMs;
  8: i64 acceptedAtMs;
}

// A crash of a worker under a run.
struct RunCrash {
  1: i64 run;
  // The run's part in the cause, from 0 to 1.
  2: double blame;
  // From the run's start order to the crash.
  3: i64 ageMs;
  // The agent of the crashed minion: HOST:PORT.
  4: string agent;
}

struct StepProgress {
  // One bit a task; the lowest bit of the first byte is task 0.
  1: binary finished;
  // The numbers of the runs that failed, by task; a gang counts on task 0.
  2: map<i32, list<i64>> failures;
  // What unfinished tasks can go on from, by task.
  3: map<i32, string> checkpoints;
  // Crashes of workers under runs of a task, by task; a gang counts on task 0.
  4: map<i32, list<RunCrash>> crashes;
}

// What must outlive every process about a job. `phase` is a JobPhase.
struct JobProgress {
  1: i32 phase;
  // By occurrence; an occurrence whose list is empty has finished.
  2: map<i32, list<StepProgress>> occurrences;
  // Unix milliseconds; 0 while the job goes on.
  3: i64 endedAtMs;
  // The job was cancelled before any submission of it had arrived. Later ones are refused.
  4: bool neverSubmitted;
}

struct TaskRef {
  1: string job;
  2: i32 occurrence;
  3: i32 step;
  4: i32 index;
}

struct RunningTask {
  1: TaskRef task;
  2: i64 run;
  3: string checkpoint;
  4: i32 percent;
  // Tail latency in milliseconds for a task with a target, otherwise cpu in thousandths of a core.
  5: i64 usage;
}

// `how` is an EndKind.
struct EndedTask {
  1: i64 number;
  2: TaskRef task;
  3: i64 run;
  4: i32 how;
  5: string checkpoint;
}

// A minion as its agent knows it.
struct WorkerDescription {
  1: string id;
  // Unix milliseconds of the start of the minion's process.
  2: i64 born;
  3: string serviceName;
  4: string zone;
  5: i32 cpuMilli;
  6: i32 memoryMb;
  7: i32 accelerators;
  8: list<string> labels;
  9: string machine;
  // Where the agent takes orders.
  10: string agentHost;
  11: i32 agentPort;
}

// How much the slack of serving tasks of one image drops when tasks of another use a whole worker's processors.
struct ImagePair {
  1: string servingImage;
  2: string fillingImage;
  3: double effect;
}

// A run that may have been executing on a minion when it crashed.
struct LostRun {
  1: TaskRef task;
  2: i64 run;
  // From its start order to the crash.
  3: i64 ageMs;
}

// An incarnation of a minion that ended without leaving, and what it ran.
struct CrashReport {
  1: string worker;
  2: i64 born;
  3: list<LostRun> runs;
}

struct WorkerReport {
  1: WorkerDescription worker;
  2: i64 epoch;
  // Rises with each listing that the agent asked its minion for.
  3: i64 listing;
  // False until the minion has answered a listing of this epoch.
  4: bool listed;
  5: bool draining;
  // The minion's hold has expired, so that it runs nothing any more.
  6: bool gone;
  7: list<RunningTask> running;
  8: list<EndedTask> ended;
  // The minion answers its agent.
  9: bool reachable;
  // The agent does not know what some of the runs are.
  10: bool wantsRunInfo;
  // In the first reports of an epoch: what earlier owners have learned of images.
  11: list<ImagePair> pairs;
  // Rises with each report of one process.
  12: i64 number;
  // Crashes that no owner has recorded yet.
  13: list<CrashReport> crashes;
  // The minion may have more ended tasks than `ended` shows.
  14: bool lacksEnds;
  // The hold that the minion was given in lease terms up to this one has expired by the minion's own clock.
  15: i64 lapsedTerm;
}

// What an agent needs to know of a run to pace it.
struct RunInfo {
  1: TaskRef task;
  2: i64 run;
  3: string image;
  4: i64 tailTargetMs;
  5: bool usesIdleCpu;
  // What the step asks for, in thousandths of a core.
  6: i32 cpuMilli;
}

struct WorkerReportReply {
  // 0: this process owns nothing.
  1: i64 epoch;
  // From the sending of the report; 0: no lease.
  2: i64 leaseMs;
  // Ends up to this number are recorded.
  3: i64 recordedEnds;
  // Rises whenever the owner gave up what it had ordered of this worker.
  4: i64 leaseTerm;
  // Every run at the worker, when the report asked for it.
  5: list<RunInfo> runs;
  // What the owner has learned of images since the last reply.
  6: list<ImagePair> pairs;
  // The reported crashes that are recorded: when each crashed incarnation was born.
  7: list<i64> recordedCrashes;
  // Numbers of the agent's last report and listing; a new process of the agent goes on above them.
  8: i64 lastReport;
  9: i64 lastListing;
  // The highest term that the agent, or an earlier process of it, has reported as lapsed. What ran in the terms between
  // this one and `leaseTerm` is given up, so that the minion's hold must expire before it is extended again.
  10: i64 lapsedTerm;
}

struct StartOrder {
  1: TaskRef task;
  2: i64 run;
  3: string payload;
  4: string checkpoint;
  5: RunInfo info;
  6: string permit;
}

struct StopOrder {
  1: TaskRef task;
  2: i64 run;
}

// Orders to one life of one minion. Empty orders announce the owner.
struct WorkerOrders {
  1: i64 epoch;
  2: string ownerHost;
  3: i32 ownerPort;
  4: string worker;
  5: i64 born;
  6: list<StartOrder> starts;
  7: list<StopOrder> stops;
  // Orders of an earlier term are refused.
  8: i64 leaseTerm;
  // The last report that the owner had taken, and how long before these orders: tells how old they are on arrival.
  9: i64 afterReport;
  10: i64 sinceReportMs;
}

// Results are OrderResults, in the order of the orders.
struct WorkerOrdersReply {
  1: list<i32> starts;
  2: list<i32> stops;
  // Listings asked for up to now; a later one shows the effect of these orders.
  3: i64 listing;
}

struct SubmitJob {
  1: JobSpec spec;
}

struct JobQuery {
  1: string id;
}

struct CancelJob {
  1: string id;
}

struct QueueQuery {
  1: string queue;
}

// `outcome` is a JobOutcome, `phase` a JobPhase.
struct JobAnswer {
  1: i32 outcome;
  2: i32 phase;
  3: i64 waiting;
  4: i64 retryAfterMs;
}

// Who owns the scheduling.
struct OwnerRecord {
  1: i64 epoch;
  2: string host;
  3: i32 port;
  4: string name;
  // Of a dispatcher's record: what its host can carry, against others.
  5: double strength;
  // The store's lease under which the record is kept.
  6: i64 lease;
}

// Every worker that the owner may have given orders to.
struct WorkerRoster {
  1: list<WorkerDescription> workers;
}
